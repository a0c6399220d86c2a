package order

import (
	"sort"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// result is the recorded answer to an order.
type result struct {
	status      int
	contentType string
	body        []byte
}

// orderRow holds the executions and the fence of one idempotency key.
type orderRow struct {
	executionCount int
	fence          int64
	result         result
}

// verdict says whether an order is executed and answered, or which fault it meets.
type verdict int

const (
	verdictRun verdict = iota
	// verdictFail answers without executing the order.
	verdictFail
	// verdictCloseBefore closes the connection without executing the order.
	verdictCloseBefore
	// verdictLoseReply executes the order and closes the connection without an answer.
	verdictLoseReply
)

// table holds the executed orders and the fences by key, and the current faults.
type table struct {
	mu          *lockorder.Mutex
	rows        map[string]*orderRow
	lookups     int
	faults      api.OrderStandinFaults
	checksFence bool
}

func newTable(checksFence bool) *table {
	return &table{mu: lockorder.New(lockorder.RankStandin), rows: map[string]*orderRow{}, checksFence: checksFence}
}

func (t *table) rowLocked(key string) *orderRow {
	if t.rows[key] == nil {
		t.rows[key] = &orderRow{}
	}
	return t.rows[key]
}

// run executes an order; newResult makes its answer from the key's number of executions. It reports false, without
// executing the order, if fences are checked and a higher fence is known for the key.
func (t *table) run(key string, fence int64, newResult func(count int) result) (result, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(key)
	if t.checksFence && fence < row.fence {
		return result{}, false
	}
	row.fence = max(row.fence, fence)
	row.executionCount++
	row.result = newResult(row.executionCount)
	return row.result, true
}

// raiseFence raises the fence of a key, so that orders with a lower fence are rejected from now on, and returns the recorded
// result if the order was executed before. It reports false if the key's fence is already higher.
func (t *table) raiseFence(key string, fence int64) (api.FenceResponse, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row := t.rowLocked(key)
	if fence < row.fence {
		return api.FenceResponse{}, false
	}
	row.fence = fence
	response := api.FenceResponse{Ran: row.executionCount > 0}
	if response.Ran {
		response.Status = row.result.status
		response.ContentType = row.result.contentType
		response.Body = row.result.body
	}
	return response, true
}

func (t *table) countLookup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups++
}

// nextVerdict returns the verdict on one order and decrements the counter of the fault that it applies.
func (t *table) nextVerdict() verdict {
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
		t.checksFence = *faults.ChecksFence
	}
}

func (t *table) getFaults() (faults api.OrderStandinFaults, checksFence bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults, t.checksFence
}

func (t *table) executions() api.OrderExecutions {
	t.mu.Lock()
	defer t.mu.Unlock()
	executions := api.OrderExecutions{Orders: []api.OrderExecution{}, Lookups: t.lookups}
	for key, row := range t.rows {
		execution := api.OrderExecution{Key: key, Count: row.executionCount, Fence: row.fence}
		executions.Orders = append(executions.Orders, execution)
	}
	sort.Slice(executions.Orders, func(i, j int) bool { return executions.Orders[i].Key < executions.Orders[j].Key })
	return executions
}
