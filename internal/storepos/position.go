// Package storepos describes positions in the history of the platform's store.
package storepos

import (
	"fmt"
	"log/slog"
)

// Position is a point in the history of the store: a version within an era. The store begins an era when it comes back from an older copy, and
// then assigns versions again that it had assigned before, so that a version says nothing without its era. The fields are not
// exported, so that two versions cannot be compared without their eras.
//
// The era is zero if the store, or an instance that passes on its rows, names none. Such positions are comparable only among themselves. The
// zero Position precedes every other one.
type Position struct{ era, version int64 }

// At returns the position of a version of an era.
func At(era, version int64) Position { return Position{era: era, version: version} }

// Era returns the era, for encoding; zero if none is named.
func (p Position) Era() int64 { return p.era }

// Version returns the version, for encoding.
func (p Position) Version() int64 { return p.version }

// IsZero reports whether the position is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// SameEra reports whether the versions of both positions can be compared.
func (p Position) SameEra(other Position) bool { return p.era == other.era }

// Precedes reports whether the position is certainly earlier in the history of the store than the other one. It is false in both directions
// for equal positions, and if one of them has an era and the other one has none.
func (p Position) Precedes(other Position) bool {
	switch {
	case p.era == other.era:
		return p.version < other.version
	case p.IsZero() || other.IsZero():
		return p.IsZero()
	default:
		return p.era != 0 && other.era != 0 && p.era < other.era
	}
}

// After reports whether a change at the position is taken for later than one at the other. Instances of earlier releases name no era; between such a
// position and one with an era, the versions are all there is to compare.
func (p Position) After(other Position) bool {
	if (p.era == 0) != (other.era == 0) {
		return p.version > other.version
	}
	return other.Precedes(p)
}

// Later returns b if a precedes it or only b names an era, and a otherwise.
func Later(a, b Position) Position {
	if a.Precedes(b) || a.era == 0 && b.era != 0 {
		return b
	}
	return a
}

// String returns the era and the version, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.era, p.version) }

// LogValue implements slog.LogValuer.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }
