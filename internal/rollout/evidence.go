package rollout

import (
	"fmt"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Sample is one rated answer that reached a caller. First answers of a chain that were discarded are not samples.
type Sample struct {
	Class   string
	Version declaration.VersionID
	Rating
}

// VerdictKind is the action that the evidence about a version requires.
type VerdictKind string

// Kinds of verdicts: keep the version, widen its fraction of requests, rate all of its answers, or quarantine it.
const (
	Keep       VerdictKind = "keep"
	Widen      VerdictKind = "widen"
	Suspect    VerdictKind = "suspect"
	Quarantine VerdictKind = "quarantine"
)

// Verdict is the result of the tests of a version.
type Verdict struct {
	Version declaration.VersionID
	Kind    VerdictKind
	// Class is the class with the highest detector value.
	Class string
	// Value is the sum of the detector values over all classes. QuarantineThreshold leads to quarantine.
	Value   float64
	Ratings int
}

// Reason describes the verdict to operators.
func (v Verdict) Reason() string {
	return fmt.Sprintf("ratings of class %s are below the level counted on: evidence %.3g of %.3g after %d ratings",
		v.Class, v.Value, QuarantineThreshold, v.Ratings)
}

// classVersion is the key of one version's tests in one class.
type classVersion struct {
	class   string
	version declaration.VersionID
}

// Evidence holds the detectors and the roll-out progress of versions by class. It is not safe for concurrent use.
type Evidence struct {
	detectors map[classVersion]*Detector
	progress  map[classVersion]*Progress
	// quarantined holds the verdicts that led to quarantine.
	quarantined map[declaration.VersionID]Verdict
}

// NewEvidence returns evidence without ratings.
func NewEvidence() *Evidence {
	return &Evidence{
		detectors:   map[classVersion]*Detector{},
		progress:    map[classVersion]*Progress{},
		quarantined: map[declaration.VersionID]Verdict{},
	}
}

// Observe adds a sample and returns the verdict on its version. A verdict of quarantine is kept until Forget.
func (e *Evidence) Observe(s Sample) Verdict {
	if verdict, ok := e.quarantined[s.Version]; ok {
		return verdict
	}
	key := classVersion{class: s.Class, version: s.Version}
	e.detectorFor(key).Observe(s.Rating)
	widened := e.progressFor(key).Observe(s.Rating)
	verdict := e.Verdict(s.Version)
	if verdict.Kind == Keep && widened {
		verdict.Kind = Widen
	}
	return verdict
}

// Verdict returns the verdict on a version. It uses the sum of the detectors over all classes, so that the bound on the
// average run length holds for the version as a whole.
func (e *Evidence) Verdict(version declaration.VersionID) Verdict {
	if verdict, ok := e.quarantined[version]; ok {
		return verdict
	}
	verdict := Verdict{Version: version, Kind: Keep}
	highestValue := -1.0
	for key, detector := range e.detectors {
		if key.version != version {
			continue
		}
		value := detector.Value()
		verdict.Value += value
		verdict.Ratings += detector.Ratings()
		if detector.Suspicious() {
			verdict.Kind = Suspect
		}
		if value > highestValue || value == highestValue && key.class < verdict.Class {
			highestValue, verdict.Class = value, key.class
		}
	}
	if verdict.Value >= QuarantineThreshold {
		verdict.Kind = Quarantine
		e.quarantined[version] = verdict
	}
	return verdict
}

// RequestFraction returns the fraction of a class's requests that a version in state rollout receives.
func (e *Evidence) RequestFraction(class string, version declaration.VersionID) float64 {
	if _, ok := e.quarantined[version]; ok {
		return 0
	}
	if p, ok := e.progress[classVersion{class: class, version: version}]; ok {
		return p.Fraction()
	}
	return InitialFraction
}

// RatingFraction returns the fraction of answers to rate: 1 for a suspected version, otherwise the base fraction.
func RatingFraction(base float64, kind VerdictKind) float64 {
	if kind == Suspect {
		return 1
	}
	return base
}

// Merge adds the evidence of other. No rating may be in both, since it would count twice.
func (e *Evidence) Merge(other *Evidence) {
	for key, theirs := range other.detectors {
		e.detectorFor(key).Merge(*theirs)
	}
	for key, theirs := range other.progress {
		e.progressFor(key).Merge(*theirs)
	}
	for version, verdict := range other.quarantined {
		e.quarantined[version] = verdict
	}
}

// Forget removes all evidence about a version. It is called after an operator has set the version's state.
func (e *Evidence) Forget(version declaration.VersionID) {
	delete(e.quarantined, version)
	for key := range e.detectors {
		if key.version == version {
			delete(e.detectors, key)
		}
	}
	for key := range e.progress {
		if key.version == version {
			delete(e.progress, key)
		}
	}
}

func (e *Evidence) detectorFor(key classVersion) *Detector {
	d, ok := e.detectors[key]
	if !ok {
		d = &Detector{}
		e.detectors[key] = d
	}
	return d
}

func (e *Evidence) progressFor(key classVersion) *Progress {
	p, ok := e.progress[key]
	if !ok {
		p = &Progress{}
		e.progress[key] = p
	}
	return p
}
