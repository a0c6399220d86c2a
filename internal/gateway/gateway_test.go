package gateway

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/coldstart"
	"github.com/cicadawall/cicadawall/internal/congestion"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/serverload"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// testTargetGap is the longest pause of a stream that is on time, slowStreamPause one that is nearly as long.
const (
	testTargetGap   = 100 * time.Millisecond
	slowStreamPause = 95 * time.Millisecond
	// slowStreamEvents makes a slow stream last longer than the timeouts of an attempt.
	slowStreamEvents = 30
)

// serverAction is the scripted reaction of a server to one attempt.
type serverAction struct {
	err        error
	verdict    Verdict
	confidence int
	// events are the identifiers of a stream's events; truncated cuts the stream or the body off.
	events    []int
	truncated bool
	// silent servers accept the request and never answer.
	silent bool
	// pause precedes each event. With commentsOnly, comments follow the events at this pause until the attempt is cancelled.
	pause        time.Duration
	commentsOnly bool
	body         string
	signals      serverSignals
}

// scriptedBackends performs the actions in order, whichever server an attempt is sent to, and records the attempts.
type scriptedBackends struct {
	actions  []serverAction
	attempts []Attempt
}

func (s *scriptedBackends) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	n := len(s.attempts)
	s.attempts = append(s.attempts, attempt)
	if n >= len(s.actions) {
		return nil, &SendError{Cause: errors.New("refused")}
	}
	a := s.actions[n]
	if a.silent {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	}
	if a.err != nil {
		return nil, a.err
	}
	return &Reply{
		Verdict: a.verdict, Confidence: a.confidence, IsEventStream: a.events != nil, Body: &scriptedBody{ctx: ctx, action: a},
		ServerLeaving: a.signals.leaving, Backoff: a.signals.backoff,
	}, nil
}

// scriptedBody is the body of a scripted answer.
type scriptedBody struct {
	ctx    context.Context
	action serverAction
	next   int
}

func (b *scriptedBody) ReadAll(int) ([]byte, error) {
	if b.action.truncated {
		return nil, io.ErrUnexpectedEOF
	}
	return []byte(b.action.body), nil
}

func (b *scriptedBody) Next() (Event, error) {
	if b.action.pause > 0 {
		select {
		case <-time.After(b.action.pause):
		case <-b.ctx.Done():
			return Event{}, b.ctx.Err()
		}
	}
	if b.next == len(b.action.events) && b.action.commentsOnly {
		return Event{Data: []byte(":")}, nil
	}
	if b.next == len(b.action.events) {
		if b.action.truncated {
			return Event{}, io.ErrUnexpectedEOF
		}
		return Event{}, io.EOF
	}
	id := strconv.Itoa(b.action.events[b.next])
	b.next++
	return Event{FirstID: id, LastID: id, Data: []byte(id + " ")}, nil
}

func (b *scriptedBody) Close() {}

// recordingCaller records the answer that it receives.
type recordingCaller struct {
	text     string
	complete bool
	aborted  bool
	refusal  *fault.Error
	failure  bool
}

func (c *recordingCaller) Answer(reply *Reply, body []byte) error {
	c.text, c.complete, c.failure = string(body), true, reply.Verdict == VerdictFailure
	return nil
}
func (c *recordingCaller) Begin(*Reply) error { return nil }
func (c *recordingCaller) Write(data []byte) error {
	c.text += string(data)
	return nil
}
func (c *recordingCaller) Refuse(refusal *fault.Error) { c.refusal = refusal }
func (c *recordingCaller) Abort()                      { c.aborted = true }

// noPreference implements VersionSelector without preferring any version.
type noPreference struct{}

func (noPreference) Choose(string, string, bool, time.Time) migration.Preference {
	return migration.Preference{}
}
func (n noPreference) Preview(service, session string, sessionless bool, now time.Time) migration.Preference {
	return n.Choose(service, session, sessionless, now)
}
func (noPreference) Observe(service, version, class string, bad bool, took time.Duration) {}

// testConfiguration returns a configuration with a route of each kind and one without authentication.
func testConfiguration() *Configuration {
	return (&Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "buy", Host: "h", PathPrefix: "/buy/", Kind: KindAtMostOnce, MaxAttempts: 1, Timeout: 3 * time.Second,
				Services: []WeightedService{{"desk", 1}}},
			{Name: "look", Host: "h", PathPrefix: "/look/", Kind: KindIdempotent, MaxAttempts: 2, Timeout: 3 * time.Second,
				TargetLatency: 300 * time.Millisecond, Services: []WeightedService{{"desk", 1}}},
			{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: KindStream, Resumable: true, MaxAttempts: 3, Timeout: 20 * time.Second,
				TargetLatency: 2 * time.Second, TargetGap: testTargetGap, HasPrompt: true, Models: []string{"small", "large"},
				Services: []WeightedService{{"desk", 1}}},
			{Name: "draft", Host: "h", PathPrefix: "/draft/", Kind: KindStream, MaxAttempts: 3, Timeout: 20 * time.Second,
				TargetLatency: 2 * time.Second, HasPrompt: true, Models: []string{"small", "large"},
				Services: []WeightedService{{"desk", 1}}},
			{Name: "free", Host: "h", PathPrefix: "/look/free/", Kind: KindIdempotent, AllowAnonymous: true, MaxAttempts: 1,
				Services: []WeightedService{{"desk", 1}}},
		},
		Services:      []Service{{Name: "desk"}},
		Organisations: []Organisation{{Name: "arena", Keys: []string{"key"}}},
	}).Compile()
}

// testMembers is a fleet of one instance.
var testMembers = &coldstart.Members{Addresses: []string{"self"}}

// newGateway returns a gateway that knows the given number of servers.
func newGateway(servers int, backends Backends, log *slog.Logger) *Gateway {
	configurations := NewConfigurationTable()
	configurations.Adopt(testConfiguration())
	directory := backend.NewDirectory()
	for n := range servers {
		id := strconv.Itoa(n)
		directory.Put(backend.Entry{ID: id, Service: "desk", Address: id, Slots: 4}, time.Now())
	}
	return New(Options{
		AvailabilityZone: "z", Configurations: configurations, Directory: directory, Backends: backends, Versions: noPreference{},
		Crashes:     crashguard.NewTable(crashguard.Options{MayTry: func(string) bool { return true }, Log: log}),
		Evacuations: evacuation.NewTable(evacuation.Options{Started: time.Now(), Log: log}),
		ColdStarts: coldstart.NewTable(coldstart.Options{
			Self: "self", Members: func() *coldstart.Members { return testMembers }, Started: time.Now().Add(-time.Minute),
			Limits: coldstart.Limits{Overshoot: 1.5, Slack: 5},
		}),
		RetryBudget: retry.NewSharedBudget(retry.SharedBudgetOptions{
			Ratio: 0.9, Slack: 20, Window: 10 * time.Second, Instances: func() int { return 1 }, Log: log,
		}),
		InstanceCount: func() int { return 1 }, Loads: serverload.NewTable("test", serverload.Options{}), Congestion: congestion.NewTable(),
		Metrics: NewMetrics(telemetry.NewMetrics()), Log: log,
	})
}

// serveRequest serves one request in virtual time, with servers that perform the actions. It also returns the time that this
// took.
func serveRequest(t *testing.T, path, key string, actions ...serverAction) (*recordingCaller, *scriptedBackends, time.Duration) {
	t.Helper()
	caller, backends := &recordingCaller{}, &scriptedBackends{actions: actions}
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(4, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		start := time.Now()
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: path, Key: key, AnyModel: true, Model: "*", Arrived: start}, caller)
		took = time.Since(start)
		g.Stop()
	})
	return caller, backends, took
}

// Guards against a refusal that says "not run" although a server may have run the request, and against a retry of a request that
// must run at most once and may have run.
func TestAtMostOnceRequestIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		name     string
		action   serverAction
		attempts int
		outcome  api.Outcome
	}{
		{"no answer", serverAction{err: &SendError{Sent: true, Cause: errors.New("reset")}}, 1, api.OutcomeUnknown},
		{"truncated answer", serverAction{body: "x", truncated: true}, 1, api.OutcomeUnknown},
		{"silent server", serverAction{silent: true}, 1, api.OutcomeUnknown},
		{"refused by every server", serverAction{verdict: VerdictNotRun}, maxSentAttempts, api.OutcomeNotRun},
		{"not sent", serverAction{err: &SendError{Cause: errors.New("refused")}}, maxUnsentAttempts, api.OutcomeNotRun},
		{"misdirected", serverAction{verdict: VerdictMisdirected}, 4, api.OutcomeNotRun},
	} {
		got, backends, took := serveRequest(t, "/buy/x", "key", c.action, c.action, c.action, c.action, c.action)
		if got.refusal == nil || got.refusal.Outcome != c.outcome || len(backends.attempts) != c.attempts {
			t.Errorf("%s: refusal %+v after %d attempts", c.name, got.refusal, len(backends.attempts))
		}
		if took > 3*time.Second+100*time.Millisecond {
			t.Errorf("%s: final answer after %s", c.name, took)
		}
	}
}

// Guards against hiding the failure of a server from the caller, and against not retrying an idempotent request.
func TestServerFailuresReachTheCaller(t *testing.T) {
	failure := serverAction{verdict: VerdictFailure, body: "no"}
	if got, backends, _ := serveRequest(t, "/buy/x", "key", failure); !got.failure || got.text != "no" ||
		len(backends.attempts) != 1 {
		t.Errorf("at most once: %+v", got)
	}
	if got, backends, _ := serveRequest(t, "/look/x", "key", failure, serverAction{body: "yes"}); got.text != "yes" ||
		len(backends.attempts) != 2 {
		t.Errorf("idempotent: %+v", got)
	}
	if got, _, _ := serveRequest(t, "/look/x", "key", failure, failure); !got.failure {
		t.Errorf("idempotent, both servers fail: %+v", got)
	}
}

// Guards against a resumed stream with missing or repeated events, and against a truncated stream that looks complete.
func TestStreamsResumeAtAnotherServer(t *testing.T) {
	confidentAnswer := func(events []int, truncated bool) serverAction {
		return serverAction{confidence: 90, events: events, truncated: truncated}
	}
	got, backends, _ := serveRequest(t, "/chat/x", "key", confidentAnswer([]int{1, 2}, true), confidentAnswer([]int{3, 4}, false))
	if got.text != "1 2 3 4 " || got.aborted || backends.attempts[1].LastEventID != "2" || backends.attempts[1].Model != "small" {
		t.Errorf("resumed: %+v, attempts %+v", got, backends.attempts)
	}
	if got, _, _ := serveRequest(t, "/chat/x", "key", confidentAnswer([]int{1}, true), confidentAnswer([]int{2}, true),
		confidentAnswer([]int{3}, true)); !got.aborted {
		t.Errorf("truncated at every server: %+v", got)
	}
	if got, _, _ := serveRequest(t, "/chat/x", "key", confidentAnswer([]int{}, false),
		confidentAnswer([]int{1}, false)); got.text != "1 " {
		t.Errorf("empty stream: %+v", got)
	}
}

// Guards against delivering a part of an answer of low confidence, and against an escalation to a larger model that is not
// needed.
func TestLowConfidenceAnswerIsReplaced(t *testing.T) {
	got, backends, _ := serveRequest(t, "/chat/x", "key", serverAction{confidence: 20, events: []int{1}},
		serverAction{confidence: 30, events: []int{1, 2}})
	if got.text != "1 2 " || len(backends.attempts) != 2 || backends.attempts[1].Model != "large" ||
		backends.attempts[1].LastEventID != "" {
		t.Errorf("%+v, attempts %+v", got, backends.attempts)
	}
	if _, backends, _ := serveRequest(t, "/chat/x", "key",
		serverAction{confidence: 80, events: []int{1}}); len(backends.attempts) != 1 {
		t.Errorf("%d attempts for an answer of high confidence", len(backends.attempts))
	}
}

// Guards against crashed servers that use up the attempts of a request (day scale-2 of Parabole: 4 of 18 servers refused
// connections, and requests ended without having reached one of the others).
func TestUnreachableServersUseNoAttempt(t *testing.T) {
	refused := serverAction{err: &SendError{Cause: errors.New("refused")}}
	got, backends, _ := serveRequest(t, "/buy/x", "key", refused, refused, refused, serverAction{body: "yes"})
	if got.text != "yes" || len(backends.attempts) != 4 {
		t.Errorf("%+v after %d attempts", got, len(backends.attempts))
	}
	seen := map[string]bool{}
	for _, attempt := range backends.attempts {
		seen[attempt.Server.ID] = true
	}
	if len(seen) != 4 {
		t.Errorf("%d servers were tried in %d attempts", len(seen), len(backends.attempts))
	}
}

// Guards against waiting for a server that accepts a request and never answers, while others could answer.
func TestSilentServerTimesOut(t *testing.T) {
	got, backends, took := serveRequest(t, "/look/x", "key", serverAction{silent: true}, serverAction{body: "yes"})
	if got.text != "yes" || len(backends.attempts) != 2 || took > 400*time.Millisecond {
		t.Errorf("%+v after %s", got, took)
	}
}

// Guards against a stalled stream that never ends because its server sends a comment now and then.
func TestCommentsAreNoProgress(t *testing.T) {
	got, backends, took := serveRequest(t, "/chat/x", "key",
		serverAction{confidence: 90, events: []int{1}, pause: 10 * time.Millisecond, commentsOnly: true},
		serverAction{confidence: 90, events: []int{2}})
	if len(backends.attempts) != 2 || backends.attempts[1].LastEventID != "1" || got.aborted || took > time.Second {
		t.Errorf("%+v after %s and %d attempts", got, took, len(backends.attempts))
	}
}

// Guards against a slow but sound stream that is interrupted: its pauses are within the target, and it lasts longer than any of the
// timeouts of a single attempt.
func TestSlowStreamIsNotInterrupted(t *testing.T) {
	var events []int
	for i := range slowStreamEvents {
		events = append(events, i+1)
	}
	got, backends, took := serveRequest(t, "/chat/x", "key", serverAction{confidence: 90, events: events, pause: slowStreamPause})
	if len(backends.attempts) != 1 || got.aborted || took < slowStreamEvents*slowStreamPause {
		t.Errorf("%+v after %s and %d attempts", got, took, len(backends.attempts))
	}
}

// Guards against requests with an unknown route or API key that reach a server or are refused with the wrong code.
func TestRoutesAndKeysAreChecked(t *testing.T) {
	for _, c := range []struct {
		path, key string
		code      fault.Code
	}{
		{"/buy/x", "other", fault.CodeUnauthenticated},
		{"/buy/x", "", fault.CodeUnauthenticated},
		{"/none/x", "key", fault.CodeUnknownService},
	} {
		if got, backends, _ := serveRequest(t, c.path, c.key); got.refusal == nil || got.refusal.Code != c.code ||
			len(backends.attempts) != 0 {
			t.Errorf("%s with %q: %+v", c.path, c.key, got.refusal)
		}
	}
	if got, _, _ := serveRequest(t, "/look/free/x", "", serverAction{body: "yes"}); got.text != "yes" {
		t.Errorf("anonymous request to the route with the longer prefix: %+v", got)
	}
}

// Guards against replacing the configuration by an older version.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	table := NewConfigurationTable()
	for _, version := range []int64{3, 2, 3, 5} {
		table.Adopt((&Configuration{Version: version}).Compile())
	}
	if table.Adopt((&Configuration{Version: 4}).Compile()) || table.Version() != 5 {
		t.Errorf("version %d", table.Version())
	}
}

// Guards against a refusal that a server repeats on a kept connection when the same request returns to it: the copy names the request, and
// would say "not run" of an attempt that runs.
func TestRefusedRequestReturnsOnNewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backends := &scriptedBackends{actions: []serverAction{{verdict: VerdictNotRun}, {body: "x"}}}
		g := newGateway(1, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		defer g.Stop()
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/buy/x", Key: "key", Arrived: time.Now()}, &recordingCaller{})
		if len(backends.attempts) != 2 || backends.attempts[0].NewConnection || !backends.attempts[1].NewConnection {
			t.Errorf("attempts: %+v", backends.attempts)
		}
	})
}
