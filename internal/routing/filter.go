package routing

import (
	"slices"
	"time"
)

// VersionLoadedFilter drops servers that have not loaded the requested version of the model.
type VersionLoadedFilter struct{}

// DropReason implements Filter.
func (VersionLoadedFilter) DropReason(c *Candidate, r *Request, _ time.Time) Reason {
	if slices.Contains(c.Versions, r.Version) {
		return ReasonNone
	}
	return ReasonNotLoaded
}

// LeavingFilter drops servers that are leaving.
type LeavingFilter struct{}

// DropReason implements Filter.
func (LeavingFilter) DropReason(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.Leaving {
		return ReasonLeaving
	}
	return ReasonNone
}

// EvacuatedFilter drops the servers of evacuated availability zones. No fallback step may skip it.
type EvacuatedFilter struct{}

// DropReason implements Filter.
func (EvacuatedFilter) DropReason(c *Candidate, _ *Request, _ time.Time) Reason {
	if c.Evacuated {
		return ReasonEvacuated
	}
	return ReasonNone
}

// EjectedFilter drops servers whose ejection has not ended. The code that ejects servers keeps at least half of the pool.
type EjectedFilter struct{}

// DropReason implements Filter.
func (EjectedFilter) DropReason(c *Candidate, _ *Request, now time.Time) Reason {
	if now.Before(c.EjectedUntil) {
		return ReasonEjected
	}
	return ReasonNone
}

// TriedFilter drops servers that an earlier attempt of the same request used.
type TriedFilter struct{}

// DropReason implements Filter.
func (TriedFilter) DropReason(c *Candidate, r *Request, _ time.Time) Reason {
	if slices.Contains(r.Exclude, c.ID) {
		return ReasonTried
	}
	return ReasonNone
}
