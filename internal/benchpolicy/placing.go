package benchpolicy

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/placement"
)

const (
	// placementHours is the length of a run; placement is decided every placementRoundSeconds.
	placementHours        = 24
	placementRoundSeconds = 10
	// loadRounds is the time that an engine needs to load a version, in rounds.
	loadRounds = 9
	// loadsPerMinute is the number of loads per minute that the weight store can serve.
	loadsPerMinute = 2.0
	// demandNoise is the standard deviation of the demand from round to round, as a fraction of the demand.
	demandNoise = 0.10
)

type placementResult struct {
	unservedFraction float64 // fraction of the demand above the capacity of the loaded replicas
	loads            float64 // per day
	settledRounds    float64 // rounds until the last move after a step of the demand; -1 if it did not settle
}

// moveFunc decides the moves of one round.
type moveFunc func(in placement.Input) []placement.Move

// withForecast returns a moveFunc that runs the production placement decision on the smoothed demand.
func withForecast() moveFunc {
	f := placement.NewForecast()
	return func(in placement.Input) []placement.Move {
		smooth := slices.Clone(in.Demands)
		for i := range smooth {
			smooth[i].ConcurrentRequests = f.Observe(smooth[i].Version, smooth[i].ConcurrentRequests)
		}
		in.Demands = smooth
		return withoutForecast(in)
	}
}

func withoutForecast(in placement.Input) []placement.Move { return placement.Decide(in).Moves }

func noMoves(placement.Input) []placement.Move { return nil }

// proportional is a baseline that assigns the engines in exact proportion to the demand for each version in every round.
func proportional(in placement.Input) []placement.Move {
	total := 0.0
	for _, d := range in.Demands {
		total += d.ConcurrentRequests
	}
	var moves []placement.Move
	surplus, current := map[declaration.VersionID]int{}, map[declaration.VersionID]int{}
	for _, e := range in.Engines {
		current[e.LoadedVersions[0].Version]++
	}
	for _, d := range in.Demands {
		surplus[d.Version] = current[d.Version] - int(math.Max(1, math.Round(d.ConcurrentRequests/total*float64(len(in.Engines)))))
	}
	for _, e := range in.Engines {
		from := e.LoadedVersions[0]
		if from.Loading || surplus[from.Version] <= 0 || len(moves) >= in.LoadsAllowed {
			continue
		}
		for _, d := range in.Demands {
			if surplus[d.Version] < 0 {
				surplus[d.Version]++
				surplus[from.Version]--
				moves = append(moves, placement.Move{Engine: e.ID, Unload: from.Version, Load: d.Version})
				break
			}
		}
	}
	return moves
}

// Placement measures the placement of three versions on the engines of the Parabole site.
func Placement(out io.Writer, _ string, seeds int) error {
	fmt.Fprintf(out, "\n### Placement: 18 engines, 3 versions, %d hours, noise %.0f%%, %d seeds\n\n", placementHours, 100*demandNoise, seeds)
	fmt.Fprintln(out, "| demand | method | unserved % | loads a day | rounds until settled | not settled |")
	fmt.Fprintln(out, "|---|---|--:|--:|--:|--:|")
	methods := []struct {
		name string
		move func() moveFunc
	}{
		{"placement with forecast", withForecast},
		{"placement without forecast", func() moveFunc { return withoutForecast }},
		{"exact share each round", func() moveFunc { return proportional }},
		{"fixed", func() moveFunc { return noMoves }},
	}
	for _, step := range []bool{false, true} {
		demand := "day and night"
		if step {
			demand = "one step, then constant"
		}
		for _, m := range methods {
			var unserved, loads, settledRounds []float64
			missed := 0
			for seed := range seeds {
				r := simulatePlacement(m.move(), step, uint64(seed))
				unserved, loads = append(unserved, 100*r.unservedFraction), append(loads, r.loads)
				if r.settledRounds < 0 {
					missed++
					continue
				}
				settledRounds = append(settledRounds, r.settledRounds)
			}
			u, l, s := statsOfValues(unserved), statsOfValues(loads), statsOfValues(settledRounds)
			fmt.Fprintf(out, "| %s | %s | %.2f ± %.2f | %.0f ± %.0f | %.0f ± %.0f | %d |\n",
				demand, m.name, u.mean, u.stddev, l.mean, l.stddev, s.mean, s.stddev, missed)
		}
	}
	return nil
}

// simulatePlacement simulates placement for placementHours.
func simulatePlacement(move moveFunc, step bool, seed uint64) placementResult {
	rng := rand.New(rand.NewPCG(seed, 9))
	site := parabole()
	versions := site.models
	var engines []placement.Engine
	for i := range 18 {
		engines = append(engines, placement.Engine{
			ID: fmt.Sprintf("engine-%02d", i), Zone: site.zone(i), Slots: 1, Capacity: batchCapacity,
			LoadedVersions: []placement.LoadedVersion{{Version: versions[i%len(versions)].version, WarmBlocks: rng.IntN(cacheBlocks)}},
		})
	}
	loadingUntil := map[string]int{}
	var out placementResult
	rounds := placementHours * 3600 / placementRoundSeconds
	loadTokens, totalDemand, unservedDemand := 0.0, 0.0, 0.0
	lastMove := 0
	for round := range rounds {
		demands := demandsAt(rng, versions, round, rounds, step)
		for i := range engines {
			if loadingUntil[engines[i].ID] <= round {
				engines[i].LoadedVersions[0].Loading = false
			}
		}
		loadTokens = min(loadsPerMinute, loadTokens+loadsPerMinute*placementRoundSeconds/60)
		for _, m := range move(placement.Input{Engines: engines, Demands: demands, LoadsAllowed: int(loadTokens)}) {
			i := slices.IndexFunc(engines, func(e placement.Engine) bool { return e.ID == m.Engine })
			engines[i].LoadedVersions = []placement.LoadedVersion{{Version: m.Load, Loading: true}}
			loadingUntil[m.Engine] = round + loadRounds
			loadTokens--
			out.loads++
			lastMove = round
		}
		for _, d := range demands {
			capacity := 0.0
			for _, e := range engines {
				if e.LoadedVersions[0].Version == d.Version && !e.LoadedVersions[0].Loading {
					capacity += e.Capacity
				}
			}
			totalDemand += d.ConcurrentRequests
			unservedDemand += max(0, d.ConcurrentRequests-capacity)
		}
	}
	out.unservedFraction = unservedDemand / totalDemand
	out.settledRounds = float64(lastMove)
	if lastMove > rounds/2 {
		out.settledRounds = -1
	}
	return out
}

// demandsAt returns the demand for each version in concurrent requests. The total is 60% of the capacity of all engines; unless
// step is set, demand shifts between the versions over the day.
func demandsAt(rng *rand.Rand, versions []model, round, rounds int, step bool) []placement.Demand {
	const total = 0.6 * 18 * batchCapacity
	shares := []float64{0.6, 0.15, 0.25}
	if !step {
		swing := 0.25 * math.Sin(2*math.Pi*float64(round)/float64(rounds))
		shares = []float64{0.35 + swing, 0.3, 0.35 - swing}
	}
	var out []placement.Demand
	for i := range versions {
		noisy := total * shares[i] * math.Max(0, 1+demandNoise*rng.NormFloat64())
		out = append(out, placement.Demand{Version: versions[i].version, ConcurrentRequests: noisy, MinReplicas: 1})
	}
	return out
}
