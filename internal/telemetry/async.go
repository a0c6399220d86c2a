package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// maxPendingBytes bounds the buffered lines that are not yet written. A busy instance logs about as much in a second.
	maxPendingBytes = 1 << 20
	// flushDelay is the time between the first buffered line and the write, so that one write covers several lines.
	flushDelay = 100 * time.Millisecond
)

// AsyncWriter buffers lines and writes them in the background, so that a slow output never blocks its callers. Lines that
// exceed the buffer are dropped and counted.
type AsyncWriter struct {
	out io.Writer

	mu                *lockorder.Mutex
	pending           []byte
	droppedSinceFlush int
	droppedTotal      int
	timer             *time.Timer

	// writeMu serialises writes to out, which keeps them in order, and guards spareBuffer. It is never locked while mu is held.
	writeMu     sync.Mutex
	spareBuffer []byte
}

// NewAsyncWriter returns a writer that buffers lines for out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, mu: lockorder.New(lockorder.RankTelemetry)}
}

// Write implements io.Writer. It never fails: a line that exceeds the buffer is dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.droppedSinceFlush++
		w.droppedTotal++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if w.timer == nil {
		w.timer = time.AfterFunc(flushDelay, w.Flush)
	}
	return len(line), nil
}

// Flush writes the buffered lines and, if lines were dropped since the last flush, a warning with their number.
func (w *AsyncWriter) Flush() {
	w.writeMu.Lock()
	defer w.writeMu.Unlock()
	w.mu.Lock()
	pending := w.pending
	dropped := w.droppedSinceFlush
	w.pending = w.spareBuffer[:0]
	w.droppedSinceFlush = 0
	w.timer = nil
	w.mu.Unlock()
	w.spareBuffer = pending
	// A failure to write the log cannot itself be logged.
	_, _ = w.out.Write(pending)
	if dropped > 0 {
		NewLogger(w.out, "", nil).Warn("log lines dropped", "count", dropped)
	}
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}
