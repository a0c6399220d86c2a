// Package crashguard keeps requests away from backend servers that they would crash. Each server that ends while it begins an answer, or
// while a request waits for one, is evidence against the parts of the request's prompt; answers with a part are evidence for it. Requests
// with a part that has crashed several servers are held: they reach no server until a trial shows that the part has become harmless. The
// evidence is that of all instances; merging it in any order gives the same result.
package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of separate crashes after which requests are held, if the servers had begun to answer.
	minCrashes = 3
	// crashWeight and earlyCrashWeight are the weights of a crash after and before the server had begun to answer the request; minWeight is
	// the sum from which requests are held. All requests that wait at a server break off before their answers when it ends, so five such
	// crashes are needed.
	crashWeight      = 5
	earlyCrashWeight = 3
	minWeight        = minCrashes * crashWeight
	// jointCrashWeight is the largest weight of a crash within minCrashSpacing of another one, if the part was never answered. Five such crashes
	// of different processes are needed: an outage of several servers that meets three requests with a new part is likely, one that meets it at
	// five servers is not.
	jointCrashWeight = 3
	// minRequests and minServers are the numbers of different requests and server processes among them: a single request may crash servers by
	// its own content, and a single server may be faulty.
	minRequests = 2
	minServers  = 2
	// minCrashSpacing is the time by which separate crashes are apart. Servers that end at the same moment mostly have another cause, unless all of
	// them worked on a part that was never answered.
	minCrashSpacing = 200 * time.Millisecond
	// minRestartTime is the time in which crashes of the same process count once. It takes longer to start again, but several requests
	// that it worked on may be reported at different times by instances that are slow.
	minRestartTime = 2 * time.Second
	// minHoldTime is how long requests are held after the last of minCrashes crashes. It doubles with each further crash, up to
	// maxHoldTime, because a trial costs another server if the part is still harmful.
	minHoldTime = 20 * time.Second
	maxHoldTime = 10 * time.Minute
	// crashRetention is how long a crash is evidence; it is longer than any hold.
	crashRetention = 15 * time.Minute
)

// Crash is the end of a server process while it began to answer a request, or while the request waited for its answer.
type Crash struct {
	Service string
	// Server identifies the server process, Request the request.
	Server  string
	Request string
	// Parts are the parts of the prompt that other requests may share and that no server has answered since.
	Parts []string
	// NeverAnswered are those of the parts that no server is known to have answered before the crash either, although the service answered
	// requests with other parts. It is empty if nothing is known of answers, as after a start.
	NeverAnswered []string
	At            time.Time
	// BeforeAnswer is set if the server had not begun to answer this request.
	BeforeAnswer bool
}

func (c Crash) weight() int {
	if c.BeforeAnswer {
		return earlyCrashWeight
	}
	return crashWeight
}

// Hold keeps the requests of a service from its servers whose prompts contain all of the parts.
type Hold struct {
	Service string
	// Parts were together in the prompts of all the crashes, so that only one of them may be the cause.
	Parts []string
	// Crashes is the number of separate crashes, the last of which was at LastCrash.
	Crashes   int
	LastCrash time.Time
	// Until is the time from which a single request may try whether the parts are still harmful.
	Until time.Time
}

// holds returns the holds that follow from the crashes of one service. The part with the strongest evidence explains its crashes; what
// remains is examined in the same way, so that a part that was only beside a harmful one is not held.
func holds(service string, crashes []Crash) []Hold {
	var found []Hold
	remaining := slices.Clone(crashes)
	slices.SortFunc(remaining, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Request, b.Request))
	})
	for {
		part, strongest := strongestEvidence(remaining)
		if strongest.weight < minWeight {
			return found
		}
		with := crashesWith(remaining, part)
		last := with[len(with)-1].At
		found = append(found, Hold{
			Service: service, Parts: commonParts(with), Crashes: strongest.crashes, LastCrash: last,
			Until: last.Add(holdTime(strongest.weight / crashWeight)),
		})
		remaining = slices.DeleteFunc(remaining, func(c Crash) bool { return slices.Contains(c.Parts, part) })
	}
}

// evidence is the number of separate crashes with a part and the sum of their weights.
type evidence struct{ crashes, weight int }

// strongestEvidence returns the part with the largest weight of separate crashes, and of several such parts the first in alphabetical
// order, so that all instances decide alike.
func strongestEvidence(crashes []Crash) (part string, strongest evidence) {
	for _, candidate := range distinctParts(crashes) {
		if e := separateCrashes(crashesWith(crashes, candidate), candidate); e.weight > strongest.weight {
			part, strongest = candidate, e
		}
	}
	return part, strongest
}

// distinctParts returns the parts of the crashes in alphabetical order.
func distinctParts(crashes []Crash) []string {
	var parts []string
	for _, crash := range crashes {
		parts = append(parts, crash.Parts...)
	}
	slices.Sort(parts)
	return slices.Compact(parts)
}

// crashesWith returns the crashes with the part, in the same order.
func crashesWith(crashes []Crash, part string) []Crash {
	var with []Crash
	for _, crash := range crashes {
		if slices.Contains(crash.Parts, part) {
			with = append(with, crash)
		}
	}
	return with
}

// separateCrashes counts the crashes with a part that are minCrashSpacing apart, and minRestartTime if they are of the same process; the crashes are
// ordered by time. Each has the largest weight of those that belong to it. Crashes of other processes in between count with at most
// jointCrashWeight if the part was never answered, and otherwise belong to the one before. The result is zero if they come from fewer than
// minRequests requests or minServers processes.
func separateCrashes(crashes []Crash, part string) evidence {
	requests, ofServer := map[string]bool{}, map[string]int{}
	var counted []countedCrash
	var lastSeparate time.Time
	for _, crash := range crashes {
		requests[crash.Request] = true
		i, again := ofServer[crash.Server]
		if !again || crash.At.Sub(counted[i].at) >= minRestartTime {
			i = len(counted) - 1
			switch {
			case i < 0 || crash.At.Sub(lastSeparate) >= minCrashSpacing:
				lastSeparate = crash.At
				counted = append(counted, countedCrash{at: crash.At, maxWeight: crashWeight})
				i++
				ofServer[crash.Server] = i
			case slices.Contains(crash.NeverAnswered, part):
				counted = append(counted, countedCrash{at: crash.At, maxWeight: jointCrashWeight})
				i++
				ofServer[crash.Server] = i
			}
		}
		counted[i].weight = max(counted[i].weight, min(counted[i].maxWeight, crash.weight()))
	}
	if len(requests) < minRequests || len(ofServer) < minServers {
		return evidence{}
	}
	result := evidence{crashes: len(counted)}
	for _, c := range counted {
		result.weight += c.weight
	}
	return result
}

// countedCrash is the end of one or more server processes that counts once.
type countedCrash struct {
	at                time.Time
	weight, maxWeight int
}

// commonParts returns the parts that all crashes have.
func commonParts(crashes []Crash) []string {
	common := slices.Clone(crashes[0].Parts)
	for _, crash := range crashes[1:] {
		common = slices.DeleteFunc(common, func(part string) bool { return !slices.Contains(crash.Parts, part) })
	}
	slices.Sort(common)
	return slices.Compact(common)
}

// holdTime returns how long requests are held after a number of separate crashes of full weight.
func holdTime(crashes int) time.Duration {
	return min(maxHoldTime, minHoldTime<<min(10, max(0, crashes-minCrashes)))
}

// covers reports whether the hold applies to a request with the parts.
func (h Hold) covers(service string, parts []string) bool {
	if h.Service != service || len(h.Parts) == 0 {
		return false
	}
	for _, part := range h.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}
