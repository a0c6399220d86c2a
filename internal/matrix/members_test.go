package matrix

import (
	"encoding/json"

	"github.com/cicadawall/cicadawall/internal/api"
)

// decodeRegistration returns the sequence that a registration row ends; 0 if it ends none.
func decodeRegistration(row api.Row) int64 {
	var registration api.Registration
	if json.Unmarshal(row.Value, &registration) != nil || !registration.EndsRegistration {
		return 0
	}
	return registration.EndsSequence
}

func init() {
	// dies is the end of instance a, whose registration the others end about a minute later.
	dies := injection{instance: "a", op: "admit", nth: 1, fault: Kill}
	noStore := injection{instance: "c", op: "range:instance", nth: 1, fault: PartitionBothWays}
	register(
		siteRow("membership", "register", "d", "put:instance", 1, (*site).join),
		siteRow("membership", "read back", "d", "get:instance", 1, (*site).join,
			injection{instance: "d", op: "put:instance", nth: 1, fault: ReplyLost}).read(),
		siteRow("membership", "follow the log", "d", "range:instance", 2, (*site).join).read(),
		siteRow("membership", "list poll", "c", "list", 1, nil).peer(),
		siteRow("membership", "removal", "c", "put:instance", 1, nil, dies),
		siteRow("membership", "digest pull", "c", "digest", 1, (*site).join).peer(),
		siteRow("membership", "adopt registrations", "c", "registrations", 1, (*site).join, noStore).peer(),
	)
}
