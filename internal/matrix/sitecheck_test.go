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
	// requestInterval is the time between two requests at one instance.
	requestInterval = 2 * time.Second
	// firstTokenTarget is the target of section 1.6 for the first token, with the time until a bill is durable (6.4) added:
	// a request is within target if it ends within both.
	wholeTarget = 1200*time.Millisecond + 800*time.Millisecond
	// calm is the time at the end of a run in which every request must be served.
	calm = 10 * time.Second
)

// asked is one request as its caller saw it.
type asked struct {
	id     string
	hub    string
	at     time.Time
	took   time.Duration
	result string
	// problem is what a caller was told; nil if the answer was whole.
	problem *fault.Error
}

const (
	served  = "served"
	refused = "refused"
	unknown = "unknown"
	wrong   = "wrong"
)

func wordOf(id string, version declaration.VersionID, sequence int64) string {
	return fmt.Sprintf("%s:%s-%d ", id, version, sequence)
}

// traffic sends requests of four kinds to every instance that the balancer knows.
func (s *site) traffic() {
	for _, h := range s.hubs {
		n := 0
		s.loops.Go(func() {
			advance(5*time.Second + h.offset)
			for ; time.Since(s.start) < s.lifetime-5*time.Second && !h.isDead(); n++ {
				if !h.isOut() {
					s.callers.Go(func() { s.ask(h, n) })
				}
				advance(requestInterval)
			}
		})
	}
}

func (h *hub) isOut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out
}

func (s *site) ask(h *hub, n int) {
	kinds := []struct{ organisation, class, session string }{
		{"posters", "check", ""},
		{"posters", "check", fmt.Sprintf("session-%d", int(time.Since(s.start)/(10*time.Second)))},
		{"posters", "chain", ""},
		{"vinyl", "once", ""},
	}
	kind := kinds[n%len(kinds)]
	one := asked{id: fmt.Sprintf("%s/%s/%s-%d", kind.organisation, kind.class, h.name, n), hub: h.name, at: time.Now()}
	h.waitPause()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	reply, problem := h.router.SubmitModel(ctx, dispatch.ModelRequest{ID: one.id, Organisation: kind.organisation, Class: kind.class,
		Session: kind.session, Arrived: time.Now(),
		Body: api.ChatCompletionRequest{Stream: true, Messages: []api.ChatMessage{{Role: "user", Content: "hello"}}}})
	one.problem = problem
	if problem == nil {
		s.read(ctx, h, reply, kind.session, &one)
	}
	one.took = time.Since(one.at)
	switch {
	case h.isDead():
		one.result = unknown
	case one.result != "":
	case one.problem == nil:
		one.result = served
	case one.problem.Outcome == api.OutcomeNotRun:
		one.result = refused
	default:
		one.result = unknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, one)
	s.refused[one.id] = one.result == refused
	s.ended[one.id] = one.result == served
}

// read takes the answer and checks that it is whole and of one version (I3, I5).
func (s *site) read(ctx context.Context, h *hub, reply *dispatch.Reply, session string, one *asked) {
	var version declaration.VersionID
	text, ended := "", false
	for {
		event, ok, problem := reply.Next(ctx)
		h.waitPause()
		if h.isDead() {
			return
		}
		if !ok {
			one.problem = problem
			break
		}
		switch event.Kind {
		case dispatch.EventStart:
			version = event.Version
			s.pin(session, version)
		case dispatch.EventText:
			text += event.Text
		case dispatch.EventEnd:
			ended = true
		}
	}
	var whole strings.Builder
	for i := range answerWords {
		whole.WriteString(wordOf(one.id, version, int64(i+1)))
	}
	if (ended && text != whole.String()) || !strings.HasPrefix(whole.String(), text) || ended != (one.problem == nil) {
		one.result = wrong
		s.run.Failf("I5: the caller of %s got %q, end marker %v, problem %v", one.id, text, ended, one.problem)
	}
}

func (s *site) pin(session string, version declaration.VersionID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if session == "" {
		return
	}
	key := session + "/" + version.Model
	if s.pinned[key] == nil {
		s.pinned[key] = map[string]bool{}
	}
	s.pinned[key][version.Version] = true
}

// checkAll checks what must hold at the end of a run, and counts what the callers saw.
func (s *site) checkAll() {
	s.callers.Wait()
	for key, versions := range s.pinned {
		if len(versions) > 1 {
			s.run.Failf("I3: %s ran on %d versions", key, len(versions))
		}
	}
	for id, notRun := range s.refused {
		if notRun && s.sends[id] > 0 {
			s.run.Failf("I6: %s was answered not_run after %d sends", id, s.sends[id])
		}
	}
	s.checkBills()
	s.checkMembers()
	s.recover()
}

// checkBills checks that every request whose caller saw the end is billed once, and no other twice (I4).
func (s *site) checkBills() {
	rows, err := billing.ReadRows(context.Background(), s.table.View(nil))
	if err != nil {
		s.run.Failf("read bill rows: %v", err)
	}
	statement, err := s.rollup(rows)
	if err != nil {
		s.run.Failf("roll-up: %v", err)
	}
	count := map[string]int{}
	for _, bill := range statement.Bills {
		count[bill.RequestID]++
	}
	for id, n := range count {
		if n > 1 {
			s.run.Failf("I4: %s is billed %d times", id, n)
		}
	}
	for _, one := range s.asked {
		identity := one.id[:strings.Index(one.id, "/")] + "/request/" + one.id
		stated := s.node(one.hub).isDead() && s.holdersLost(identity)
		if s.ended[one.id] && count[one.id] == 0 && !stated {
			s.run.Failf("I4: %s ended and is not billed", one.id)
		}
	}
}

// recover measures the time from the end of the fault until all requests are served within target.
func (s *site) recover() {
	start, end, happened := s.faultTimes()
	if !happened {
		return
	}
	one := Recovery{}
	for _, a := range s.asked {
		late := a.result != served || a.took > wholeTarget
		if late && time.Since(a.at) < calm+5*time.Second {
			s.run.Stuckf("%s, %v after the end of the fault, is %s after %v: %v", a.id, a.at.Sub(end), a.result, a.took, a.problem)
		}
		if a.at.Before(start.Add(-time.Second)) {
			continue
		}
		switch a.result {
		case served:
			one.Served++
		case refused:
			one.Refused++
		case unknown:
			one.Unknown++
		default:
			one.Wrong++
		}
		if late && a.at.Add(requestInterval).Sub(end) > one.After && !a.expected() {
			one.After = a.at.Add(requestInterval).Sub(end)
		}
	}
	s.run.Recovered(one)
}

// expected reports a refusal that the change itself causes.
func (a asked) expected() bool {
	return a.problem != nil && a.problem.Code == fault.CodeSessionVersionWithdrawn
}
