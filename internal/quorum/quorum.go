// Package quorum decides when a configuration revision counts as accepted and when an instance that cannot read the store
// may continue to serve. Both rules are free of side effects. Together they ensure that no instance serves an older revision
// after a newer one was accepted (docs/design.md section 6.1).
package quorum

import (
	"sort"
	"time"
)

// Member holds what one instance knows about a registered instance, the member.
type Member struct {
	// Sequence is the sequence of the member's row in the registration log.
	Sequence int64
	// EndSequence is the sequence of the row that ended the registration; 0 while the member is registered.
	EndSequence int64
	// Revision is the highest revision in any report of the member; 0 if there is none.
	Revision int64
	// KnownSequence is the highest registration sequence that the member reported to know; 0 if it sent no report.
	KnownSequence int64
	// HeardAt is the latest time at which the member certainly had Revision in force; zero if it sent no report.
	HeardAt time.Time
}

// View is the registration log as one instance knows it.
type View struct {
	// Self is the sequence of the instance's own registration; 0 if it is not registered.
	Self int64
	// LastSequence is the highest registration sequence that the instance knows.
	LastSequence int64
	// Members are the registered instances in order of sequence.
	Members []Member
}

// Verdict is the result of checking the required majorities of a revision.
type Verdict struct {
	// Satisfied reports whether the required majorities have acknowledged the revision.
	Satisfied bool
	// Unacknowledged holds the sequences of the members that have not acknowledged the revision.
	Unacknowledged []int64
}

// CheckMajorities checks the required majorities of a revision. A member that has not acknowledged the revision may count a
// majority among only those members that it knows: the ones up to its KnownSequence. The members that acknowledged must
// therefore be a majority of every prefix of the members, in order of sequence, from the one that ends at the lowest such
// sequence up to all members.
func CheckMajorities(members []Member, revision int64) Verdict {
	ordered := append([]Member(nil), members...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Sequence < ordered[j].Sequence })
	var verdict Verdict
	lowestKnown := int64(-1)
	for _, m := range ordered {
		if m.Revision >= revision {
			continue
		}
		verdict.Unacknowledged = append(verdict.Unacknowledged, m.Sequence)
		knownSequence := max(m.KnownSequence, m.Sequence)
		if lowestKnown < 0 || knownSequence < lowestKnown {
			lowestKnown = knownSequence
		}
	}
	verdict.Satisfied = len(ordered) > 0 && (lowestKnown < 0 || majorityInPrefixes(ordered, revision, lowestKnown))
	return verdict
}

func majorityInPrefixes(ordered []Member, revision, lowestKnown int64) bool {
	acknowledged := 0
	for i, m := range ordered {
		if m.Revision >= revision {
			acknowledged++
		}
		// A member that knows the log up to any sequence before the next member's decides by the prefix that ends here.
		mayDecide := i == len(ordered)-1 || ordered[i+1].Sequence > lowestKnown
		if mayDecide && 2*acknowledged <= i+1 {
			return false
		}
	}
	return true
}

// MajoritySupports reports whether the instance may serve the given revision without the store. A majority of the registered
// instances, this one included, must have reported a revision within the freshness bound, and no member may have reported a
// newer one at any time. A member that reports no revision does not count. If a member knows later registrations than the
// view, the result is false until the view has caught up. It is also false if the instance's own registration was ended.
func (v View) MajoritySupports(revision int64, freshnessBound time.Duration, now time.Time) bool {
	supporters := 0
	registered := v.Self == 0
	for _, m := range v.Members {
		if m.Revision > revision || m.KnownSequence > v.LastSequence {
			return false
		}
		isSelf := m.Sequence == v.Self
		registered = registered || isSelf
		recent := isSelf || (!m.HeardAt.IsZero() && now.Sub(m.HeardAt) <= freshnessBound)
		if recent && m.Revision > 0 {
			supporters++
		}
	}
	return registered && 2*supporters > len(v.Members)
}

// AdoptableRevision returns the revision that an instance without a configuration may adopt while the store is unavailable:
// the highest that any other member has reported, provided that a majority of the registered instances reported within the
// freshness bound. It returns 0 if no majority did or if a member knows later registrations than the view.
func (v View) AdoptableRevision(freshnessBound time.Duration, now time.Time) (revision int64) {
	recent := 0
	for _, m := range v.Members {
		if m.KnownSequence > v.LastSequence {
			return 0
		}
		if m.Sequence == v.Self || m.Revision == 0 {
			continue
		}
		revision = max(revision, m.Revision)
		if m.HeardAt.IsZero() || now.Sub(m.HeardAt) > freshnessBound {
			continue
		}
		recent++
	}
	if 2*recent <= len(v.Members) {
		return 0
	}
	return revision
}
