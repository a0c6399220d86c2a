// Package crashguard keeps requests away from backend servers that they would crash. Each server that ends while it begins an answer is
// evidence against the parts of the request's prompt; answers with a part are evidence for it. Requests with a part that has crashed
// several servers are held: they reach no server until a trial shows that the part has become harmless. The evidence is that of all
// instances; merging it in any order gives the same result.
package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of separate crashes after which requests are held.
	minCrashes = 3
	// minRequests and minServers are the numbers of different requests and server processes among them: a single request may crash servers by
	// its own content, and a single server may be faulty.
	minRequests = 2
	minServers  = 2
	// minCrashSpacing is the time by which separate crashes are apart. Servers that end at the same moment have another cause.
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

// Crash is the end of a server process while it began to answer a request.
type Crash struct {
	Service string
	// Server identifies the server process, Request the request.
	Server  string
	Request string
	// Parts are the parts of the prompt that other requests may share and that no server has answered since.
	Parts []string
	At    time.Time
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

// holds returns the holds that follow from the crashes of one service. The part with the most separate crashes explains those; what
// remains is examined in the same way, so that a part that was only beside a harmful one is not held.
func holds(service string, crashes []Crash) []Hold {
	var found []Hold
	remaining := slices.Clone(crashes)
	slices.SortFunc(remaining, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Request, b.Request))
	})
	for {
		part, separate := mostCrashes(remaining)
		if separate < minCrashes {
			return found
		}
		with := crashesWith(remaining, part)
		last := with[len(with)-1].At
		found = append(found, Hold{
			Service: service, Parts: commonParts(with), Crashes: separate, LastCrash: last, Until: last.Add(holdTime(separate)),
		})
		remaining = slices.DeleteFunc(remaining, func(c Crash) bool { return slices.Contains(c.Parts, part) })
	}
}

// mostCrashes returns the part with the most separate crashes, and of several such parts the first in alphabetical order, so that all
// instances decide alike.
func mostCrashes(crashes []Crash) (part string, separate int) {
	for _, candidate := range distinctParts(crashes) {
		if n := separateCrashes(crashesWith(crashes, candidate)); n > separate {
			part, separate = candidate, n
		}
	}
	return part, separate
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

// separateCrashes counts the crashes that are minCrashSpacing apart, and minRestartTime if they are of the same process; the crashes are
// ordered by time. It returns zero if they come from fewer than minRequests requests or minServers processes.
func separateCrashes(crashes []Crash) int {
	requests, lastOfServer := map[string]bool{}, map[string]time.Time{}
	count, last := 0, time.Time{}
	for _, crash := range crashes {
		requests[crash.Request] = true
		previous, again := lastOfServer[crash.Server]
		if again && crash.At.Sub(previous) < minRestartTime {
			continue
		}
		if count == 0 || crash.At.Sub(last) >= minCrashSpacing {
			count, last = count+1, crash.At
			lastOfServer[crash.Server] = crash.At
		}
	}
	if len(requests) < minRequests || len(lastOfServer) < minServers {
		return 0
	}
	return count
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

// holdTime returns how long requests are held after a number of separate crashes.
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
