package gateway

import (
	"testing"

	"github.com/pkg/errors"
)

// Guards against the answer of a later server that gets into a stream that has begun and broke off: an error, or a whole answer in place of
// the rest of the stream. The caller's stream must go on with the next event or end without looking complete.
func TestOnlyEventsContinueStream(t *testing.T) {
	begun := serverAction{confidence: 90, events: []int{1, 2}, truncated: true}
	rest := serverAction{confidence: 90, events: []int{3}}
	for name, second := range map[string]serverAction{
		"failure":                  {verdict: VerdictFailure, body: "failure"},
		"failure that breaks off":  {verdict: VerdictFailure, body: "failure", truncated: true},
		"answer without events":    {confidence: 90, body: "answer"},
		"empty answer":             {confidence: 90},
		"stream from its start":    {confidence: 90, events: []int{1, 2, 3}},
		"stream with a repetition": {confidence: 90, events: []int{2, 3}},
		"refusal":                  {verdict: VerdictNotRun, body: "refusal"},
		"other server":             {verdict: VerdictMisdirected, body: "refusal"},
		"no answer":                {err: &SendError{Sent: true, Cause: errors.New("reset")}},
	} {
		if got, _, _ := serveRequest(t, "/chat/x", "key", begun, second, rest); got.text != "1 2 3 " || got.complete || got.aborted || got.refusal != nil {
			t.Errorf("%s, then the rest of the stream: %+v", name, got)
		}
		got, _, _ := serveRequest(t, "/chat/x", "key", begun, second, second, second, second, second)
		if got.text != "1 2 " || got.complete || !got.aborted || got.refusal != nil {
			t.Errorf("%s from all further servers: %+v, want a stream that is aborted after its events", name, got)
		}
	}
}
