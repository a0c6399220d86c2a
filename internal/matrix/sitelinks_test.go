package matrix

import (
	"context"
	"errors"
	"io"
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

var errNoAnswer = errors.New("no answer")

// Range installs the older document on a stale read if the mutant says so.
func (h *hub) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	rows, err := h.instance.Range(ctx, prefix, after, limit)
	if h.w.run.Broken("revision may fall") && h.staleness(memory.OpRange, "") != memory.FaultNone {
		if doc, problems := declaration.Parse("", []byte(catalogue(api.VersionServing))); len(problems) == 0 {
			h.config.Install(declaration.Compile(h.config.Revision()+1, doc))
		}
	}
	return rows, err
}

// hubObjects is the object store as an instance reaches it.
type hubObjects struct{ *hub }

func (o hubObjects) PutIfAbsent(ctx context.Context, key string, value []byte) error {
	reply, v := o.call(ctx, toStore, "put:document", func() any { return o.site.objects.PutIfAbsent(context.Background(), key, value) })
	switch {
	case v == noEffect:
		return platform.ErrUnavailable
	case v == lost:
		return platform.ErrAmbiguous
	case reply == nil:
		return nil
	}
	return reply.(error)
}

type document struct {
	text []byte
	err  error
}

func (o hubObjects) Get(ctx context.Context, key string) ([]byte, error) {
	reply, v := o.call(ctx, toStore, "get:document", func() any {
		text, err := o.site.objects.Get(context.Background(), key)
		return document{text, err}
	})
	if v != done {
		return nil, platform.ErrUnavailable
	}
	o.local("install")
	return reply.(document).text, reply.(document).err
}

// hubList is the platform's list of instances; it lags as gone says.
type hubList struct{ *hub }

func (l hubList) List(ctx context.Context) ([]api.InstanceEntry, error) {
	reply, v := l.call(ctx, "list", "list", func() any {
		var entries []api.InstanceEntry
		for _, h := range l.site.hubs {
			if !l.w.gone(h.name) {
				entries = append(entries, api.InstanceEntry{Id: h.name, Kind: api.KindEntry, Ip: "127.0.0.1", Port: h.port})
			}
		}
		return entries
	})
	if v != done {
		return nil, errNoAnswer
	}
	return reply.([]api.InstanceEntry), nil
}

// hubPeers is the transport between instances.
type hubPeers struct{ *hub }

// ask calls a peer. A dead or paused one does not answer.
func (p hubPeers) ask(ctx context.Context, address membership.Address, op string, effect func(peer *hub) any) (any, error) {
	peer := p.site.hubs[address.Port-9001]
	peer.mu.Lock()
	silent := !peer.dead.IsZero() || time.Now().Before(peer.paused)
	peer.mu.Unlock()
	if silent {
		p.waitFor(ctx, time.Second)
		return nil, errNoAnswer
	}
	reply, v := p.call(ctx, toPeer(peer.name), op, func() any { return effect(peer) })
	if v != done || reply == nil {
		return nil, errNoAnswer
	}
	return reply, nil
}

func (p hubPeers) Digest(ctx context.Context, address membership.Address) (api.Digest, error) {
	reply, err := p.ask(ctx, address, "digest", func(peer *hub) any { return peer.members.Digest(time.Now()) })
	if err != nil {
		return api.Digest{}, err
	}
	return reply.(api.Digest), nil
}

func (p hubPeers) Registrations(ctx context.Context, address membership.Address, after int64) (api.RegistrationSet, error) {
	reply, err := p.ask(ctx, address, "registrations", func(peer *hub) any { return peer.members.Registrations(after) })
	if err != nil {
		return api.RegistrationSet{}, err
	}
	return reply.(api.RegistrationSet), nil
}

func (p hubPeers) Revision(ctx context.Context, address membership.Address, revision int64) (api.RevisionDocument, error) {
	reply, err := p.ask(ctx, address, "revision", func(peer *hub) any {
		if doc, ok := peer.syncer.Document(revision); ok {
			return doc
		}
		return nil
	})
	if err != nil {
		return api.RevisionDocument{}, err
	}
	return reply.(api.RevisionDocument), nil
}

// hubLedger commits bills; the mutant lets the caller go on before the bill is durable.
type hubLedger struct{ *hub }

func (l hubLedger) HasCapacity() bool { return l.cashier.ledger.HasCapacity() }

func (l hubLedger) Commit(ctx context.Context, bill api.Bill) error {
	if l.w.run.Broken("end marker before the bill") {
		l.w.loops.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
			defer cancel()
			_ = l.cashier.ledger.Commit(ctx, bill)
		})
		return nil
	}
	return l.cashier.ledger.Commit(ctx, bill)
}

type hubLimiter struct{ *hub }

func (l hubLimiter) Admit(string, api.OrganisationLimits, int, float64, time.Time) *fault.Error {
	l.local("admit")
	return nil
}

type hubSampler struct{ *hub }

func (s hubSampler) Sample(quality.Answer) { s.local("end") }

// hubSource is the admission queue as the workers see it.
type hubSource struct{ *hub }

func (q hubSource) Next(ctx context.Context) (worker.Job, bool) {
	job, ok := q.queue.Next(ctx)
	if ok {
		q.local("queue")
	}
	return job, ok
}

// hubEngine sends attempts to two engines.
type hubEngine struct{ *hub }

// Start asks for the permit, checks what an attempt must not break, and sends.
func (e hubEngine) Start(ctx context.Context, server table.Server, attempt dispatch.Attempt) (dispatch.ChunkStream, *dispatch.AttemptError) {
	stage := "first"
	switch {
	case attempt.ResumeAfter > 0:
		stage = "resume"
	case strings.Contains(attempt.CompletionID, "chain") && attempt.Version.Model == "large":
		stage = "second"
	}
	e.local("permit-" + stage)
	if !e.w.run.Broken("no permit before the send") && !e.w.run.Broken("no permit on "+stage) {
		if err := attempt.CheckPermit(); err != nil {
			return nil, &dispatch.AttemptError{Cause: err}
		}
	}
	if e.isDead() || ctx.Err() != nil {
		return nil, &dispatch.AttemptError{Cause: errNoAnswer}
	}
	e.site.checkSend(e.hub, attempt)
	_, v := e.call(ctx, target("engine:"+server.Entry.Id), "send-"+stage, func() any {
		e.site.sent(attempt)
		return nil
	})
	if v != done {
		return nil, &dispatch.AttemptError{Sent: !e.w.run.Broken("lost send counts as unsent"), Cause: errNoAnswer}
	}
	return &chunks{hub: e.hub, engine: server.Entry.Id, attempt: attempt, next: attempt.ResumeAfter + 1}, nil
}

// checkSend checks organisation and withdrawal at the moment of the send (I1, I2).
func (s *site) checkSend(h *hub, attempt dispatch.Attempt) {
	if strings.HasPrefix(attempt.CompletionID, "vinyl") && attempt.Version.Model != "large" {
		s.run.Failf("I1: %s sends %s to %s", h.name, attempt.CompletionID, attempt.Version)
	}
	if s.withdrawn(attempt.Version) {
		s.run.Failf("I2: %s sends %s to %s after its withdrawal was accepted", h.name, attempt.CompletionID, attempt.Version)
	}
}

// sent notes that work reached an engine.
func (s *site) sent(attempt dispatch.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sends[attempt.CompletionID]++
	if s.sends[attempt.CompletionID] > 1 && strings.Contains(attempt.CompletionID, "once") && attempt.ResumeAfter == 0 {
		s.run.Failf("a request of a class that is not repeatable was sent twice: %s", attempt.CompletionID)
	}
}

// chunks is one answer on its way. A foreign chunk and repeated chunks can arrive.
type chunks struct {
	*hub
	engine  string
	attempt dispatch.Attempt
	next    int64

	mu      sync.Mutex
	arrived []stream.Chunk
}

func (c *chunks) Close() {}

func (c *chunks) push(sequence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence == 2 {
		c.arrived = append(c.arrived, chunkOf("another-answer", c.attempt.Version, sequence))
	}
	c.arrived = append(c.arrived, chunkOf(c.attempt.CompletionID, c.attempt.Version, sequence))
}

func (c *chunks) pop() (stream.Chunk, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrived) == 0 {
		return stream.Chunk{}, false
	}
	chunk := c.arrived[0]
	c.arrived = c.arrived[1:]
	return chunk, true
}

// Next implements dispatch.ChunkStream.
func (c *chunks) Next(ctx context.Context) (stream.Chunk, error) {
	if chunk, ok := c.pop(); ok {
		return chunk, nil
	}
	sequence := c.next
	c.next++
	if sequence > answerWords+2 {
		return stream.Chunk{}, io.EOF
	}
	_, v := c.call(ctx, target("engine:"+c.engine), "chunk", func() any {
		c.push(sequence)
		return nil
	})
	if v != done {
		if c.w.run.Broken("cut stream is reported as success") {
			return c.finish(sequence), nil
		}
		return stream.Chunk{}, io.EOF
	}
	chunk, _ := c.pop()
	return chunk, nil
}

// finish ends the answer before its time, for the mutant.
func (c *chunks) finish(sequence int64) stream.Chunk {
	stop := chunkOf(c.attempt.CompletionID, c.attempt.Version, answerWords+1)
	stop.Sequence = sequence
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrived = []stream.Chunk{{CompletionID: c.attempt.CompletionID, Sequence: sequence + 1, End: true}}
	return stop
}

// chunkOf returns a chunk of an answer: words, then the finish reason with the usage, then the end. The small model is not
// confident in chains.
func chunkOf(id string, version declaration.VersionID, sequence int64) stream.Chunk {
	chunk := stream.Chunk{CompletionID: id, Sequence: sequence}
	choice := api.ChunkChoice{}
	switch {
	case sequence <= answerWords:
		confidence := 0.9
		if strings.Contains(id, "chain") && version.Model == "small" {
			confidence = 0.2
		}
		choice.Delta.Content = wordOf(id, version, sequence)
		choice.Logprobs = &api.Logprobs{Content: []api.TokenLogprob{{Logprob: math.Log(confidence)}}}
	case sequence == answerWords+1:
		choice.FinishReason = "stop"
		chunk.Body.Usage = &api.Usage{PromptTokens: 1, CompletionTokens: answerWords, TotalTokens: 1 + answerWords}
	default:
		chunk.End = true
		return chunk
	}
	chunk.Body.Choices = []api.ChunkChoice{choice}
	return chunk
}
