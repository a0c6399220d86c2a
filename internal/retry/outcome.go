// Package retry decides what is certain about the outcome of an attempt at a backend server, whether the request is retried
// or hedged, and which backend servers are ejected because they fail. No other package makes these decisions. They are pure
// functions; the tables Budgets, SharedBudget and Ejections hold their state.
package retry

import (
	"github.com/cicadawall/cicadawall/internal/api"
)

// Attempt is what is known about one attempt at a backend server after it ended.
type Attempt struct {
	// Sent reports whether any byte of the request was handed to the transport.
	Sent bool
	// Responded reports whether any byte of a response arrived.
	Responded bool
	// Complete reports whether the whole response arrived: the end marker of a stream, or the whole body.
	Complete bool
	// Status is the HTTP status; zero if none arrived.
	Status int
	// Refused reports whether the response states, by the backend server's documented protocol, that the work did not start
	// and will not start. For plain services a status alone does not state this.
	Refused bool
}

// HTTP statuses on which the outcome depends. They are defined here because the package knows the meaning of a status but
// does not depend on the transport.
const (
	statusOK              = 200
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusServerError     = 500
)

// Outcome returns what is certain about the work of the attempt.
//
// If no byte was sent, the outcome is not_run. Otherwise only a complete response settles it: a refusal means not_run, and a
// status below 500 means answered. After a server error the outcome is unknown, because the work may have run before the
// error; likewise after 408, which a server may send when it has read part of the request.
func Outcome(a Attempt) api.Outcome {
	switch {
	case !a.Sent:
		return api.OutcomeNotRun
	case !a.Responded || !a.Complete || a.Status == 0:
		return api.OutcomeUnknown
	case a.Refused:
		return api.OutcomeNotRun
	case a.Status == statusRequestTimeout || a.Status >= statusServerError || a.Status < statusOK:
		return api.OutcomeUnknown
	default:
		return api.OutcomeAnswered
	}
}

// Failed reports whether the attempt counts as a failure of the backend server. An error response to an invalid request does
// not.
func Failed(a Attempt) bool {
	return Outcome(a) != api.OutcomeAnswered || a.Status == statusTooManyRequests
}
