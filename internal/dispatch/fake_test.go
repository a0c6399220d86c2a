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

// attemptScript defines how the fake engine behaves in one attempt on a version.
type attemptScript struct {
	// refuse fails the attempt before anything is sent.
	refuse bool
	// status fails the attempt with an HTTP status after the send.
	status int
	// cutAfter ends the connection after the given number of chunks; 0 means never.
	cutAfter int
	// onChunk runs before each chunk.
	onChunk func(sequence int64)
}

// fakeEngine answers each version with numbered words, one per chunk. Each attempt consumes one script of its version; without
// a script it succeeds.
type fakeEngine struct {
	mu         sync.Mutex
	wordCounts map[declaration.VersionID]int
	logprobs   map[declaration.VersionID]float64
	scripts    map[declaration.VersionID][]attemptScript
	attempts   []Attempt
	servers    []string
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{
		wordCounts: map[declaration.VersionID]int{smallV1: 5, largeV1: 5},
		logprobs:   map[declaration.VersionID]float64{},
		scripts:    map[declaration.VersionID][]attemptScript{},
	}
}

func (f *fakeEngine) Start(ctx context.Context, server table.Server, attempt Attempt) (ChunkStream, *AttemptError) {
	if err := attempt.CheckPermit(); err != nil {
		return nil, &AttemptError{Cause: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, attempt)
	f.servers = append(f.servers, server.Entry.Id)
	var s attemptScript
	if scripts := f.scripts[attempt.Version]; len(scripts) > 0 {
		s, f.scripts[attempt.Version] = scripts[0], scripts[1:]
	}
	if s.refuse {
		return nil, &AttemptError{Cause: io.ErrClosedPipe}
	}
	if s.status != 0 {
		return nil, &AttemptError{Sent: true, Status: s.status, Cause: fmt.Errorf("status %d", s.status)}
	}
	return &fakeChunkStream{engine: f, attempt: attempt, script: s, nextSequence: attempt.ResumeAfter + 1, ctx: ctx}, nil
}

func (f *fakeEngine) versions() []declaration.VersionID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var versions []declaration.VersionID
	for _, attempt := range f.attempts {
		versions = append(versions, attempt.Version)
	}
	return versions
}

type fakeChunkStream struct {
	engine       *fakeEngine
	attempt      Attempt
	script       attemptScript
	nextSequence int64
	sentChunks   int
	ctx          context.Context
}

// chunkWord returns the text of the chunk with the sequence number.
func chunkWord(id declaration.VersionID, sequence int64) string {
	return fmt.Sprintf("%s-%d ", id.Model, sequence)
}

// completeText returns the text of an answer with the given number of words.
func completeText(id declaration.VersionID, words int) string {
	var text strings.Builder
	for i := range words {
		text.WriteString(chunkWord(id, int64(i+1)))
	}
	return text.String()
}

func (c *fakeChunkStream) Next(context.Context) (stream.Chunk, error) {
	if c.ctx.Err() != nil {
		return stream.Chunk{}, c.ctx.Err()
	}
	if c.script.cutAfter > 0 && c.sentChunks >= c.script.cutAfter {
		return stream.Chunk{}, io.EOF
	}
	if c.script.onChunk != nil {
		c.script.onChunk(c.nextSequence)
	}
	c.sentChunks++
	sequence := c.nextSequence
	c.nextSequence++
	words := int64(c.engine.wordCounts[c.attempt.Version])
	chunk := stream.Chunk{CompletionID: c.attempt.CompletionID, Sequence: sequence}
	choice := api.ChunkChoice{}
	switch {
	case sequence <= words:
		choice.Delta.Content = chunkWord(c.attempt.Version, sequence)
		choice.Logprobs = &api.Logprobs{Content: []api.TokenLogprob{{Logprob: c.engine.logprobs[c.attempt.Version]}}}
	case sequence == words+1:
		choice.FinishReason = "stop"
		// Like that of a real engine, the usage counts the tokens of this attempt only.
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

func (c *fakeChunkStream) Close() {}

// fakeLedger records the committed bills in memory; if commitErr is set, Commit fails with it.
type fakeLedger struct {
	mu        sync.Mutex
	bills     []api.Bill
	full      bool
	commitErr error
}

func (l *fakeLedger) HasCapacity() bool { return !l.full }

func (l *fakeLedger) Commit(_ context.Context, bill api.Bill) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.commitErr != nil {
		return l.commitErr
	}
	l.bills = append(l.bills, bill)
	return nil
}

type unlimitedLimiter struct{}

func (unlimitedLimiter) Admit(string, api.OrganisationLimits, int, float64, time.Time) *fault.Error {
	return nil
}

type rejectingOrders struct{}

func (rejectingOrders) Execute(context.Context, order.Request) (order.Response, *fault.Error) {
	return order.Response{}, fault.NotRun(fault.StepClaim, fault.CodeInternal, "orders are not supported by this fake")
}

type recordingSampler struct {
	mu      sync.Mutex
	answers []quality.Answer
}

func (s *recordingSampler) Sample(answer quality.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, answer)
}

// harness is the request path of one instance with a fake engine and a fake ledger.
type harness struct {
	router       *Router
	engine       *fakeEngine
	ledger       *fakeLedger
	qualityTable *quality.Table
	sampler      *recordingSampler
	pool         *worker.Pool
}

// newDeclaration returns a configuration with two models. The given state is that of the small model's version.
func newDeclaration(state api.VersionState) *api.Declaration {
	ratingShare := 1.0
	return &api.Declaration{
		Models: []api.Model{
			{Name: "small", Versions: []api.Version{{Name: "v1", InputCost: 1, OutputCost: 1, ExpectedQuality: 0.9, State: state}}},
			{Name: "large", Versions: []api.Version{{Name: "v1", InputCost: 10, OutputCost: 10, ExpectedQuality: 0.95}}},
		},
		Classes: []api.Class{{Name: "check", Priority: 5, Target: api.Target{Quality: 0.5, DeadlineMillis: 10_000}, RatingFraction: &ratingShare}},
		Organisations: []api.Organisation{{Name: "guild", Allow: []api.Allowance{
			{Model: "small", Versions: []string{"v1"}}, {Model: "large", Versions: []string{"v1"}}}}},
	}
}

// newHarness returns a harness with two engine servers that have both versions loaded. Call close before the synctest bubble
// ends.
func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{engine: newFakeEngine(), ledger: &fakeLedger{}, qualityTable: quality.NewTable(), sampler: &recordingSampler{}}
	config := table.NewConfig(time.Hour, nil)
	config.Install(declaration.Compile(1, newDeclaration(api.VersionServing)))
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
	h.router = NewRouter(Dependencies{
		Config: config, Servers: servers, Prefixes: routing.NewPrefixIndex(100), Queue: queue, Planner: NewPlanner(h.qualityTable),
		Sessions: pins, Ledger: h.ledger, Limiter: unlimitedLimiter{}, Engine: h.engine, Orders: rejectingOrders{}, Retries: NewRetries(),
		Sampler: h.sampler, Demand: demand.NewTable(time.Now()), Metrics: telemetry.NewMetrics(), Classes: status.NewClassTable(),
		Traces: NewTraces(), Log: slog.New(slog.DiscardHandler),
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(3, 4)) }, // With this seed no request explores.
	})
	h.pool = worker.NewPool(2, queue)
	return h
}

func (h *harness) close(t *testing.T) {
	t.Helper()
	h.router.Queue.Close()
	if err := h.pool.Wait(t.Context()); err != nil {
		t.Error(err)
	}
}

// callerResult is the reply as the caller received it.
type callerResult struct {
	text    string
	version declaration.VersionID
	session string
	// endReceived means that the reply had an end event.
	endReceived bool
	usage       api.Usage
	problem     *fault.Error
}

// submit sends a request, changed by modify unless that is nil, and reads its reply to the end.
func (h *harness) submit(t *testing.T, modify func(*ModelRequest)) callerResult {
	t.Helper()
	request := ModelRequest{ID: "r1", Organisation: "guild", Class: "check", Arrived: time.Now(),
		Body: api.ChatCompletionRequest{Messages: []api.ChatMessage{{Role: "user", Content: "hello"}}}}
	if modify != nil {
		modify(&request)
	}
	reply, problem := h.router.SubmitModel(t.Context(), request)
	if problem != nil {
		return callerResult{problem: problem}
	}
	var result callerResult
	for {
		event, ok, problem := reply.Next(t.Context())
		if !ok {
			result.problem = problem
			return result
		}
		switch event.Kind {
		case EventStart:
			result.version, result.session = event.Version, event.Session
		case EventText:
			result.text += event.Text
		case EventEnd:
			result.endReceived, result.usage = true, event.Usage
		}
	}
}

// lowLogprob and highLogprob give answers a confidence below and above a threshold of 0.5.
var lowLogprob, highLogprob = math.Log(0.2), math.Log(0.9)
