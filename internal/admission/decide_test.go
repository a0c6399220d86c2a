package admission

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a preview that differs from what the queue does with the item, or that changes the queue or the predicted wait.
func TestPreviewAgreesWithSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng, q, r := rand.New(rand.NewPCG(1, 2)), NewQueue(6), &outcomes{}
		refusals := map[string]int{}
		for range 2000 {
			<-time.After(time.Duration(rng.IntN(200)) * time.Millisecond)
			if rng.IntN(2) == 0 && q.Stats().Length > 0 {
				q.popOrWait(time.Now())
			}
			now := time.Now()
			item := r.item("x", []string{"a", "b", "c"}[rng.IntN(3)], rng.IntN(12)-1, rng.IntN(500))
			if rng.IntN(2) == 0 {
				item.Deadline = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			before := q.Stats()
			waits, preview := q.Preview(item, now)
			if diff := cmp.Diff(before, q.Stats()); diff != "" {
				t.Errorf("the preview changed the queue: %s", diff)
			}
			refusal := q.Submit(item, now)
			if diff := cmp.Diff(refusal, preview); diff != "" || waits != (refusal == nil) {
				t.Errorf("waits %v: %s", waits, diff)
			}
			if refusal != nil {
				refusals[string(refusal.Code)]++
			}
		}
		if refusals["queue_full"] == 0 || refusals["deadline_unreachable"] == 0 {
			t.Errorf("refusals %v", refusals)
		}
		q.Abort()
		idle := NewQueue(1)
		idle.popOrWait(time.Now())
		if waits, refusal := idle.Preview(r.item("x", "a", 0, 1), time.Now()); waits || refusal != nil || idle.Stats().IdleWorkers != 1 {
			t.Errorf("with an idle worker: waits %v, refusal %v", waits, refusal)
		}
	})
}
