// Package coldstart limits the requests to backend servers that have just started or have become cold again. Such a server sustains only a
// low rate and crashes well above it, so the limit holds for all instances together.
package coldstart

import (
	"math"
	"time"

	"github.com/cicadawall/cicadawall/internal/rendezvous"
)

const (
	// ownersPerServer is the number of instances that may send requests to a cold server. There are two so that one may fail.
	ownersPerServer = 2
	// window is the time in which an owner sends at most its share. It is longer than the second for which the bound is stated, because the
	// time from the start of an attempt to its arrival varies: an attempt may have to open a connection first.
	window = 1050 * time.Millisecond
	// viewsPerChange is the number of views of the fleet that may name different owners while an instance joins or leaves.
	viewsPerChange = 2
)

// Bound is the bound on the requests to the cold servers of a service. The zero Bound is none.
type Bound struct {
	// Duration is how long a server is cold after its start.
	Duration time.Duration
	// PerSecond is the rate that a cold server sustains; zero if it is not bounded.
	PerSecond float64
}

// Limits say how far requests may exceed the rate that a cold server sustains: a server may get PerSecond x Overshoot + Slack requests in any
// second.
type Limits struct {
	Overshoot float64
	Slack     float64
}

// share returns the number of requests that an owner may send to a cold server in one window. Two owners send at most the rate that the
// server sustains, and the owners of two views of the fleet together at most the bound. It is at least 1, or servers with a low rate would
// get no requests.
func share(bound Bound, limits Limits) int {
	sustained := bound.PerSecond / ownersPerServer
	allowed := (bound.PerSecond*limits.Overshoot + limits.Slack) / (ownersPerServer * viewsPerChange)
	return int(max(1, math.Floor(min(sustained, allowed))))
}

// owns reports whether an instance is one of the owners of a server: the members with the highest rendezvous weights.
func owns(server, instance string, members []string) bool {
	own, above, member := rendezvous.Weight(server, instance), 0, false
	for _, other := range members {
		if other == instance {
			member = true
			continue
		}
		weight := rendezvous.Weight(server, other)
		if weight > own || weight == own && other < instance {
			above++
		}
	}
	return member && above < ownersPerServer
}
