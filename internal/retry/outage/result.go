package outage

import "time"

const (
	// window is the length in seconds over which the highest amplification is taken; it is that of the budget.
	window = 10
	// normal is the share of answers in a second that counts as within the target.
	normal = 0.99
	// settled is the length in seconds of the end of a run that is reported as after the outage.
	settled = 30
)

func (r *run) result() Result {
	// Requests that arrive in the last seconds may end after the run.
	last := len(r.requests) - int(r.Deadline/time.Second) - 1
	from, to := int(r.From/time.Second), int(r.To/time.Second)
	out := Result{
		Amplification: sum(r.attempts[:last]) / sum(r.requests[:last]),
		During:        sum(r.answered[from:to]) / sum(r.requests[from:to]),
		After:         sum(r.answered[last-settled:last]) / sum(r.requests[last-settled:last]),
		Recovery:      -1,
	}
	for i := window; i <= last; i++ {
		out.Highest = max(out.Highest, sum(r.attempts[i-window:i])/sum(r.requests[i-window:i]))
	}
	for i := last - 1; i >= to; i-- {
		if r.answered[i] < normal*r.requests[i] {
			break
		}
		out.Recovery = time.Duration(i-to) * time.Second
	}
	return out
}

func sum(values []float64) float64 {
	var total float64
	for _, v := range values {
		total += v
	}
	return total
}
