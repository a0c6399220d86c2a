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
	// placementHours is the length of a run; a decision is taken each placementRound seconds.
	placementHours = 24
	placementRound = 10
	// loadRounds is the time that an engine needs to load a version, in rounds.
	loadRounds = 9
	// loadsPerMinute is the rate of the weight store.
	loadsPerMinute = 2.0
	// demandNoise is the standard deviation of the demand from round to round, as a share.
	demandNoise = 0.10
)

// placementResult is the outcome of one run.
type placementResult struct {
	unserved float64 // share of the demand above the capacity of the loaded replicas
	loads    float64 // per day
	settled  float64 // rounds until the last move after a step of the demand; -1 if it did not settle
}

// mover decides the moves of one round.
type mover func(in placement.Input) []placement.Move

// forecasted returns a mover with the real decision on a smoothed demand.
func forecasted() mover {
	f := placement.NewForecast()
	return func(in placement.Input) []placement.Move {
		smooth := slices.Clone(in.Demands)
		for i := range smooth {
			smooth[i].ConcurrentRequests = f.Observe(smooth[i].Version, smooth[i].ConcurrentRequests)
		}
		in.Demands = smooth
		return decided(in)
	}
}

func decided(in placement.Input) []placement.Move { return placement.Decide(in).Moves }

func unmoved(placement.Input) []placement.Move { return nil }

// proportional is a baseline: it gives each version its exact share of the engines each round.
func proportional(in placement.Input) []placement.Move {
	total := 0.0
	for _, d := range in.Demands {
		total += d.ConcurrentRequests
	}
	var moves []placement.Move
	surplus, have := map[declaration.VersionID]int{}, map[declaration.VersionID]int{}
	for _, e := range in.Engines {
		have[e.LoadedVersions[0].Version]++
	}
	for _, d := range in.Demands {
		surplus[d.Version] = have[d.Version] - int(math.Max(1, math.Round(d.ConcurrentRequests/total*float64(len(in.Engines)))))
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

// Placement measures the placement of three versions on the engines of Parabole.
func Placement(out io.Writer, _ string, seeds int) error {
	fmt.Fprintf(out, "\n### Placement: 18 engines, 3 versions, %d hours, noise %.0f%%, %d seeds\n\n", placementHours, 100*demandNoise, seeds)
	fmt.Fprintln(out, "| demand | method | unserved % | loads a day | rounds until settled | not settled |")
	fmt.Fprintln(out, "|---|---|--:|--:|--:|--:|")
	methods := []struct {
		name string
		move func() mover
	}{
		{"placement with forecast", forecasted},
		{"placement without forecast", func() mover { return decided }},
		{"exact share each round", func() mover { return proportional }},
		{"fixed", func() mover { return unmoved }},
	}
	for _, step := range []bool{false, true} {
		demand := "day and night"
		if step {
			demand = "one step, then constant"
		}
		for _, m := range methods {
			var unserved, loads, settled []float64
			missed := 0
			for seed := range seeds {
				r := place(m.move(), step, uint64(seed))
				unserved, loads = append(unserved, 100*r.unserved), append(loads, r.loads)
				if r.settled < 0 {
					missed++
					continue
				}
				settled = append(settled, r.settled)
			}
			u, l, s := spreadOfValues(unserved), spreadOfValues(loads), spreadOfValues(settled)
			fmt.Fprintf(out, "| %s | %s | %.2f ± %.2f | %.0f ± %.0f | %.0f ± %.0f | %d |\n",
				demand, m.name, u.mean, u.deviation, l.mean, l.deviation, s.mean, s.deviation, missed)
		}
	}
	return nil
}

// place runs one series of rounds.
func place(move mover, step bool, seed uint64) placementResult {
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
	rounds := placementHours * 3600 / placementRound
	tokens, wanted, missing := 0.0, 0.0, 0.0
	lastMove := 0
	for round := range rounds {
		demands := demandsAt(rng, versions, round, rounds, step)
		for i := range engines {
			if loadingUntil[engines[i].ID] <= round {
				engines[i].LoadedVersions[0].Loading = false
			}
		}
		tokens = min(loadsPerMinute, tokens+loadsPerMinute*placementRound/60)
		for _, m := range move(placement.Input{Engines: engines, Demands: demands, LoadsAllowed: int(tokens)}) {
			i := slices.IndexFunc(engines, func(e placement.Engine) bool { return e.ID == m.Engine })
			engines[i].LoadedVersions = []placement.LoadedVersion{{Version: m.Load, Loading: true}}
			loadingUntil[m.Engine] = round + loadRounds
			tokens--
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
			wanted += d.ConcurrentRequests
			missing += max(0, d.ConcurrentRequests-capacity)
		}
	}
	out.unserved = missing / wanted
	out.settled = float64(lastMove)
	if lastMove > rounds/2 {
		out.settled = -1
	}
	return out
}

// demandsAt returns the demand in concurrent requests: 60% of all engines' capacity, moving between the versions.
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
