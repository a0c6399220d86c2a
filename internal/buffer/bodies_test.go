package buffer

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

const bodyGrace = time.Second

// stalledBody delivers its bytes and then waits until it is interrupted.
type stalledBody struct {
	left        int
	interrupted chan struct{}
}

func newStalledBody(size int) *stalledBody {
	return &stalledBody{left: size, interrupted: make(chan struct{})}
}

func (s *stalledBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		<-s.interrupted
		return 0, errors.New("interrupted")
	}
	n := min(len(p), s.left)
	s.left -= n
	return n, nil
}

func (s *stalledBody) Interrupt() { close(s.interrupted) }

// readStalled reads a stalled body in the background and returns where its error arrives.
func readStalled(b *Bodies, size int) <-chan error {
	source, result := newStalledBody(size), make(chan error, 1)
	body := b.Begin(source)
	go func() {
		_, err := body.ReadAll(source, -1, 4<<20)
		result <- err
	}()
	return result
}

// Guards against bodies that stay open and shut out ordinary ones, against the eviction of a body within its grace period, of a faster one or
// of one that is complete, and against memory that is not returned.
func TestSlowBodiesGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const capacity, size = 1 << 20, 30_000
		var mu sync.Mutex
		reasons := map[string]int{}
		b := NewBodies(capacity, bodyGrace, func(reason string) {
			mu.Lock()
			defer mu.Unlock()
			reasons[reason]++
		})
		ordinary := func() (*Body, error) {
			body := b.Begin(newStalledBody(0))
			data, err := body.ReadAll(bytes.NewReader(make([]byte, size)), size, 4<<20)
			if err == nil && len(data) != size {
				t.Errorf("%d bytes of %d", len(data), size)
			}
			return body, err
		}
		complete, err := ordinary()
		if err != nil {
			t.Fatal(err)
		}
		slow := readStalled(b, size)
		<-time.After(time.Millisecond)
		var crowd []<-chan error
		for range 40 {
			crowd = append(crowd, readStalled(b, size))
		}
		synctest.Wait()
		if _, err := ordinary(); !errors.Is(err, ErrFull) {
			t.Errorf("a body beside others in their grace period: %v", err)
		}
		if b.Used() > capacity {
			t.Errorf("%d bytes are used, more than %d", b.Used(), capacity)
		}
		<-time.After(bodyGrace)
		other, err := ordinary()
		if err != nil {
			t.Fatalf("a body beside slow ones: %v", err)
		}
		if err := <-slow; !errors.Is(err, ErrEvicted) {
			t.Errorf("the slowest body: %v", err)
		}
		for range 100 {
			body, err := ordinary()
			if err != nil {
				t.Fatalf("a further body beside slow ones: %v", err)
			}
			body.Release()
		}
		mu.Lock()
		if complete.held != size || reasons[ReasonNoMemory] == 0 || reasons[ReasonSlowBody] == 0 {
			t.Errorf("the complete body holds %d bytes, reasons %v", complete.held, reasons)
		}
		mu.Unlock()
		complete.Release()
		other.Release()
		other.Release()
		evictRest(t, b, crowd)
	})
}

// evictRest lets all bodies of a crowd give way and checks that no memory is left reserved.
func evictRest(t *testing.T, b *Bodies, crowd []<-chan error) {
	b.mu.Lock()
	rest := append([]*Body(nil), b.receiving...)
	for _, body := range rest {
		b.remove(body)
		body.evicted = true
		b.evicting += body.held
	}
	b.mu.Unlock()
	b.interrupt(rest)
	for _, result := range crowd {
		if err := <-result; !errors.Is(err, ErrEvicted) && !errors.Is(err, ErrFull) {
			t.Errorf("body of the crowd: %v", err)
		}
	}
	if b.Used() != 0 || b.evicting != 0 {
		t.Errorf("%d bytes are still used, %d of them by evicted bodies", b.Used(), b.evicting)
	}
}

// Guards against a long body, within the limit and alone, that finds no memory or is changed.
func TestLongestBodyAlone(t *testing.T) {
	const limit = 4 << 20
	b := NewBodies(12<<20, bodyGrace, func(string) {})
	for _, size := range []int{0, 1, initialBytes - 1, initialBytes, initialBytes + 1, 6 << 10, 100_000, limit} {
		want := make([]byte, size)
		for i := range want {
			want[i] = byte(i * 31 >> 3)
		}
		for _, length := range []int64{int64(size), -1} {
			body := b.Begin(newStalledBody(0))
			got, err := body.ReadAll(inPieces(want), length, limit)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("%d bytes, announced %d: %d bytes, %v", size, length, len(got), err)
			}
			body.Release()
		}
	}
	body := b.Begin(newStalledBody(0))
	if _, err := body.ReadAll(bytes.NewReader(make([]byte, limit+1)), -1, limit); !errors.Is(err, ErrTooLong) {
		t.Errorf("a body over the limit: %v", err)
	}
	if used := b.Used(); used != 0 {
		t.Errorf("%d bytes are still used", used)
	}
}

// inPieces returns a reader that delivers pieces of different lengths.
func inPieces(data []byte) io.Reader {
	var pieces []io.Reader
	for size := 1; len(data) > 0; size = size*2 + 1 {
		n := min(size, len(data))
		pieces = append(pieces, bytes.NewReader(data[:n]))
		data = data[n:]
	}
	return io.MultiReader(pieces...)
}

// Guards against races between bodies that end, and bodies that give way at the same time: an interrupter that is called after ReadAll has
// returned would end another request on the same connection.
func TestBodiesAtTheSameTime(t *testing.T) {
	const capacity = 256 << 10
	b := NewBodies(capacity, 0, func(string) {})
	var all sync.WaitGroup
	for n := range 64 {
		all.Go(func() {
			for round := range 50 {
				size := 1000 * (1 + (n+round)%40)
				source := &checkedBody{t: t, Reader: bytes.NewReader(make([]byte, size))}
				body := b.Begin(source)
				data, err := body.ReadAll(source, int64(size), 4<<20)
				source.end()
				if err == nil && len(data) != size {
					t.Errorf("%d bytes of %d", len(data), size)
				}
				if used := b.Used(); used > capacity {
					t.Errorf("%d bytes are used", used)
				}
				body.Release()
			}
		})
	}
	all.Wait()
	if b.Used() != 0 || b.evicting != 0 || len(b.receiving) != 0 {
		t.Errorf("%d bytes and %d bodies are left", b.Used(), len(b.receiving))
	}
}

// checkedBody fails the test if it is interrupted after its end.
type checkedBody struct {
	t *testing.T
	io.Reader
	mu    sync.Mutex
	ended bool
}

func (c *checkedBody) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		c.t.Error("interrupted after its end")
	}
}

func (c *checkedBody) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}
