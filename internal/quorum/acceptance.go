package quorum

import "time"

// Acceptance is the state of one wait for a revision's acceptance. The wait starts after the registration log was read
// after the commit.
//
// A revision is accepted twice the bound after the required majorities hold; by then a report or a store confirmation from
// before that moment no longer counts at any instance. Where every registered instance has acknowledged, and a read of the
// registration log that began after that shows no other, the bound itself is enough: only an instance that is not in the
// log and adopted the older revision from peers may still serve it, by reports from before the last acknowledgement.
type Acceptance struct {
	// Revision is the committed revision.
	Revision int64
	// Bound is the age up to which a confirmation or report counts.
	Bound time.Duration

	// satisfied is the time since when the required majorities hold, complete that since when all instances acknowledged.
	satisfied, complete time.Time
}

// Check reports whether the revision is accepted now. The function known returns the registered instances as they are
// known; read reads the registration log to its end and reports whether it could.
func (a *Acceptance) Check(now time.Time, known func() []Member, read func() bool) (bool, Verdict) {
	verdict := Required(known(), a.Revision)
	if !verdict.Satisfied {
		return false, verdict
	}
	if a.satisfied.IsZero() {
		a.satisfied = now
	}
	if len(verdict.Missing) == 0 && a.complete.IsZero() && read() {
		if verdict = Required(known(), a.Revision); len(verdict.Missing) == 0 {
			a.complete = now
		}
	}
	all := len(verdict.Missing) == 0 && !a.complete.IsZero() && now.Sub(a.complete) > a.Bound
	return verdict.Satisfied && (all || now.Sub(a.satisfied) >= 2*a.Bound), verdict
}
