package outage

import "time"

const (
	// windowSeconds is the length of the windows over which the highest amplification is computed, as long as the budget's
	// window.
	windowSeconds = 10
	// recoveredFraction is the fraction of a second's requests that must be answered for the pool to count as recovered.
	recoveredFraction = 0.99
	// finalSeconds is the length of the period at the end of a run from which AnsweredAfterOutage is computed.
	finalSeconds = 30
)

func (r *run) result() Result {
	// Requests that arrive in the last seconds are left out, because they may end after the run.
	endSecond := len(r.requests) - int(r.Deadline/time.Second) - 1
	from, to := int(r.OutageStart/time.Second), int(r.OutageEnd/time.Second)
	out := Result{
		Amplification:        sum(r.attempts[:endSecond]) / sum(r.requests[:endSecond]),
		AnsweredDuringOutage: sum(r.answered[from:to]) / sum(r.requests[from:to]),
		AnsweredAfterOutage:  sum(r.answered[endSecond-finalSeconds:endSecond]) / sum(r.requests[endSecond-finalSeconds:endSecond]),
		RecoveryTime:         -1,
	}
	for i := windowSeconds; i <= endSecond; i++ {
		out.HighestAmplification = max(out.HighestAmplification, sum(r.attempts[i-windowSeconds:i])/sum(r.requests[i-windowSeconds:i]))
	}
	for i := endSecond - 1; i >= to; i-- {
		if r.answered[i] < recoveredFraction*r.requests[i] {
			break
		}
		out.RecoveryTime = time.Duration(i-to) * time.Second
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
