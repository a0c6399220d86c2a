package gateway

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/congestion"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// Guards against admission by congestion at services where an instance's own requests tell the load, or on routes with prompts or without a target,
// and against an explanation that differs from the decision.
func TestCongestionIsBoundedWherePlacesAreFew(t *testing.T) {
	for _, c := range []struct {
		name      string
		instances int
		path      string
		refused   bool
	}{
		{"few places", 100, "/look/x", true},
		{"places enough", 2, "/look/x", false},
		{"prompts", 100, "/chat/x", false},
		{"no target", 100, "/buy/x", false},
	} {
		g := newGateway(4, &scriptedBackends{}, slog.New(slog.DiscardHandler))
		g.InstanceCount = func() int { return c.instances }
		now, rng := time.Now(), rand.New(rand.NewPCG(1, 1))
		for range 10 {
			g.Congestion.Observe("desk", congestion.RefusalLevel, now)
		}
		refused, explained := 0, 0
		for range 50 {
			request := &Request{ID: "r", Host: "h", Path: c.path, Key: "key", AnyModel: true, Model: "*", Arrived: now, Timeout: 3 * time.Second}
			if refusal := g.admit(g.newJob(request, nil, rng)); refusal != nil && refusal.Code == fault.CodeOverloaded && refusal.RetryAfter > 0 {
				refused++
			}
			if refusal := g.Explain(request, now, rng).Refusal; refusal != nil && refusal.Code == fault.CodeOverloaded {
				explained++
			}
		}
		if (refused > 0) != c.refused || (explained > 0) != c.refused {
			t.Errorf("%s: %d of 50 refused, %d explained as refused", c.name, refused, explained)
		}
		g.Stop()
	}
}
