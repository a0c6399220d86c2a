package matrix

import (
	"encoding/json"

	"github.com/cicadawall/cicadawall/internal/api"
)

// endedSequence returns the sequence of the registration that the row ends; 0 if the row ends none.
func endedSequence(row api.Row) int64 {
	var registration api.Registration
	if json.Unmarshal(row.Value, &registration) != nil || !registration.EndsRegistration {
		return 0
	}
	return registration.EndsSequence
}

func init() {
	// instanceDies kills instance a; the others end its registration about a minute later.
	instanceDies := injection{instance: "a", op: "admit", nth: 1, fault: Kill}
	storeUnreachable := injection{instance: "c", op: "range:instance", nth: 1, fault: PartitionBothWays}
	register(
		fleetRow("membership", "register", "d", "put:instance", 1, (*fleet).joinInstance),
		fleetRow("membership", "read back", "d", "get:instance", 1, (*fleet).joinInstance,
			injection{instance: "d", op: "put:instance", nth: 1, fault: ReplyLost}).exceptRead(),
		fleetRow("membership", "follow the log", "d", "range:instance", 2, (*fleet).joinInstance).exceptRead(),
		fleetRow("membership", "list poll", "c", "list", 1, nil).exceptPull(),
		fleetRow("membership", "removal", "c", "put:instance", 1, nil, instanceDies),
		fleetRow("membership", "digest pull", "c", "digest", 1, (*fleet).joinInstance).exceptPull(),
		fleetRow("membership", "adopt registrations", "c", "registrations", 1, (*fleet).joinInstance, storeUnreachable).exceptPull(),
	)
}
