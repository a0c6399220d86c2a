package engine

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/common"
)

// sequence is one completion in the queue or the batch. A worker simulates the prefill of the prompt and then produces one
// token per interval until the answer is complete or the context ends.
type sequence struct {
	ctx           context.Context
	id            string
	priority      int
	prefillTime   time.Duration
	tokenInterval time.Duration
	// resumeFrom is the number of tokens that a resumed answer skips; totalTokens is the length of the whole answer.
	resumeFrom, totalTokens int
	// tokens receives the index of each token when it is generated, and is closed at the end. Its buffer holds a whole
	// answer, so that a slow reader does not block the batch.
	tokens chan int
	// onDone is called once when the worker has ended the sequence.
	onDone func(cancelled bool)
}

// Run implements worker.Job.
func (s *sequence) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	defer close(s.tokens)
	start := time.Now().Add(s.prefillTime)
	common.Sleep(ctx, s.prefillTime)
	for index := s.resumeFrom; index < s.totalTokens && ctx.Err() == nil; index++ {
		due := start.Add(time.Duration(index-s.resumeFrom) * s.tokenInterval)
		common.Sleep(ctx, time.Until(due))
		if ctx.Err() == nil {
			s.tokens <- index
		}
	}
	s.onDone(ctx.Err() != nil)
}
