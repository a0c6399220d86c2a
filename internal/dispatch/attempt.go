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

// chainStep is the execution of one step of a chain: all its attempts on one version.
type chainStep struct {
	job          *modelJob
	version      declaration.VersionID
	gate         *confidenceGate
	answer       *answer
	assembler    *stream.Assembler
	attemptCount int
	triedServers []string
	// finalError ends the step without a retry. It is set if no backend server can be chosen or the permit is refused, since
	// another attempt could not succeed either.
	finalError *fault.Error
}

// runStep makes attempts on one version until the answer is complete, its confidence is too low, or no attempt may follow.
func (j *modelJob) runStep(ctx context.Context, id declaration.VersionID, g *confidenceGate) (*answer, *fault.Error) {
	j.router.Retries.Budgets.CountRequest(j.class.Name, time.Now())
	s := &chainStep{
		job:       j,
		version:   id,
		gate:      g,
		answer:    &answer{version: id, promptTokens: j.estimatePromptTokens()},
		assembler: stream.New(stream.Options{CompletionID: j.request.ID}),
	}
	for {
		result, server, err := s.attempt(ctx)
		if err == nil {
			s.answer.confidence = g.confidence()
			return s.answer, nil
		}
		if s.finalError != nil {
			return nil, s.finalError
		}
		if problem := s.awaitRetry(ctx, result, server, err); problem != nil {
			j.addPartialBillLine(s.answer)
			return nil, problem
		}
	}
}

// estimatePromptTokens estimates the number of prompt tokens from the length of the messages.
func (j *modelJob) estimatePromptTokens() int {
	const bytesPerToken = 4
	total := 0
	for _, message := range j.request.Body.Messages {
		total += len(message.Content) / bytesPerToken
	}
	return total
}

// addPartialBillLine adds a bill line for the tokens that reached the caller before the answer was cut.
func (j *modelJob) addPartialBillLine(a *answer) {
	if j.replyStarted && a.textChunks > 0 {
		j.billLines = append(j.billLines, a.billLine(billLinePartial, j.router.Config.Snapshot()))
	}
}

// awaitRetry waits for the backoff before the next attempt, or returns the error that ends the step if no retry is allowed.
func (s *chainStep) awaitRetry(ctx context.Context, result retry.Attempt, server string, cause error) *fault.Error {
	j := s.job
	if ctx.Err() != nil {
		return contextError(ctx, j.ctx, result, server)
	}
	verdict := j.router.Retries.Budgets.Decide(j.class.Name, retry.RequestState{
		Attempt:      result,
		AttemptsMade: s.attemptCount,
		Repeatable:   j.class.Repeatable == nil || *j.class.Repeatable,
		Relayed:      false, // Another attempt resumes the answer after its last chunk, so the caller receives no text twice.
		Deadline:     j.deadline,
	}, time.Now(), j.random)
	if !verdict.Retry {
		code := fault.CodeBackendServerFailed
		if j.replyStarted {
			code = fault.CodeStreamCut
		}
		problem := &fault.Error{Step: fault.StepDispatch, Peer: server, Code: code, Outcome: verdict.Outcome,
			Message: fmt.Sprintf("%s failed after %d attempts and is not retried: %s", s.version, s.attemptCount, verdict.Reason), Cause: cause}
		if j.replyStarted {
			problem.Outcome = api.OutcomeUnknown
		}
		return problem
	}
	j.router.Metrics.AddToCounter("cicadawall_retries_total", 1)
	timer := time.NewTimer(verdict.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return contextError(ctx, j.ctx, result, server)
	}
}

// contextError returns the error of a request whose context ended: the caller disconnected or the deadline passed.
func contextError(ctx, callerCtx context.Context, result retry.Attempt, server string) *fault.Error {
	code, message := fault.CodeDeadlineExceeded, "the deadline passed"
	if callerCtx.Err() != nil {
		code, message = fault.CodeCallerGone, "the caller disconnected"
	}
	return &fault.Error{Step: fault.StepDispatch, Peer: server, Code: code, Outcome: retry.Outcome(result), Message: message, Cause: ctx.Err()}
}

// attempt runs the step once on one backend server, and returns what is known about the attempt and the server's id.
func (s *chainStep) attempt(ctx context.Context) (retry.Attempt, string, error) {
	j := s.job
	server, problem := j.router.chooseServer(s.version, j.request.Body.Messages, s.triedServers, j.random)
	s.attemptCount++
	s.answer.beginAttempt()
	if problem != nil {
		s.finalError = problem
		if j.replyStarted {
			s.finalError = fault.Unknown(problem.Step, fault.CodeStreamCut, "the answer was interrupted and no backend server can resume it").WithCause(problem)
		}
		return retry.Attempt{}, "", problem
	}
	s.triedServers = append(s.triedServers, server.Entry.Id)
	if !j.router.Servers.BeginAttempt(server.Entry.Id) {
		return retry.Attempt{}, server.Entry.Id, errors.Errorf("backend server %s is leaving", server.Entry.Id)
	}
	j.router.Demand.Begin(s.version, time.Now())
	result, err := s.streamAnswer(ctx, server)
	j.mayHaveRun = j.mayHaveRun || retry.Outcome(result) != api.OutcomeNotRun
	j.trace = append(j.trace, s.explainAttempt(server.Entry.Id, err))
	failed := err != nil && retry.Failed(result) && ctx.Err() == nil
	now := time.Now()
	j.router.Demand.End(s.version, now)
	j.router.Servers.EndAttempt(server.Entry.Id, failed, now)
	ejectedUntil := j.router.Retries.Ejections.EndAttempt(server.Entry.Id, failed, now, j.random)
	j.router.Servers.Update(server.Entry.Id, func(row *table.Server) { row.EjectedUntil = ejectedUntil })
	return result, server.Entry.Id, err
}

func (s *chainStep) explainAttempt(server string, err error) api.ExplainStep {
	if err != nil {
		return newExplainStep(fault.StepDispatch, server, verdictFailed, s.version.String()+": "+err.Error())
	}
	return newExplainStep(fault.StepDispatch, server, verdictChosen, s.version.String()+" answered")
}

// streamAnswer sends the attempt and processes its chunks until the answer is complete or is to be escalated.
func (s *chainStep) streamAnswer(ctx context.Context, server table.Server) (retry.Attempt, error) {
	j := s.job
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sentAt := time.Now()
	chunks, failure := j.router.Engine.Start(ctx, server, Attempt{
		CompletionID: j.request.ID,
		Version:      s.version,
		Body:         j.request.Body,
		Priority:     j.class.Priority,
		ResumeAfter:  s.assembler.ResumeFrom(),
		CheckPermit:  s.checkPermit,
	})
	if failure != nil {
		return retry.Attempt{Sent: failure.Sent, Responded: failure.Status != 0, Complete: failure.Status != 0, Status: failure.Status, Refused: failure.Refused}, failure
	}
	defer chunks.Close()
	awaitingFirstChunk := true
	for {
		chunk, err := chunks.Next(ctx)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("the engine's stream ended without the end marker")
			}
			return retry.Attempt{Sent: true, Responded: true}, errors.Wrap(err, "read the engine's answer")
		}
		if awaitingFirstChunk {
			awaitingFirstChunk = false
			j.observeFirstTokenLatency(server.Entry.Id, s.version, time.Since(sentAt))
		}
		done, err := s.processChunk(ctx, chunk)
		if err != nil {
			return retry.Attempt{Sent: true, Responded: true}, err
		}
		if done {
			return retry.Attempt{Sent: true, Responded: true, Complete: true, Status: statusOK}, nil
		}
	}
}

// statusOK is the HTTP status of a complete answer.
const statusOK = 200

// checkPermit checks again, immediately before the attempt is sent, that the version may run the request.
func (s *chainStep) checkPermit() error {
	j := s.job
	permit, problem := j.router.Config.Permit(j.request.Organisation, j.class.Name, s.version, time.Now())
	if problem == nil && permit.Valid(time.Now()) {
		return nil
	}
	if problem == nil {
		problem = fault.NotRun(fault.StepPermit, fault.CodeConfigurationStale, "the permit expired before the attempt was sent")
	}
	if j.replyStarted {
		problem = fault.Unknown(problem.Step, fault.CodeStreamCut, "the answer was interrupted and no further attempt is permitted").WithCause(problem)
	}
	s.finalError = problem
	return problem
}

// processChunk delivers the chunks that the new chunk completes to an unbroken sequence. It returns true when the answer is
// complete or is to be escalated.
func (s *chainStep) processChunk(ctx context.Context, chunk stream.Chunk) (bool, error) {
	ready, verdict := s.assembler.Push(chunk)
	if verdict == stream.OutsideWindow {
		return false, errors.Errorf("chunks after sequence number %d are missing", s.assembler.ResumeFrom())
	}
	for _, readyChunk := range ready {
		s.answer.add(readyChunk)
		text, escalate := s.gate.add(readyChunk)
		if done, err := s.deliverText(ctx, text, escalate); done || err != nil {
			return done, err
		}
	}
	if !s.assembler.Complete() {
		return false, nil
	}
	text, escalate := s.gate.close()
	_, err := s.deliverText(ctx, text, escalate)
	return true, err
}

// deliverText sends text to the front end and returns whether the answer is to be escalated.
func (s *chainStep) deliverText(ctx context.Context, text string, escalate bool) (bool, error) {
	s.answer.escalate = escalate
	return escalate, s.job.sendText(ctx, s.version, text)
}

// sendText sends text to the front end, preceded by the start event if it is the first text of the reply.
func (j *modelJob) sendText(ctx context.Context, id declaration.VersionID, text string) error {
	if text == "" {
		return nil
	}
	now := time.Now()
	if j.replyStarted {
		j.recorder.InterToken(now.Sub(j.lastTextAt))
	} else {
		j.recorder.FirstToken(now.Sub(j.request.Arrived))
		j.router.Classes.RecordFirstToken(j.class.Name, now.Sub(j.request.Arrived))
		j.firstTextAt = now
	}
	j.lastTextAt = now
	if err := j.sendStart(ctx, id); err != nil {
		return err
	}
	return errors.Wrap(j.reply.Send(ctx, Event{Kind: EventText, Text: text}), "send text to the front end")
}

// sendStart sends the start event to the front end unless it was sent before.
func (j *modelJob) sendStart(ctx context.Context, id declaration.VersionID) error {
	if j.replyStarted {
		return nil
	}
	j.replyStarted = true
	return errors.Wrap(j.reply.Send(ctx, Event{Kind: EventStart, Version: id, Session: j.sessionHandle}), "send the start event to the front end")
}

// observeInterTokenLatency records the mean inter-token latency of a complete answer.
func (j *modelJob) observeInterTokenLatency(a *answer) {
	if a.textChunks < 2 {
		return
	}
	elapsed := j.lastTextAt.Sub(j.firstTextAt)
	j.router.Classes.RecordInterToken(j.class.Name, elapsed/time.Duration(a.textChunks-1))
	j.router.Planner.ObserveTokens(a.version, a.textChunks-1, elapsed)
}

func (j *modelJob) observeFirstTokenLatency(server string, id declaration.VersionID, latency time.Duration) {
	j.router.Servers.ObserveTimeToFirstToken(server, latency)
	j.router.Planner.ObserveFirstToken(id, latency)
	j.router.Retries.Budgets.ObserveFirstToken(j.class.Name, latency, time.Now())
}
