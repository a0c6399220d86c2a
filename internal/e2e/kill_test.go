package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against an interrupted stream that looks complete to the caller, and against two bills for a request that the caller
// repeated at another instance.
func TestInstanceKilledDuringStream(t *testing.T) {
	c := newCluster(t)
	c.startEngine("zone-0", 60, 15)
	c.startEngine("zone-1", 60, 15)
	c.startInstances(2, nil)
	request := chatRequest{text: "settle the leg", idempotencyKey: "kill-1", seed: 7}
	request.onChunk = func(count int) {
		if count == 5 {
			c.instances[0].Signal(syscall.SIGKILL)
		}
	}
	interrupted := c.instances[0].sendChat(request)
	if interrupted.complete || interrupted.text == "" {
		t.Fatalf("the stream of the killed instance was not interrupted: %+v", interrupted)
	}
	request.onChunk = nil
	repeated := c.instances[1].sendChat(request)
	if !repeated.complete || len(repeated.text) <= len(interrupted.text) {
		t.Fatalf("the repeated request got %+v after the interrupted text %q", repeated, interrupted.text)
	}
	eventually(t, 10*time.Second, "exactly one bill for the idempotency key", func() bool {
		bills := c.bills()
		bill, ok := bills["guild/key/kill-1"]
		return ok && len(bills) == 1 && bill.Outcome == api.OutcomeAnswered
	})
}

// Guards against the loss of a bill when its instance is killed after the caller got the end marker but before the batch with
// the bill was written to the store.
func TestInstanceKilledBetweenAnswerAndBatch(t *testing.T) {
	c := newCluster(t)
	c.startEngine("zone-0", 10, 2)
	c.startInstances(2, nil)
	c.setFaults(api.PlatformFaults{Outage: true, KeyPrefix: "bill/"})
	answered := c.instances[0].sendChat(chatRequest{text: "sizes", idempotencyKey: "kill-2"})
	if !answered.complete {
		t.Fatalf("the answer before the kill is incomplete: %+v", answered)
	}
	c.instances[0].Signal(syscall.SIGKILL)
	c.instances[0].WaitForExit(5 * time.Second)
	c.setFaults(api.PlatformFaults{})
	if len(c.bills()) != 0 {
		t.Fatal("the store holds a bill although it refused bills, so the test cannot detect a fault")
	}
	// The holder of the copy regards an instance as lost after 10 s without a message, and checks every 2 s.
	eventually(t, 25*time.Second, "the holder of the copy writes the bill", func() bool {
		_, ok := c.bills()["guild/key/kill-2"]
		return ok
	})
}

// Guards against missing or duplicated tokens, or an early end, in an answer whose engine is killed.
func TestEngineKilledMidStream(t *testing.T) {
	c := newCluster(t)
	engines := []*backendServer{c.startEngine("zone-0", 80, 15), c.startEngine("zone-0", 80, 15)}
	c.startInstances(2, nil)
	want := c.instances[1].sendChat(chatRequest{text: "reconcile", seed: 3})
	before := []int{engines[0].counts().Started, engines[1].counts().Started}
	killed := -1
	got := c.instances[0].sendChat(chatRequest{text: "reconcile", seed: 3, onChunk: func(count int) {
		if count != 10 {
			return
		}
		for n, engine := range engines {
			if engine.counts().Started > before[n] {
				killed = n
				engine.Signal(syscall.SIGKILL)
			}
		}
	}})
	if killed < 0 {
		t.Fatal("no engine started the request")
	}
	if !want.complete || !got.complete || got.text != want.text {
		t.Errorf("answer after its engine was killed: %+v\nwant %+v", got, want)
	}
	if resumed := engines[1-killed].counts().Started - before[1-killed]; resumed == 0 {
		t.Error("the other engine started no request, so the stream was not resumed")
	}
}
