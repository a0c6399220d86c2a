package buffer

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/overload"
)

// ErrEvicted means that a body gave way to others, because it arrived more slowly than they did.
var ErrEvicted = errors.New("the body gave way to bodies that arrive faster")

// Reasons for which a body gets no memory, as they appear in metrics.
const (
	ReasonSlowBody = "slow_body"
	ReasonNoMemory = "no_body_memory"
)

// Interrupter ends the reading of a body whose bytes are awaited.
type Interrupter interface {
	Interrupt()
}

// Bodies is the memory that the request bodies of all callers may take together. When it is used up, the slowest bodies that are being received
// give way; one that was read completely keeps its memory until it is released. It is safe for concurrent use.
type Bodies struct {
	capacity int64
	grace    time.Duration
	// onEvict is told the reason for each body that gets no memory.
	onEvict func(reason string)

	mu   *lockorder.Mutex
	used int64
	// evicting is the part of used that evicted bodies have not released yet.
	evicting  int64
	receiving []*Body
	// changed is closed, and replaced, when evicted bodies have released memory or were interrupted.
	changed chan struct{}
}

// NewBodies returns a memory of capacity bytes. A body does not give way within the grace period after it began.
func NewBodies(capacity int64, grace time.Duration, onEvict func(reason string)) *Bodies {
	return &Bodies{capacity: capacity, grace: grace, onEvict: onEvict, mu: lockorder.New(lockorder.RankBodies), changed: make(chan struct{})}
}

// Used returns the bytes that are reserved.
func (b *Bodies) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Body is the memory of one body. Only one goroutine may use it.
type Body struct {
	bodies      *Bodies
	interrupter Interrupter
	since       time.Time
	received    atomic.Int64
	// The following fields are guarded by the lock of bodies.
	held                 int64
	index                int
	receiving            bool
	evicted, interrupted bool
}

// Begin returns a body that begins to arrive now. The interrupter must end a Read of its source; it is not called after ReadAll has returned.
func (b *Bodies) Begin(interrupter Interrupter) *Body {
	return &Body{bodies: b, interrupter: interrupter, since: time.Now()}
}

// ReadAll reads the body to its end. length is its announced length, or negative. Memory is reserved as bytes arrive. It returns ErrTooLong for
// more than limit bytes, ErrFull if no other body gives way to this one, and ErrEvicted if this one gave way; after an error it holds no memory.
func (m *Body) ReadAll(source io.Reader, length int64, limit int) ([]byte, error) {
	var parts segments
	defer parts.release()
	err := m.readSegments(&parts, source, length, limit)
	if endErr := m.end(); err == nil || endErr != nil {
		err = endErr
	}
	if err == nil && len(parts.pooled) > 0 {
		err = m.reserve(int64(parts.length), true)
	}
	if err != nil {
		m.Release()
		return nil, err
	}
	if len(parts.pooled) == 0 {
		return parts.initial, nil
	}
	data := parts.join()
	m.free(m.held - int64(len(data)))
	return data, nil
}

// readSegments reads the body into segments.
func (m *Body) readSegments(parts *segments, source io.Reader, length int64, limit int) error {
	longest := limit + 1
	if length >= 0 && length < int64(longest) {
		// One more byte lets the end be read without another segment.
		longest = int(length) + 1
	}
	for {
		segment := parts.last()
		if len(*segment) == cap(*segment) {
			size := parts.nextSize(longest)
			if err := m.reserve(int64(size), false); err != nil {
				return err
			}
			parts.add(size)
			segment = parts.last()
		}
		n, err := source.Read((*segment)[len(*segment):cap(*segment)])
		*segment = (*segment)[:len(*segment)+n]
		parts.length += n
		m.received.Store(int64(parts.length))
		switch {
		case parts.length > limit:
			return ErrTooLong
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// reserve adds size bytes to those that the body holds. It waits for the memory of bodies that give way. A body that was read completely may
// use all of the memory and does not give way.
func (m *Body) reserve(size int64, complete bool) error {
	for {
		changed, victims, err := m.tryReserve(size, complete)
		if err == ErrFull {
			m.bodies.onEvict(ReasonNoMemory)
		}
		if changed == nil || err != nil {
			return err
		}
		m.bodies.interrupt(victims)
		<-changed
	}
}

// tryReserve reserves the memory. If it must be awaited, it returns the channel that is closed at the next change, and the bodies that it has
// evicted and that must be interrupted.
func (m *Body) tryReserve(size int64, complete bool) (<-chan struct{}, []*Body, error) {
	b := m.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.evicted {
		return nil, nil, ErrEvicted
	}
	missing := b.used + size - b.capacity
	if !complete {
		missing += b.leftFree(m.held + size)
	}
	if missing <= 0 {
		b.used += size
		m.held += size
		if !complete {
			b.add(m)
		}
		return nil, nil, nil
	}
	if missing <= b.evicting {
		return b.changed, nil, nil
	}
	now := time.Now()
	needing := m.progress(now)
	if complete {
		needing.Age = 0
	}
	victims := b.evict(m, needing, missing-b.evicting, now)
	if victims == nil {
		return nil, nil, ErrFull
	}
	return b.changed, victims, nil
}

// leftFree returns the memory that must be left free by a body of size bytes.
func (b *Bodies) leftFree(size int64) int64 {
	if size <= shortBytes {
		return 0
	}
	return max(size, b.capacity/shortFraction)
}

// evict takes the bodies that give way to the body m out of those that are being received. The lock must be held.
func (b *Bodies) evict(m *Body, needing overload.Progress, missing int64, now time.Time) []*Body {
	candidates := make([]overload.Body, len(b.receiving))
	for i, body := range b.receiving {
		if body != m {
			candidates[i] = overload.Body{Held: body.held, Progress: body.progress(now)}
		}
	}
	var victims []*Body
	for _, i := range overload.SelectBodies(candidates, needing, missing, b.grace) {
		victims = append(victims, b.receiving[i])
	}
	for _, victim := range victims {
		b.remove(victim)
		victim.evicted = true
		b.evicting += victim.held
	}
	return victims
}

func (m *Body) progress(now time.Time) overload.Progress {
	return overload.Progress{Age: now.Sub(m.since), Received: m.received.Load()}
}

// interrupt ends the reading of evicted bodies.
func (b *Bodies) interrupt(victims []*Body) {
	if len(victims) == 0 {
		return
	}
	for _, victim := range victims {
		victim.interrupter.Interrupt()
		b.onEvict(ReasonSlowBody)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, victim := range victims {
		victim.interrupted = true
	}
	b.broadcast()
}

// end takes the body out of those that are being received. If it was evicted, it waits until its interrupter has been called.
func (m *Body) end() error {
	for {
		changed, evicted := m.tryEnd()
		switch {
		case !evicted:
			return nil
		case changed == nil:
			return ErrEvicted
		}
		<-changed
	}
}

// tryEnd returns whether the body was evicted and, until it was interrupted, the channel that is closed at the next change.
func (m *Body) tryEnd() (<-chan struct{}, bool) {
	b := m.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !m.evicted:
		b.remove(m)
		return nil, false
	case m.interrupted:
		return nil, true
	default:
		return b.changed, true
	}
}

// free returns a part of the held memory.
func (m *Body) free(size int64) {
	if size == 0 {
		return
	}
	b := m.bodies
	b.mu.Lock()
	defer b.mu.Unlock()
	m.held -= size
	b.used -= size
	if m.evicted {
		b.evicting -= size
		b.broadcast()
	}
}

// Release returns the memory. Further calls have no effect.
func (m *Body) Release() { m.free(m.held) }

// add and remove maintain the list of the bodies that are being received; broadcast wakes those that wait for a change. The lock must be held.
func (b *Bodies) add(m *Body) {
	if !m.receiving {
		m.receiving, m.index = true, len(b.receiving)
		b.receiving = append(b.receiving, m)
	}
}

func (b *Bodies) remove(m *Body) {
	if !m.receiving {
		return
	}
	last := b.receiving[len(b.receiving)-1]
	last.index = m.index
	b.receiving[m.index] = last
	b.receiving = slices.Delete(b.receiving, len(b.receiving)-1, len(b.receiving))
	m.receiving = false
}

func (b *Bodies) broadcast() {
	close(b.changed)
	b.changed = make(chan struct{})
}
