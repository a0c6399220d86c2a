// Package routing chooses the backend server for one attempt of a request. A choice runs filters, scorers and a picker
// over candidates; every function is pure and takes the time and the random source as arguments.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// LoadReport is the load that a backend server reported.
type LoadReport struct {
	Running int
	Queued  int
	// Capacity is the number of requests that one batch holds; zero if it is unknown.
	Capacity int
	// At is the time at which the report held, by the clock of this instance; zero if there is no report.
	At time.Time
}

// Candidate is one backend server as this instance sees it.
type Candidate struct {
	ID           string
	Zone         string
	Versions     []declaration.VersionID
	Leaving      bool
	EjectedUntil time.Time
	// InFlight is the exact number of this instance's requests on the server.
	InFlight int
	Report   LoadReport
	// SentSince counts this instance's requests sent after Report.At.
	SentSince int
	// CachedBlocks is the number of leading prompt blocks that the server probably holds; see PrefixIndex.Mark.
	CachedBlocks int

	// Software is the version of the server's software.
	Software string
	// Slots is the number of requests that the server runs at the same time; zero if it is unknown.
	Slots int
	// MaxInFlight bounds this instance's requests on the server; zero means no bound.
	MaxInFlight int
	// CachedTokens is the number of leading tokens of the prompt that the server probably holds.
	CachedTokens int
	// OtherInFlight estimates the requests of the other instances on the server.
	OtherInFlight int
	// PendingTokens counts the prompt tokens sent to the server that it has not read yet.
	PendingTokens int
	// AnswerTime is the moving average of the server's answer time; zero if there is none.
	AnswerTime time.Duration
	// FailureRate is the share of recent attempts that failed, which fades with time.
	FailureRate float64
	// Cold is set while the server is slow after its start.
	Cold bool
	// Foreign is set if other models use the server; see Policy.Partition.
	Foreign bool
}

// Load returns the estimated number of requests on the server: the report plus what this instance sent since, and never
// less than this instance's own requests in flight.
func (c *Candidate) Load() int {
	return max(c.InFlight, c.Report.Running+c.Report.Queued+c.SentSince)
}

// LoadRatio returns the estimated load for each place in the batch.
func (c *Candidate) LoadRatio() float64 {
	return float64(c.Load()) / float64(c.capacity())
}

func (c *Candidate) capacity() int {
	if c.Report.Capacity <= 0 {
		return defaultCapacity
	}
	return c.Report.Capacity
}

// defaultCapacity is assumed for a server that has not reported its batch size, in requests.
const defaultCapacity = 16

// Request is what a choice needs to know about an attempt.
type Request struct {
	Version declaration.VersionID
	// Zone is the availability zone of this instance.
	Zone string
	// Exclude names servers that an earlier attempt of the same request already used.
	Exclude []string

	// Software, if not empty, is the only software version that may take the request; those of NotSoftware may not.
	Software    string
	NotSoftware []string
	// PromptTokens is the length of the prompt.
	PromptTokens int
}

// Filter accepts a candidate or names the reason for dropping it.
type Filter interface {
	// Drop returns the reason for dropping the candidate, or ReasonNone.
	Drop(c *Candidate, r *Request, now time.Time) Reason
}

// Scorer estimates the time that a candidate adds before the first token. Lower is better; a saving is negative.
type Scorer interface {
	Score(c *Candidate, r *Request, now time.Time) time.Duration
}

// Picker selects one of the candidates that passed the filters; candidates is not empty.
type Picker interface {
	Pick(candidates []*Candidate, score func(*Candidate) time.Duration, rng *rand.Rand) *Candidate
}

// Reason says why a candidate was dropped.
type Reason string

// Reasons for dropping a candidate.
const (
	ReasonNone      Reason = ""
	ReasonNotLoaded Reason = "version not loaded"
	ReasonLeaving   Reason = "leaving"
	ReasonEjected   Reason = "ejected"
	ReasonTried     Reason = "used by an earlier attempt"

	ReasonOtherVersion Reason = "other software version"
	ReasonFull         Reason = "share of connections in use"
)

// Verdict explains why a candidate was dropped.
type Verdict struct {
	Server string
	Reason Reason
}

// Choice is the selected server. Found is false if every candidate was dropped.
type Choice struct {
	Server string
	Found  bool
	// Score is the estimated time before the first token relative to an idle server in the same zone.
	Score time.Duration
	// Eligible is the number of candidates that passed the filters.
	Eligible int
}

// Policy is a set of filters, scorers and a picker.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// DefaultPolicy returns the filters, scorers and picker used in production.
func DefaultPolicy() Policy {
	return Policy{
		Filters: []Filter{LoadedFilter{}, LeavingFilter{}, EjectedFilter{}, TriedFilter{}},
		Scorers: []Scorer{LoadScorer{}, PrefixScorer{}, ZoneScorer{}},
		Picker:  TwoChoices{},
	}
}

var defaultPolicy = DefaultPolicy()

// Choose applies the default policy.
func Choose(candidates []Candidate, r Request, now time.Time, rng *rand.Rand) (Choice, []Verdict) {
	return defaultPolicy.Choose(candidates, r, now, rng)
}

// Choose filters, scores and picks. The verdicts list the dropped candidates in the order of the input.
func (p Policy) Choose(candidates []Candidate, r Request, now time.Time, rng *rand.Rand) (Choice, []Verdict) {
	eligible := make([]*Candidate, 0, len(candidates))
	var verdicts []Verdict
	for i := range candidates {
		c := &candidates[i]
		reason := p.drop(c, &r, now)
		if reason == ReasonNone {
			eligible = append(eligible, c)
			continue
		}
		if verdicts == nil {
			verdicts = make([]Verdict, 0, len(candidates)-i)
		}
		verdicts = append(verdicts, Verdict{Server: c.ID, Reason: reason})
	}
	if len(eligible) == 0 {
		return Choice{}, verdicts
	}
	score := func(c *Candidate) time.Duration { return p.score(c, &r, now) }
	picked := p.Picker.Pick(eligible, score, rng)
	return Choice{Server: picked.ID, Found: true, Score: score(picked), Eligible: len(eligible)}, verdicts
}

func (p Policy) drop(c *Candidate, r *Request, now time.Time) Reason {
	for _, filter := range p.Filters {
		if reason := filter.Drop(c, r, now); reason != ReasonNone {
			return reason
		}
	}
	return ReasonNone
}

func (p Policy) score(c *Candidate, r *Request, now time.Time) time.Duration {
	var sum time.Duration
	for _, scorer := range p.Scorers {
		sum += scorer.Score(c, r, now)
	}
	return sum
}
