package dispatch

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/table"
)

// opened is an attempt that delivered its first chunk, or failed before it.
type opened struct {
	server table.Server
	ctx    context.Context
	sent   time.Time
	chunks Chunks
	first  stream.Chunk
	result retry.Attempt
	err    error
}

// Winners of a race.
const (
	raceOpen int32 = iota
	raceFirst
	raceSecond
)

// race is the race of two attempts for the first chunk. The worker reads the first attempt; the second runs in the timer's
// goroutine, the only other one, and only until its first chunk.
type race struct {
	step      *step
	server    table.Server
	sent      time.Time
	random    *rand.Rand
	ctx       context.Context
	cancel    context.CancelFunc
	loseFirst context.CancelFunc
	winner    atomic.Int32
	timer     *time.Timer
	// second is written before done is closed and read after.
	second opened
	done   chan struct{}
}

// hedge arms a second attempt for the case that the first chunk is late. It returns nil if the request is not hedged.
func (s *step) hedge(ctx context.Context, server table.Server, loseFirst context.CancelFunc) *race {
	j := s.job
	p95, known := j.router.Retries.Budgets.P95(j.class.Name)
	if !known || s.attempts > 1 || j.started || !j.repeatable() {
		return nil
	}
	r := &race{step: s, server: server, sent: time.Now(), loseFirst: loseFirst, done: make(chan struct{})}
	r.random = rand.New(rand.NewPCG(j.random.Uint64(), j.random.Uint64()))
	r.ctx, r.cancel = context.WithCancel(ctx)
	r.timer = time.AfterFunc(p95, r.run)
	return r
}

// run makes the second attempt. It uses nothing of the step that the worker changes.
func (r *race) run() {
	defer close(r.done)
	j, now := r.step.job, time.Now()
	in := retry.HedgeInput{Elapsed: now.Sub(r.sent), Repeatable: true, FirstByte: r.winner.Load() != raceOpen, Deadline: j.deadline}
	if !j.router.Retries.Budgets.Hedge(j.class.Name, in, now) {
		return
	}
	server, problem := j.router.chooseServer(r.step.version, j.request.Body.Messages, []string{r.server.Entry.Id}, r.random)
	if problem != nil || server.Entry.Id == r.server.Entry.Id || !j.router.Servers.Begin(server.Entry.Id) {
		return
	}
	j.router.Metrics.Count("cicadawall_hedges_total", 1)
	j.router.Demand.Begin(r.step.version, now)
	second := r.step.open(r.ctx, server, 0, func() error {
		if problem := j.permitted(r.step.version); problem != nil {
			return problem
		}
		return nil
	})
	if second.err == nil && r.winner.CompareAndSwap(raceOpen, raceSecond) {
		r.second = second
		r.loseFirst()
		return
	}
	if second.err == nil {
		second.chunks.Close()
	}
	j.router.Demand.End(r.step.version, time.Now())
	j.router.Servers.End(server.Entry.Id, second.err != nil && retry.Failed(second.result) && r.ctx.Err() == nil, time.Now())
}

// settle returns the attempt whose answer counts, after the first attempt delivered its first chunk or failed. The loser is
// cancelled and has ended or is ending. A failed first attempt waits for a second one that runs.
func (r *race) settle(first opened) opened {
	unused := r.timer.Stop()
	if first.err == nil && r.winner.CompareAndSwap(raceOpen, raceFirst) {
		r.cancel()
		if !unused {
			<-r.done
		}
		return first
	}
	if unused {
		return first
	}
	<-r.done
	if r.winner.Load() != raceSecond {
		return first
	}
	if first.err == nil {
		first.chunks.Close()
	}
	return r.second
}

// open sends one attempt and waits for its first chunk.
func (s *step) open(ctx context.Context, server table.Server, resumeAfter int64, permitted func() error) opened {
	j := s.job
	o := opened{server: server, ctx: ctx, sent: time.Now()}
	chunks, failure := j.router.Engine.Start(ctx, server, Attempt{
		CompletionID: j.request.ID,
		Version:      s.version,
		Body:         j.request.Body,
		Priority:     j.class.Priority,
		ResumeAfter:  resumeAfter,
		Permitted:    permitted,
	})
	if failure != nil {
		o.result = retry.Attempt{Sent: failure.Sent, Responded: failure.Status != 0, Complete: failure.Status != 0, Status: failure.Status, Refused: failure.Refused}
		o.err = failure
		return o
	}
	o.result = retry.Attempt{Sent: true, Responded: true}
	o.chunks = chunks
	if o.first, o.err = chunks.Next(ctx); o.err != nil {
		chunks.Close()
		o.err = errors.Wrap(cut(o.err), "read answer")
	}
	return o
}
