package memory

import (
	"context"
	"sync"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Objects is an in-memory object store.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	// Unavailable, if set, is called for each call and reports whether it fails with ErrUnavailable.
	Unavailable func() bool
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{objects: map[string][]byte{}} }

func (o *Objects) isUnavailable() bool { return o.Unavailable != nil && o.Unavailable() }

// PutIfAbsent implements platform.Objects.
func (o *Objects) PutIfAbsent(ctx context.Context, key string, value []byte) error {
	if ctx.Err() != nil || o.isUnavailable() {
		return platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.objects[key]; !ok {
		o.objects[key] = append([]byte(nil), value...)
	}
	return nil
}

// Get implements platform.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if ctx.Err() != nil || o.isUnavailable() {
		return nil, platform.ErrUnavailable
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	value, ok := o.objects[key]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return value, nil
}

// Instances is an instance list whose contents are set by the test.
type Instances struct {
	mu      sync.Mutex
	entries []api.InstanceEntry
	err     error
}

// Set replaces the list and the error that List returns; a nil error makes List succeed.
func (l *Instances) Set(entries []api.InstanceEntry, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.err = entries, err
}

// List implements platform.Instances.
func (l *Instances) List(context.Context) ([]api.InstanceEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]api.InstanceEntry(nil), l.entries...), l.err
}
