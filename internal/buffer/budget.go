// Package buffer bounds the memory of messages that are buffered until they are complete. Peers decide how long their messages are, and
// a faulty one may send bytes without end.
package buffer

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// initialBytes is the first reservation of a buffer. Most messages are shorter.
	initialBytes = 2 << 10
	// shortBytes is the length up to which a buffer may use all of the memory. Longer ones leave a part of it to the short ones
	// (1/shortFraction), and grow only while at least as much is free as they would hold then.
	shortBytes    = 32 << 10
	shortFraction = 4
)

// ErrFull means that a message would take more than its part of the memory for buffers.
var ErrFull = errors.New("no memory for a longer message")

// ErrTooLong means that a message is longer than its reader allows.
var ErrTooLong = errors.New("message is too long")

// Budget is the memory that all buffers of one kind may take together. It is safe for concurrent use.
type Budget struct {
	capacity int64
	used     atomic.Int64
}

// NewBudget returns a budget of capacity bytes.
func NewBudget(capacity int64) *Budget { return &Budget{capacity: capacity} }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is the memory of one buffer. It is not safe for concurrent use.
type Reservation struct {
	budget *Budget
	held   int64
}

// NewReservation returns a reservation of no bytes.
func (b *Budget) NewReservation() Reservation { return Reservation{budget: b} }

// Grow reserves memory for a buffer of size bytes in place of what is held. It returns ErrFull if too little would be left for others.
func (r *Reservation) Grow(size int) error {
	more := int64(size) - r.held
	if more <= 0 {
		return nil
	}
	used := r.budget.used.Add(more)
	if r.budget.capacity-used < r.budget.leftFree(int64(size)) {
		r.budget.used.Add(-more)
		return ErrFull
	}
	r.held = int64(size)
	return nil
}

// leftFree returns the memory that must be left free by a buffer of size bytes.
func (b *Budget) leftFree(size int64) int64 {
	if size <= shortBytes {
		return 0
	}
	return max(size, b.capacity/shortFraction)
}

// Release returns the memory to the budget. Further calls have no effect.
func (r *Reservation) Release() {
	r.budget.used.Add(-r.held)
	r.held = 0
}

// ReadAll reads a message to its end. It returns ErrTooLong for one of more than limit bytes, and ErrFull if the budget does not allow the
// message. The reservation covers the result.
func (r *Reservation) ReadAll(source io.Reader, limit int) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			size := min(max(initialBytes, 2*cap(data)), limit+1)
			if err := r.Grow(size); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		n, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case len(data) > limit:
			return nil, ErrTooLong
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}
