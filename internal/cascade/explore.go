package cascade

import (
	"math/rand/v2"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

const (
	// AlwaysEscalate is a threshold that no confidence reaches.
	AlwaysEscalate = 2.0
	// exploreShare is the share of requests on which a cheaper version runs first and is rated but not used.
	exploreShare = 0.02
	// learnShare is that share while a cheaper version has fewer than learnRatings ratings in the class. A first step at a
	// twentieth of the cost adds 1% to the cost meanwhile.
	learnShare = 0.2
	// learnRatings is the number of ratings that a first choice of chain needs; until then every answer is rated.
	learnRatings = 500
)

// Explore returns, for a small share of requests, a chain that runs the cheaper version with fewest ratings first and
// always continues with the decision's last version. The caller loses nothing but time; rate every answer of the chain.
func Explore(e *Evidence, d Decision, r Request, options []Option, rng *rand.Rand) (Chain, bool) {
	draw := rng.Float64()
	if draw >= learnShare {
		return Chain{}, false
	}
	last := slices.IndexFunc(options, func(o Option) bool { return o.Version == d.Chain.Last() })
	if last < 0 {
		return Chain{}, false
	}
	var first declaration.VersionID
	fewest := -1.0
	for i := range options {
		if options[i].Cost >= options[last].Cost || !inTime(r, &options[i], &options[last], 1) {
			continue
		}
		ratings := e.Ratings(Key{Class: r.Class, Version: options[i].Version})
		if fewest < 0 || ratings < fewest {
			first, fewest = options[i].Version, ratings
		}
	}
	if fewest < 0 || fewest >= learnRatings && draw >= exploreShare {
		return Chain{}, false
	}
	return Chain{First: first, Second: options[last].Version, Threshold: AlwaysEscalate}, true
}

// RatingShare returns the share of answers of a key to rate: all until learnRatings are known, then the base share.
func RatingShare(e *Evidence, key Key, base float64) float64 {
	if e.Ratings(key) < learnRatings {
		return 1
	}
	return base
}
