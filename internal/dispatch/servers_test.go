package dispatch

import (
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Guards against a fault that looks like the failure of every server and empties the pool, and against a failing server that
// keeps receiving its share of the work.
func TestEjectionKeepsHalfOfThePool(t *testing.T) {
	run(t, func(t *testing.T, b *bench) {
		messages := []api.ChatMessage{{Role: "user", Content: "hello"}}
		fail := func(server string) {
			for range 50 {
				b.router.Retries.Ejections.EndAttempt(server, true, time.Now(), b.router.newRandom())
			}
		}
		fail("e1")
		for range 20 {
			server, problem := b.router.chooseServer(smallV1, messages, nil, b.router.newRandom())
			if problem != nil || server.Entry.Id != "e2" {
				t.Fatalf("chose %q: %v", server.Entry.Id, problem)
			}
		}
		fail("e2")
		if _, problem := b.router.chooseServer(smallV1, messages, nil, b.router.newRandom()); problem != nil {
			t.Errorf("no server left: %v", problem)
		}
	})
}
