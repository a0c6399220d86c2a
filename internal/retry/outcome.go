// Package retry is the one place that decides what is certain about an attempt, whether it is made again, when a second
// attempt runs beside it, and which backend servers are left out because they fail. The decisions are pure; Budgets and
// Ejections are the tables of their state.
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
	// Complete reports whether the whole response arrived: the end marker of a stream or the whole body.
	Complete bool
	// Status is the HTTP status; zero if none arrived.
	Status int
	// Refused reports that the response states, in the backend server's documented protocol, that the work did not start
	// and will not. A status alone is no such statement for plain services.
	Refused bool
}

// Statuses that decide. The package knows the meaning of a status, not the transport that carries it.
const (
	statusOK              = 200
	statusRequestTimeout  = 408
	statusTooManyRequests = 429
	statusServerError     = 500
)

// Outcome returns what is certain about the work of the attempt.
//
// Nothing sent means not_run. After the first byte only a complete response decides: a refusal means not_run, a status below
// 500 answered. A server error says nothing about whether the work ran before the error, so it is unknown, as is 408, which
// a server may send after it read part of the request.
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

// Failed reports whether the attempt counts against the backend server. An answer to a faulty request does not.
func Failed(a Attempt) bool {
	return Outcome(a) != api.OutcomeAnswered || a.Status == statusTooManyRequests
}
