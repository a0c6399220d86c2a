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
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// act is what a server does with one attempt.
type act struct {
	err        error
	verdict    Verdict
	confidence int
	// events are the identifiers of a stream's events; cut ends it before its end.
	events []int
	cut    bool
	mute   bool
	body   string
}

// servers plays acts one after the other, whatever server is asked.
type servers struct {
	acts     []act
	attempts []Attempt
}

func (s *servers) Send(ctx context.Context, attempt Attempt) (*Reply, error) {
	n := len(s.attempts)
	s.attempts = append(s.attempts, attempt)
	if n >= len(s.acts) {
		return nil, &SendError{Cause: errors.New("refused")}
	}
	a := s.acts[n]
	if a.mute {
		<-ctx.Done()
		return nil, &SendError{Sent: true, Cause: ctx.Err()}
	}
	if a.err != nil {
		return nil, a.err
	}
	return &Reply{Verdict: a.verdict, Confidence: a.confidence, Events: a.events != nil, Body: &body{act: a}}, nil
}

type body struct {
	act  act
	next int
}

func (b *body) All(int) ([]byte, error) {
	if b.act.cut {
		return nil, io.ErrUnexpectedEOF
	}
	return []byte(b.act.body), nil
}

func (b *body) Next() (Event, error) {
	if b.next == len(b.act.events) {
		if b.act.cut {
			return Event{}, io.ErrUnexpectedEOF
		}
		return Event{}, io.EOF
	}
	id := strconv.Itoa(b.act.events[b.next])
	b.next++
	return Event{Last: id, Data: []byte(id + " ")}, nil
}

func (b *body) Close() {}

// caller records what it was told.
type caller struct {
	text    string
	whole   bool
	cut     bool
	refusal *fault.Error
	failure bool
}

func (c *caller) Answer(reply *Reply, body []byte) error {
	c.text, c.whole, c.failure = string(body), true, reply.Verdict == VerdictFailure
	return nil
}
func (c *caller) Begin(*Reply) error { return nil }
func (c *caller) Write(data []byte) error {
	c.text += string(data)
	return nil
}
func (c *caller) Refuse(refusal *fault.Error) { c.refusal = refusal }
func (c *caller) Cut()                        { c.cut = true }

// still takes no side.
type still struct{}

func (still) Choose(string, string, bool, time.Time) migration.Preference {
	return migration.Preference{}
}
func (still) Observe(service, version, class string, bad bool, took time.Duration) {}

func configuration() *Configuration {
	return (&Configuration{
		Version: 1,
		Routes: []Route{
			{Name: "buy", Host: "h", PathPrefix: "/buy/", Kind: KindOnce, MaxAttempts: 1, Timeout: 3 * time.Second, Shares: []Share{{"desk", 1}}},
			{Name: "look", Host: "h", PathPrefix: "/look/", Kind: KindSafe, MaxAttempts: 2, Timeout: 3 * time.Second,
				Target: 300 * time.Millisecond, Shares: []Share{{"desk", 1}}},
			{Name: "chat", Host: "h", PathPrefix: "/chat/", Kind: KindStream, Resumable: true, MaxAttempts: 3, Timeout: 20 * time.Second,
				Target: 2 * time.Second, Prompt: true, Models: []string{"small", "large"}, Shares: []Share{{"desk", 1}}},
			{Name: "free", Host: "h", PathPrefix: "/look/free/", Kind: KindSafe, Anonymous: true, MaxAttempts: 1, Shares: []Share{{"desk", 1}}},
		},
		Services:      []Service{{Name: "desk"}},
		Organisations: []Organisation{{Name: "arena", Keys: []string{"key"}}},
	}).Compile()
}

// newGateway returns a gateway before a number of servers.
func newGateway(servers int, backends Backends, log *slog.Logger) *Gateway {
	configurations := NewConfigurations()
	configurations.Adopt(configuration())
	directory := backend.NewDirectory()
	for n := range servers {
		id := strconv.Itoa(n)
		directory.Put(backend.Entry{ID: id, Service: "desk", Address: id, Slots: 4}, time.Now())
	}
	return New(Options{
		AvailabilityZone: "z", Configurations: configurations, Directory: directory, Backends: backends, Versions: still{},
		Budget: retry.NewSharedBudget(retry.SharedBudgetOptions{
			Ratio: 0.9, Slack: 20, Window: 10 * time.Second, Instances: func() int { return 1 },
		}),
		Instances: func() int { return 1 }, Metrics: NewMetrics(telemetry.NewMetrics()), Log: log,
	})
}

// ask runs one request against the acts in virtual time.
func ask(t *testing.T, path, key string, acts ...act) (*caller, *servers, time.Duration) {
	t.Helper()
	answered, asked := &caller{}, &servers{acts: acts}
	var took time.Duration
	synctest.Test(t, func(t *testing.T) {
		g := newGateway(4, asked, slog.New(slog.NewJSONHandler(io.Discard, nil)))
		begun := time.Now()
		g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: path, Key: key, AnyModel: true, Model: "*", Arrived: begun}, answered)
		took = time.Since(begun)
		g.Stop()
	})
	return answered, asked, took
}

// Guards against a request that is refused as not run although a server may have it, or repeated although it must not be.
func TestOnceIsNeverRepeatedInDoubt(t *testing.T) {
	for _, c := range []struct {
		name    string
		act     act
		sends   int
		outcome api.Outcome
	}{
		{"no answer", act{err: &SendError{Sent: true, Cause: errors.New("reset")}}, 1, api.OutcomeUnknown},
		{"cut answer", act{body: "x", cut: true}, 1, api.OutcomeUnknown},
		{"mute", act{mute: true}, 1, api.OutcomeUnknown},
		{"refused by each", act{verdict: VerdictNotRun}, maxSends, api.OutcomeNotRun},
		{"not sent", act{err: &SendError{Cause: errors.New("refused")}}, maxUnsent, api.OutcomeNotRun},
		{"moved", act{verdict: VerdictMoved}, 4, api.OutcomeNotRun},
	} {
		got, asked, took := ask(t, "/buy/x", "key", c.act, c.act, c.act, c.act, c.act)
		if got.refusal == nil || got.refusal.Outcome != c.outcome || len(asked.attempts) != c.sends {
			t.Errorf("%s: %+v after %d sends", c.name, got.refusal, len(asked.attempts))
		}
		if took > 3*time.Second+100*time.Millisecond {
			t.Errorf("%s: final answer after %s", c.name, took)
		}
	}
}

// Guards against a failure of a server that is hidden, and against a second server that is not tried.
func TestFailuresArePassedOn(t *testing.T) {
	failure := act{verdict: VerdictFailure, body: "no"}
	if got, asked, _ := ask(t, "/buy/x", "key", failure); !got.failure || got.text != "no" || len(asked.attempts) != 1 {
		t.Errorf("once: %+v", got)
	}
	if got, asked, _ := ask(t, "/look/x", "key", failure, act{body: "yes"}); got.text != "yes" || len(asked.attempts) != 2 {
		t.Errorf("safe: %+v", got)
	}
	if got, _, _ := ask(t, "/look/x", "key", failure, failure); !got.failure {
		t.Errorf("safe, both fail: %+v", got)
	}
}

// Guards against a stream with a gap or a repeat after a resume, and a cut one that looks complete.
func TestStreamsGoOn(t *testing.T) {
	sure := func(events []int, cut bool) act { return act{confidence: 90, events: events, cut: cut} }
	got, asked, _ := ask(t, "/chat/x", "key", sure([]int{1, 2}, true), sure([]int{3, 4}, false))
	if got.text != "1 2 3 4 " || got.cut || asked.attempts[1].After != "2" || asked.attempts[1].Model != "small" {
		t.Errorf("resumed: %+v, attempts %+v", got, asked.attempts)
	}
	if got, _, _ := ask(t, "/chat/x", "key", sure([]int{1}, true), sure([]int{2}, true), sure([]int{3}, true)); !got.cut {
		t.Errorf("never complete: %+v", got)
	}
	if got, _, _ := ask(t, "/chat/x", "key", sure([]int{}, false), sure([]int{1}, false)); got.text != "1 " {
		t.Errorf("empty stream: %+v", got)
	}
}

// Guards against an unsure answer that the caller gets a part of, and against a larger model that is asked for nothing.
func TestUnsureAnswerIsReplaced(t *testing.T) {
	got, asked, _ := ask(t, "/chat/x", "key", act{confidence: 20, events: []int{1}}, act{confidence: 30, events: []int{1, 2}})
	if got.text != "1 2 " || len(asked.attempts) != 2 || asked.attempts[1].Model != "large" || asked.attempts[1].After != "" {
		t.Errorf("%+v, attempts %+v", got, asked.attempts)
	}
	if _, asked, _ := ask(t, "/chat/x", "key", act{confidence: 80, events: []int{1}}); len(asked.attempts) != 1 {
		t.Errorf("%d attempts for a sure answer", len(asked.attempts))
	}
}

// Guards against servers that crashed and use up the attempts of a request (day scale-2 of Parabole: 4 of 18 servers refused
// connections, and requests ended without having reached one of the others).
func TestUnreachableServersCostNoAttempt(t *testing.T) {
	refused := act{err: &SendError{Cause: errors.New("refused")}}
	got, asked, _ := ask(t, "/buy/x", "key", refused, refused, refused, act{body: "yes"})
	if got.text != "yes" || len(asked.attempts) != 4 {
		t.Errorf("%+v after %d", got, len(asked.attempts))
	}
	seen := map[string]bool{}
	for _, attempt := range asked.attempts {
		seen[attempt.Server.ID] = true
	}
	if len(seen) != 4 {
		t.Errorf("%d servers were tried in %d attempts", len(seen), len(asked.attempts))
	}
}

// Guards against a server that takes a request and never answers, while others could.
func TestMuteServerIsLeft(t *testing.T) {
	got, asked, took := ask(t, "/look/x", "key", act{mute: true}, act{body: "yes"})
	if got.text != "yes" || len(asked.attempts) != 2 || took > 400*time.Millisecond {
		t.Errorf("%+v after %s", got, took)
	}
}

// Guards against routes, keys and missing manifests that are answered with the wrong certainty.
func TestAdmission(t *testing.T) {
	for _, c := range []struct {
		path, key string
		code      fault.Code
	}{
		{"/buy/x", "other", fault.CodeUnauthenticated},
		{"/buy/x", "", fault.CodeUnauthenticated},
		{"/none/x", "key", fault.CodeUnknownService},
	} {
		if got, asked, _ := ask(t, c.path, c.key); got.refusal == nil || got.refusal.Code != c.code || len(asked.attempts) != 0 {
			t.Errorf("%s with %q: %+v", c.path, c.key, got.refusal)
		}
	}
	if got, _, _ := ask(t, "/look/free/x", "", act{body: "yes"}); got.text != "yes" {
		t.Errorf("anonymous on the longer prefix: %+v", got)
	}
}

// Guards against a manifest that goes back to an older version.
func TestConfigurationNeverGoesBack(t *testing.T) {
	table := NewConfigurations()
	for _, version := range []int64{3, 2, 3, 5} {
		table.Adopt((&Configuration{Version: version}).Compile())
	}
	if table.Adopt((&Configuration{Version: 4}).Compile()) || table.Version() != 5 {
		t.Errorf("version %d", table.Version())
	}
}
