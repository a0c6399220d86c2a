package buffer

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// endless is a source of bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against messages without end that take all memory, and against short messages that find none because of them.
func TestEndlessMessagesLeaveMemoryForShortOnes(t *testing.T) {
	const capacity, limit, copies = 32 << 20, 8 << 20, 200
	budget := NewBudget(capacity)
	var endlessOnes []*Reservation
	for range copies {
		r := budget.NewReservation()
		if _, err := r.ReadAll(endless{}, limit); !errors.Is(err, ErrFull) && !errors.Is(err, ErrTooLong) {
			t.Fatalf("a message without end was read: %v", err)
		}
		endlessOnes = append(endlessOnes, &r)
		if used := budget.Used(); used > capacity {
			t.Fatalf("%d bytes are used, more than %d", used, capacity)
		}
	}
	short := budget.NewReservation()
	if data, err := short.ReadAll(strings.NewReader("short"), limit); err != nil || string(data) != "short" {
		t.Errorf("a short message beside %d without end: %q, %v", copies, data, err)
	}
	short.Release()
	for _, r := range endlessOnes {
		r.Release()
		r.Release()
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are still used at the end", used)
	}
}

// Guards against a message that is changed, cut off at the limit, or taken for complete although its source failed.
func TestReadAll(t *testing.T) {
	budget := NewBudget(1 << 20)
	for _, size := range []int{0, 1, initialBytes - 1, initialBytes, initialBytes + 1, 100_000} {
		want := bytes.Repeat([]byte("a"), size)
		r := budget.NewReservation()
		if got, err := r.ReadAll(bytes.NewReader(want), size); err != nil || !bytes.Equal(got, want) {
			t.Errorf("%d bytes: %d bytes, %v", size, len(got), err)
		}
		if size > 0 {
			if _, err := r.ReadAll(bytes.NewReader(want), size-1); !errors.Is(err, ErrTooLong) {
				t.Errorf("%d bytes with a limit of one less: %v", size, err)
			}
		}
		r.Release()
	}
	r := budget.NewReservation()
	if _, err := r.ReadAll(io.MultiReader(strings.NewReader("part"), brokenReader{}), 100); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("broken source: %v", err)
	}
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
