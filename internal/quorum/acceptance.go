package quorum

import "time"

// Acceptance tracks one wait for the acceptance of a committed revision. The wait may start only after the registration log
// was read once more after the commit.
//
// In general a revision is accepted when the required majorities have held for twice the freshness bound: by then no
// instance counts a report or a store confirmation from before they held. One freshness bound is enough if every registered
// instance has acknowledged and a later read of the registration log shows no further instance. Then only an instance that
// is not in the log and adopted the older revision from peers may still serve it, by reports from before the last
// acknowledgement.
type Acceptance struct {
	// Revision is the committed revision.
	Revision int64
	// FreshnessBound is the age up to which a store confirmation or a report counts.
	FreshnessBound time.Duration

	// satisfiedSince is the time at which Check first found that the required majorities hold, allAcknowledgedSince the time at
	// which it first found that all registered instances have acknowledged. Both are zero until then.
	satisfiedSince, allAcknowledgedSince time.Time
}

// Check reports whether the revision is accepted now. The function members returns the registered instances as this instance
// knows them. The function readLog reads the registration log to its end and reports whether that succeeded.
func (a *Acceptance) Check(now time.Time, members func() []Member, readLog func() bool) (bool, Verdict) {
	verdict := CheckMajorities(members(), a.Revision)
	if !verdict.Satisfied {
		return false, verdict
	}
	if a.satisfiedSince.IsZero() {
		a.satisfiedSince = now
	}
	if len(verdict.Unacknowledged) == 0 && a.allAcknowledgedSince.IsZero() && readLog() {
		if verdict = CheckMajorities(members(), a.Revision); len(verdict.Unacknowledged) == 0 {
			a.allAcknowledgedSince = now
		}
	}
	acceptedByAll := len(verdict.Unacknowledged) == 0 && !a.allAcknowledgedSince.IsZero() && now.Sub(a.allAcknowledgedSince) > a.FreshnessBound
	return verdict.Satisfied && (acceptedByAll || now.Sub(a.satisfiedSince) >= 2*a.FreshnessBound), verdict
}
