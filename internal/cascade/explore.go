package cascade

import (
	"math/rand/v2"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// AlwaysEscalate is a threshold above every possible confidence.
	AlwaysEscalate = 2.0
	// explorationFraction is the fraction of requests for which a cheaper version runs first and its answer is rated, not used.
	explorationFraction = 0.02
	// learningFraction replaces explorationFraction while the cheaper version has fewer than requiredRatings ratings in the
	// class. A first step at a twentieth of the cost then adds 1% to the cost.
	learningFraction = 0.2
	// requiredRatings is the number of ratings that a version needs before a chain can first be chosen on them; until then
	// every answer is rated.
	requiredRatings = 500
)

// Explore returns, for a small fraction of requests, a chain that first runs the cheaper version with the fewest ratings and
// always escalates to the decision's final version. The caller gets the same quality with a higher latency. Every answer of
// the chain must be rated.
func Explore(e *Evidence, d Decision, targets Targets, options []Option, rng *rand.Rand) (Chain, bool) {
	draw := rng.Float64()
	if draw >= learningFraction {
		return Chain{}, false
	}
	finalIndex := slices.IndexFunc(options, func(o Option) bool { return o.Version == d.Chain.FinalVersion() })
	if finalIndex < 0 {
		return Chain{}, false
	}
	var first declaration.VersionID
	fewest := -1.0
	for i := range options {
		if options[i].Cost >= options[finalIndex].Cost || !inTime(targets, &options[i], &options[finalIndex], 1) {
			continue
		}
		ratings := e.RatingWeight(Key{Class: targets.Class, Version: options[i].Version})
		if fewest < 0 || ratings < fewest {
			first, fewest = options[i].Version, ratings
		}
	}
	if fewest < 0 || fewest >= requiredRatings && draw >= explorationFraction {
		return Chain{}, false
	}
	return Chain{FirstVersion: first, SecondVersion: options[finalIndex].Version, Threshold: AlwaysEscalate}, true
}

// RatingFraction returns the fraction of a key's answers to rate: 1 until requiredRatings are known, then the base fraction.
func RatingFraction(e *Evidence, key Key, base float64) float64 {
	if e.RatingWeight(key) < requiredRatings {
		return 1
	}
	return base
}
