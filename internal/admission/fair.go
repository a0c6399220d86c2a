package admission

import (
	"container/heap"
	"container/list"
)

// flow holds the waiting items of one organisation at one priority.
type flow struct {
	organisation string
	level        *level
	weight       float64
	entries      *list.List
	tokens       float64
	// start is the virtual start time of the first entry, or of the next one while the flow is empty.
	start float64
	// index is the position in the level's heap, or -1 while the flow is empty.
	index int
}

// backlog returns the waiting work in tokens per unit of weight.
func (f *flow) backlog() float64 { return f.tokens / f.weight }

// level is a start-time fair queue over the organisations of one priority. The virtual time is the start of the entry
// served last. It restarts at zero when the level is empty, so an organisation owes nothing after an idle period.
type level struct {
	priority int
	virtual  float64
	flows    map[string]*flow
	ready    flowHeap
	tokens   float64
}

func newLevel(priority int) *level {
	return &level{priority: priority, flows: map[string]*flow{}}
}

func (l *level) push(item Item) *entry {
	f := l.flows[item.Organisation]
	if f == nil {
		f = &flow{organisation: item.Organisation, level: l, entries: list.New(), index: -1}
		l.flows[item.Organisation] = f
	}
	f.weight = item.weight()
	e := &entry{item: item, flow: f, expiry: -1}
	e.position = f.entries.PushBack(e)
	f.tokens += item.tokens()
	l.tokens += item.tokens()
	if f.index < 0 {
		f.start = max(f.start, l.virtual)
		heap.Push(&l.ready, f)
	}
	return e
}

// pop removes the first entry of the flow with the smallest start time. The level must not be empty.
func (l *level) pop() *entry {
	f := l.ready[0]
	e := f.entries.Front().Value.(*entry)
	l.virtual = f.start
	f.start += e.item.tokens() / f.weight
	l.remove(e)
	return e
}

// remove takes an entry out. The flow's start time does not change, because nothing was served.
func (l *level) remove(e *entry) {
	f := e.flow
	f.entries.Remove(e.position)
	f.tokens -= e.item.tokens()
	l.tokens -= e.item.tokens()
	if f.entries.Len() > 0 {
		heap.Fix(&l.ready, f.index)
		return
	}
	f.tokens = 0
	heap.Remove(&l.ready, f.index)
	if len(l.ready) == 0 {
		l.virtual, l.tokens = 0, 0
		clear(l.flows)
	}
}

// ahead returns the tokens of this level that are served before a new item: of every other organisation at most what its
// weight earns it while this organisation's own backlog is served.
func (l *level) ahead(item *Item) float64 {
	var own, start float64
	start = l.virtual
	if f := l.flows[item.Organisation]; f != nil {
		own = f.tokens
		start = max(f.start, l.virtual)
	}
	begin := start + own/item.weight()
	total := own
	for _, f := range l.ready {
		if f.organisation != item.Organisation {
			total += min(f.tokens, max(0, (begin-f.start)*f.weight))
		}
	}
	return total
}

// longest returns the flow with the largest backlog per weight, or nil. Ties go to the smaller name.
func (l *level) longest() *flow {
	var found *flow
	for _, f := range l.ready {
		switch {
		case found == nil, f.backlog() > found.backlog():
			found = f
		case f.backlog() == found.backlog() && f.organisation < found.organisation:
			found = f
		}
	}
	return found
}

// flowHeap orders flows by start time; ties go to the smaller name, so that the order is the same in every run.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].organisation < h[j].organisation
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// expiryHeap orders entries by the last moment at which they can start.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	return h[i].item.latestStart().Before(h[j].item.latestStart())
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiry = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	e.expiry = -1
	return e
}
