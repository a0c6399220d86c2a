package benchpolicy

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/engine/prefix"
)

// cacheBlocks is the capacity of a simulated engine's prefix cache: 20 shared prefixes of 24 blocks.
const cacheBlocks = 20 * 24

// attempt is the execution of one step of a request on a server.
type attempt struct {
	request *request
	model   int
	server  int
	sentAt  time.Duration
	// firstTokenAt and doneAt are virtual times at the server.
	firstTokenAt time.Duration
	doneAt       time.Duration
	interToken   time.Duration
	// escalated is true for the second step of a chain.
	escalated bool
	// decidedAt is the time at which the confidence of a first answer is known, or zero if it is known only at the end of the
	// answer. cancelled is true if the attempt was cancelled at that time because the request escalated.
	decidedAt time.Duration
	cancelled bool
	rated     bool
}

// server is a simulated engine with a batch, a queue and a prefix cache.
type server struct {
	id      string
	zone    string
	model   int
	running int
	queue   []*attempt
	cache   *simplelru.LRU[prefix.Block, struct{}]
	evicted []prefix.Block
}

func newServer(id, zone string, model int) *server {
	s := &server{id: id, zone: zone, model: model}
	// NewLRU fails only for a size below 1.
	s.cache, _ = simplelru.NewLRU(cacheBlocks, func(b prefix.Block, _ struct{}) { s.evicted = append(s.evicted, b) })
	return s
}

// arrive starts an attempt if the batch has a free slot and queues it otherwise.
func (w *world) arrive(a *attempt) {
	s := w.servers[a.server]
	if s.running >= batchCapacity {
		s.queue = append(s.queue, a)
		w.result.longestQueue = max(w.result.longestQueue, float64(len(s.queue)))
		return
	}
	w.start(s, a)
}

func (w *world) start(s *server, a *attempt) {
	s.running++
	fill := float64(s.running) / batchCapacity
	m, c := &w.site.models[a.model], &w.site.classes[a.request.class]
	blocks := w.prefixBlocks(a.model, a.request.prefix)
	cached := 0
	for cached < len(blocks) && s.cache.Contains(blocks[cached]) {
		cached++
	}
	s.evicted = s.evicted[:0]
	for _, b := range blocks {
		s.cache.Add(b, struct{}{})
	}
	w.sendCacheEvents(a.server, s.evicted)
	cold := c.prefixBlocks + c.uniqueBlocks - cached
	a.firstTokenAt = w.now + time.Duration(float64(m.prefillPerBlock)*float64(cold)*(1+fill))
	a.interToken = decodeTime(m, fill)
	a.doneAt = a.firstTokenAt + time.Duration(c.outputTokens)*a.interToken
	w.schedule(a.doneAt, func() { w.finish(s, a) })
	if w.confidenceTokens > 0 && !a.escalated && a.request.chain.TwoSteps() {
		w.decideEarly(s, a)
	}
}

func (w *world) finish(s *server, a *attempt) {
	if a.cancelled {
		return
	}
	w.releaseSlot(s)
	w.completeAttempt(a)
}

// releaseSlot frees a slot in the batch and starts the next queued attempt in it.
func (w *world) releaseSlot(s *server) {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(s, next)
	}
}
