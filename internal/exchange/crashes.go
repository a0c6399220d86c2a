package exchange

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/crashguard"
)

// recentCrashTime is the age up to which a crash is sent with each query, so that it spreads in both directions: four rounds reach
// several hundred instances. Older crashes are part of the answer to a query whose digest differs.
const recentCrashTime = 4 * Interval

// recentCrashes returns the crashes that are sent with a query.
func (e *Exchange) recentCrashes(now time.Time) []api.GatewayCrash {
	return encodeCrashes(e.Crashes.Crashes(now.Add(-recentCrashTime)), now)
}

// mergeCrashes adds the crashes that a peer reported.
func (e *Exchange) mergeCrashes(reported []api.GatewayCrash, now time.Time) {
	crashes := make([]crashguard.Crash, 0, len(reported))
	for _, c := range reported {
		crashes = append(crashes, crashguard.Crash{
			Service: c.Service, Server: c.Server, Request: c.Request, Parts: c.Parts, NeverAnswered: c.NeverAnswered,
			At: now.Add(-time.Duration(c.AgeMillis) * time.Millisecond), BeforeAnswer: c.BeforeAnswer,
		})
	}
	e.Crashes.Merge(crashes, now)
}

// encodeCrashes converts crashes to the form in which peers exchange them. The age takes the place of the time, because clocks differ.
func encodeCrashes(crashes []crashguard.Crash, now time.Time) []api.GatewayCrash {
	var encoded []api.GatewayCrash
	for _, crash := range crashes {
		encoded = append(encoded, api.GatewayCrash{
			Service: crash.Service, Server: crash.Server, Request: crash.Request, Parts: crash.Parts, NeverAnswered: crash.NeverAnswered,
			AgeMillis: max(0, now.Sub(crash.At).Milliseconds()), BeforeAnswer: crash.BeforeAnswer,
		})
	}
	return encoded
}
