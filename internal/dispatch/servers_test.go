package dispatch

import (
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against the ejection of the whole pool when all servers seem to fail, and against a failing server that keeps
// receiving requests.
func TestEjectionKeepsHalfOfThePool(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		messages := []api.ChatMessage{{Role: "user", Content: "hello"}}
		failServer := func(server string) {
			for range 50 {
				h.router.Retries.Ejections.EndAttempt(server, true, time.Now(), h.router.newRandom())
			}
		}
		failServer("e1")
		for range 20 {
			server, problem := h.router.chooseServer(smallV1, messages, nil, h.router.newRandom())
			if problem != nil || server.Entry.Id != "e2" {
				t.Fatalf("chose server %q, want e2; problem %v", server.Entry.Id, problem)
			}
		}
		failServer("e2")
		if _, problem := h.router.chooseServer(smallV1, messages, nil, h.router.newRandom()); problem != nil {
			t.Errorf("no server can be chosen after both failed: %v", problem)
		}
	})
}
