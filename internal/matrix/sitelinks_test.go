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

var errNoAnswer = errors.New("call was not answered")

// Range implements platform.Table. With the mutant "revision may fall", a stale read installs the older document.
func (h *fleetInstance) Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error) {
	rows, err := h.instance.Range(ctx, prefix, after, limit)
	if h.w.run.Broken("revision may fall") && h.staleness(memory.OpRange, "") != memory.FaultNone {
		if doc, problems := declaration.Parse("", []byte(declarationText(api.VersionServing))); len(problems) == 0 {
			h.config.Install(declaration.Compile(h.config.Revision()+1, doc))
		}
	}
	return rows, err
}

// objectsLink is the object store, reached over the faulty link of an instance.
type objectsLink struct{ *fleetInstance }

func (o objectsLink) PutIfAbsent(ctx context.Context, key string, value []byte) error {
	reply, v := o.call(ctx, toStore, "put:document", func() any { return o.fleet.objects.PutIfAbsent(context.Background(), key, value) })
	switch {
	case v == noEffect:
		return platform.ErrUnavailable
	case v == noReply:
		return platform.ErrAmbiguous
	case reply == nil:
		return nil
	}
	return reply.(error)
}

type documentReply struct {
	text []byte
	err  error
}

func (o objectsLink) Get(ctx context.Context, key string) ([]byte, error) {
	reply, v := o.call(ctx, toStore, "get:document", func() any {
		text, err := o.fleet.objects.Get(context.Background(), key)
		return documentReply{text, err}
	})
	if v != done {
		return nil, platform.ErrUnavailable
	}
	o.local("install")
	return reply.(documentReply).text, reply.(documentReply).err
}

// listLink is the platform's list of instances, which drops dead and paused instances with a delay (droppedFromList).
type listLink struct{ *fleetInstance }

func (l listLink) List(ctx context.Context) ([]api.InstanceEntry, error) {
	reply, v := l.call(ctx, "list", "list", func() any {
		var entries []api.InstanceEntry
		for _, h := range l.fleet.instances {
			if !l.w.droppedFromList(h.name) {
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

// peersLink is the transport between instances, with the faults of the links.
type peersLink struct{ *fleetInstance }

// callPeer calls a peer. A dead or paused peer does not answer.
func (p peersLink) callPeer(ctx context.Context, address membership.Address, op string, effect func(peer *fleetInstance) any) (any, error) {
	peer := p.fleet.instances[address.Port-9001]
	peer.mu.Lock()
	silent := !peer.diedAt.IsZero() || time.Now().Before(peer.pausedUntil)
	peer.mu.Unlock()
	if silent {
		p.sleep(ctx, time.Second)
		return nil, errNoAnswer
	}
	reply, v := p.call(ctx, toPeer(peer.name), op, func() any { return effect(peer) })
	if v != done || reply == nil {
		return nil, errNoAnswer
	}
	return reply, nil
}

func (p peersLink) Digest(ctx context.Context, address membership.Address) (api.Digest, error) {
	reply, err := p.callPeer(ctx, address, "digest", func(peer *fleetInstance) any { return peer.members.Digest(time.Now()) })
	if err != nil {
		return api.Digest{}, err
	}
	return reply.(api.Digest), nil
}

func (p peersLink) Registrations(ctx context.Context, address membership.Address, after int64) (api.RegistrationSet, error) {
	reply, err := p.callPeer(ctx, address, "registrations", func(peer *fleetInstance) any { return peer.members.Registrations(after) })
	if err != nil {
		return api.RegistrationSet{}, err
	}
	return reply.(api.RegistrationSet), nil
}

func (p peersLink) Revision(ctx context.Context, address membership.Address, revision int64) (api.RevisionDocument, error) {
	reply, err := p.callPeer(ctx, address, "revision", func(peer *fleetInstance) any {
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

// ledgerLink commits bills. With the mutant "end marker before the bill", Commit returns before the bill is durable.
type ledgerLink struct{ *fleetInstance }

func (l ledgerLink) HasCapacity() bool { return l.bills.ledger.HasCapacity() }

func (l ledgerLink) Commit(ctx context.Context, bill api.Bill) error {
	if l.w.run.Broken("end marker before the bill") {
		l.w.loops.Go(func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Minute)
			defer cancel()
			_ = l.bills.ledger.Commit(ctx, bill)
		})
		return nil
	}
	return l.bills.ledger.Commit(ctx, bill)
}

// limiterStep admits every request; faults may start at the step "admit".
type limiterStep struct{ *fleetInstance }

func (l limiterStep) Admit(string, api.OrganisationLimits, int, float64, time.Time) *fault.Error {
	l.local("admit")
	return nil
}

// samplerStep discards samples; faults may start at the step "end".
type samplerStep struct{ *fleetInstance }

func (s samplerStep) Sample(quality.Answer) { s.local("end") }

// queueStep is the admission queue from which the workers take jobs; faults may start at the step "queue".
type queueStep struct{ *fleetInstance }

func (q queueStep) Next(ctx context.Context) (worker.Job, bool) {
	job, ok := q.queue.Next(ctx)
	if ok {
		q.local("queue")
	}
	return job, ok
}

// engineLink sends attempts to two engines over the faulty links of an instance.
type engineLink struct{ *fleetInstance }

// Start checks the permit, checks the invariants of a send, and sends the attempt.
func (e engineLink) Start(ctx context.Context, server table.Server, attempt dispatch.Attempt) (dispatch.ChunkStream, *dispatch.AttemptError) {
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
	e.fleet.checkSend(e.fleetInstance, attempt)
	_, v := e.call(ctx, linkTarget("engine:"+server.Entry.Id), "send-"+stage, func() any {
		e.fleet.recordSend(attempt)
		return nil
	})
	if v != done {
		return nil, &dispatch.AttemptError{Sent: !e.w.run.Broken("lost send counts as unsent"), Cause: errNoAnswer}
	}
	return &answerStream{fleetInstance: e.fleetInstance, engine: server.Entry.Id, attempt: attempt, nextSequence: attempt.ResumeAfter + 1}, nil
}

// checkSend checks, at the moment of the send, that the organisation may use the version (I1) and that the version is not
// withdrawn (I2).
func (s *fleet) checkSend(h *fleetInstance, attempt dispatch.Attempt) {
	if strings.HasPrefix(attempt.CompletionID, "vinyl") && attempt.Version.Model != "large" {
		s.run.Failf("I1: %s sends %s to %s, which the organisation may not use", h.name, attempt.CompletionID, attempt.Version)
	}
	if s.isWithdrawn(attempt.Version) {
		s.run.Failf("I2: %s sends %s to %s after its withdrawal was accepted", h.name, attempt.CompletionID, attempt.Version)
	}
}

// recordSend counts an attempt that reached an engine and checks that a request that is not repeatable is sent only once.
func (s *fleet) recordSend(attempt dispatch.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendCounts[attempt.CompletionID]++
	if s.sendCounts[attempt.CompletionID] > 1 && strings.Contains(attempt.CompletionID, "once") && attempt.ResumeAfter == 0 {
		s.run.Failf("a request of a class that is not repeatable was sent twice: %s", attempt.CompletionID)
	}
}

// answerStream is the stream of one answer. It also delivers a chunk of another answer and, under faults, repeated chunks.
type answerStream struct {
	*fleetInstance
	engine       string
	attempt      dispatch.Attempt
	nextSequence int64

	mu       sync.Mutex
	received []stream.Chunk
}

func (c *answerStream) Close() {}

func (c *answerStream) push(sequence int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence == 2 {
		c.received = append(c.received, answerChunk("another-answer", c.attempt.Version, sequence))
	}
	c.received = append(c.received, answerChunk(c.attempt.CompletionID, c.attempt.Version, sequence))
}

func (c *answerStream) pop() (stream.Chunk, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.received) == 0 {
		return stream.Chunk{}, false
	}
	chunk := c.received[0]
	c.received = c.received[1:]
	return chunk, true
}

// Next implements dispatch.ChunkStream.
func (c *answerStream) Next(ctx context.Context) (stream.Chunk, error) {
	if chunk, ok := c.pop(); ok {
		return chunk, nil
	}
	sequence := c.nextSequence
	c.nextSequence++
	if sequence > answerTextChunks+2 {
		return stream.Chunk{}, io.EOF
	}
	_, v := c.call(ctx, linkTarget("engine:"+c.engine), "chunk", func() any {
		c.push(sequence)
		return nil
	})
	if v != done {
		if c.w.run.Broken("cut stream is reported as success") {
			return c.finishEarly(sequence), nil
		}
		return stream.Chunk{}, io.EOF
	}
	chunk, _ := c.pop()
	return chunk, nil
}

// finishEarly ends the answer early and marks it as complete, for the mutant "cut stream is reported as success".
func (c *answerStream) finishEarly(sequence int64) stream.Chunk {
	stop := answerChunk(c.attempt.CompletionID, c.attempt.Version, answerTextChunks+1)
	stop.Sequence = sequence
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = []stream.Chunk{{CompletionID: c.attempt.CompletionID, Sequence: sequence + 1, End: true}}
	return stop
}

// answerChunk returns a chunk of an answer: first the text chunks, then the finish reason with the usage, then the end. In
// requests of class chain, the small model answers with low confidence, so that the cascade escalates.
func answerChunk(id string, version declaration.VersionID, sequence int64) stream.Chunk {
	chunk := stream.Chunk{CompletionID: id, Sequence: sequence}
	choice := api.ChunkChoice{}
	switch {
	case sequence <= answerTextChunks:
		confidence := 0.9
		if strings.Contains(id, "chain") && version.Model == "small" {
			confidence = 0.2
		}
		choice.Delta.Content = chunkText(id, version, sequence)
		choice.Logprobs = &api.Logprobs{Content: []api.TokenLogprob{{Logprob: math.Log(confidence)}}}
	case sequence == answerTextChunks+1:
		choice.FinishReason = "stop"
		chunk.Body.Usage = &api.Usage{PromptTokens: 1, CompletionTokens: answerTextChunks, TotalTokens: 1 + answerTextChunks}
	default:
		chunk.End = true
		return chunk
	}
	chunk.Body.Choices = []api.ChunkChoice{choice}
	return chunk
}
