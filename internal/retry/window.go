package retry

const (
	// sharedSlotCount is the number of slots of a window.
	sharedSlotCount = 40
	// heldSlotCount is the number of slots for which a repeat of a request that was abandoned without an answer counts longer. A server that is
	// paused reads such a request when it goes on.
	heldSlotCount = sharedSlotCount / 2
	// keptSlotCount is the number of slots that are kept: those of the last window, of the one before it, and of repeats that count longer.
	keptSlotCount = 2*sharedSlotCount + heldSlotCount + 2

	// The users count the requests in the window or in the one before it, whichever has more. An instance cannot know which one that is for the
	// fleet, so it weighs its requests in both. The weights add up to 1, and so the sum over all instances, and over the processes of an
	// instance, stays below the users' maximum however the requests move between them. A larger windowWeight allows more repeats of new
	// requests, a larger beforeWeight more repeats at once after a failure.
	windowWeight, beforeWeight = 0.6, 0.4
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

// at returns the counts of the slot with the number.
func (r *sharedRow) at(number int64) sharedSlot {
	if number < 0 {
		return sharedSlot{}
	}
	if s := r.slots[number%keptSlotCount]; s.number == number {
		return s
	}
	return sharedSlot{}
}

// requestSums returns a function that adds up the requests of a range of slots, which must be within the last two windows.
func (r *sharedRow) requestSums(current int64) func(from, to int64) float64 {
	var sums [2*sharedSlotCount + 2]int
	first := current - 2*sharedSlotCount
	for i := range sums[1:] {
		sums[i+1] = sums[i] + r.at(first+int64(i)).requests
	}
	return func(from, to int64) float64 {
		return float64(sums[max(0, min(to, current)+1-first)] - sums[max(0, from-first)])
	}
}

// requestsOfWindow returns the requests of the window that ends in the slot.
func (r *sharedRow) requestsOfWindow(current int64) int {
	requests := 0
	for number := current - sharedSlotCount + 1; number <= current; number++ {
		requests += r.at(number).requests
	}
	return requests
}

// span is a time up to now with which a window of the users may begin.
type span struct {
	// repeats are those that reach servers in the span; requests are the weighted requests that count for it.
	repeats  int
	requests float64
}

// eachSpan calls visit for each span of up to a window that ends in the slot. A window of the users may begin anywhere within the first slot
// of a span: the repeats of that slot count, and its requests only with the lower weight.
func (r *sharedRow) eachSpan(current int64, visit func(span)) {
	requests := r.requestSums(current)
	repeats := r.pending
	for number := current + heldSlotCount; number > current; number-- {
		repeats += r.at(number).repeats
	}
	for first := current; first >= current-sharedSlotCount; first-- {
		repeats += r.at(first).repeats
		visit(span{repeats: repeats, requests: windowWeight*requests(first+1, current) +
			min(windowWeight, beforeWeight)*requests(first, first) +
			beforeWeight*requests(first-sharedSlotCount+1, first-1)})
	}
}
