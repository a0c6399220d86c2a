// Package overload decides which connections and which request bodies give way when an instance has no room for more. It is pure: it holds no
// state, and ages are arguments.
package overload

import "time"

// Stage is what a connection is used for.
type Stage int32

// The stages of a connection.
const (
	// Receiving connections await or receive the head or the body of a request.
	Receiving Stage = iota
	// Refused connections are about to be closed after the refusal of their request.
	Refused
	// Idle connections are kept open between two requests.
	Idle
	// Serving connections await the answer to a request that was read completely. They never give way.
	Serving
	// Closed connections are closed by this instance; a request that arrives on them is not served.
	Closed
)

// String returns the name of the stage in metrics.
func (s Stage) String() string {
	return [...]string{"receiving", "refused", "idle", "serving", "closed"}[s]
}

// Progress is what has arrived of a request.
type Progress struct {
	// Age is the time since the connection entered its stage, or since the body began.
	Age time.Duration
	// Received is the number of bytes in that time.
	Received int64
}

// slower reports whether fewer bytes per time have arrived than in the other; of two without bytes, the older one is slower.
func (p Progress) slower(other Progress) bool {
	mine, others := float64(p.Received)*float64(other.Age), float64(other.Received)*float64(p.Age)
	if mine != others {
		return mine < others
	}
	return p.Age > other.Age
}

// Connection is what the choice of a connection needs to know of it.
type Connection struct {
	Stage Stage
	Progress
}

// rank returns the place of a connection in the order in which connections give way; false if it never does. A connection that has begun to
// receive within the grace period gives way last: its bytes may be under way, and under a flood of new connections it has at least the time
// in which the flood fills the bound.
func (c Connection) rank(grace time.Duration) (int, bool) {
	switch c.Stage {
	case Refused:
		return 0, true
	case Receiving:
		if c.Age >= grace {
			return 1, true
		}
		return 3, true
	case Idle:
		return 2, true
	default:
		return 0, false
	}
}

// GivesWayBefore reports whether connection a gives way before b. One that never gives way comes after all others.
func GivesWayBefore(a, b Connection, grace time.Duration) bool {
	rankA, mayA := a.rank(grace)
	rankB, mayB := b.rank(grace)
	switch {
	case !mayA || !mayB:
		return mayA
	case rankA != rankB:
		return rankA < rankB
	case rankA == 1:
		return a.slower(b.Progress)
	default:
		return a.Age > b.Age
	}
}

// MayGiveWay reports whether a connection in the stage may be closed to make room.
func (s Stage) MayGiveWay() bool { return s != Serving && s != Closed }

// Body is a request body that is being received.
type Body struct {
	// Held is the memory that it holds.
	Held int64
	Progress
}

// SelectBodies returns the indices of the bodies that give way, so that a body which needs more memory gets it: the slowest ones first, until
// they hold the needed bytes together. It returns none if that is impossible without bodies that began within the grace period, or if the
// needing body is itself slower than one of those that remain to be chosen: then it gives way.
func SelectBodies(bodies []Body, needing Progress, needed int64, grace time.Duration) []int {
	var chosen []int
	taken := make([]bool, len(bodies))
	needingInGrace := needing.Age < grace
	for freed := int64(0); freed < needed; {
		slowest := -1
		for i, body := range bodies {
			if taken[i] || body.Held == 0 || body.Age < grace {
				continue
			}
			if slowest < 0 || body.slower(bodies[slowest].Progress) {
				slowest = i
			}
		}
		if slowest < 0 || !needingInGrace && needing.slower(bodies[slowest].Progress) {
			return nil
		}
		taken[slowest] = true
		chosen = append(chosen, slowest)
		freed += bodies[slowest].Held
	}
	return chosen
}
