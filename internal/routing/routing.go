// Package routing chooses the backend server for one attempt of a request. A choice runs filters, scorers and a picker
// over candidates; every function is pure and takes the time and the random source as arguments.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/declaration"
)

// LoadReport is the load reported by a backend server.
type LoadReport struct {
	Running int
	Queued  int
	// Capacity is the number of requests that one batch holds; zero if it is unknown.
	Capacity int
	// At is the time at which the load was measured, by the clock of this instance; zero if there is no report.
	At time.Time
}

// Candidate is one backend server as this instance sees it.
type Candidate struct {
	ID       string
	Zone     string
	Versions []declaration.VersionID
	Leaving  bool
	// Evacuated is set if the operator has evacuated the server's availability zone.
	Evacuated bool
	// BackoffUntil is the time until which the server asked to get no requests.
	BackoffUntil time.Time
	EjectedUntil time.Time
	// InFlight is the exact number of this instance's requests on the server.
	InFlight int
	Report   LoadReport
	// SentSinceReport counts this instance's requests sent after Report.At.
	SentSinceReport int
	// CachedBlocks is the number of leading prompt blocks that the server probably holds; see
	// PrefixIndex.MarkCachedBlocks.
	CachedBlocks int

	// Software is the version of the server's software.
	Software string
	// Slots is the number of requests that the server runs concurrently; zero if it is unknown.
	Slots int
	// MaxInFlight bounds this instance's requests on the server; zero means no bound.
	MaxInFlight int
	// CachedTokens is the number of leading tokens of the prompt that the server probably holds.
	CachedTokens int
	// PendingTokens counts the prompt tokens sent to the server whose prefill has not finished.
	PendingTokens int
	// Streaming counts this instance's requests on the server whose answer has begun, PendingWork is PendingTokens in tokens of the
	// largest model.
	Streaming   int
	PendingWork int64
	// Fleet is the load that the other instances put on the server; zero if it is unknown.
	Fleet FleetLoad
	// ResponseTime is the moving average of the server's response time; zero if none was measured.
	ResponseTime time.Duration
	// FailureRate is the fraction of recent attempts that failed; it decays with time.
	FailureRate float64
	// Cold is set while the server is warming up after its start.
	Cold bool
	// ColdFor is how long the requests to the server remain bounded because it is cold; zero if they are not. ColdWait is the time until this
	// instance may send it a request; zero if it may now.
	ColdFor  time.Duration
	ColdWait time.Duration
	// OutsidePartition is set if the server is outside the model's partition and serves other models; see
	// Policy.MarkPartition.
	OutsidePartition bool
}

// Load returns the estimated number of requests on the server: the reported load plus the requests that this instance has
// sent since the report, but at least this instance's in-flight requests.
func (c *Candidate) Load() int {
	return max(c.InFlight, c.Report.Running+c.Report.Queued+c.SentSinceReport)
}

// LoadRatio returns the ratio of the estimated load to the batch capacity.
func (c *Candidate) LoadRatio() float64 {
	return float64(c.Load()) / float64(c.batchCapacity())
}

func (c *Candidate) batchCapacity() int {
	if c.Report.Capacity <= 0 {
		return defaultBatchCapacity
	}
	return c.Report.Capacity
}

// defaultBatchCapacity is assumed, in requests, for a server that has not reported its batch capacity.
const defaultBatchCapacity = 16

// Request describes the attempt for which a server is chosen.
type Request struct {
	Version declaration.VersionID
	// Zone is the availability zone of this instance.
	Zone string
	// Exclude lists the IDs of servers that earlier attempts of the same request used.
	Exclude []string

	// OutsideLoadTest lists the IDs of the servers that take no part in the load test to which the request belongs; see OutsideLoadTest.
	OutsideLoadTest []string

	// RequiredSoftware, if not empty, is the only software version allowed for the request.
	RequiredSoftware string
	// ExcludedSoftware lists the software versions that must not serve the request.
	ExcludedSoftware []string
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// WorkWeight is the time that a prompt token of the request's model takes relative to one of the largest model.
	WorkWeight float64
	// TargetGap is the target for the longest pause between two events of a stream; zero if there is none.
	TargetGap time.Duration
}

// Filter accepts a candidate or names the reason for dropping it.
type Filter interface {
	// DropReason returns the reason for dropping the candidate, or ReasonNone.
	DropReason(c *Candidate, r *Request, now time.Time) Reason
}

// Scorer estimates the time that a candidate adds before the first token. Lower is better; saved time is negative.
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
	ReasonEvacuated Reason = "availability zone evacuated"
	ReasonBackoff   Reason = "backoff"
	ReasonEjected   Reason = "ejected"
	ReasonTried     Reason = "used by an earlier attempt"

	ReasonCold          Reason = "cold"
	ReasonOtherSoftware Reason = "other software version"
	ReasonInFlightLimit Reason = "share of connections in use"
	ReasonLoadTest      Reason = "outside the load test of its version"
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
	// CachedTokens is the number of prompt tokens that the server probably holds, ExpectedPrefill the time until the prompt is prefilled at
	// a server of mean speed.
	CachedTokens    int
	ExpectedPrefill time.Duration
	// Eligible is the number of candidates that passed the filters.
	Eligible int
}

// Policy combines filters, scorers and a picker.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// DefaultPolicy returns the policy for engines, used in production.
func DefaultPolicy() Policy {
	return Policy{
		Filters: []Filter{VersionLoadedFilter{}, EvacuatedFilter{}, LeavingFilter{}, EjectedFilter{}, TriedFilter{}},
		Scorers: []Scorer{LoadScorer{}, PrefixScorer{}, ZoneScorer{}},
		Picker:  TwoChoices{},
	}
}

var defaultPolicy = DefaultPolicy()

// Choose applies the default policy.
func Choose(candidates []Candidate, r Request, now time.Time, rng *rand.Rand) (Choice, []Verdict) {
	return defaultPolicy.Choose(candidates, r, now, rng)
}

// Choose runs the filters, the scorers and the picker. The verdicts list the dropped candidates in the order of the input.
func (p Policy) Choose(candidates []Candidate, r Request, now time.Time, rng *rand.Rand) (Choice, []Verdict) {
	eligible := make([]*Candidate, 0, len(candidates))
	var verdicts []Verdict
	for i := range candidates {
		c := &candidates[i]
		reason := p.dropReason(c, &r, now)
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
	return Choice{Server: picked.ID, Found: true, Score: score(picked), Eligible: len(eligible), CachedTokens: picked.CachedTokens,
		ExpectedPrefill: picked.ExpectedPrefill(&r)}, verdicts
}

// AnyEligible reports whether some candidate passes the filters. It is cheaper than Choose, which compares the candidates.
func (p Policy) AnyEligible(candidates []Candidate, r Request, now time.Time) bool {
	return slices.ContainsFunc(candidates, func(c Candidate) bool { return p.dropReason(&c, &r, now) == ReasonNone })
}

func (p Policy) dropReason(c *Candidate, r *Request, now time.Time) Reason {
	for _, filter := range p.Filters {
		if reason := filter.DropReason(c, r, now); reason != ReasonNone {
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
