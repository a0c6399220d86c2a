package capacity

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// tick is the unit of processor times in /proc.
const tick = 10 * time.Millisecond

// Cost is what an idle instance spends on control.
type Cost struct {
	// CoreShare is the mean share of a core.
	CoreShare float64
	// BytesPerSecond is the mean, HighestBytesPerSecond that of the instance with the most.
	BytesPerSecond, HighestBytesPerSecond float64
	// MemoryBytes is the resident memory of the instance with the most.
	MemoryBytes float64
}

type sample struct {
	cpu     time.Duration
	traffic float64
}

// Measure returns the cost over the window.
func (f *Fleet) Measure(ctx context.Context, window time.Duration) (Cost, error) {
	var cost Cost
	before := make([]sample, len(f.nodes))
	for i, n := range f.nodes {
		var err error
		if before[i], err = n.sample(ctx); err != nil {
			return cost, err
		}
	}
	begin := time.Now()
	select {
	case <-time.After(window):
	case <-ctx.Done():
		return cost, ctx.Err()
	}
	took := time.Since(begin).Seconds()
	count := float64(len(f.nodes))
	for i, n := range f.nodes {
		after, err := n.sample(ctx)
		if err != nil {
			return cost, err
		}
		memory, err := n.memory()
		if err != nil {
			return cost, err
		}
		traffic := (after.traffic - before[i].traffic) / took
		cost.CoreShare += (after.cpu - before[i].cpu).Seconds() / took / count
		cost.BytesPerSecond += traffic / count
		cost.HighestBytesPerSecond = max(cost.HighestBytesPerSecond, traffic)
		cost.MemoryBytes = max(cost.MemoryBytes, memory)
	}
	return cost, nil
}

func (n *node) sample(ctx context.Context) (sample, error) {
	cpu, err := n.cpuTime()
	return sample{cpu: cpu, traffic: n.controlBytes(ctx)}, err
}

// cpuTime reads the processor time of the process from /proc.
func (n *node) cpuTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "processor time of %s", n.name)
	}
	// The fields after the name, which may hold spaces; user and system time are the 12th and 13th of them.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * tick, nil
}

// memory reads the resident memory of the process in bytes.
func (n *node) memory() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "memory of %s", n.name)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * 1024, errors.Wrap(err, "parse VmRSS")
		}
	}
	return 0, errors.Errorf("memory of %s: no VmRSS", n.name)
}

// controlBytes returns the bytes that the instance sent and received for control. The counters hold what it exchanged as a
// client; what it exchanged as the server of its peers is as much again on average over the fleet.
func (n *node) controlBytes(ctx context.Context) float64 {
	text, _ := call(ctx, http.MethodGet, n.operator()+"/metrics", nil)
	total := 0.0
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(line, "cicadawall_control_bytes_total") {
			continue
		}
		value, _ := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		if strings.Contains(line, `with="peers"`) {
			value *= 2
		}
		total += value
	}
	return total
}
