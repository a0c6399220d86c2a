// Package quorum decides when a configuration revision counts as accepted and when an instance without store contact may
// continue to serve. Both rules are pure; together they keep an instance with an older revision from serving after the
// acceptance of a newer one (docs/design.md section 6.1).
package quorum

import (
	"sort"
	"time"
)

// Member is what one instance knows of a registered instance.
type Member struct {
	// Sequence is the registration sequence.
	Sequence int64
	// Left is the sequence of the row that ended the registration; 0 while it holds.
	Left int64
	// Revision is the highest revision that the member was heard to report; 0 if none.
	Revision int64
	// Known is the highest registration sequence that the member was heard to know; 0 if it was never heard.
	Known int64
	// Heard is the latest time at which the member certainly held Revision; zero if it was never heard.
	Heard time.Time
}

// View is the registration log as one instance knows it.
type View struct {
	// Self is the own registration sequence; 0 when not registered.
	Self int64
	// Last is the highest registration sequence known.
	Last int64
	// Members are the live registrations in order of sequence.
	Members []Member
}

// Verdict is the state of a revision's acceptance.
type Verdict struct {
	// Satisfied reports whether the revision is in force at the required majorities.
	Satisfied bool
	// Missing are the sequences of the members that have not acknowledged.
	Missing []int64
}

// Required checks the required majorities: the members that acknowledged the revision must be a majority of each prefix
// of the order from the lowest sequence that an unacknowledged member may decide by, to the end.
func Required(members []Member, revision int64) Verdict {
	ordered := append([]Member(nil), members...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].Sequence < ordered[j].Sequence })
	var verdict Verdict
	lowest := int64(-1)
	for _, m := range ordered {
		if m.Revision >= revision {
			continue
		}
		verdict.Missing = append(verdict.Missing, m.Sequence)
		knows := max(m.Known, m.Sequence)
		if lowest < 0 || knows < lowest {
			lowest = knows
		}
	}
	verdict.Satisfied = len(ordered) > 0 && (lowest < 0 || majorityOfPrefixes(ordered, revision, lowest))
	return verdict
}

func majorityOfPrefixes(ordered []Member, revision, lowest int64) bool {
	acknowledged := 0
	for i, m := range ordered {
		if m.Revision >= revision {
			acknowledged++
		}
		// The prefix that ends here holds for all sequences up to the one before the next member's.
		decides := i == len(ordered)-1 || ordered[i+1].Sequence > lowest
		if decides && 2*acknowledged <= i+1 {
			return false
		}
	}
	return true
}

// Supports reports whether a majority of the registered instances, each heard from within the bound, reports a revision
// and none newer than the one given. An instance that reports no revision supports nothing. A member that knows of later
// registrations than the view makes the answer false until the view has caught up.
func (v View) Supports(revision int64, bound time.Duration, now time.Time) bool {
	support := 0
	registered := v.Self == 0
	for _, m := range v.Members {
		if m.Revision > revision || m.Known > v.Last {
			return false
		}
		own := m.Sequence == v.Self
		registered = registered || own
		recent := own || (!m.Heard.IsZero() && now.Sub(m.Heard) <= bound)
		if recent && m.Revision > 0 {
			support++
		}
	}
	return registered && 2*support > len(v.Members)
}

// Adoptable returns the revision that an instance without configuration and without store may adopt: the highest among the
// reports of a majority of the registered instances, each heard from within the bound. It returns 0 if no majority was heard
// or the view has not caught up.
func (v View) Adoptable(bound time.Duration, now time.Time) (revision int64) {
	heard := 0
	for _, m := range v.Members {
		if m.Known > v.Last {
			return 0
		}
		if m.Sequence == v.Self || m.Revision == 0 {
			continue
		}
		revision = max(revision, m.Revision)
		if m.Heard.IsZero() || now.Sub(m.Heard) > bound {
			continue
		}
		heard++
	}
	if 2*heard <= len(v.Members) {
		return 0
	}
	return revision
}
