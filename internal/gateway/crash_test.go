package gateway

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/crashguard"
)

const (
	// crashingPart is a part of a prompt that ends every server that begins to answer it.
	crashingPart = "crashing"
	// crashEvidence and crashReaction are the users' bound: so many crashes, and the time after them in which at most
	// maxLateCrashRequests requests with the part may still reach a server.
	crashEvidence        = 5
	crashReaction        = 3 * time.Second
	maxLateCrashRequests = 3
)

// crashMoment is the moment at which a server ends that answers a prompt with crashingPart.
type crashMoment int

const (
	crashBeforeHead crashMoment = iota
	crashAfterHead
	// crashAfterEvent is some milliseconds after one event, also if an answer is resumed.
	crashAfterEvent
	// crashNoticedLate is the same, but the instance notices the end of the connection only after a while.
	crashNoticedLate
)

// crashingBackends answers every prompt, but a server ends when it begins to answer one with crashingPart: all requests that it works
// on break off, and for some seconds it accepts no connections.
type crashingBackends struct {
	moment crashMoment
	// harmlessUntil is the time until which servers begin answers with crashingPart that they complete. The identifiers of these requests are the
	// pauses between the events in seconds.
	harmlessUntil time.Time

	mu         sync.Mutex
	downUntil  map[string]time.Time
	ended      map[string]chan struct{}
	crashes    []time.Time
	crashSends []time.Time
}

func newCrashingBackends(moment crashMoment) *crashingBackends {
	return &crashingBackends{moment: moment, downUntil: map[string]time.Time{}, ended: map[string]chan struct{}{}}
}

func hasPart(prompt []backend.PromptPart, id string) bool {
	for _, part := range prompt {
		if part.ID == id {
			return true
		}
	}
	return false
}

// accept records a request at a server and returns a channel that is closed when the server ends.
func (b *crashingBackends) accept(attempt Attempt) (ended chan struct{}, accepted bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := attempt.Server.ID
	if time.Now().Before(b.downUntil[id]) {
		return nil, false
	}
	if hasPart(attempt.Request.Prompt, crashingPart) {
		b.crashSends = append(b.crashSends, time.Now())
	}
	if b.ended[id] == nil {
		b.ended[id] = make(chan struct{})
	}
	return b.ended[id], true
}

// crash ends the server.
func (b *crashingBackends) crash(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended[id] == nil {
		return
	}
	close(b.ended[id])
	b.ended[id] = nil
	b.downUntil[id] = time.Now().Add(3 * time.Second)
	b.crashes = append(b.crashes, time.Now())
}

func (b *crashingBackends) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	ended, accepted := b.accept(attempt)
	if !accepted {
		return nil, &SendError{Cause: errors.New("connection refused")}
	}
	select {
	case <-time.After(200 * time.Millisecond):
	case <-ended:
		return nil, &SendError{Sent: true, ServerClosed: true, Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	}
	if b.moment == crashBeforeHead && hasPart(attempt.Request.Prompt, crashingPart) {
		b.crash(attempt.Server.ID)
		return nil, &SendError{Sent: true, ServerClosed: true, Cause: io.ErrUnexpectedEOF}
	}
	body := &crashingBody{backends: b, attempt: attempt, ended: ended, pause: 50 * time.Millisecond, crashes: hasPart(attempt.Request.Prompt, crashingPart)}
	if body.crashes && time.Now().Before(b.harmlessUntil) {
		seconds, err := strconv.Atoi(attempt.Request.ID)
		if err != nil {
			return nil, err
		}
		body.pause, body.crashes = time.Duration(seconds)*time.Second, false
	}
	return &Reply{Confidence: 100, IsEventStream: true, Body: body}, nil
}

// crashingBody is a stream of eight events.
type crashingBody struct {
	backends *crashingBackends
	attempt  Attempt
	ended    chan struct{}
	pause    time.Duration
	crashes  bool
	next     int
}

func (b *crashingBody) ReadAll(int) ([]byte, error) { return nil, errors.New("not a stream") }
func (b *crashingBody) Close()                      {}

func (b *crashingBody) Next() (Event, error) {
	if b.next == 8 {
		return Event{}, io.EOF
	}
	select {
	case <-time.After(b.pause):
	case <-b.ended:
		return Event{}, io.ErrUnexpectedEOF
	}
	if b.crashes && (b.backends.moment == crashAfterHead || b.next > 0) {
		b.backends.crash(b.attempt.Server.ID)
		if b.backends.moment == crashNoticedLate {
			<-time.After(2 * crashguard.SurvivalTime)
		}
		return Event{}, io.ErrUnexpectedEOF
	}
	b.next++
	return Event{LastID: strconv.Itoa(b.next), Data: []byte("event ")}, nil
}

// sinceEvidence returns the time since the crash of the number crashEvidence, or zero before it.
func (b *crashingBackends) sinceEvidence() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.crashes) < crashEvidence {
		return 0
	}
	return time.Since(b.crashes[crashEvidence-1])
}

// lateCrashSends returns how many requests with the part reached a server later than crashReaction after the crash of the number
// crashEvidence.
func (b *crashingBackends) lateCrashSends() int {
	if len(b.crashes) < crashEvidence {
		return 0
	}
	late := 0
	for _, at := range b.crashSends {
		if at.Sub(b.crashes[crashEvidence-1]) > crashReaction {
			late++
		}
	}
	return late
}

// sendPrompt sends a request for a prompt, whose last part is its own.
func sendPrompt(ctx context.Context, g *Gateway, id string, parts ...string) *recordingCaller {
	caller := &recordingCaller{}
	request := &Request{ID: id, Host: "h", Path: "/chat/x", Key: "key", AnyModel: true, Model: anyTestModel, Arrived: time.Now(), Timeout: 20 * time.Second}
	for _, part := range append(parts, "own part of "+id) {
		request.Prompt = append(request.Prompt, backend.PromptPart{ID: part, Tokens: 100})
	}
	g.Serve(ctx, request, caller)
	return caller
}

const anyTestModel = "*"

// Guards against requests with one part in their prompts that end one server after the other, whether a server ends before the head of its
// answer, after it, or after the first event (review case 5, BUDGET).
func TestCrashingPromptIsKeptFromServers(t *testing.T) {
	for name, moment := range map[string]crashMoment{
		"before the head": crashBeforeHead, "after the head": crashAfterHead, "after an event": crashAfterEvent,
	} {
		t.Run(name, func(t *testing.T) { checkCrashingPromptIsHeld(t, newCrashingBackends(moment)) })
	}
}

func checkCrashingPromptIsHeld(t *testing.T, backends *crashingBackends) {
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(12, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		var requests sync.WaitGroup
		var mu sync.Mutex
		soundServed, soundAsked := 0, 0
		for n := range 100 {
			requests.Go(func() { sendPrompt(t.Context(), g, "crashing-"+strconv.Itoa(n), "common", "document", crashingPart) })
			for m := range 3 {
				late := backends.sinceEvidence() > 2*crashReaction
				requests.Go(func() {
					caller := sendPrompt(t.Context(), g, strconv.Itoa(n)+"-"+strconv.Itoa(m), "common", "document")
					mu.Lock()
					defer mu.Unlock()
					if late {
						soundAsked++
						if caller.text != "" {
							soundServed++
						}
					}
				})
			}
			<-time.After(250 * time.Millisecond)
		}
		requests.Wait()
		if late := backends.lateCrashSends(); late > maxLateCrashRequests {
			t.Errorf("%d requests reached servers late, %d servers ended", late, len(backends.crashes))
		}
		if soundAsked > 0 && 2*soundServed < soundAsked {
			t.Errorf("%d of %d sound requests were served", soundServed, soundAsked)
		}
	})
}

// Guards against requests with a harmful part that come in groups: servers that they end at the same moment must count as evidence (second review
// case 10, BUDGET). A group of eight at twelve servers ends at least crashEvidence of them at once. With four, which servers the requests chose at the
// same moment decided whether later crashes, one after the other, held the part before there were so many.
func TestGroupsOfCrashingPromptsAreHeld(t *testing.T) {
	const groups, groupSize, groupInterval, soundInterval = 4, 8, 5 * time.Second, 100 * time.Millisecond
	for name, moment := range map[string]crashMoment{
		"before the head": crashBeforeHead, "after the head": crashAfterHead, "after an event": crashAfterEvent,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backends := newCrashingBackends(moment)
				g := newGateway(12, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
				defer g.Stop()
				var requests sync.WaitGroup
				for n := range groups * int(groupInterval/soundInterval) {
					requests.Go(func() { sendPrompt(t.Context(), g, "sound-"+strconv.Itoa(n), "common", "document-"+strconv.Itoa(n%20)) })
					if n%int(groupInterval/soundInterval) == 20 {
						for m := range groupSize {
							requests.Go(func() {
								sendPrompt(t.Context(), g, "crashing-"+strconv.Itoa(n)+"-"+strconv.Itoa(m), "common", crashingPart)
							})
						}
					}
					<-time.After(soundInterval)
				}
				requests.Wait()
				if len(backends.crashes) < crashEvidence {
					t.Fatalf("%d servers ended, so that the test cannot detect a fault", len(backends.crashes))
				}
				if late := backends.lateCrashSends(); late > maxLateCrashRequests {
					t.Errorf("%d requests reached servers late, %d servers ended", late, len(backends.crashes))
				}
			})
		})
	}
}

// Guards against a hold of sound requests after an outage that ends many servers at the same moment.
func TestOutageHoldsNoSoundPrompt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := newCrashingBackends(crashAfterHead)
		g := newGateway(12, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		var requests sync.WaitGroup
		var served atomic.Int64
		for n := range 200 {
			requests.Go(func() {
				if caller := sendPrompt(t.Context(), g, strconv.Itoa(n), "common", "document-"+strconv.Itoa(n%20)); caller.text != "" && n >= 140 {
					served.Add(1)
				}
			})
			if n == 60 || n == 100 {
				for server := range 10 {
					backends.crash(strconv.Itoa(server))
				}
			}
			<-time.After(50 * time.Millisecond)
		}
		requests.Wait()
		if served.Load() < 54 {
			t.Errorf("%d of 60 sound requests were served after the outages", served.Load())
		}
		if holds := g.Crashes.Holds(); len(holds) > 0 {
			t.Errorf("held: %+v", holds)
		}
	})
}

// sendCrashingAndSound sends requests with crashingPart and sound ones for 12 s, and waits for all requests of the group.
func sendCrashingAndSound(t *testing.T, g *Gateway, requests *sync.WaitGroup) {
	for n := range 60 {
		requests.Go(func() { sendPrompt(t.Context(), g, "crashing-"+strconv.Itoa(n), "common", crashingPart) })
		requests.Go(func() { sendPrompt(t.Context(), g, "sound-"+strconv.Itoa(n), "common", "document-"+strconv.Itoa(n%20)) })
		<-time.After(200 * time.Millisecond)
	}
	requests.Wait()
}

// Guards against a hold that is lifted by an answer which a server began before the part turned harmful, and which goes on after the crashes.
func TestAnswersBegunBeforeTheCrashesLiftNoHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := newCrashingBackends(crashAfterHead)
		backends.harmlessUntil = time.Now().Add(time.Second)
		g := newGateway(40, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		var requests sync.WaitGroup
		for _, pause := range []string{"2", "3", "4"} {
			requests.Go(func() { sendPrompt(t.Context(), g, pause, "common", crashingPart) })
		}
		<-time.After(1500 * time.Millisecond)
		sendCrashingAndSound(t, g, &requests)
		if len(backends.crashes) < crashEvidence-2 {
			t.Fatalf("%d servers ended, so that the test cannot detect a fault", len(backends.crashes))
		}
		if len(backends.crashes) > crashEvidence+maxLateCrashRequests {
			t.Errorf("%d servers ended", len(backends.crashes))
		}
	})
}

// Guards against the end of a connection that is noticed late and counts as an answer that went on, so that a harmful prompt is never held.
func TestLateEndOfConnectionIsNoSurvival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := newCrashingBackends(crashNoticedLate)
		g := newGateway(40, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		var requests sync.WaitGroup
		sendCrashingAndSound(t, g, &requests)
		if len(backends.crashes) < crashEvidence-2 {
			t.Fatalf("%d servers ended, so that the test cannot detect a fault", len(backends.crashes))
		}
		if late := backends.lateCrashSends(); late > maxLateCrashRequests {
			t.Errorf("%d requests reached servers late, %d servers ended", late, len(backends.crashes))
		}
	})
}
