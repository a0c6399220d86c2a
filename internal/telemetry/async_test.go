package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
)

// blockingWriter blocks each write until open is closed.
type blockingWriter struct {
	open    chan struct{}
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.open
	return w.written.Write(p)
}

// Guards against a slow log output that blocks requests or makes the buffer grow without bound, and against dropped lines
// that are not reported.
func TestAsyncWriterDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{open: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3 * maxPendingBytes / len(line) {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() == 0 || len(w.pending) > maxPendingBytes {
			t.Errorf("dropped %d, pending %d bytes", w.Dropped(), len(w.pending))
		}
		close(out.open)
		w.Flush()
		if text := out.written.String(); !strings.Contains(text, "log lines dropped") || strings.Count(text, "\n") < 1000 {
			t.Errorf("%d bytes written, want at least 1000 lines and the warning about dropped lines", len(text))
		}
	})
}
