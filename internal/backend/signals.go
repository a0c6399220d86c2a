package backend

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/suspend"
)

const (
	// recentLeavingTime is how long the word of a server that it leaves is passed on to peers: in six rounds it reaches several hundred
	// instances.
	recentLeavingTime = 3 * time.Second
	// maxRecentLeaving bounds the servers that are passed on at once.
	maxRecentLeaving = 64
	// leavingRetention is how long a leaving process is remembered after its row was removed, because its entry may return.
	leavingRetention = 10 * time.Minute
	// maxBackoff bounds the time for which a server may ask to get no requests, so that a wrong number does not remove it for good.
	maxBackoff = 10 * time.Minute
)

// Process identifies a server process.
type Process struct {
	ID                string
	Address           string
	StartedUnixMillis int64
}

func (e Entry) process() Process {
	return Process{ID: e.ID, Address: e.Address, StartedUnixMillis: e.StartedUnixMillis}
}

// LeavingProcess is a server process that has said in an answer that it leaves.
type LeavingProcess struct {
	Process
	Since time.Time
}

// MarkLeaving records that the server said that it leaves. Its entry in the store, which lags, does not undo it. It reports whether this was
// unknown.
func (a *Attempt) MarkLeaving(now time.Time) bool {
	return a.directory.MarkLeaving([]LeavingProcess{{Process: a.Entry.process(), Since: now}}, now)
}

// MarkLeaving records processes that leave and reports whether one of them was unknown.
func (d *Directory) MarkLeaving(processes []LeavingProcess, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for process, since := range d.leaving {
		if now.Sub(since) > leavingRetention {
			delete(d.leaving, process)
		}
	}
	changed := false
	for _, process := range processes {
		if _, known := d.leaving[process.Process]; !known {
			d.leaving[process.Process] = process.Since
			changed = true
		}
	}
	return changed
}

// RecentlyLeaving returns the processes whose leaving is still passed on to peers, the newest first.
func (d *Directory) RecentlyLeaving(now time.Time) []LeavingProcess {
	d.mu.Lock()
	defer d.mu.Unlock()
	var recent []LeavingProcess
	for process, since := range d.leaving {
		if now.Sub(since) <= recentLeavingTime {
			recent = append(recent, LeavingProcess{Process: process, Since: since})
		}
	}
	slices.SortFunc(recent, func(a, b LeavingProcess) int { return b.Since.Compare(a.Since) })
	return recent[:min(len(recent), maxRecentLeaving)]
}

// backoff is the time for which a server process wants no requests.
type backoff struct {
	until time.Time
	// suspendedBefore is how long this machine had been suspended when the server said so.
	suspendedBefore time.Duration
}

// end returns until when the server wants no requests. The time in which this machine was suspended counts.
func (b backoff) end(now time.Time) time.Time {
	if !now.Before(b.until) {
		return time.Time{}
	}
	return b.until.Add(b.suspendedBefore - suspend.Total())
}

// MarkBackoff records that the server asked to get no requests for some time. It holds for the process, also if its entry expires and
// returns meanwhile.
func (a *Attempt) MarkBackoff(wait time.Duration, now time.Time) {
	d := a.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	for process, known := range d.backoffs {
		if !now.Before(known.until) {
			delete(d.backoffs, process)
		}
	}
	d.backoffs[a.Entry.process()] = backoff{until: now.Add(min(maxBackoff, wait)), suspendedBefore: suspend.Total()}
}

// FirstInvalidSignal reports whether the server had sent no invalid signal before.
func (a *Attempt) FirstInvalidSignal() bool {
	a.directory.mu.Lock()
	defer a.directory.mu.Unlock()
	first := !a.row.invalidSignal
	a.row.invalidSignal = true
	return first
}
