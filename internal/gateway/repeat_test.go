package gateway

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// Guards against repeats that the retry budget counts although they reached no server, does not count although they did, or forgets before an
// abandoned request can have been read.
func TestRetryBudgetCountsRepeatsThatReachServers(t *testing.T) {
	refused, unsent := serverAction{verdict: VerdictNotRun}, serverAction{err: &SendError{Cause: errors.New("refused")}}
	answered, silent := serverAction{body: "yes"}, serverAction{silent: true}
	for _, c := range []struct {
		name    string
		path    string
		actions []serverAction
		// repeats are those that count right after the request, later those that count 12 s after it.
		repeats, later int
	}{
		{"repeated once", "/look/x", []serverAction{refused, answered}, 1, 0},
		{"refused by all", "/look/x", []serverAction{refused, refused, refused, refused}, 3, 0},
		{"repeat reaches no server", "/look/x", []serverAction{refused}, 0, 0},
		{"first attempt reaches no server", "/look/x", []serverAction{unsent, answered}, 0, 0},
		{"repeat reaches the second server", "/look/x", []serverAction{refused, unsent, unsent, answered}, 1, 0},
		{"larger model", "/chat/x", []serverAction{{confidence: 10, events: []int{1}}, {confidence: 90, events: []int{1}}}, 1, 0},
		{"larger model reaches no server", "/chat/x", []serverAction{{confidence: 10, events: []int{1}}}, 0, 0},
		{"first attempt abandoned", "/look/x", []serverAction{silent, answered}, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGateway(4, &scriptedBackends{actions: c.actions}, slog.New(slog.NewJSONHandler(io.Discard, nil)))
				defer g.Stop()
				g.Serve(t.Context(), &Request{ID: "r", Host: "h", Path: c.path, Key: "key", AnyModel: true, Model: "*", Arrived: time.Now()},
					&recordingCaller{})
				if got := g.RetryBudget.Usage("desk", time.Now()).Repeats; got != c.repeats {
					t.Errorf("%d repeats count, want %d", got, c.repeats)
				}
				<-time.After(12 * time.Second)
				if got := g.RetryBudget.Usage("desk", time.Now()).Repeats; got != c.later {
					t.Errorf("%d repeats count after 12 s, want %d", got, c.later)
				}
			})
		})
	}
}
