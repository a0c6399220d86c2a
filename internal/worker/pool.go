// Package worker runs the requests of an instance on a fixed pool of workers. Periodic duties have a small pool of their own,
// so that a burst of requests never delays a lease renewal or a flush.
package worker

import (
	"context"
	"sync"
)

// Job is one unit of work that a single worker processes from start to end.
type Job interface {
	// Run does the work. Its context is cancelled by Pool.Stop.
	Run(ctx context.Context)
}

// Source returns jobs in the order in which they should run.
type Source interface {
	// Next blocks until a job is available. It returns false when the source is closed and empty, or when the context ends.
	Next(ctx context.Context) (Job, bool)
}

// Pool is a fixed number of workers that take jobs from a source. Its size is the instance's concurrency limit.
type Pool struct {
	source  Source
	cancel  context.CancelFunc
	ctx     context.Context
	workers sync.WaitGroup
}

// NewPool starts size workers.
func NewPool(size int, source Source) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{source: source, ctx: ctx, cancel: cancel}
	for range size {
		p.workers.Go(p.work)
	}
	return p
}

func (p *Pool) work() {
	for {
		job, ok := p.source.Next(p.ctx)
		if !ok {
			return
		}
		job.Run(p.ctx)
	}
}

// Wait blocks until all workers have ended and returns nil, or the context's error if that ends first. Workers end when the
// source is closed and empty.
func (p *Pool) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		p.workers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop cancels the context of running jobs and does not wait for them.
func (p *Pool) Stop() { p.cancel() }
