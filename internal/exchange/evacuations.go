package exchange

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/evacuation"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// knownEvacuations returns the records of evacuations for peers.
func (e *Exchange) knownEvacuations(now time.Time) []api.GatewayEvacuation {
	var encoded []api.GatewayEvacuation
	for _, record := range e.Evacuations.Records() {
		reported := api.GatewayEvacuation{AvailabilityZone: record.Zone, Revision: record.Revision.Version(), Era: record.Revision.Era(),
			Active: record.Active}
		if !record.Active {
			reported.EndedAgeMillis = max(0, now.Sub(record.EndedAt).Milliseconds())
		}
		encoded = append(encoded, reported)
	}
	return encoded
}

// mergeEvacuations adds the records of evacuations that a peer reported.
func (e *Exchange) mergeEvacuations(address string, reported []api.GatewayEvacuation, now time.Time) {
	records := make([]evacuation.Record, 0, len(reported))
	for _, r := range reported {
		record := evacuation.Record{Zone: r.AvailabilityZone, Revision: storepos.At(r.Era, r.Revision), Active: r.Active}
		if !r.Active {
			// The age takes the place of the time, because clocks differ.
			record.EndedAt = now.Add(-time.Duration(max(0, r.EndedAgeMillis)) * time.Millisecond)
		}
		records = append(records, record)
	}
	e.Evacuations.Merge(records, address, now)
}
