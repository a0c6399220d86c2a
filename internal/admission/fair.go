package admission

import (
	"container/heap"
	"container/list"
)

// flow holds the queued entries of one organisation at one priority.
type flow struct {
	organisation string
	queue        *fairQueue
	weight       float64
	entries      *list.List
	queuedTokens float64
	// virtualStart is the virtual start time of the first entry, or of the next entry pushed if the flow is empty.
	virtualStart float64
	// heapIndex is the index in the heap of backlogged flows, or -1 while the flow is empty.
	heapIndex int
}

// backlog returns the queued tokens per unit of weight.
func (f *flow) backlog() float64 { return f.queuedTokens / f.weight }

// fairQueue implements start-time fair queueing between the organisations of one priority. The virtual time is the virtual
// start time of the entry served last. It is reset to zero when the queue becomes empty, so that service received before an
// idle period does not count against an organisation.
type fairQueue struct {
	priority     int
	virtualTime  float64
	flows        map[string]*flow
	backlogged   flowHeap
	queuedTokens float64
}

func newFairQueue(priority int) *fairQueue {
	return &fairQueue{priority: priority, flows: map[string]*flow{}}
}

func (fq *fairQueue) push(item Item) *entry {
	f := fq.flows[item.Organisation]
	if f == nil {
		f = &flow{organisation: item.Organisation, queue: fq, entries: list.New(), heapIndex: -1}
		fq.flows[item.Organisation] = f
	}
	f.weight = item.weight()
	e := &entry{item: item, flow: f, expiryIndex: -1}
	e.element = f.entries.PushBack(e)
	f.queuedTokens += item.tokens()
	fq.queuedTokens += item.tokens()
	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, fq.virtualTime)
		heap.Push(&fq.backlogged, f)
	}
	return e
}

// pop removes the first entry of the flow with the smallest virtual start time. The queue must not be empty.
func (fq *fairQueue) pop() *entry {
	f := fq.backlogged[0]
	e := f.entries.Front().Value.(*entry)
	fq.virtualTime = f.virtualStart
	f.virtualStart += e.item.tokens() / f.weight
	fq.remove(e)
	return e
}

// remove removes an entry. The flow's virtual start time does not change, because nothing was served.
func (fq *fairQueue) remove(e *entry) {
	f := e.flow
	f.entries.Remove(e.element)
	f.queuedTokens -= e.item.tokens()
	fq.queuedTokens -= e.item.tokens()
	if f.entries.Len() > 0 {
		heap.Fix(&fq.backlogged, f.heapIndex)
		return
	}
	f.queuedTokens = 0
	heap.Remove(&fq.backlogged, f.heapIndex)
	if len(fq.backlogged) == 0 {
		fq.virtualTime, fq.queuedTokens = 0, 0
		clear(fq.flows)
	}
}

// tokensAhead returns the queued tokens that are served before a new item: the backlog of the item's organisation and, for
// every other organisation, at most what its weight entitles it to while that backlog is served.
func (fq *fairQueue) tokensAhead(item *Item) float64 {
	var ownTokens, virtualStart float64
	virtualStart = fq.virtualTime
	if f := fq.flows[item.Organisation]; f != nil {
		ownTokens = f.queuedTokens
		virtualStart = max(f.virtualStart, fq.virtualTime)
	}
	itemStart := virtualStart + ownTokens/item.weight()
	total := ownTokens
	for _, f := range fq.backlogged {
		if f.organisation != item.Organisation {
			total += min(f.queuedTokens, max(0, (itemStart-f.virtualStart)*f.weight))
		}
	}
	return total
}

// largestBacklog returns the flow with the largest backlog, or nil if the queue is empty. Ties go to the smaller
// organisation name.
func (fq *fairQueue) largestBacklog() *flow {
	var largest *flow
	for _, f := range fq.backlogged {
		switch {
		case largest == nil, f.backlog() > largest.backlog():
			largest = f
		case f.backlog() == largest.backlog() && f.organisation < largest.organisation:
			largest = f
		}
	}
	return largest
}

// flowHeap orders flows by virtual start time. Ties go to the smaller organisation name, so that the order is the same in
// every run.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}
	return h[i].organisation < h[j].organisation
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// expiryHeap orders entries by the latest time at which they can start and still meet their deadline.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	return h[i].item.latestStart().Before(h[j].item.latestStart())
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	e.expiryIndex = -1
	return e
}
