package retry

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// budgetRatio is the ratio of extra attempts to requests that a class may reach. It is half a percentage point below a
	// tenth, because a retry is sent up to one backoff after it was counted: with 0.10, the attempts in 10 s windows reached
	// 1.101 times the requests.
	budgetRatio = 0.095
	// minBudgetAttempts is the number of extra attempts per window that a class may make regardless of its number of
	// requests.
	minBudgetAttempts = 1
	// budgetSlotCount and budgetSlotLength define the sliding window of 10 s.
	budgetSlotCount  = 10
	budgetSlotLength = time.Second
	// maxClasses is the number of rows from which rows of classes without recent requests are removed.
	maxClasses = 256

	// maxFirstTokenSamples is the number of latest samples from which the 95th percentile is computed.
	maxFirstTokenSamples = 256
	// minHedgeSamples is the number of samples required before a request is hedged. With fewer, the 95th percentile is the
	// maximum or close to it.
	minHedgeSamples = 40
	// percentileRefreshSamples is the number of new samples after which the percentile is recomputed.
	percentileRefreshSamples = 16
)

// slot counts the requests and extra attempts of a class in one second.
type slot struct {
	number        int64
	requests      int
	extraAttempts int
}

// classRow is the state of one class.
type classRow struct {
	// slots are those of the window and the one in which the window begins.
	slots           [budgetSlotCount + 1]slot
	lastUsed        time.Time
	firstTokenTimes []time.Duration
	nextSample      int
	newSamples      int
	p95             time.Duration
}

// Budgets is the table of retry budgets by class. Retries and hedges draw on the same budget. budgetRatio applies to the
// window and also to the current second; the latter prevents a whole window's budget from being spent in one burst when a
// pool fails. Budgets is safe for concurrent use.
type Budgets struct {
	mu   *lockorder.Mutex
	rows map[string]*classRow
}

// NewBudgets returns an empty table.
func NewBudgets() *Budgets {
	return &Budgets{mu: lockorder.New(lockorder.RankRetryBudgets), rows: map[string]*classRow{}}
}

// CountRequest counts a new request of the class. Retries and hedges are not counted here.
func (b *Budgets) CountRequest(class string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	r.currentSlot(now).requests++
}

// Spend takes one extra attempt from the class's budget. It returns false if the budget is exhausted.
func (b *Budgets) Spend(class string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	current := r.currentSlot(now)
	requests, extra := r.windowTotals(now)
	if !withinBudget(extra+1, requests) {
		return false
	}
	if !withinBudget(current.extraAttempts+1, current.requests+r.previousSlot(now).requests) {
		return false
	}
	current.extraAttempts++
	return true
}

// withinBudget reports whether the number of extra attempts is allowed for the number of requests.
func withinBudget(extra, requests int) bool {
	return extra <= minBudgetAttempts || float64(extra) <= budgetRatio*float64(requests)
}

// Decide returns the verdict on a request after an attempt and takes the retry from the class's budget.
func (b *Budgets) Decide(class string, s RequestState, now time.Time, random *rand.Rand) Verdict {
	verdict := Decide(s, now, random)
	if verdict.Retry && !b.Spend(class, now) {
		return Verdict{Outcome: verdict.Outcome, Reason: ReasonBudget}
	}
	return verdict
}

// Hedge reports whether a second attempt starts now, and if so takes it from the class's budget. It sets in.FirstTokenP95
// itself.
func (b *Budgets) Hedge(class string, in HedgeInput, now time.Time) bool {
	in.FirstTokenP95, _ = b.FirstTokenP95(class)
	return ShouldHedge(in, now) && b.Spend(class, now)
}

// ObserveFirstToken records the time to first token of an attempt of the class.
func (b *Budgets) ObserveFirstToken(class string, sample time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.row(class, now)
	if len(r.firstTokenTimes) < maxFirstTokenSamples {
		r.firstTokenTimes = append(r.firstTokenTimes, sample)
	} else {
		r.firstTokenTimes[r.nextSample] = sample
		r.nextSample = (r.nextSample + 1) % maxFirstTokenSamples
	}
	r.newSamples++
	if r.p95 != 0 && r.newSamples < percentileRefreshSamples || len(r.firstTokenTimes) < minHedgeSamples {
		return
	}
	r.newSamples = 0
	r.p95 = percentile95(r.firstTokenTimes)
}

// FirstTokenP95 returns the 95th percentile of the class's time to first token, and false without enough samples.
func (b *Budgets) FirstTokenP95(class string) (time.Duration, bool) {
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
		return r.windowTotals(now)
	}
	return 0, 0
}

func (b *Budgets) row(class string, now time.Time) *classRow {
	r, ok := b.rows[class]
	if !ok {
		b.sweep(now)
		r = &classRow{}
		b.rows[class] = r
	}
	r.lastUsed = now
	return r
}

func (b *Budgets) sweep(now time.Time) {
	if len(b.rows) < maxClasses {
		return
	}
	for class, r := range b.rows {
		if now.Sub(r.lastUsed) > budgetSlotCount*budgetSlotLength {
			delete(b.rows, class)
		}
	}
}

func slotNumber(now time.Time) int64 { return now.UnixNano() / int64(budgetSlotLength) }

// currentSlot returns the slot of the current second and resets it if it holds an older one.
func (r *classRow) currentSlot(now time.Time) *slot {
	number := slotNumber(now)
	s := &r.slots[number%int64(len(r.slots))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// previousSlot returns the slot of the previous second, with its requests scaled down linearly as the current second
// elapses. The requests of the current second alone would allow no retry at the start of that second.
func (r *classRow) previousSlot(now time.Time) slot {
	s := r.slots[(slotNumber(now)-1)%int64(len(r.slots))]
	if s.number != slotNumber(now)-1 {
		return slot{}
	}
	elapsed := now.UnixNano() % int64(budgetSlotLength)
	s.requests = int(float64(s.requests) * (1 - float64(elapsed)/float64(budgetSlotLength)))
	return s
}

// windowTotals returns the requests and extra attempts of the window. It begins within the oldest slot, whose extra attempts are counted and
// whose requests are not, so that no window exceeds the budget.
func (r *classRow) windowTotals(now time.Time) (requests, extra int) {
	oldest := slotNumber(now) - budgetSlotCount
	for i := range r.slots {
		if r.slots[i].number > oldest {
			requests += r.slots[i].requests
		}
		if r.slots[i].number >= oldest {
			extra += r.slots[i].extraAttempts
		}
	}
	return requests, extra
}
