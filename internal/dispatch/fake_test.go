package dispatch

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/admission"
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/demand"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/session"
	"github.com/cicadawall/cicadawall/internal/status"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/telemetry"
	"github.com/cicadawall/cicadawall/internal/worker"
)

var (
	smallV1 = declaration.VersionID{Model: "small", Version: "v1"}
	largeV1 = declaration.VersionID{Model: "large", Version: "v1"}
)

// script says how the fake engine behaves in one attempt on a version.
type script struct {
	// refuse fails the attempt before anything is sent.
	refuse bool
	// status fails the attempt with an HTTP status after the send.
	status int
	// cutAfter ends the connection after that many chunks; 0 means no cut.
	cutAfter int
	// onChunk runs before each chunk.
	onChunk func(sequence int64)
}

// fakeEngine answers each version with numbered words. Scripts are used up one an attempt.
type fakeEngine struct {
	mu       sync.Mutex
	words    map[declaration.VersionID]int
	logprob  map[declaration.VersionID]float64
	scripts  map[declaration.VersionID][]script
	attempts []Attempt
	servers  []string
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		words:   map[declaration.VersionID]int{smallV1: 5, largeV1: 5},
		logprob: map[declaration.VersionID]float64{},
		scripts: map[declaration.VersionID][]script{},
	}
}

func (f *fakeEngine) Start(ctx context.Context, server table.Server, attempt Attempt) (Chunks, *AttemptError) {
	if err := attempt.Permitted(); err != nil {
		return nil, &AttemptError{Cause: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, attempt)
	f.servers = append(f.servers, server.Entry.Id)
	var s script
	if scripts := f.scripts[attempt.Version]; len(scripts) > 0 {
		s, f.scripts[attempt.Version] = scripts[0], scripts[1:]
	}
	if s.refuse {
		return nil, &AttemptError{Cause: io.ErrClosedPipe}
	}
	if s.status != 0 {
		return nil, &AttemptError{Sent: true, Status: s.status, Cause: fmt.Errorf("status %d", s.status)}
	}
	return &fakeChunks{engine: f, attempt: attempt, script: s, next: attempt.ResumeAfter + 1, ctx: ctx}, nil
}

func (f *fakeEngine) versions() []declaration.VersionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []declaration.VersionID
	for _, attempt := range f.attempts {
		out = append(out, attempt.Version)
	}
	return out
}

type fakeChunks struct {
	engine  *fakeEngine
	attempt Attempt
	script  script
	next    int64
	sent    int
	ctx     context.Context
}

func word(id declaration.VersionID, sequence int64) string {
	return fmt.Sprintf("%s-%d ", id.Model, sequence)
}

func wholeText(id declaration.VersionID, words int) string {
	var text strings.Builder
	for i := range words {
		text.WriteString(word(id, int64(i+1)))
	}
	return text.String()
}

func (c *fakeChunks) Next(context.Context) (stream.Chunk, error) {
	if c.ctx.Err() != nil {
		return stream.Chunk{}, c.ctx.Err()
	}
	if c.script.cutAfter > 0 && c.sent >= c.script.cutAfter {
		return stream.Chunk{}, io.EOF
	}
	if c.script.onChunk != nil {
		c.script.onChunk(c.next)
	}
	c.sent++
	sequence := c.next
	c.next++
	words := int64(c.engine.words[c.attempt.Version])
	chunk := stream.Chunk{CompletionID: c.attempt.CompletionID, Sequence: sequence}
	choice := api.ChunkChoice{}
	switch {
	case sequence <= words:
		choice.Delta.Content = word(c.attempt.Version, sequence)
		choice.Logprobs = &api.Logprobs{Content: []api.TokenLogprob{{Logprob: c.engine.logprob[c.attempt.Version]}}}
	case sequence == words+1:
		choice.FinishReason = "stop"
		// As engines do, the usage counts the tokens of this attempt only.
		generated := int(words - c.attempt.ResumeAfter)
		chunk.Body.Usage = &api.Usage{PromptTokens: 7, CompletionTokens: generated, TotalTokens: 7 + generated}
	case sequence == words+2:
		chunk.End = true
		return chunk, nil
	default:
		return stream.Chunk{}, io.EOF
	}
	chunk.Body.Choices = []api.ChunkChoice{choice}
	return chunk, nil
}

func (c *fakeChunks) Close() {}

// fakeLedger keeps bills.
type fakeLedger struct {
	mu    sync.Mutex
	bills []api.Bill
	full  bool
	err   error
}

func (l *fakeLedger) Room() bool { return !l.full }

func (l *fakeLedger) Commit(_ context.Context, bill api.Bill) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return l.err
	}
	l.bills = append(l.bills, bill)
	return nil
}

type noLimits struct{}

func (noLimits) Admit(string, api.OrganisationLimits, int, float64, time.Time) *fault.Error {
	return nil
}

type noOrders struct{}

func (noOrders) Execute(context.Context, order.Request) (order.Response, *fault.Error) {
	return order.Response{}, fault.NotRun(fault.StepClaim, fault.CodeInternal, "not part of the test")
}

type keepSampler struct {
	mu      sync.Mutex
	answers []quality.Answer
}

func (s *keepSampler) Sample(answer quality.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, answer)
}

// bench is one instance's request path on fakes.
type bench struct {
	router  *Router
	engine  *fakeEngine
	ledger  *fakeLedger
	table   *quality.Table
	sampler *keepSampler
	pool    *worker.Pool
}

func declarationOf(state api.VersionState) *api.Declaration {
	always := 1.0
	return &api.Declaration{
		Models: []api.Model{
			{Name: "small", Versions: []api.Version{{Name: "v1", InputCost: 1, OutputCost: 1, ExpectedQuality: 0.9, State: state}}},
			{Name: "large", Versions: []api.Version{{Name: "v1", InputCost: 10, OutputCost: 10, ExpectedQuality: 0.95}}},
		},
		Classes: []api.Class{{Name: "check", Priority: 5, Target: api.Target{Quality: 0.5, DeadlineMillis: 10_000}, RatingShare: &always}},
		Organisations: []api.Organisation{{Name: "guild", Allow: []api.Allowance{
			{Model: "small", Versions: []string{"v1"}}, {Model: "large", Versions: []string{"v1"}}}}},
	}
}

// newBench builds the path with two engines that have both versions loaded. Call close before the synctest bubble ends.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{engine: newFakeEngine(), ledger: &fakeLedger{}, table: quality.NewTable(), sampler: &keepSampler{}}
	config := table.NewConfig(time.Hour, nil)
	config.Install(declaration.Compile(1, declarationOf(api.VersionServing)))
	config.Confirm(1, time.Now())
	servers := table.NewServers()
	servers.Sync([]api.InstanceEntry{{Id: "e1", Kind: api.KindEngine}, {Id: "e2", Kind: api.KindEngine}})
	loaded := []api.LoadedVersion{{Model: "small", Version: "v1"}, {Model: "large", Version: "v1"}}
	for _, id := range []string{"e1", "e2"} {
		servers.ObserveLoad(id, api.EngineLoad{Versions: loaded, Capacity: 8}, time.Now())
	}
	signer, err := session.NewSigner([]session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pins, err := session.NewPins(memory.NewTable().View(nil), signer, 16)
	if err != nil {
		t.Fatal(err)
	}
	queue := admission.NewQueue(16)
	b.router = NewRouter(Parts{
		Config: config, Servers: servers, Prefixes: routing.NewPrefixIndex(100), Queue: queue, Planner: NewPlanner(b.table),
		Sessions: pins, Ledger: b.ledger, Limiter: noLimits{}, Engine: b.engine, Orders: noOrders{}, Retries: NewRetries(),
		Sampler: b.sampler, Demand: demand.NewTable(time.Now()), Metrics: telemetry.NewMetrics(), Classes: status.NewClasses(),
		Traces: NewTraces(), Log: slog.New(slog.DiscardHandler),
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }, // Draws no exploration.
	})
	b.pool = worker.NewPool(2, queue)
	return b
}

func (b *bench) close(t *testing.T) {
	t.Helper()
	b.router.Queue.Close()
	if err := b.pool.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// outcome is what a caller saw.
type outcome struct {
	text    string
	version declaration.VersionID
	session string
	ended   bool
	usage   api.Usage
	problem *fault.Error
}

func (b *bench) ask(t *testing.T, change func(*ModelRequest)) outcome {
	t.Helper()
	request := ModelRequest{ID: "r1", Organisation: "guild", Class: "check", Arrived: time.Now(),
		Body: api.ChatCompletionRequest{Messages: []api.ChatMessage{{Role: "user", Content: "hello"}}}}
	if change != nil {
		change(&request)
	}
	reply, problem := b.router.Model(t.Context(), request)
	if problem != nil {
		return outcome{problem: problem}
	}
	var seen outcome
	for {
		event, ok, problem := reply.Next(t.Context())
		if !ok {
			seen.problem = problem
			return seen
		}
		switch event.Kind {
		case EventStart:
			seen.version, seen.session = event.Version, event.Session
		case EventText:
			seen.text += event.Text
		case EventEnd:
			seen.ended, seen.usage = true, event.Usage
		}
	}
}

// low and high are logprobs of answers that a threshold of one half divides.
var low, high = math.Log(0.2), math.Log(0.9)
