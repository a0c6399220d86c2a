package engine

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// queueTable is the bounded queue in front of the batch: higher priority first, then order of arrival. It implements
// worker.Source; the workers are the places of the batch.
type queueTable struct {
	limit int
	// ready holds one token for each queued sequence.
	ready chan struct{}

	mu      *lockorder.Mutex
	waiting []*sequence
	running int
	history loadHistory
}

func newQueueTable(limit int) *queueTable {
	return &queueTable{limit: limit, ready: make(chan struct{}, limit), mu: lockorder.New(lockorder.RankStandin)}
}

// push adds a sequence and reports false if the queue is full.
func (t *queueTable) push(s *sequence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= t.limit {
		return false
	}
	at := sort.Search(len(t.waiting), func(i int) bool { return t.waiting[i].priority < s.priority })
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[at+1:], t.waiting[at:])
	t.waiting[at] = s
	t.recordLocked()
	// A full channel holds enough tokens for every waiting sequence.
	select {
	case t.ready <- struct{}{}:
	default:
	}
	return true
}

// Next implements worker.Source.
func (t *queueTable) Next(ctx context.Context) (worker.Job, bool) {
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-t.ready:
		}
		if s := t.pop(); s != nil {
			return s, true
		}
	}
}

func (t *queueTable) pop() *sequence {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		return nil
	}
	s := t.waiting[0]
	t.waiting = t.waiting[1:]
	t.running++
	t.recordLocked()
	return s
}

// remove takes a waiting sequence out and reports whether it was there.
func (t *queueTable) remove(s *sequence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := slices.Index(t.waiting, s)
	if at < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, at, at+1)
	t.recordLocked()
	return true
}

// ended records that a sequence left the batch.
func (t *queueTable) ended() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.recordLocked()
}

func (t *queueTable) recordLocked() { t.history.record(t.running, len(t.waiting), time.Now()) }

// loadAt returns the load that held at the given time.
func (t *queueTable) loadAt(when time.Time) loadSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.at(when)
}
