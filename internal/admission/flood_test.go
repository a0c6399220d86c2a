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
	floodWorkers = 64
	floodService = 100 * time.Millisecond
	// floodTarget is the wait that a small organisation may see while a large one sends three times what the workers can
	// do: two service times, so that the first token still comes within 1.2 s.
	floodTarget = 2 * floodService
)

// flood runs 20 s in which "large" asks for three times the capacity and "small" for a twentieth of it, and returns the
// small one's waits and refusals.
func flood(t *testing.T) (waits []time.Duration, refusals int) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue(4096)
		pool := worker.NewPool(floodWorkers, q)
		served := make(chan time.Duration, 10_000)
		refused := make(chan *fault.Error, 10_000)
		const capacityPerSecond = floodWorkers * 10
		submit := func(organisation string) {
			sent := time.Now()
			small := organisation == "small"
			item := Item{Organisation: organisation, Priority: 5, Tokens: 100, Deadline: sent.Add(5 * time.Second)}
			item.Job = job{run: func() {
				if small {
					served <- time.Since(sent)
				}
				<-time.After(floodService)
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
		// One step is a sixtieth of a second's capacity from the large organisation and less from the small one.
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
		close(served)
		for wait := range served {
			waits = append(waits, wait)
		}
		refusals = len(refused)
	})
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits, refusals
}

// Guards against a large organisation's flood that makes a small one wait or be refused. Run with -v for the figures of
// docs/measurements/limits.md.
func TestFloodLeavesSmallOrganisations(t *testing.T) {
	waits, refusals := flood(t)
	p95 := waits[len(waits)*95/100]
	t.Logf("small organisation: %d served, %d refused, median wait %s, 95%% %s, longest %s",
		len(waits), refusals, waits[len(waits)/2], p95, waits[len(waits)-1])
	if p95 > floodTarget || refusals > 0 {
		t.Errorf("wait at 95%% %s, %d refusals; want at most %s and none", p95, refusals, floodTarget)
	}
}
