package engine

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// sequence is one completion in the queue or the batch. Its worker prefills the prompt and then produces a token per
// interval until the answer ends or the context does.
type sequence struct {
	ctx      context.Context
	id       string
	priority int
	prefill  time.Duration
	interval time.Duration
	// from is the number of tokens that a resumed answer skips; total is the number of the whole answer.
	from, total int
	// tokens receives the index of each token when it is done and is closed at the end. It holds a whole answer, so that a
	// slow reader does not stop the batch.
	tokens chan int
	// done is called once when the worker lets go of the sequence.
	done func(cancelled bool)
}

// Run implements worker.Job.
func (s *sequence) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	defer close(s.tokens)
	start := time.Now().Add(s.prefill)
	common.Wait(ctx, s.prefill)
	for index := s.from; index < s.total && ctx.Err() == nil; index++ {
		due := start.Add(time.Duration(index-s.from) * s.interval)
		common.Wait(ctx, time.Until(due))
		if ctx.Err() == nil {
			s.tokens <- index
		}
	}
	s.done(ctx.Err() != nil)
}
