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

// pastClaimWindow is longer than the claim window, the 5 s within which the holder of a claim may send the order.
const pastClaimWindow = 5500 * time.Millisecond

// orderCluster is a cluster with two instances and an order server. Tests hold calls with an interposer and pause instance 0.
type orderCluster struct {
	*cluster
	service string
	server  *backendServer
}

func (s *orderCluster) addOrderServer(checksFence bool, address func(*backendServer) string) {
	s.service = "unchecked"
	if checksFence {
		s.service = "checked"
	}
	s.server = s.startOrderServer(checksFence)
	s.putListEntry(api.InstanceEntry{Id: s.server.id, Kind: api.KindService, AvailabilityZone: "zone-0", Service: s.service, ChecksFencing: checksFence}, address(s.server))
}

// orderWithPause sends an order to instance 0, pauses that instance when the interposer holds a call, repeats the order at
// instance 1 and resumes instance 0 after the claim window.
func (s *orderCluster) orderWithPause(interposed *interposer, key string) (first, repeat answer) {
	s.t.Helper()
	var group sync.WaitGroup
	group.Go(func() { first = s.instances[0].sendOrder(s.service, key) })
	select {
	case <-interposed.heldCalls:
	case <-time.After(10 * time.Second):
		s.t.Fatal("the call that the interposer holds was not made within 10 s")
	}
	s.instances[0].Signal(syscall.SIGSTOP)
	interposed.release()
	group.Go(func() { repeat = s.instances[1].sendOrder(s.service, key) })
	sleep(pastClaimWindow)
	s.instances[0].Signal(syscall.SIGCONT)
	group.Wait()
	return first, repeat
}

// checkAnswers checks the answers for an idempotency key against the executions at the order server.
func (s *orderCluster) checkAnswers(key string, answers ...answer) {
	s.t.Helper()
	ran := s.server.executionCount(s.service, key)
	s.t.Logf("key %s ran %d times", key, ran)
	if ran > 1 {
		s.t.Errorf("order %s ran %d times", key, ran)
	}
	for n, a := range answers {
		s.t.Logf("answer %d: status %d, code %s, outcome %s", n, a.status, a.errorDetail.Code, a.errorDetail.Outcome)
		if a.complete && ran != 1 {
			s.t.Errorf("answer %d confirms an order that ran %d times", n, ran)
		}
		if !a.complete && a.errorDetail.Outcome == "" {
			s.t.Errorf("answer %d has no outcome: %+v", n, a)
		}
	}
}

// Guards against a second execution when the holder of a claim is paused between the claim and the send, and against a false
// answer to a repeat of the order during the pause.
func TestPauseBetweenClaimAndSend(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			s := &orderCluster{cluster: newCluster(t)}
			claims := newInterposer(t, s.platformURL, holdRule{holdResponse: true, match: func(r *http.Request) bool {
				return r.Method == http.MethodPut && strings.Contains(r.URL.Path, "/order/")
			}})
			s.addOrderServer(checks, func(b *backendServer) string { return b.baseURL[len("http://"):] })
			s.startInstance("entry-0", "zone-0", claims.URL, nil)
			s.startInstance("entry-1", "zone-1", s.platformURL, nil)
			s.configure()
			first, repeat := s.orderWithPause(claims, "pause-1")
			s.checkAnswers("pause-1", first, repeat)
			if first.complete && s.server.executionCount(s.service, "pause-1") == 0 {
				t.Error("the paused instance confirms an order that did not run")
			}
			last := s.instances[1].sendOrder(s.service, "pause-1")
			s.checkAnswers("pause-1", last)
			if !last.complete {
				t.Errorf("a repeat after the pause did not complete: %+v", last)
			}
		})
	}
}

// Guards against a second execution when the holder of the claim is paused after it has sent the order to the order server and
// before it gets the result.
func TestPauseBetweenSendAndResult(t *testing.T) {
	t.Parallel()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%t", checks), func(t *testing.T) {
			s := &orderCluster{cluster: newCluster(t)}
			var sends *interposer
			s.addOrderServer(checks, func(b *backendServer) string {
				sends = newInterposer(t, b.baseURL, holdRule{holdResponse: true, match: func(r *http.Request) bool { return strings.HasSuffix(r.URL.Path, "/orders") }})
				return sends.address()
			})
			s.startInstances(2, nil)
			first, repeat := s.orderWithPause(sends, "pause-2")
			s.checkAnswers("pause-2", first, repeat)
			if ran := s.server.executionCount(s.service, "pause-2"); ran != 1 {
				t.Errorf("the order ran %d times although it reached the order server", ran)
			}
			if repeat.errorDetail.Outcome == api.OutcomeNotRun {
				t.Errorf("the repeat is answered with not_run although the order ran: %+v", repeat)
			}
		})
	}
}

// Guards against two executions when two instances receive orders with the same idempotency key at the same time.
func TestOneKeyAtTwoInstances(t *testing.T) {
	s := &orderCluster{cluster: newCluster(t)}
	s.addOrderServer(true, func(b *backendServer) string { return b.baseURL[len("http://"):] })
	s.startInstances(2, nil)
	const keys = 20
	for n := range keys {
		key := fmt.Sprintf("twice-%d", n)
		var answers [2]answer
		var group sync.WaitGroup
		startBoth := make(chan struct{})
		for i := range answers {
			group.Go(func() {
				<-startBoth
				answers[i] = s.instances[i].sendOrder(s.service, key)
			})
		}
		close(startBoth)
		group.Wait()
		if ran := s.server.executionCount(s.service, key); ran != 1 || !answers[0].complete || answers[0].text != answers[1].text {
			t.Errorf("key %s ran %d times, answers %+v", key, ran, answers)
		}
	}
}
