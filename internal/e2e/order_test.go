package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// pastClaimWindow is longer than the 5 s within which the holder of a claim may send.
const pastClaimWindow = 5500 * time.Millisecond

// orderSite is a world with two instances and an order server behind an interposer. Instance 0 is paused by the tests.
type orderSite struct {
	*world
	service string
	server  *backend
}

func (s *orderSite) orders(checks bool, address func(*backend) string) {
	s.service = "unchecked"
	if checks {
		s.service = "checked"
	}
	s.server = s.orderServer(checks)
	s.list(api.InstanceEntry{Id: s.server.id, Kind: api.KindService, AvailabilityZone: "zone-0", Service: s.service, ChecksFencing: checks}, address(s.server))
}

// pausedOrder sends an order to instance 0, pauses the instance when the interposer holds a call, repeats the order at
// instance 1 and resumes instance 0 after the claim window.
func (s *orderSite) pausedOrder(hold *interposer, key string) (first, repeat answer) {
	s.t.Helper()
	var group sync.WaitGroup
	group.Go(func() { first = s.instances[0].order(s.service, key) })
	select {
	case <-hold.reached:
	case <-time.After(10 * time.Second):
		s.t.Fatal("the held call was not made")
	}
	s.instances[0].signal(syscall.SIGSTOP)
	hold.release()
	group.Go(func() { repeat = s.instances[1].order(s.service, key) })
	elapse(pastClaimWindow)
	s.instances[0].signal(syscall.SIGCONT)
	group.Wait()
	return first, repeat
}

// truthful checks the answers of a key against what ran at the order server.
func (s *orderSite) truthful(key string, answers ...answer) {
	s.t.Helper()
	ran := s.server.executions(s.service, key)
	s.t.Logf("key %s ran %d times", key, ran)
	if ran > 1 {
		s.t.Errorf("order %s ran %d times", key, ran)
	}
	for n, a := range answers {
		s.t.Logf("answer %d: status %d, code %s, outcome %s", n, a.status, a.problem.Code, a.problem.Outcome)
		if a.complete && ran != 1 {
			s.t.Errorf("answer %d confirms an order that ran %d times", n, ran)
		}
		if !a.complete && a.problem.Outcome == "" {
			s.t.Errorf("answer %d has no outcome: %+v", n, a)
		}
	}
}

// Guards against a second execution when the holder of a claim is paused between the claim and the send, and against a
// repeat that is told something false meanwhile.
func TestPauseBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			s := &orderSite{world: newWorld(t)}
			claims := interpose(t, s.platform, held{after: true, match: func(r *http.Request) bool {
				return r.Method == http.MethodPut && strings.Contains(r.URL.Path, "/order/")
			}})
			s.orders(checks, func(b *backend) string { return b.base[len("http://"):] })
			s.add("entry-0", "zone-0", claims.URL, nil)
			s.add("entry-1", "zone-1", s.platform, nil)
			s.ready()
			first, repeat := s.pausedOrder(claims, "pause-1")
			s.truthful("pause-1", first, repeat)
			if first.complete && s.server.executions(s.service, "pause-1") == 0 {
				t.Error("the paused holder confirms an order that did not run")
			}
			last := s.instances[1].order(s.service, "pause-1")
			s.truthful("pause-1", last)
			if !last.complete {
				t.Errorf("a repeat after the pause ended as %+v", last)
			}
		})
	}
}

// Guards against a second execution when the order is on its way to the order server while its holder is paused.
func TestPauseBetweenSendAndResult(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			s := &orderSite{world: newWorld(t)}
			var sends *interposer
			s.orders(checks, func(b *backend) string {
				sends = interpose(t, b.base, held{after: true, match: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/orders") }})
				return sends.address()
			})
			s.start(2, nil)
			first, repeat := s.pausedOrder(sends, "pause-2")
			s.truthful("pause-2", first, repeat)
			if ran := s.server.executions(s.service, "pause-2"); ran != 1 {
				t.Errorf("the order ran %d times although it reached the order server", ran)
			}
			if repeat.problem.Outcome == api.OutcomeNotRun {
				t.Errorf("the repeat is told that the order did not run: %+v", repeat)
			}
		})
	}
}

// Guards against two executions when two instances get one key at the same moment.
func TestOneKeyAtTwoInstances(t *testing.T) {
	s := &orderSite{world: newWorld(t)}
	s.orders(true, func(b *backend) string { return b.base[len("http://"):] })
	s.start(2, nil)
	const keys = 20
	for n := range keys {
		key := fmt.Sprintf("twice-%d", n)
		var answers [2]answer
		var group sync.WaitGroup
		begin := make(chan struct{})
		for i := range answers {
			group.Go(func() {
				<-begin
				answers[i] = s.instances[i].order(s.service, key)
			})
		}
		close(begin)
		group.Wait()
		if ran := s.server.executions(s.service, key); ran != 1 || !answers[0].complete || answers[0].text != answers[1].text {
			t.Errorf("key %s ran %d times, answers %+v", key, ran, answers)
		}
	}
}
