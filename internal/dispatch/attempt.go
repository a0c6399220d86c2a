package dispatch

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/table"
)

// step is one step of a chain over all its attempts.
type step struct {
	job       *modelJob
	version   declaration.VersionID
	gate      *gate
	answer    *answer
	assembler *stream.Assembler
	attempts  int
	tried     []string
	// refusal is the last permit refusal; it ends the step because no server could take the work.
	refusal *fault.Error
}

// runStep makes attempts on one version until the answer is whole, too weak, or cannot be had.
func (j *modelJob) runStep(ctx context.Context, id declaration.VersionID, g *gate) (*answer, *fault.Error) {
	j.router.Retries.Budgets.CountRequest(j.class.Name, time.Now())
	s := &step{
		job:       j,
		version:   id,
		gate:      g,
		answer:    &answer{version: id, promptTokens: j.promptTokens()},
		assembler: stream.New(stream.Options{CompletionID: j.request.ID}),
	}
	for {
		outcome, server, err := s.attempt(ctx)
		if err == nil {
			s.answer.confidence = g.confidence()
			return s.answer, nil
		}
		if s.refusal != nil {
			return nil, s.refusal
		}
		if problem := s.next(ctx, outcome, server, err); problem != nil {
			j.keepPartial(s.answer)
			return nil, problem
		}
	}
}

func (j *modelJob) promptTokens() int {
	const bytesPerToken = 4
	total := 0
	for _, message := range j.request.Body.Messages {
		total += len(message.Content) / bytesPerToken
	}
	return total
}

// keepPartial keeps a line for tokens that reached the caller before the answer was cut.
func (j *modelJob) keepPartial(a *answer) {
	if j.started && a.chunks > 0 {
		j.lines = append(j.lines, a.line(linePartial, j.router.Config.Snapshot()))
	}
}

// next waits before another attempt, or returns the error that ends the step.
func (s *step) next(ctx context.Context, outcome retry.Attempt, server string, cause error) *fault.Error {
	j := s.job
	if ctx.Err() != nil {
		return ended(ctx, j.ctx, outcome, server)
	}
	verdict := j.router.Retries.Budgets.Decide(j.class.Name, retry.RequestState{
		Attempt:      outcome,
		AttemptsMade: s.attempts,
		Repeatable:   j.class.Repeatable == nil || *j.class.Repeatable,
		Relayed:      false, // A relayed answer is resumed after its last chunk, so nothing is repeated.
		Deadline:     j.deadline,
	}, time.Now(), j.random)
	if !verdict.Retry {
		code := fault.CodeBackendServerFailed
		if j.started {
			code = fault.CodeStreamCut
		}
		problem := &fault.Error{Step: fault.StepDispatch, Peer: server, Code: code, Outcome: verdict.Outcome,
			Message: fmt.Sprintf("%s failed after %d attempts, not attempted again: %s", s.version, s.attempts, verdict.Reason), Cause: cause}
		if j.started {
			problem.Outcome = api.OutcomeUnknown
		}
		return problem
	}
	j.router.Metrics.Count("cicadawall_retries_total", 1)
	timer := time.NewTimer(verdict.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ended(ctx, j.ctx, outcome, server)
	}
}

// ended returns the error of a request whose deadline passed or whose caller left.
func ended(ctx, caller context.Context, outcome retry.Attempt, server string) *fault.Error {
	code, message := fault.CodeDeadlineExceeded, "the deadline passed"
	if caller.Err() != nil {
		code, message = fault.CodeCallerGone, "the caller left"
	}
	return &fault.Error{Step: fault.StepDispatch, Peer: server, Code: code, Outcome: retry.Outcome(outcome), Message: message, Cause: ctx.Err()}
}

// attempt runs the step once on one backend server.
func (s *step) attempt(ctx context.Context) (retry.Attempt, string, error) {
	j := s.job
	server, problem := j.router.chooseServer(s.version, j.request.Body.Messages, s.tried, j.random)
	s.attempts++
	s.answer.resume()
	if problem != nil {
		s.refusal = problem
		if j.started {
			s.refusal = fault.Unknown(problem.Step, fault.CodeStreamCut, "the answer was cut and no server can resume it").WithCause(problem)
		}
		return retry.Attempt{}, "", problem
	}
	s.tried = append(s.tried, server.Entry.Id)
	if !j.router.Servers.Begin(server.Entry.Id) {
		return retry.Attempt{}, server.Entry.Id, errors.Errorf("backend server %s is leaving", server.Entry.Id)
	}
	j.router.Demand.Begin(s.version, time.Now())
	result, err := s.exchange(ctx, server)
	j.ran = j.ran || retry.Outcome(result) != api.OutcomeNotRun
	j.trace = append(j.trace, s.explain(server.Entry.Id, err))
	failed := err != nil && retry.Failed(result) && ctx.Err() == nil
	now := time.Now()
	j.router.Demand.End(s.version, now)
	j.router.Servers.End(server.Entry.Id, failed, now)
	until := j.router.Retries.Ejections.EndAttempt(server.Entry.Id, failed, now, j.random)
	j.router.Servers.Update(server.Entry.Id, func(row *table.Server) { row.EjectedUntil = until })
	return result, server.Entry.Id, err
}

func (s *step) explain(server string, err error) api.ExplainStep {
	if err != nil {
		return explained(fault.StepDispatch, server, verdictFailed, s.version.String()+": "+err.Error())
	}
	return explained(fault.StepDispatch, server, verdictChosen, s.version.String()+" answered")
}

// exchange sends the attempt and takes its chunks.
func (s *step) exchange(ctx context.Context, server table.Server) (retry.Attempt, error) {
	j := s.job
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := time.Now()
	chunks, failure := j.router.Engine.Start(ctx, server, Attempt{
		CompletionID: j.request.ID,
		Version:      s.version,
		Body:         j.request.Body,
		Priority:     j.class.Priority,
		ResumeAfter:  s.assembler.ResumeFrom(),
		Permitted:    s.permit,
	})
	if failure != nil {
		return retry.Attempt{Sent: failure.Sent, Responded: failure.Status != 0, Complete: failure.Status != 0, Status: failure.Status, Refused: failure.Refused}, failure
	}
	defer chunks.Close()
	first := true
	for {
		chunk, err := chunks.Next(ctx)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the engine's answer ended without the end marker")
			}
			return retry.Attempt{Sent: true, Responded: true}, errors.Wrap(err, "read answer")
		}
		if first {
			first = false
			j.observeFirstChunk(server.Entry.Id, s.version, time.Since(sent))
		}
		done, err := s.take(ctx, chunk)
		if err != nil {
			return retry.Attempt{Sent: true, Responded: true}, err
		}
		if done {
			return retry.Attempt{Sent: true, Responded: true, Complete: true, Status: statusOK}, nil
		}
	}
}

// statusOK is the status of a whole answer.
const statusOK = 200

// permit checks again, immediately before the send, that the version may take new work.
func (s *step) permit() error {
	j := s.job
	permit, problem := j.router.Config.Permit(j.request.Organisation, j.class.Name, s.version, time.Now())
	if problem == nil && permit.Valid(time.Now()) {
		return nil
	}
	if problem == nil {
		problem = fault.NotRun(fault.StepPermit, fault.CodeConfigurationStale, "the permit expired before the send")
	}
	if j.started {
		problem = fault.Unknown(problem.Step, fault.CodeStreamCut, "the answer was cut and may not be resumed").WithCause(problem)
	}
	s.refusal = problem
	return problem
}

// take passes the chunks on that are now in order. It returns true when the answer is whole or too weak.
func (s *step) take(ctx context.Context, chunk stream.Chunk) (bool, error) {
	ready, verdict := s.assembler.Push(chunk)
	if verdict == stream.OutsideWindow {
		return false, errors.Errorf("chunks after %d are missing", s.assembler.ResumeFrom())
	}
	for _, next := range ready {
		s.answer.add(next)
		text, escalate := s.gate.add(next)
		if done, err := s.deliver(ctx, text, escalate); done || err != nil {
			return done, err
		}
	}
	if !s.assembler.Complete() {
		return false, nil
	}
	text, escalate := s.gate.close()
	_, err := s.deliver(ctx, text, escalate)
	return true, err
}

func (s *step) deliver(ctx context.Context, text string, escalate bool) (bool, error) {
	s.answer.escalate = escalate
	return escalate, s.job.pass(ctx, s.version, text)
}

// pass hands text to the front end, with the start of the reply before the first.
func (j *modelJob) pass(ctx context.Context, id declaration.VersionID, text string) error {
	if text == "" {
		return nil
	}
	now := time.Now()
	if j.started {
		j.recorder.BetweenTokens(now.Sub(j.lastText))
	} else {
		j.recorder.FirstToken(now.Sub(j.request.Arrived))
		j.router.Classes.FirstToken(j.class.Name, now.Sub(j.request.Arrived))
		j.firstText = now
	}
	j.lastText = now
	if err := j.start(ctx, id); err != nil {
		return err
	}
	return errors.Wrap(j.reply.Send(ctx, Event{Kind: EventText, Text: text}), "hand over text")
}

// start hands over the start of the reply, once.
func (j *modelJob) start(ctx context.Context, id declaration.VersionID) error {
	if j.started {
		return nil
	}
	j.started = true
	return errors.Wrap(j.reply.Send(ctx, Event{Kind: EventStart, Version: id, Session: j.handle}), "hand over the start of the reply")
}

// observePace records the time between the tokens of an answer that ended.
func (j *modelJob) observePace(a *answer) {
	if a.chunks < 2 {
		return
	}
	took := j.lastText.Sub(j.firstText)
	j.router.Classes.BetweenTokens(j.class.Name, took/time.Duration(a.chunks-1))
	j.router.Planner.ObserveTokens(a.version, a.chunks-1, took)
}

func (j *modelJob) observeFirstChunk(server string, id declaration.VersionID, took time.Duration) {
	j.router.Servers.ObserveFirstToken(server, took)
	j.router.Planner.ObserveFirstToken(id, took)
	j.router.Retries.Budgets.ObserveFirstToken(j.class.Name, took, time.Now())
}
