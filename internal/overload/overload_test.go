package overload

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const grace = time.Second

func progress(age time.Duration, received int64) Progress {
	return Progress{Age: age, Received: received}
}

// Guards against a connection that is closed although another one makes less progress, and against one whose request was read completely
// being closed at all.
func TestOrderOfConnections(t *testing.T) {
	order := []Connection{
		{Refused, progress(300*time.Millisecond, 0)},
		{Refused, progress(100*time.Millisecond, 0)},
		{Receiving, progress(3*time.Second, 0)},
		{Receiving, progress(2*time.Second, 0)},
		// A byte now and then is no progress.
		{Receiving, progress(10*time.Second, 20)},
		{Receiving, progress(30*time.Second, 4<<20)},
		{Receiving, progress(time.Second, 4<<20)},
		{Idle, progress(14*time.Second, 0)},
		{Idle, progress(time.Millisecond, 0)},
		{Receiving, progress(900*time.Millisecond, 0)},
		{Receiving, progress(0, 0)},
	}
	for i, a := range order {
		for j, b := range order {
			if got := GivesWayBefore(a, b, grace); got != (i < j) {
				t.Errorf("%v before %v: %t", a, b, got)
			}
		}
		for _, stage := range []Stage{Serving, Closed} {
			never := Connection{stage, progress(time.Hour, 0)}
			if stage.MayGiveWay() || GivesWayBefore(never, a, grace) || !GivesWayBefore(a, never, grace) {
				t.Errorf("a connection in the stage %s would be closed", stage)
			}
		}
	}
}

// Guards against bodies that give way although slower ones hold enough memory, or within their grace period, or in vain.
func TestSelectBodies(t *testing.T) {
	bodies := []Body{
		{Held: 32 << 10, Progress: progress(2*time.Second, 29_999)},
		{Held: 2 << 10, Progress: progress(10*time.Second, 10)},
		{Held: 4 << 20, Progress: progress(2*time.Second, 4<<20)},
		{Held: 1 << 20, Progress: progress(500*time.Millisecond, 0)},
		{Held: 0, Progress: progress(20*time.Second, 0)},
	}
	for name, c := range map[string]struct {
		needing Progress
		needed  int64
		want    []int
	}{
		"one is enough":                       {progress(0, 0), 600, []int{1}},
		"slowest first":                       {progress(0, 0), 3 << 10, []int{1, 0}},
		"all that may":                        {progress(0, 0), 4 << 20, []int{1, 0, 2}},
		"more than they hold":                 {progress(0, 0), 5 << 20, nil},
		"itself the slowest":                  {progress(5*time.Second, 1), 600, nil},
		"itself slower than one that must go": {progress(2*time.Second, 100_000), 1 << 20, nil},
		"itself faster":                       {progress(2*time.Second, 100_000), 3 << 10, []int{1, 0}},
		"itself within its grace period":      {progress(900*time.Millisecond, 1), 600, []int{1}},
	} {
		got := SelectBodies(slices.Clone(bodies), c.needing, c.needed, grace)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
