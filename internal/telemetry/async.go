package telemetry

import (
	"io"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// asyncBytes bounds the lines that wait to be written, about a second of a busy instance.
	asyncBytes = 1 << 20
	// asyncPause collects the lines of a moment into one write.
	asyncPause = 100 * time.Millisecond
)

// AsyncWriter passes lines on without ever blocking its callers. Lines that find no room are dropped and counted.
type AsyncWriter struct {
	out io.Writer

	mu      *lockorder.Mutex
	pending []byte
	dropped int
	total   int
	timer   *time.Timer

	// writing is held during a write, so that writes keep their order. It guards no table and is never taken under mu.
	writing sync.Mutex
	spare   []byte
}

// NewAsyncWriter returns a writer in front of another.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	return &AsyncWriter{out: out, mu: lockorder.New(lockorder.RankTelemetry)}
}

// Write implements io.Writer. It always accepts the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > asyncBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if w.timer == nil {
		w.timer = time.AfterFunc(asyncPause, w.Flush)
	}
	return len(line), nil
}

// Flush writes what is pending.
func (w *AsyncWriter) Flush() {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	pending := w.pending
	dropped := w.dropped
	w.pending = w.spare[:0]
	w.dropped = 0
	w.timer = nil
	w.mu.Unlock()
	w.spare = pending
	// There is no place to report that the log itself cannot be written.
	_, _ = w.out.Write(pending)
	if dropped > 0 {
		NewLogger(w.out, "", nil).Warn("log lines dropped", "count", dropped)
	}
}

// Dropped returns the number of lines dropped since the start.
func (w *AsyncWriter) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}
