package gateway

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/congestion"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// boundsCongestion reports whether requests of the route are admitted by the congestion of its service: if the servers run fewer requests than there
// are instances, the number of an instance's own requests says nothing of their load.
func (r *requestJob) boundsCongestion() bool {
	if r.route.HasPrompt || r.route.TargetLatency <= 0 {
		return false
	}
	slots := r.gateway.Directory.Slots(r.service.Name)
	return slots > 0 && slots < r.gateway.InstanceCount()
}

// checkCongestion refuses a part of the requests while requests wait for the servers of the service, so that the others are answered in time. A
// refused caller should return when there may be room.
func (r *requestJob) checkCongestion(now time.Time) *fault.Error {
	if !r.boundsCongestion() {
		return nil
	}
	request := congestion.Request{
		Service: r.service.Name, Route: r.route.Name, TimeLeft: r.request.Timeout,
		PriorityGap: r.priority - r.configuration.mostUrgentPriority(r.service.Name),
	}
	decide := r.gateway.Congestion.Decide
	if r.trace != nil {
		decide = r.gateway.Congestion.Preview
	}
	decision := decide(request, r.rng, now)
	if decision.Admitted {
		return nil
	}
	retryAfter := decision.RetryAfter
	if retryAfter == 0 {
		retryAfter = refusalRetryAfter
	}
	if r.trace == nil {
		r.log("request refused because the backend servers are congested", "service", r.service.Name, "level", decision.Level,
			"admitted_fraction", decision.Fraction, "retry_after_ms", retryAfter.Milliseconds())
	}
	return fault.NotRun(fault.StepAdmit, fault.CodeOverloaded, "the backend servers are congested").
		WithAdvice("repeat the request after the stated wait").WithRetryAfter(retryAfter)
}

// observeResponse records an answer of a server as evidence of the congestion of the service.
func (r *requestJob) observeResponse(now time.Time) {
	if r.boundsCongestion() {
		r.gateway.Congestion.Observe(r.service.Name, float64(now.Sub(r.attemptStart))/float64(r.route.TargetLatency), now)
	}
}

// observeRefusal records that a server had no room for the request.
func (r *requestJob) observeRefusal(now time.Time) {
	if r.boundsCongestion() {
		r.gateway.Congestion.Observe(r.service.Name, congestion.RefusalLevel, now)
	}
}
