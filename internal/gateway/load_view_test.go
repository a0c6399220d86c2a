package gateway

import "testing"

// Guards against an exchange of loads in deployments whose configuration does not call for it, and against none where most servers run less than
// one request of an instance.
func TestLoadIsSharedIfInstancesOutnumberSlots(t *testing.T) {
	for _, c := range []struct {
		name             string
		slots, instances int
		want             bool
	}{
		{"7 instances before servers of 64 slots", 64, 7, false},
		{"as many instances as slots", 12, 12, false},
		{"80 instances before servers of 12 slots", 12, 80, true},
		{"service without an engine", 0, 80, false},
	} {
		configuration := &Configuration{Services: []Service{{Name: "plain"}, {Name: "engine", EngineSlots: c.slots}}}
		if got := configuration.SharesLoad(c.instances); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}

// Guards against prompt work of small models that counts like that of the largest one, and against a model without a declared cost that counts
// nothing.
func TestWorkWeightFollowsDeclaredCosts(t *testing.T) {
	service := &Service{ModelCosts: map[string]float64{"small": 0.25, "large": 2}}
	for model, want := range map[string]float64{"small": 0.125, "large": 1, "unknown": 1} {
		if got := service.workWeight(model); got != want {
			t.Errorf("%s: %g, want %g", model, got, want)
		}
	}
}
