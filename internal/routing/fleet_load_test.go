package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// The load: instances that know little of each other send prompts of very different lengths to engines of different speeds. An engine prefills
// prompts in chunks between the decode steps of its batch.
const (
	loadInstances, loadServers, loadSlots = 80, 70, 12
	loadDuration                          = 12 * time.Second
	chunkTokens                           = 4096
	prefillPerMs                          = 18.3
	stepBase, stepPerSlot                 = 8700 * time.Microsecond, 300 * time.Microsecond
	tokensPerEvent                        = 10
	loadGap                               = 2 * time.Second
)

type loadKind struct {
	name           string
	prompt, output int
	target         time.Duration
	weight         float64
}

// simRequest is a request at a server.
type simRequest struct {
	kind            *loadKind
	arrived         time.Duration
	left, produced  int
	first, previous time.Duration
	longestPause    time.Duration
}

func (r *simRequest) late() bool {
	return r.first == 0 || r.first-r.arrived > r.kind.target || r.longestPause > loadGap
}

// simServer is an engine: its batch, of which some prompts are not prefilled, and the requests that wait for a slot.
type simServer struct {
	id             string
	speed          float64
	batch, waiting []*simRequest
	busyUntil      time.Duration
}

// step runs one step of the batch, which ends at busyUntil.
func (s *simServer) step(now time.Duration) {
	for len(s.batch) < loadSlots && len(s.waiting) > 0 {
		s.batch, s.waiting = append(s.batch, s.waiting[0]), s.waiting[1:]
	}
	decoding := 0
	var prefilling *simRequest
	for _, r := range s.batch {
		if r.left > 0 && prefilling == nil {
			prefilling = r
		}
		if r.left == 0 {
			decoding++
		}
	}
	took := time.Duration(0)
	if decoding > 0 {
		took = stepBase + stepPerSlot*time.Duration(decoding)
	}
	if prefilling != nil {
		took += time.Duration(float64(min(chunkTokens, prefilling.left)) / prefillPerMs * float64(time.Millisecond))
	}
	end := now + time.Duration(float64(took)/s.speed)
	kept := s.batch[:0]
	for _, r := range s.batch {
		switch {
		case r == prefilling:
			r.left -= min(chunkTokens, r.left)
			if r.left == 0 {
				r.first, r.previous = end, end
			}
		case r.left == 0:
			if r.produced++; r.produced%tokensPerEvent == 0 {
				r.longestPause, r.previous = max(r.longestPause, end-r.previous), end
			}
		}
		if r.left > 0 || r.produced < r.kind.output {
			kept = append(kept, r)
		}
	}
	s.batch, s.busyUntil = kept, end
}

// usage returns what all instances together know of the server.
func (s *simServer) usage() FleetLoad {
	load := FleetLoad{Running: len(s.batch) + len(s.waiting), Slowdown: 1 / s.speed}
	for _, r := range append(append([]*simRequest{}, s.batch...), s.waiting...) {
		if r.left > 0 {
			load.PendingWork += int64(r.kind.prompt)
		} else {
			load.Streaming++
		}
	}
	return load
}

// playLoad places requests by the policy and returns the share of late ones by kind. viewAge is the time between two views of the servers; with
// a negative one the instances know only their own requests.
func playLoad(policy Policy, kindsAt func(now time.Duration) []loadKind, rate float64, viewAge time.Duration) map[string]float64 {
	rng := rand.New(rand.NewPCG(11, 7))
	servers := make([]*simServer, loadServers)
	for i := range servers {
		servers[i] = &simServer{id: fmt.Sprint("s", i), speed: []float64{0.6, 1, 1.6}[i%3]}
	}
	own := make([]map[int][]*simRequest, loadInstances)
	for i := range own {
		own[i] = map[int][]*simRequest{}
	}
	view, viewAt := make([]FleetLoad, loadServers), time.Duration(-time.Hour)
	sent, late := map[string]int{}, map[string]int{}
	var all []*simRequest
	for now, next := time.Duration(0), time.Duration(0); now < loadDuration; now += time.Millisecond {
		if viewAge >= 0 && now-viewAt >= viewAge {
			for i, s := range servers {
				view[i] = s.usage()
			}
			viewAt = now
		}
		for ; next <= now; next += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
			kind := drawKind(kindsAt(now), rng)
			r := &simRequest{kind: kind, arrived: now, left: kind.prompt}
			instance := rng.IntN(loadInstances)
			i := place(policy, r, servers, view, own[instance], rng)
			servers[i].waiting = append(servers[i].waiting, r)
			own[instance][i] = append(own[instance][i], r)
			all = append(all, r)
		}
		for _, s := range servers {
			if s.busyUntil <= now && len(s.batch)+len(s.waiting) > 0 {
				s.step(now)
			}
		}
	}
	for _, r := range all {
		if loadDuration-r.arrived > 2*time.Second {
			sent[r.kind.name]++
			if r.late() {
				late[r.kind.name]++
			}
		}
	}
	shares := map[string]float64{}
	for name, n := range sent {
		shares[name] = float64(late[name]) / float64(n)
	}
	return shares
}

func drawKind(kinds []loadKind, rng *rand.Rand) *loadKind {
	at := rng.Float64()
	for i := range kinds {
		if at -= kinds[i].weight; at < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// place chooses a server for a request of an instance.
func place(policy Policy, r *simRequest, servers []*simServer, view []FleetLoad, own map[int][]*simRequest, rng *rand.Rand) int {
	candidates := make([]Candidate, len(servers))
	index := make(map[string]int, len(servers))
	for i, s := range servers {
		candidates[i] = Candidate{ID: s.id, Slots: loadSlots, Fleet: view[i]}
		index[s.id] = i
	}
	for i, requests := range own {
		var running []*simRequest
		for _, r := range requests {
			if r.left > 0 || r.produced < r.kind.output {
				running = append(running, r)
				candidates[i].InFlight++
				if r.left > 0 {
					candidates[i].PendingTokens += r.kind.prompt
				}
			}
		}
		own[i] = running
	}
	choice, _ := policy.Choose(candidates, Request{PromptTokens: r.kind.prompt, WorkWeight: 1, TargetGap: loadGap}, time.Time{}, rng)
	return index[choice.Server]
}

// splitFilter divides the servers by hand: the first ones get the long prompts, the others the short ones.
type splitFilter struct{ longServers int }

// DropReason implements Filter.
func (f splitFilter) DropReason(c *Candidate, r *Request, _ time.Time) Reason {
	var number int
	if _, err := fmt.Sscanf(c.ID, "s%d", &number); err != nil || (number < f.longServers) != (r.PromptTokens > chunkTokens) {
		return ReasonNotLoaded
	}
	return ReasonNone
}

// bestSplit returns the late shares of the division of the servers by hand that makes the fewest requests late, chosen in hindsight.
func bestSplit(kindsAt func(time.Duration) []loadKind, rate float64, viewAge time.Duration) map[string]float64 {
	var best map[string]float64
	lowest := 2.0
	for _, longServers := range []int{14, 28, 42, 56} {
		policy := FleetPolicy()
		policy.Filters = append([]Filter{splitFilter{longServers}}, policy.Filters...)
		shares := playLoad(policy, kindsAt, rate, viewAge)
		if worst := highest(shares); worst < lowest {
			best, lowest = shares, worst
		}
	}
	return best
}

// highest returns the highest of the shares.
func highest(shares map[string]float64) float64 {
	worst := 0.0
	for _, share := range shares {
		worst = max(worst, share)
	}
	return worst
}

func loadKinds(weights ...float64) []loadKind {
	all := []loadKind{
		{name: "short", prompt: 826, output: 290, target: 2 * time.Second},
		{name: "medium", prompt: 2368, output: 22, target: 2 * time.Second},
		{name: "long", prompt: 12000, output: 380, target: 4 * time.Second},
		{name: "very long", prompt: 40000, output: 380, target: 4 * time.Second},
	}
	for i := range all {
		all[i].weight = weights[i]
	}
	return all
}

// Guards against long prompts that hold up short ones on the same server, and against placing by the few requests that an instance has itself.
// The baseline places by an instance's own requests; the oracle has a view without age and compares all servers; the split sets servers aside for
// long prompts. Callers need 95 in 100 on time, from no long prompts to only long ones and when the mix changes at once.
func TestFleetLoadKeepsLongAndShortPromptsOnTime(t *testing.T) {
	const maxLate, viewAge = 0.05, 300 * time.Millisecond
	always := func(kinds []loadKind) func(time.Duration) []loadKind {
		return func(time.Duration) []loadKind { return kinds }
	}
	fewLong, manyLong := loadKinds(0.5, 0.45, 0.05, 0), loadKinds(0.1, 0.4, 0.5, 0)
	oracle := FleetPolicy()
	oracle.Picker = LowestScore{}
	for name, c := range map[string]struct {
		kindsAt func(time.Duration) []loadKind
		// rate is the number of requests per second, three quarters or more of what the engines bear.
		rate float64
		// split is set if there are both kinds to divide the servers between.
		split bool
	}{
		"mixed":      {always(loadKinds(0.3, 0.42, 0.25, 0.03)), 115, true},
		"only short": {always(loadKinds(1, 0, 0, 0)), 210, false},
		"only long":  {always(loadKinds(0, 0, 1, 0)), 55, false},
		"jump": {func(now time.Duration) []loadKind {
			if now < loadDuration/2 {
				return fewLong
			}
			return manyLong
		}, 90, true},
	} {
		baseline := playLoad(PromptPolicy(), c.kindsAt, c.rate, -1)
		fleet := playLoad(FleetPolicy(), c.kindsAt, c.rate, viewAge)
		best := playLoad(oracle, c.kindsAt, c.rate, 0)
		var split map[string]float64
		if c.split {
			split = bestSplit(c.kindsAt, c.rate, viewAge)
		}
		t.Logf("%s, late shares: baseline %.3v, fleet %.3v, oracle %.3v, best split %.3v", name, baseline, fleet, best, split)
		if c.split && highest(fleet) > highest(split) {
			t.Errorf("%s: more requests are late than with servers set aside by hand", name)
		}
		for kind, late := range fleet {
			if late > maxLate || late > baseline[kind]/2 {
				t.Errorf("%s: %.3f of the %s requests are late, %.3f by the baseline", name, late, kind, baseline[kind])
			}
		}
	}
}

// Guards against instances that all choose the server that looked best in the last view: servers then get requests in bursts.
func TestInstancesSpreadOverTheBestServers(t *testing.T) {
	candidates := make([]Candidate, 100)
	for i := range candidates {
		candidates[i] = Candidate{ID: fmt.Sprint(i), Slots: loadSlots, Fleet: FleetLoad{Running: i % 10}}
	}
	rng := rand.New(rand.NewPCG(3, 4))
	chosen := map[string]int{}
	for range 200 {
		choice, _ := FleetPolicy().Choose(candidates, Request{PromptTokens: 1000, WorkWeight: 1}, time.Time{}, rng)
		chosen[choice.Server]++
	}
	for id, n := range chosen {
		if n > 200/4 {
			t.Errorf("server %s was chosen %d times by 200 instances", id, n)
		}
	}
}
