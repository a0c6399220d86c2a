package gateway

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/backend"
)

// failureCount counts the observations of bad answers.
type failureCount struct {
	noPreference
	bad int
}

func (c *failureCount) Observe(_, _, _ string, bad bool, _ time.Duration) {
	if bad {
		c.bad++
	}
}

// Guards against a server that answers on kept connections with bytes that are no answer and is never held responsible: that the server had closed the
// connection does not explain them.
func TestMalformedAnswersOnKeptConnectionsAreFailures(t *testing.T) {
	for name, c := range map[string]struct {
		err  SendError
		want bool
	}{
		"malformed, new connection":  {SendError{Sent: true, Malformed: true}, true},
		"malformed, kept connection": {SendError{Sent: true, Malformed: true, ReusedConnection: true}, true},
		"closed, new connection":     {SendError{Sent: true, ServerClosed: true}, true},
		"closed, kept connection":    {SendError{Sent: true, ServerClosed: true, ReusedConnection: true}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			c.err.Cause = errors.New("cause")
			backends := &scriptedBackends{actions: []serverAction{{err: &c.err}, {body: "yes"}}}
			g := newGateway(2, backends, slog.New(slog.NewJSONHandler(io.Discard, nil)))
			defer g.Stop()
			versions, caller := &failureCount{}, &recordingCaller{}
			g.Versions = versions
			g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: "/look/x", Key: "key", Arrived: time.Now()}, caller)
			failed := 0
			for _, candidate := range g.Directory.Candidates(backend.Query{Service: "desk"}, time.Now()) {
				if candidate.FailureRate > 0 {
					failed++
				}
			}
			if (versions.bad == 1) != c.want || (failed == 1) != c.want {
				t.Errorf("%s: %d bad answers of the version, %d failing servers", name, versions.bad, failed)
			}
			if caller.text != "yes" || len(backends.attempts) != 2 || backends.attempts[1].NewConnection == c.want {
				t.Errorf("%s: %+v after attempts %+v", name, caller, backends.attempts)
			}
		})
	}
}
