package matrix

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/billing"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/dispatch"
	"github.com/cicadawall/cicadawall/internal/fault"
)

const (
	// requestInterval is the time between two requests to one instance.
	requestInterval = 2 * time.Second
	// durationTarget is the target of section 1.6 for the time to first token plus the time until a bill is durable (section
	// 6.4). A request is within target if its whole duration does not exceed the sum.
	durationTarget = 1200*time.Millisecond + 800*time.Millisecond
	// recoveredPeriod is the time at the end of a run in which every request must be served within target.
	recoveredPeriod = 10 * time.Second
)

// requestRecord is a request and its result as the caller saw it.
type requestRecord struct {
	id           string
	instanceName string
	sentAt       time.Time
	duration     time.Duration
	result       string
	// problem is the error that the caller received; nil if the answer was complete.
	problem *fault.Error
}

const (
	served  = "served"
	refused = "refused"
	unknown = "unknown"
	wrong   = "wrong"
)

// chunkText returns the text of a chunk; it names the request, the version and the sequence, so that readAnswer detects chunks
// that are missing, repeated or from another answer.
func chunkText(id string, version declaration.VersionID, sequence int64) string {
	return fmt.Sprintf("%s:%s-%d ", id, version, sequence)
}

// sendTraffic sends requests of four kinds to every instance that the load balancer has in rotation.
func (s *fleet) sendTraffic() {
	for _, h := range s.instances {
		n := 0
		s.loops.Go(func() {
			advance(5*time.Second + h.offset)
			for ; time.Since(s.start) < s.lifetime-5*time.Second && !h.isDead(); n++ {
				if !h.isOutOfRotation() {
					s.callers.Go(func() { s.sendRequest(h, n) })
				}
				advance(requestInterval)
			}
		})
	}
}

func (h *fleetInstance) isOutOfRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outOfRotation
}

// sendRequest sends the nth request to the instance, reads the answer and records the result.
func (s *fleet) sendRequest(h *fleetInstance, n int) {
	kinds := []struct{ organisation, class, session string }{
		{"posters", "check", ""},
		{"posters", "check", fmt.Sprintf("session-%d", int(time.Since(s.start)/(10*time.Second)))},
		{"posters", "chain", ""},
		{"vinyl", "once", ""},
	}
	kind := kinds[n%len(kinds)]
	request := requestRecord{id: fmt.Sprintf("%s/%s/%s-%d", kind.organisation, kind.class, h.name, n), instanceName: h.name, sentAt: time.Now()}
	h.waitPause()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	reply, problem := h.router.SubmitModel(ctx, dispatch.ModelRequest{ID: request.id, Organisation: kind.organisation, Class: kind.class,
		Session: kind.session, Arrived: time.Now(),
		Body: api.ChatCompletionRequest{Stream: true, Messages: []api.ChatMessage{{Role: "user", Content: "hello"}}}})
	request.problem = problem
	if problem == nil {
		s.readAnswer(ctx, h, reply, kind.session, &request)
	}
	request.duration = time.Since(request.sentAt)
	switch {
	case h.isDead():
		request.result = unknown
	case request.result != "":
	case request.problem == nil:
		request.result = served
	case request.problem.Outcome == api.OutcomeNotRun:
		request.result = refused
	default:
		request.result = unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	s.refusedRequests[request.id] = request.result == refused
	s.completedRequests[request.id] = request.result == served
}

// readAnswer reads the answer and checks that it is complete and from one version (I5). It records the version of the session
// for the check of I3.
func (s *fleet) readAnswer(ctx context.Context, h *fleetInstance, reply *dispatch.Reply, session string, request *requestRecord) {
	var version declaration.VersionID
	text, ended := "", false
	for {
		event, ok, problem := reply.Next(ctx)
		h.waitPause()
		if h.isDead() {
			return
		}
		if !ok {
			request.problem = problem
			break
		}
		switch event.Kind {
		case dispatch.EventStart:
			version = event.Version
			s.recordVersion(session, version)
		case dispatch.EventText:
			text += event.Text
		case dispatch.EventEnd:
			ended = true
		}
	}
	var expected strings.Builder
	for i := range answerTextChunks {
		expected.WriteString(chunkText(request.id, version, int64(i+1)))
	}
	if (ended && text != expected.String()) || !strings.HasPrefix(expected.String(), text) || ended != (request.problem == nil) {
		request.result = wrong
		s.run.Failf("I5: the caller of %s received %q, end marker %v, error %v", request.id, text, ended, request.problem)
	}
}

func (s *fleet) recordVersion(session string, version declaration.VersionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session == "" {
		return
	}
	key := session + "/" + version.Model
	if s.sessionVersions[key] == nil {
		s.sessionVersions[key] = map[string]bool{}
	}
	s.sessionVersions[key][version.Version] = true
}

// checkAll checks the invariants that must hold at the end of a run, and measures the recovery.
func (s *fleet) checkAll() {
	s.callers.Wait()
	for key, versions := range s.sessionVersions {
		if len(versions) > 1 {
			s.run.Failf("I3: session and model %s ran on %d versions", key, len(versions))
		}
	}
	for id, notRun := range s.refusedRequests {
		if notRun && s.sendCounts[id] > 0 {
			s.run.Failf("I6: %s was answered not_run although it was sent to engines %d times", id, s.sendCounts[id])
		}
	}
	s.checkBills()
	s.checkMembers()
	s.measureRecovery()
}

// checkBills checks that every request whose caller received the end of the answer is billed once, and that no request is
// billed twice (I4).
func (s *fleet) checkBills() {
	rows, err := billing.ReadRows(context.Background(), s.table.View(nil))
	if err != nil {
		s.run.Failf("read bill rows: %v", err)
	}
	statement, err := s.rollup(rows)
	if err != nil {
		s.run.Failf("roll-up: %v", err)
	}
	billCounts := map[string]int{}
	for _, bill := range statement.Bills {
		billCounts[bill.RequestID]++
	}
	for id, n := range billCounts {
		if n > 1 {
			s.run.Failf("I4: %s is billed %d times", id, n)
		}
	}
	for _, request := range s.requests {
		identity := request.id[:strings.Index(request.id, "/")] + "/request/" + request.id
		lossAllowed := s.node(request.instanceName).isDead() && s.allHoldersDied(identity)
		if s.completedRequests[request.id] && billCounts[request.id] == 0 && !lossAllowed {
			s.run.Failf("I4: the caller of %s received the end of the answer, but the request is not billed", request.id)
		}
	}
}

// measureRecovery measures the time from the end of the fault until all requests are served within target again, and checks
// that every request in the recoveredPeriod is.
func (s *fleet) measureRecovery() {
	start, end, happened := s.faultTimes()
	if !happened {
		return
	}
	recovery := Recovery{}
	for _, request := range s.requests {
		missedTarget := request.result != served || request.duration > durationTarget
		if missedTarget && time.Since(request.sentAt) < recoveredPeriod+5*time.Second {
			s.run.FailLivenessf("%s, sent %v after the end of the fault, is %s after %v: %v", request.id, request.sentAt.Sub(end), request.result, request.duration, request.problem)
		}
		if request.sentAt.Before(start.Add(-time.Second)) {
			continue
		}
		switch request.result {
		case served:
			recovery.Served++
		case refused:
			recovery.Refused++
		case unknown:
			recovery.Unknown++
		default:
			recovery.Wrong++
		}
		if missedTarget && request.sentAt.Add(requestInterval).Sub(end) > recovery.Duration && !request.refusedByChange() {
			recovery.Duration = request.sentAt.Add(requestInterval).Sub(end)
		}
	}
	s.run.AddRecovery(recovery)
}

// refusedByChange reports whether the request was refused because the change withdrew the version of its session.
func (a requestRecord) refusedByChange() bool {
	return a.problem != nil && a.problem.Code == fault.CodeSessionVersionWithdrawn
}
