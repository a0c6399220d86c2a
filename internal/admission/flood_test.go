package admission

import (
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	floodWorkers     = 64
	floodServiceTime = 100 * time.Millisecond
	// floodMaxWait is the 95th percentile of the queue wait allowed for a small organisation while a large one sends three
	// times the capacity: two service times, so that the time to first token stays within 1.2 s.
	floodMaxWait = 2 * floodServiceTime
)

// runFlood submits requests for 20 s, from the organisation "large" at three times the capacity and from "small" at a
// twentieth of it. It returns the sorted waits and the number of refusals of "small".
func runFlood(t *testing.T) (waits []time.Duration, refusals int) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(4096)
		pool := worker.NewPool(floodWorkers, q)
		servedWaits := make(chan time.Duration, 10_000)
		refused := make(chan *fault.Error, 10_000)
		const capacityPerSecond = floodWorkers * 10
		submit := func(organisation string) {
			sent := time.Now()
			small := organisation == "small"
			item := Item{Organisation: organisation, Priority: 5, Tokens: 100, Deadline: sent.Add(5 * time.Second)}
			item.Job = job{run: func() {
				if small {
					servedWaits <- time.Since(sent)
				}
				<-time.After(floodServiceTime)
			}}
			item.Refuse = func(f *fault.Error) {
				if small {
					refused <- f
				}
			}
			if f := q.Submit(item, sent); f != nil {
				item.Refuse(f)
			}
		}
		// In the time in which the workers serve 20 requests, each step submits 60 from "large" and 1 from "small".
		for range 20 * capacityPerSecond / 20 {
			for range 60 {
				submit("large")
			}
			submit("small")
			<-time.After(time.Second * 20 / capacityPerSecond)
		}
		q.Close()
		if err := pool.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		close(servedWaits)
		for wait := range servedWaits {
			waits = append(waits, wait)
		}
		refusals = len(refused)
	})
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits, refusals
}

// Guards against a flood by a large organisation that delays the requests of a small one or gets them refused. Run with -v
// to print the figures in docs/measurements/limits.md.
func TestFloodDoesNotDelaySmallOrganisations(t *testing.T) {
	waits, refusals := runFlood(t)
	p95 := waits[len(waits)*95/100]
	t.Logf("small organisation: %d served, %d refused, median wait %s, 95%% %s, longest %s",
		len(waits), refusals, waits[len(waits)/2], p95, waits[len(waits)-1])
	if p95 > floodMaxWait || refusals > 0 {
		t.Errorf("wait at 95%% %s, %d refusals; want at most %s and none", p95, refusals, floodMaxWait)
	}
}
