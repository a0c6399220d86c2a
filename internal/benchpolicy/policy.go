package benchpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// policy decides where a request runs. first returns the chain and the server of its first step; second the server of the
// second step. A server of -1 refuses the request.
type policy struct {
	name  string
	first func(w *world, r *request) int
	// learns is true if answers are rated and the ratings used.
	learns bool
}

// policies returns the real decisions and the baselines.
func policies() []policy {
	return []policy{
		{"cicadawall", chooseFirst, true},
		{"always best", func(w *world, r *request) int { return w.fixed(r, len(w.site.models)-1) }, false},
		{"always cheapest", func(w *world, r *request) int { return w.fixed(r, w.cheapestAllowed(r)) }, false},
		{"fixed split", fixedSplit, false},
		{"round robin", roundRobin, false},
		{"least outstanding", func(w *world, r *request) int { return w.least(r, -1) }, false},
		{"session hash", sessionHash, false},
	}
}

// serverPolicies are the choices of a server when all servers run one model.
func serverPolicies() []policy {
	return []policy{
		{"cicadawall", func(w *world, r *request) int { return w.routed(r, 0) }, false},
		{"least outstanding", func(w *world, r *request) int { return w.least(r, -1) }, false},
		{"round robin", roundRobin, false},
		{"session hash", sessionHash, false},
	}
}

// allowed reports whether the organisation may use the model.
func (w *world) allowed(r *request, model int) bool {
	return len(w.site.models) == 1 || r.organisation != restricted || model != smallModel
}

func (w *world) cheapestAllowed(r *request) int {
	if w.allowed(r, smallModel) {
		return smallModel
	}
	return smallModel + 1
}

// fixed runs a model on the server with least outstanding requests.
func (w *world) fixed(r *request, model int) int { return w.least(r, model) }

// fixedSplit sends the share to the large model that just reaches the target, computed from the true qualities.
func fixedSplit(w *world, r *request) int {
	small, large := w.site.models[smallModel].quality(), w.site.models[largeModel].quality()
	share := (w.site.quality - small) / (large - small)
	if w.rng.Float64() < share {
		return w.fixed(r, largeModel)
	}
	return w.fixed(r, w.cheapestAllowed(r))
}

// quality is the true mean quality.
func (m *model) quality() float64 { return (1-hardShare)*m.easyQuality + hardShare*m.hardQuality }

// least returns the server with least outstanding requests of this instance, of one model or (with -1) of any allowed model.
func (w *world) least(r *request, model int) int {
	in, best := w.instances[r.instance], -1
	offset := w.rng.IntN(len(w.servers))
	for k := range w.servers {
		i := (k + offset) % len(w.servers)
		m := w.servers[i].model
		if model >= 0 && m != model || !w.allowed(r, m) {
			continue
		}
		if best < 0 || in.candidates[i].InFlight < in.candidates[best].InFlight {
			best = i
		}
	}
	return w.only(r, best)
}

// only sets a chain of one step, the model of the server.
func (w *world) only(r *request, server int) int {
	r.chain = cascade.Chain{FirstVersion: w.site.models[w.servers[server].model].version}
	return server
}

func roundRobin(w *world, r *request) int {
	in := w.instances[r.instance]
	for {
		in.next = (in.next + 1) % len(w.servers)
		if w.allowed(r, w.servers[in.next].model) {
			return w.only(r, in.next)
		}
	}
}

func sessionHash(w *world, r *request) int {
	var best uint64
	server := -1
	for i, s := range w.servers {
		weight := xxhash.Sum64String(s.id) ^ r.session*0x9E3779B97F4A7C15
		weight *= 0xFF51AFD7ED558CCD
		if w.allowed(r, s.model) && (server < 0 || weight > best) {
			best, server = weight, i
		}
	}
	return w.only(r, server)
}

// decisionKey names the requests for which one decision on the chain holds for a second.
type decisionKey struct {
	class      int
	restricted bool
	second     time.Duration
}

// chooseFirst applies the real decisions.
func chooseFirst(w *world, r *request) int {
	key := decisionKey{r.class, r.organisation == restricted, w.now / time.Second}
	options := w.options(r)
	request := w.target(r)
	decision, ok := w.decisions[key]
	if !ok {
		decision = cascade.Choose(w.evidence, request, options)
		w.decisions[key] = decision
	}
	if decision.Unmet != cascade.UnmetNone {
		w.result.unmet++
	}
	r.decision, r.chain = decision, decision.Chain
	if chain, ok := cascade.Explore(w.evidence, decision, request, options, w.rng); ok {
		r.chain, r.explored = chain, true
	}
	return w.routed(r, w.modelOf(r.chain.FirstVersion))
}

func (w *world) target(r *request) cascade.Targets {
	c := &w.site.classes[r.class]
	return cascade.Targets{Class: c.name, MinQuality: w.site.quality, TimeToFirstToken: c.firstToken, TimeToDeadline: c.deadline}
}

// options predicts from the nominal speed of a batch that is 70% full.
func (w *world) options(r *request) []cascade.Option {
	const fill = 0.7
	c := &w.site.classes[r.class]
	var options []cascade.Option
	for i := range w.site.models {
		m := &w.site.models[i]
		if !w.allowed(r, i) || w.held[i] {
			continue
		}
		total := w.site.serviceTime(m, c, fill)
		option := cascade.Option{
			Version: m.version, ExpectedQuality: m.expectedQuality, Cost: cost(m, c),
			TimeToFirstToken: total - time.Duration(c.outputTokens)*decodeTime(m, fill), TotalTime: total,
		}
		if w.early > 0 {
			option.TimeToConfidence = option.TimeToFirstToken + time.Duration(min(w.early, c.outputTokens))*decodeTime(m, fill)
		}
		options = append(options, option)
	}
	return options
}

// routed chooses a server of the model with the real decision.
func (w *world) routed(r *request, model int) int {
	in := w.instances[r.instance]
	blocks := w.prefixBlocks(model, r.prefix)
	in.index.MarkCachedBlocks(in.candidates, blocks)
	request := routing.Request{Version: w.site.models[model].version, Zone: in.zone}
	choice, _ := routing.Choose(in.candidates, request, w.clock(), w.rng)
	if len(w.site.models) == 1 {
		r.chain = cascade.Chain{FirstVersion: request.Version}
	}
	for i := range in.candidates {
		if in.candidates[i].ID == choice.Server {
			in.index.AddBlocks(choice.Server, blocks)
			return i
		}
	}
	return -1
}

func (w *world) modelOf(version declaration.VersionID) int {
	for i := range w.site.models {
		if w.site.models[i].version == version {
			return i
		}
	}
	return -1
}
