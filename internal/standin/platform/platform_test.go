package platform

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against a list that shows changes before the lag has passed, or that changes while it is frozen.
func TestListLagsAndFreezes(t *testing.T) {
	list := newListTable()
	start := time.Unix(1000, 0)
	list.put(api.InstanceEntry{Id: "a", State: api.InstanceLive}, start)
	list.leave("a", start.Add(time.Second))
	if got := list.entriesAt(false, start.Add(-time.Millisecond)); len(got) != 0 {
		t.Errorf("list before the entry: %v", got)
	}
	if got := list.entriesAt(false, start.Add(500*time.Millisecond)); len(got) != 1 || got[0].State != api.InstanceLive {
		t.Errorf("lagging list: %v", got)
	}
	list.setFrozen(true)
	list.remove("a", start.Add(2*time.Second))
	if got := list.entriesAt(true, start.Add(time.Minute)); len(got) != 1 || got[0].State != api.InstanceLeaving {
		t.Errorf("frozen list: %v", got)
	}
	list.setFrozen(false)
	if got := list.entriesAt(false, start.Add(time.Minute)); len(got) != 0 {
		t.Errorf("list after the freeze: %v", got)
	}
	if list.leave("b", start) {
		t.Error("an absent entry was marked as leaving")
	}
}

// Guards against scores that are returned early, twice or to another instance, and against scores that ignore the quality
// marker.
func TestRatings(t *testing.T) {
	table := newRatingTable(1)
	now := time.Unix(1000, 0)
	sum := 0.0
	const count = 400
	for i := range count {
		request := api.RatingRequest{Id: fmt.Sprint(i), Instance: "one", Answer: "[q=0.7000] boxes"}
		table.submit(request, now.Add(time.Second))
		table.submit(request, now)
	}
	if early := table.results("one", "", now); len(early.Ratings) != 0 || early.Next != "0" {
		t.Fatalf("%d scores were returned early", len(early.Ratings))
	}
	results := table.results("one", "0", now.Add(time.Second))
	for _, rating := range results.Ratings {
		sum += rating.Score
	}
	if len(results.Ratings) != count || math.Abs(sum/count-0.7) > 4*scoreNoise/math.Sqrt(count) {
		t.Errorf("%d scores with mean %.3f, want %d with about 0.7", len(results.Ratings), sum/count, count)
	}
	if other := table.results("two", "0", now.Add(time.Second)); len(other.Ratings) != 0 || other.Next != results.Next {
		t.Errorf("another instance got %d scores, cursor %s", len(other.Ratings), other.Next)
	}
}

// Guards against a weight store that grants a second load before its rate limit allows it.
func TestWeightsAreLimited(t *testing.T) {
	table := newWeightTable()
	faults := api.PlatformFaults{WeightBytes: 1000, WeightBytesPerSecond: 100}
	now := time.Unix(1000, 0)
	if grant := table.requestGrant(faults, now); grant.GrantedBytes != 1000 {
		t.Errorf("first load: %+v", grant)
	}
	if grant := table.requestGrant(faults, now.Add(9*time.Second)); grant.GrantedBytes != 0 || grant.RetryAfterMillis != 1001 {
		t.Errorf("second load before the rate limit allows it: %+v", grant)
	}
	if grant := table.requestGrant(faults, now.Add(10*time.Second)); grant.GrantedBytes != 1000 {
		t.Errorf("second load after the wait: %+v", grant)
	}
}
