package e2e

import (
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against a cut stream that looks whole to the caller, and against two bills for a request that was repeated at
// another instance.
func TestInstanceKilledDuringStream(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 60, 15)
	w.engine("zone-1", 60, 15)
	w.start(2, nil)
	request := chat{text: "settle the leg", key: "kill-1", seed: 7}
	request.onText = func(count int) {
		if count == 5 {
			w.instances[0].signal(syscall.SIGKILL)
		}
	}
	cut := w.instances[0].chat(request)
	if cut.complete || cut.text == "" {
		t.Fatalf("the stream of a killed instance ended as %+v", cut)
	}
	request.onText = nil
	whole := w.instances[1].chat(request)
	if !whole.complete || len(whole.text) <= len(cut.text) {
		t.Fatalf("the repeat ended as %+v after %q", whole, cut.text)
	}
	eventually(t, 10*time.Second, "one bill of the key", func() bool {
		bills := w.bills()
		bill, ok := bills["guild/key/kill-1"]
		return ok && len(bills) == 1 && bill.Outcome == api.OutcomeAnswered
	})
}

// Guards against the loss of a bill whose owner dies after the caller got the end marker and before the store took the
// batch.
func TestInstanceKilledBetweenAnswerAndBatch(t *testing.T) {
	w := newWorld(t)
	w.engine("zone-0", 10, 2)
	w.start(2, nil)
	w.faults(api.PlatformFaults{Outage: true, KeyPrefix: "bill/"})
	done := w.instances[0].chat(chat{text: "sizes", key: "kill-2"})
	if !done.complete {
		t.Fatalf("answer: %+v", done)
	}
	w.instances[0].signal(syscall.SIGKILL)
	w.instances[0].exit(5 * time.Second)
	w.faults(api.PlatformFaults{})
	if len(w.bills()) != 0 {
		t.Fatal("the store holds a bill although it refused bills; the test shows nothing")
	}
	// The holder takes an owner for gone after 10 s without a message and looks every 2 s.
	eventually(t, 25*time.Second, "the bill written by the holder of the copy", func() bool {
		_, ok := w.bills()["guild/key/kill-2"]
		return ok
	})
}

// Guards against a gap, a repetition or a cut in an answer whose engine dies.
func TestEngineKilledMidStream(t *testing.T) {
	w := newWorld(t)
	engines := []*backend{w.engine("zone-0", 80, 15), w.engine("zone-0", 80, 15)}
	w.start(2, nil)
	want := w.instances[1].chat(chat{text: "reconcile", seed: 3})
	before := []int{engines[0].counts().Started, engines[1].counts().Started}
	killed := -1
	got := w.instances[0].chat(chat{text: "reconcile", seed: 3, onText: func(count int) {
		if count != 10 {
			return
		}
		for n, engine := range engines {
			if engine.counts().Started > before[n] {
				killed = n
				engine.signal(syscall.SIGKILL)
			}
		}
	}})
	if killed < 0 {
		t.Fatal("no engine started the request")
	}
	if !want.complete || !got.complete || got.text != want.text {
		t.Errorf("answer after the loss of its engine: %+v\nwant %+v", got, want)
	}
	if resumed := engines[1-killed].counts().Started - before[1-killed]; resumed == 0 {
		t.Error("the other engine started nothing, so nothing was resumed")
	}
}
