package order

import (
	"sort"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// result is the recorded answer of an order.
type result struct {
	status      int
	contentType string
	body        []byte
}

type row struct {
	count  int
	fence  int64
	result result
}

// verdict is what happens to one order.
type verdict int

const (
	verdictRun verdict = iota
	verdictFail
	verdictCloseBefore
	verdictLoseReply
)

// table holds the orders that ran, by key, and the faults in force.
type table struct {
	mu      *lockorder.Mutex
	rows    map[string]*row
	lookups int
	faults  api.OrderStandinFaults
	checks  bool
}

func newTable(checksFence bool) *table {
	return &table{mu: lockorder.New(lockorder.RankStandin), rows: map[string]*row{}, checks: checksFence}
}

func (t *table) rowLocked(key string) *row {
	if t.rows[key] == nil {
		t.rows[key] = &row{}
	}
	return t.rows[key]
}

// run executes an order. It reports false, without running it, if fencing is checked and the fence is old.
func (t *table) run(key string, fence int64, make func(count int) result) (result, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(key)
	if t.checks && fence < row.fence {
		return result{}, false
	}
	row.fence = max(row.fence, fence)
	row.count++
	row.result = make(row.count)
	return row.result, true
}

// raise raises the fence of a key, so that orders with a lower fence never run from now on, and returns what ran before.
// It reports false if the key's fence is higher already.
func (t *table) raise(key string, fence int64) (api.FenceResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(key)
	if fence < row.fence {
		return api.FenceResponse{}, false
	}
	row.fence = fence
	response := api.FenceResponse{Ran: row.count > 0}
	if response.Ran {
		response.Status = row.result.status
		response.ContentType = row.result.contentType
		response.Body = row.result.body
	}
	return response, true
}

func (t *table) lookup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups++
}

// judge decides about one order and uses up a counted fault.
func (t *table) judge() verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.faults.FailNext > 0:
		t.faults.FailNext--
		return verdictFail
	case t.faults.CloseBeforeNext > 0:
		t.faults.CloseBeforeNext--
		return verdictCloseBefore
	case t.faults.LoseReplyNext > 0:
		t.faults.LoseReplyNext--
		return verdictLoseReply
	}
	return verdictRun
}

func (t *table) setFaults(faults api.OrderStandinFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
	if faults.ChecksFence != nil {
		t.checks = *faults.ChecksFence
	}
}

func (t *table) getFaults() (faults api.OrderStandinFaults, checksFence bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.checks
}

func (t *table) executions() api.OrderExecutions {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := api.OrderExecutions{Orders: []api.OrderExecution{}, Lookups: t.lookups}
	for key, row := range t.rows {
		execution := api.OrderExecution{Key: key, Count: row.count, Fence: row.fence}
		executions.Orders = append(executions.Orders, execution)
	}
	sort.Slice(executions.Orders, func(i, j int) bool { return executions.Orders[i].Key < executions.Orders[j].Key })
	return executions
}
