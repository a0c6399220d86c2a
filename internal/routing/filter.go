package routing

import (
	"slices"
	"time"
)

// LoadedFilter drops servers that have not loaded the version.
type LoadedFilter struct{}

// Drop implements Filter.
func (LoadedFilter) Drop(c *Candidate, r *Request, _ time.Time) Reason {
	if slices.Contains(c.Versions, r.Version) {
		return ReasonNone
	}
	return ReasonNotLoaded
}

// LeavingFilter drops servers that are leaving.
type LeavingFilter struct{}

// Drop implements Filter.
func (LeavingFilter) Drop(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.Leaving {
		return ReasonLeaving
	}
	return ReasonNone
}

// EjectedFilter drops servers whose ejection has not ended. The floor of half of the pool is kept by whoever ejects.
type EjectedFilter struct{}

// Drop implements Filter.
func (EjectedFilter) Drop(c *Candidate, _ *Request, now time.Time) Reason {
	if now.Before(c.EjectedUntil) {
		return ReasonEjected
	}
	return ReasonNone
}

// TriedFilter drops servers that an earlier attempt of the request used.
type TriedFilter struct{}

// Drop implements Filter.
func (TriedFilter) Drop(c *Candidate, r *Request, _ time.Time) Reason {
	if slices.Contains(r.Exclude, c.ID) {
		return ReasonTried
	}
	return ReasonNone
}
