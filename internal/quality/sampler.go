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
	// submitBuffer bounds the answers that wait for the rating service; more are dropped, which costs only evidence.
	submitBuffer = 512
	// pendingRatings bounds the answers whose score has not arrived.
	pendingRatings = 10_000
	submitInterval = 500 * time.Millisecond
	resultInterval = time.Second
	dutyTimeout    = 2 * time.Second
)

// Answer is one whole answer that may be rated.
type Answer struct {
	ID      string
	Class   string
	Version declaration.VersionID
	// After is the first version of the chain if the answer was a second step.
	After      declaration.VersionID
	Prompt     string
	Text       string
	Confidence float64
	// Floor is the mean rating that the choice of the chain counted on.
	Floor float64
	// Delivered tells whether the answer reached the caller.
	Delivered bool
	// Share is the share of answers of the class to rate; 1 rates this one.
	Share float64
}

// Sampler passes a share of the answers to the rating service and collects their scores.
type Sampler struct {
	table    *Table
	ratings  platform.Ratings
	instance string
	queue    chan Answer
	pending  *lru.Cache[string, Answer]
	reports  *Reporter
	cursor   string
	// rated is told the score of each delivered answer.
	rated func(class string, score float64)
}

// NewSampler returns a sampler of the instance. Scores go to the reporter; rated is told those of delivered answers.
func NewSampler(table *Table, ratings platform.Ratings, instance string, reports *Reporter, rated func(class string, score float64)) (*Sampler, error) {
	pending, err := lru.New[string, Answer](pendingRatings)
	if err != nil {
		return nil, errors.Wrap(err, "pending ratings")
	}
	return &Sampler{
		table:    table,
		ratings:  ratings,
		instance: instance,
		queue:    make(chan Answer, submitBuffer),
		pending:  pending,
		reports:  reports,
		rated:    rated,
	}, nil
}

// Sample offers an answer. It never blocks.
func (s *Sampler) Sample(answer Answer) {
	share := rollout.RatingFraction(answer.Share, s.table.Suspicion(answer.Class, answer.Version))
	if rand.Float64() >= share {
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
		{Name: DutyResults, Interval: worker.Every(resultInterval), Timeout: dutyTimeout, Run: s.Results},
	}
}

// Submit sends the answers that wait to the rating service.
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

// Results reads new scores and passes them to the reporter.
func (s *Sampler) Results(ctx context.Context) error {
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
			s.rated(answer.Class, rating.Score)
		}
		s.reports.add(answer.Class, api.EvidenceSample{
			Model:      answer.Version.Model,
			Version:    answer.Version.Version,
			After:      afterText(answer.After),
			Score:      rating.Score,
			Confidence: answer.Confidence,
			Floor:      answer.Floor,
			Delivered:  answer.Delivered,
		})
	}
	return nil
}
