package retry

import (
	"log/slog"
	"testing"
	"time"
)

// Guards against instances that do not communicate and together exceed the budget in some window.
func TestSharedBudgetHoldsInSum(t *testing.T) {
	const instances, seconds = 7, 60
	options := SharedBudgetOptions{Ratio: 0.9, Slack: 54, Window: 10 * time.Second, Instances: func() int { return instances }, Log: slog.New(slog.DiscardHandler)}
	budgets := make([]*SharedBudget, instances)
	for i := range budgets {
		budgets[i] = NewSharedBudget(options)
	}
	origin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var requests, extra [seconds]int
	for second := range seconds {
		for tick := range 20 {
			now := origin.Add(time.Duration(second)*time.Second + time.Duration(tick)*50*time.Millisecond)
			for i, budget := range budgets {
				// There is a burst of requests in the middle of the run, and always more attempts to spend than the budget
				// allows.
				if second > 20 && second < 25 || (tick+i)%5 == 0 {
					budget.CountRequest("desk", now)
					requests[second]++
				}
				for range 3 {
					if budget.Spend("desk", 1, now) {
						budget.Arrived("desk", false, now)
						extra[second]++
					}
				}
			}
		}
	}
	for end := 20; end <= seconds; end++ {
		spent, windowRequests, requestsBefore := 0, 0, 0
		for s := end - 10; s < end; s++ {
			spent += extra[s]
			windowRequests += requests[s]
			requestsBefore += requests[s-10]
		}
		if allowed := options.Ratio*float64(max(windowRequests, requestsBefore)) + options.Slack; float64(spent) > allowed {
			t.Errorf("%d extra arrivals in the 10 s up to second %d, %.0f allowed", spent, end, allowed)
		}
	}
}

// Guards against a panic when the first request that is counted arrived more recently than one whose body took longer than the window
// (review case 2, LOST: the process ended), and against such a request that takes the place of newer counts.
func TestSharedBudgetIgnoresRequestsOfEarlierWindows(t *testing.T) {
	const window = 10 * time.Second
	budget := NewSharedBudget(SharedBudgetOptions{Ratio: 1, Window: window, Instances: func() int { return 1 }, Log: slog.New(slog.DiscardHandler)})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		budget.CountRequest("desk", now)
	}
	for _, age := range []time.Duration{window + window/sharedSlotCount, window + time.Second, 2 * window, time.Hour} {
		budget.CountRequest("desk", now.Add(-age))
		if requests := budget.Usage("desk", now).Requests; requests != 100 {
			t.Errorf("%d requests are counted after one that is %s old, want 100", requests, age)
		}
	}
	later := now.Add(3 * window / 2)
	for range 50 {
		budget.CountRequest("desk", later)
	}
	budget.CountRequest("desk", later.Add(-window))
	if requests := budget.Usage("desk", later).Requests; requests != 50 {
		t.Errorf("%d requests are counted after one of the window before, want 50", requests)
	}
	if budget.Spend("desk", 1, now.Add(-time.Hour)) {
		t.Error("an attempt of an earlier window was allowed")
	}
}

// Guards against optional attempts that exhaust the budget for necessary ones.
func TestSharedBudgetReservesForNecessaryAttempts(t *testing.T) {
	budget := NewSharedBudget(SharedBudgetOptions{Ratio: 0.5, Slack: 0, Window: 10 * time.Second, Instances: func() int { return 1 }, Log: slog.New(slog.DiscardHandler)})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		budget.CountRequest("desk", now)
	}
	optional := 0
	for budget.Spend("desk", 0.8, now) {
		optional++
	}
	if !budget.Spend("desk", 1, now) || optional == 0 {
		t.Errorf("after %d optional attempts there is no budget for a necessary one; want both", optional)
	}
}
