package quality

import (
	"context"
	"math/rand/v2"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/rollout"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// Names of the periodic duties.
const (
	DutySubmit  = "rating-submit"
	DutyResults = "rating-results"
	DutyReport  = "evidence-report"
)

const (
	// submitQueueSize bounds the answers that wait to be sent to the rating service. Further answers are dropped, which only
	// reduces the evidence.
	submitQueueSize = 512
	// maxPendingRatings bounds the answers that were sent and whose score has not arrived.
	maxPendingRatings = 10_000
	submitInterval    = 500 * time.Millisecond
	resultInterval    = time.Second
	dutyTimeout       = 2 * time.Second
)

// Answer is a complete answer that may be rated.
type Answer struct {
	ID      string
	Class   string
	Version declaration.VersionID
	// EscalatedFrom is the first version of the chain if the answer came from a second step, otherwise zero.
	EscalatedFrom declaration.VersionID
	Prompt        string
	Text          string
	Confidence    float64
	// QualityFloor is the lowest mean rating that was assumed when the chain was chosen.
	QualityFloor float64
	// Delivered reports whether the answer reached the caller.
	Delivered bool
	// RatingFraction is the fraction of the class's answers to rate; with 1 this answer is certainly rated.
	RatingFraction float64
}

// Sampler sends a random fraction of the answers to the rating service and collects their scores.
type Sampler struct {
	table    *Table
	ratings  platform.Ratings
	instance string
	queue    chan Answer
	pending  *lru.Cache[string, Answer]
	reporter *Reporter
	cursor   string
	// onRating is called with the score of each delivered answer.
	onRating func(class string, score float64)
}

// NewSampler returns a sampler of the instance. It passes scores to the reporter, and those of delivered answers also to
// onRating.
func NewSampler(
	table *Table, ratings platform.Ratings, instance string, reporter *Reporter, onRating func(class string, score float64),
) (*Sampler, error) {
	pending, err := lru.New[string, Answer](maxPendingRatings)
	if err != nil {
		return nil, errors.Wrap(err, "create the cache of pending ratings")
	}
	return &Sampler{
		table:    table,
		ratings:  ratings,
		instance: instance,
		queue:    make(chan Answer, submitQueueSize),
		pending:  pending,
		reporter: reporter,
		onRating: onRating,
	}, nil
}

// Sample queues the answer for rating with the probability that its rating fraction gives. It never blocks; if the queue is
// full, the answer is dropped.
func (s *Sampler) Sample(answer Answer) {
	fraction := rollout.RatingFraction(answer.RatingFraction, s.table.Suspicion(answer.Class, answer.Version))
	if rand.Float64() >= fraction {
		return
	}
	select {
	case s.queue <- answer:
	default:
	}
}

// Duties returns the periodic duties of the sampler.
func (s *Sampler) Duties() []worker.Duty {
	return []worker.Duty{
		{Name: DutySubmit, Interval: worker.Every(submitInterval), Timeout: dutyTimeout, Run: s.Submit},
		{Name: DutyResults, Interval: worker.Every(resultInterval), Timeout: dutyTimeout, Run: s.CollectResults},
	}
}

// Submit sends the queued answers to the rating service.
func (s *Sampler) Submit(ctx context.Context) error {
	for range len(s.queue) {
		answer := <-s.queue
		s.pending.Add(answer.ID, answer)
		err := s.ratings.Submit(ctx, api.RatingRequest{
			Id:         answer.ID,
			Class:      answer.Class,
			Model:      answer.Version.Model,
			Version:    answer.Version.Version,
			Prompt:     answer.Prompt,
			Answer:     answer.Text,
			Confidence: answer.Confidence,
			Instance:   s.instance,
		})
		if err != nil {
			return errors.Wrap(err, "submit an answer to the rating service")
		}
	}
	return nil
}

// CollectResults reads new scores from the rating service and passes them to the reporter.
func (s *Sampler) CollectResults(ctx context.Context) error {
	results, err := s.ratings.Results(ctx, s.instance, s.cursor)
	if err != nil {
		return errors.Wrap(err, "read scores from the rating service")
	}
	s.cursor = results.Next
	for _, rating := range results.Ratings {
		answer, ok := s.pending.Get(rating.Id)
		if !ok {
			continue
		}
		s.pending.Remove(rating.Id)
		if answer.Delivered {
			s.onRating(answer.Class, rating.Score)
		}
		s.reporter.addSample(answer.Class, api.EvidenceSample{
			Model:         answer.Version.Model,
			Version:       answer.Version.Version,
			EscalatedFrom: versionOrEmpty(answer.EscalatedFrom),
			Score:         rating.Score,
			Confidence:    answer.Confidence,
			QualityFloor:  answer.QualityFloor,
			Delivered:     answer.Delivered,
		})
	}
	return nil
}
