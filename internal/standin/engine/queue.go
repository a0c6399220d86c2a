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
// worker.Source; each worker of the pool processes one sequence of the batch.
type queueTable struct {
	maxWaiting int
	// ready holds at least one wake-up signal for each queued sequence.
	ready chan struct{}

	mu      *lockorder.Mutex
	waiting []*sequence
	running int
	history loadHistory
}

func newQueueTable(limit int) *queueTable {
	return &queueTable{maxWaiting: limit, ready: make(chan struct{}, limit), mu: lockorder.New(lockorder.RankStandin)}
}

// push adds a sequence and reports false if the queue is full.
func (t *queueTable) push(s *sequence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= t.maxWaiting {
		return false
	}
	index := sort.Search(len(t.waiting), func(i int) bool { return t.waiting[i].priority < s.priority })
	t.waiting = append(t.waiting, nil)
	copy(t.waiting[index+1:], t.waiting[index:])
	t.waiting[index] = s
	t.recordLocked()
	// A full channel holds enough signals for every waiting sequence.
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

// remove removes a waiting sequence from the queue and reports whether it was there.
func (t *queueTable) remove(s *sequence) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	index := slices.Index(t.waiting, s)
	if index < 0 {
		return false
	}
	t.waiting = slices.Delete(t.waiting, index, index+1)
	t.recordLocked()
	return true
}

// sequenceEnded records that a sequence of the batch ended.
func (t *queueTable) sequenceEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	t.recordLocked()
}

func (t *queueTable) recordLocked() { t.history.record(t.running, len(t.waiting), time.Now()) }

// loadAt returns the load at the given time.
func (t *queueTable) loadAt(when time.Time) loadSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.sampleAt(when)
}
