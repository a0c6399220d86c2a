package rollout

import (
	"fmt"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// Sample is one rated answer that reached a caller. Answers of a first step that were not used are not samples.
type Sample struct {
	Class   string
	Version declaration.VersionID
	Rating
}

// Kind is what follows from the evidence about a version.
type Kind string

// Kinds of verdicts, in order of increasing urgency.
const (
	Keep       Kind = "keep"
	Widen      Kind = "widen"
	Suspect    Kind = "suspect"
	Quarantine Kind = "quarantine"
)

// Verdict is the judgement on a version.
type Verdict struct {
	Version declaration.VersionID
	Kind    Kind
	// Class is the class with most evidence for a change.
	Class string
	// Value is the evidence over all classes; RunLength leads to quarantine.
	Value   float64
	Ratings int
}

// Reason describes the verdict for operators.
func (v Verdict) Reason() string {
	return fmt.Sprintf("ratings of class %s are below the level counted on: evidence %.3g of %.3g after %d ratings",
		v.Class, v.Value, RunLength, v.Ratings)
}

type pairKey struct {
	class   string
	version declaration.VersionID
}

// Evidence holds the detectors and rollouts of versions by class. It is not safe for concurrent use.
type Evidence struct {
	detectors map[pairKey]*Detector
	progress  map[pairKey]*Progress
	bad       map[declaration.VersionID]Verdict
}

// NewEvidence returns evidence without ratings.
func NewEvidence() *Evidence {
	return &Evidence{
		detectors: map[pairKey]*Detector{},
		progress:  map[pairKey]*Progress{},
		bad:       map[declaration.VersionID]Verdict{},
	}
}

// Observe adds a sample and returns the verdict on its version. A quarantine verdict stays until Forget.
func (e *Evidence) Observe(s Sample) Verdict {
	if verdict, ok := e.bad[s.Version]; ok {
		return verdict
	}
	key := pairKey{class: s.Class, version: s.Version}
	e.detector(key).Observe(s.Rating)
	widened := e.rollout(key).Observe(s.Rating)
	verdict := e.Verdict(s.Version)
	if verdict.Kind == Keep && widened {
		verdict.Kind = Widen
	}
	return verdict
}

// Verdict judges a version by the sum of its detectors over the classes, so that the run length holds for the version.
func (e *Evidence) Verdict(version declaration.VersionID) Verdict {
	if verdict, ok := e.bad[version]; ok {
		return verdict
	}
	verdict := Verdict{Version: version, Kind: Keep}
	most := -1.0
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
		if value > most || value == most && key.class < verdict.Class {
			most, verdict.Class = value, key.class
		}
	}
	if verdict.Value >= RunLength {
		verdict.Kind = Quarantine
		e.bad[version] = verdict
	}
	return verdict
}

// Share returns the share of a class's requests that a version in state rollout receives.
func (e *Evidence) Share(class string, version declaration.VersionID) float64 {
	if _, ok := e.bad[version]; ok {
		return 0
	}
	if p, ok := e.progress[pairKey{class: class, version: version}]; ok {
		return p.Share()
	}
	return FirstShare
}

// RatingShare returns the share of answers to rate: all of a suspected version, otherwise the base share.
func RatingShare(base float64, kind Kind) float64 {
	if kind == Suspect {
		return 1
	}
	return base
}

// Merge adds the evidence of other, which must come from different ratings.
func (e *Evidence) Merge(other *Evidence) {
	for key, theirs := range other.detectors {
		e.detector(key).Merge(*theirs)
	}
	for key, theirs := range other.progress {
		e.rollout(key).Merge(*theirs)
	}
	for version, verdict := range other.bad {
		e.bad[version] = verdict
	}
}

// Forget drops all evidence about a version, after an operator set its state.
func (e *Evidence) Forget(version declaration.VersionID) {
	delete(e.bad, version)
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

func (e *Evidence) detector(key pairKey) *Detector {
	d, ok := e.detectors[key]
	if !ok {
		d = &Detector{}
		e.detectors[key] = d
	}
	return d
}

func (e *Evidence) rollout(key pairKey) *Progress {
	p, ok := e.progress[key]
	if !ok {
		p = &Progress{}
		e.progress[key] = p
	}
	return p
}
