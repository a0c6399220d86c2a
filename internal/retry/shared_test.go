package retry

import (
	"testing"
	"time"
)

// Guards against instances that hear nothing of each other and together exceed the budget in some window.
func TestSharedBudgetHoldsInSum(t *testing.T) {
	const instances, seconds = 7, 60
	options := SharedOptions{Ratio: 0.9, Slack: 54, Window: 10 * time.Second, Instances: func() int { return instances }}
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
				// A burst in the middle of the run, and more wishes than the budget allows all the time.
				if second > 20 && second < 25 || (tick+i)%5 == 0 {
					budget.Request("desk", now)
					requests[second]++
				}
				for range 3 {
					if budget.Spend("desk", 1, now) {
						extra[second]++
					}
				}
			}
		}
	}
	for end := 20; end <= seconds; end++ {
		spent, window, before := 0, 0, 0
		for s := end - 10; s < end; s++ {
			spent += extra[s]
			window += requests[s]
			before += requests[s-10]
		}
		if allowed := options.Ratio*float64(max(window, before)) + options.Slack; float64(spent) > allowed {
			t.Errorf("%d extra arrivals in the 10 s up to %d, %.0f allowed", spent, end, allowed)
		}
	}
}

// Guards against optional attempts that leave nothing for necessary ones.
func TestSharedBudgetKeepsRoom(t *testing.T) {
	budget := NewSharedBudget(SharedOptions{Ratio: 0.5, Slack: 0, Window: 10 * time.Second, Instances: func() int { return 1 }})
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for range 100 {
		budget.Request("desk", now)
	}
	optional := 0
	for budget.Spend("desk", 0.8, now) {
		optional++
	}
	if !budget.Spend("desk", 1, now) || optional == 0 {
		t.Errorf("nothing is left after %d optional attempts", optional)
	}
}
