package retry

const (
	// sharedSlotCount is the number of slots of a window.
	sharedSlotCount = 40
	// heldSlotCount is the number of slots for which a repeat of a request that was abandoned without an answer counts longer. A server that is
	// paused reads such a request when it goes on.
	heldSlotCount = sharedSlotCount / 2
	// keptSlotCount is the number of slots that are kept: those of the last window, of the one before it, and of repeats that count longer.
	keptSlotCount = 2*sharedSlotCount + heldSlotCount + 2
)

type sharedSlot struct {
	number   int64
	requests int
	// repeats counts the repeats that reached a server before the end of the slot.
	repeats int
}

// sharedRow is the state of one service.
type sharedRow struct {
	slots [keptSlotCount]sharedSlot
	// pending counts the repeats that were granted and have neither reached a server for certain nor been released.
	pending   int
	shortfall shortfall
}

// slot returns the slot with the number, or nil if it is so old that it is not kept any more.
func (r *sharedRow) slot(number int64) *sharedSlot {
	if number < 0 {
		return nil
	}
	s := &r.slots[number%keptSlotCount]
	if s.number > number {
		return nil
	}
	if s.number != number {
		*s = sharedSlot{number: number}
	}
	return s
}

// totals returns the requests and repeats of the window that ends in the slot. A window of the users may begin within the oldest slot, whose
// repeats are therefore counted and whose requests are not.
func (r *sharedRow) totals(current int64) (requests, repeats int) {
	repeats = r.pending
	for _, s := range r.slots {
		if s.number > current-sharedSlotCount && s.number <= current {
			requests += s.requests
		}
		if s.number >= current-sharedSlotCount {
			repeats += s.repeats
		}
	}
	return requests, repeats
}
