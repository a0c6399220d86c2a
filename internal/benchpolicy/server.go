package benchpolicy

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/cicadawall/cicadawall/internal/engine/prefix"
)

// cacheBlocks bounds the prefix cache of a fake engine: 20 of the shared beginnings.
const cacheBlocks = 20 * 24

// attempt is one step of a request at a server.
type attempt struct {
	request *request
	model   int
	server  int
	sent    time.Duration
	// firstToken and done are the virtual times at the server.
	firstToken time.Duration
	done       time.Duration
	perToken   time.Duration
	// second is true for the second step of a chain.
	second bool
	// decided is when the confidence of a first answer is known, if that is before its end; ended means it was cancelled.
	decided time.Duration
	ended   bool
	rated   bool
}

// server is a fake engine: a batch, a queue and a prefix cache.
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

// arrive queues an attempt and starts it if the batch has a place.
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
	w.cacheEvents(a.server, s.evicted)
	cold := c.prefixBlocks + c.ownBlocks - cached
	a.firstToken = w.now + time.Duration(float64(m.prefill)*float64(cold)*(1+fill))
	a.perToken = decodeTime(m, fill)
	a.done = a.firstToken + time.Duration(c.outputTokens)*a.perToken
	w.at(a.done, func() { w.finish(s, a) })
	if w.early > 0 && !a.second && a.request.chain.TwoSteps() {
		w.decideEarly(s, a)
	}
}

func (w *world) finish(s *server, a *attempt) {
	if a.ended {
		return
	}
	w.free(s)
	w.answered(a)
}

// free gives a place in the batch to the next attempt in the queue.
func (w *world) free(s *server) {
	s.running--
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.start(s, next)
	}
}
