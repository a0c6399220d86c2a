package benchpolicy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/routing"
)

// policy decides where a request runs. chooseFirstStep sets the chain of the request and returns the server for its first step;
// a server of -1 means that the request is refused.
type policy struct {
	name            string
	chooseFirstStep func(w *world, r *request) int
	// usesRatings is true if answers are rated and the policy learns quality from the ratings.
	usesRatings bool
}

// policies returns the policy that runs the production decision code, followed by the baselines.
func policies() []policy {
	return []policy{
		{"cicadawall", chooseChain, true},
		{"always best", func(w *world, r *request) int { return w.sendToModel(r, len(w.site.models)-1) }, false},
		{"always cheapest", func(w *world, r *request) int { return w.sendToModel(r, w.cheapestAllowed(r)) }, false},
		{"fixed split", fixedSplit, false},
		{"round robin", roundRobin, false},
		{"least outstanding", func(w *world, r *request) int { return w.leastOutstanding(r, -1) }, false},
		{"session hash", sessionHash, false},
	}
}

// serverPolicies returns the policies that choose a server when all servers run the same model.
func serverPolicies() []policy {
	return []policy{
		{"cicadawall", func(w *world, r *request) int { return w.routeToModel(r, 0) }, false},
		{"least outstanding", func(w *world, r *request) int { return w.leastOutstanding(r, -1) }, false},
		{"round robin", roundRobin, false},
		{"session hash", sessionHash, false},
	}
}

// allowed reports whether the organisation may use the model.
func (w *world) allowed(r *request, model int) bool {
	return len(w.site.models) == 1 || r.organisation != restrictedOrganisation || model != smallModel
}

func (w *world) cheapestAllowed(r *request) int {
	if w.allowed(r, smallModel) {
		return smallModel
	}
	return smallModel + 1
}

// sendToModel chooses the server of a model with the fewest outstanding requests.
func (w *world) sendToModel(r *request, model int) int { return w.leastOutstanding(r, model) }

// fixedSplit sends a fixed fraction of requests to the large model: the smallest that reaches the quality target, computed from
// the true qualities.
func fixedSplit(w *world, r *request) int {
	small, large := w.site.models[smallModel].meanQuality(), w.site.models[largeModel].meanQuality()
	largeFraction := (w.site.qualityTarget - small) / (large - small)
	if w.rng.Float64() < largeFraction {
		return w.sendToModel(r, largeModel)
	}
	return w.sendToModel(r, w.cheapestAllowed(r))
}

// meanQuality returns the true mean quality over easy and hard requests.
func (m *model) meanQuality() float64 {
	return (1-hardFraction)*m.easyQuality + hardFraction*m.hardQuality
}

// leastOutstanding returns the server with the fewest outstanding requests of this instance, among the servers of one model or,
// if model is -1, of all allowed models.
func (w *world) leastOutstanding(r *request, model int) int {
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
	return w.setSingleStepChain(r, best)
}

// setSingleStepChain sets a chain whose only step is the model of the server, and returns the server.
func (w *world) setSingleStepChain(r *request, server int) int {
	r.chain = cascade.Chain{FirstVersion: w.site.models[w.servers[server].model].version}
	return server
}

func roundRobin(w *world, r *request) int {
	in := w.instances[r.instance]
	for {
		in.nextServer = (in.nextServer + 1) % len(w.servers)
		if w.allowed(r, w.servers[in.nextServer].model) {
			return w.setSingleStepChain(r, in.nextServer)
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
	return w.setSingleStepChain(r, server)
}

// decisionKey identifies the requests that share a cached decision on the chain: same class, same restriction, same second.
type decisionKey struct {
	class      int
	restricted bool
	second     time.Duration
}

// chooseChain chooses the chain and the first server with the production decision code.
func chooseChain(w *world, r *request) int {
	key := decisionKey{r.class, r.organisation == restrictedOrganisation, w.now / time.Second}
	options := w.options(r)
	request := w.targets(r)
	decision, ok := w.decisions[key]
	if !ok {
		decision = cascade.Choose(w.evidence, request, options)
		w.decisions[key] = decision
	}
	if decision.Unmet != cascade.UnmetNone {
		w.result.unmetTargets++
	}
	r.decision, r.chain = decision, decision.Chain
	if chain, ok := cascade.Explore(w.evidence, decision, request, options, w.rng); ok {
		r.chain, r.explored = chain, true
	}
	return w.routeToModel(r, w.modelOf(r.chain.FirstVersion))
}

func (w *world) targets(r *request) cascade.Targets {
	c := &w.site.classes[r.class]
	return cascade.Targets{Class: c.name, MinQuality: w.site.qualityTarget, TimeToFirstToken: c.firstTokenTarget, TimeToDeadline: c.deadline}
}

// options returns the versions to choose from, with times predicted from the nominal speed of a batch that is 70% full.
func (w *world) options(r *request) []cascade.Option {
	const fill = 0.7
	c := &w.site.classes[r.class]
	var options []cascade.Option
	for i := range w.site.models {
		m := &w.site.models[i]
		if !w.allowed(r, i) || w.quarantined[i] {
			continue
		}
		total := w.site.serviceTime(m, c, fill)
		option := cascade.Option{
			Version: m.version, ExpectedQuality: m.expectedQuality, Cost: answerCost(m, c),
			TimeToFirstToken: total - time.Duration(c.outputTokens)*decodeTime(m, fill), TotalTime: total,
		}
		if w.confidenceTokens > 0 {
			option.TimeToConfidence = option.TimeToFirstToken + time.Duration(min(w.confidenceTokens, c.outputTokens))*decodeTime(m, fill)
		}
		options = append(options, option)
	}
	return options
}

// routeToModel chooses a server of the model with the production decision code.
func (w *world) routeToModel(r *request, model int) int {
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
