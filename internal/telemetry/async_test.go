package telemetry

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
)

// gate is an output that blocks until it is opened.
type gate struct {
	open    chan struct{}
	written bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	return g.written.Write(p)
}

// Guards against a slow output that blocks requests, takes memory without end, or hides that lines were dropped.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &gate{open: make(chan struct{})}
		w := NewAsyncWriter(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 3 * asyncBytes / len(line) {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() == 0 || len(w.pending) > asyncBytes {
			t.Errorf("dropped %d, pending %d bytes", w.Dropped(), len(w.pending))
		}
		close(out.open)
		w.Flush()
		if text := out.written.String(); !strings.Contains(text, "log lines dropped") || strings.Count(text, "\n") < 1000 {
			t.Errorf("%d bytes written", len(text))
		}
	})
}
