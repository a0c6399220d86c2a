package retry

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// budgetShare is the share of a class's requests that may be attempted once more: a tenth, less half a percent because
	// a retry is sent up to a back-off after it was counted. With 0.10, 10 s windows reached 1.101 times the requests.
	budgetShare = 0.095
	// budgetFloor is the number of extra attempts per window that a class with few requests may make.
	budgetFloor = 1
	// budgetSlots and budgetSlot give the sliding window of 10 s.
	budgetSlots = 10
	budgetSlot  = time.Second
	// maxRows bounds the table; rows of classes without requests are dropped beyond it.
	maxRows = 256

	// firstTokenSamples is the number of latest samples of which the 95th percentile is taken.
	firstTokenSamples = 256
	// hedgeEvidence is the number of samples without which nothing is hedged; with fewer, the 95th percentile is the
	// maximum or near it.
	hedgeEvidence = 40
	// percentileRefresh is the number of new samples after which the percentile is computed again.
	percentileRefresh = 16
)

// slot counts one second of a class.
type slot struct {
	number   int64
	requests int
	extra    int
}

// row is the state of one class.
type row struct {
	slots   [budgetSlots]slot
	last    time.Time
	samples []time.Duration
	next    int
	fresh   int
	p95     time.Duration
}

// Budgets is the table of retry budgets by class. Retries and hedges draw on the same budget. The share holds over the
// window and over the current second: the second condition keeps a window's worth of saved retries from being spent in
// one burst when a pool fails. It is safe for concurrent use.
type Budgets struct {
	mu   *lockorder.Mutex
	rows map[string]*row
}

// NewBudgets returns an empty table.
func NewBudgets() *Budgets {
	return &Budgets{mu: lockorder.New(lockorder.RankRetryBudgets), rows: map[string]*row{}}
}

// Request counts a new request of the class. Retries and hedges are not counted here.
func (b *Budgets) Request(class string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	r.at(now).requests++
}

// Spend takes one extra attempt from the class's budget, and returns false if there is none left.
func (b *Budgets) Spend(class string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	current := r.at(now)
	requests, extra := r.window(now)
	if !within(extra+1, requests) {
		return false
	}
	if !within(current.extra+1, current.requests+r.before(now).requests) {
		return false
	}
	current.extra++
	return true
}

// within reports whether the extra attempts fit the share of the requests or the floor.
func within(extra, requests int) bool {
	return extra <= budgetFloor || float64(extra) <= budgetShare*float64(requests)
}

// Decide returns the verdict on a request after an attempt and takes the retry from the class's budget.
func (b *Budgets) Decide(class string, s Situation, now time.Time, random *rand.Rand) Verdict {
	verdict := Decide(s, now, random)
	if verdict.Retry && !b.Spend(class, now) {
		return Verdict{Outcome: verdict.Outcome, Reason: ReasonBudget}
	}
	return verdict
}

// Hedge reports whether a second attempt starts now and takes it from the class's budget. It sets P95 itself.
func (b *Budgets) Hedge(class string, in HedgeInput, now time.Time) bool {
	in.P95, _ = b.P95(class)
	return Hedge(in, now) && b.Spend(class, now)
}

// ObserveFirstToken records the time to the first token of an attempt of the class.
func (b *Budgets) ObserveFirstToken(class string, sample time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	if len(r.samples) < firstTokenSamples {
		r.samples = append(r.samples, sample)
	} else {
		r.samples[r.next] = sample
		r.next = (r.next + 1) % firstTokenSamples
	}
	r.fresh++
	if r.p95 != 0 && r.fresh < percentileRefresh || len(r.samples) < hedgeEvidence {
		return
	}
	r.fresh = 0
	r.p95 = percentile95(r.samples)
}

// P95 returns the class's 95th percentile of the time to the first token, and false without enough samples.
func (b *Budgets) P95(class string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rows[class]
	if !ok || r.p95 == 0 {
		return 0, false
	}
	return r.p95, true
}

func percentile95(samples []time.Duration) time.Duration {
	sorted := append([]time.Duration(nil), samples...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[len(sorted)*95/100]
}

// Usage returns the class's requests and extra attempts in the window.
func (b *Budgets) Usage(class string, now time.Time) (requests, extra int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r, ok := b.rows[class]; ok {
		return r.window(now)
	}
	return 0, 0
}

func (b *Budgets) row(class string, now time.Time) *row {
	r, ok := b.rows[class]
	if !ok {
		b.sweep(now)
		r = &row{}
		b.rows[class] = r
	}
	r.last = now
	return r
}

func (b *Budgets) sweep(now time.Time) {
	if len(b.rows) < maxRows {
		return
	}
	for class, r := range b.rows {
		if now.Sub(r.last) > budgetSlots*budgetSlot {
			delete(b.rows, class)
		}
	}
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(budgetSlot) }

// at returns the current second's slot.
func (r *row) at(now time.Time) *slot {
	number := slotNumber(now)
	s := &r.slots[number%budgetSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// before returns the previous second's slot if it was used and only while the current second is young; a share of the
// current second alone would allow no retry in its first moments.
func (r *row) before(now time.Time) slot {
	s := r.slots[(slotNumber(now)-1)%budgetSlots]
	if s.number != slotNumber(now)-1 {
		return slot{}
	}
	passed := now.UnixNano() % int64(budgetSlot)
	s.requests = int(float64(s.requests) * (1 - float64(passed)/float64(budgetSlot)))
	return s
}

func (r *row) window(now time.Time) (requests, extra int) {
	oldest := slotNumber(now) - budgetSlots
	for i := range r.slots {
		if r.slots[i].number > oldest {
			requests += r.slots[i].requests
			extra += r.slots[i].extra
		}
	}
	return requests, extra
}
