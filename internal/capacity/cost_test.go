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

// clockTick is the unit of CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Cost is the control overhead of the idle instances of a fleet.
type Cost struct {
	// CoreFraction is the mean fraction of a CPU core that an instance uses.
	CoreFraction float64
	// BytesPerSecond is the mean control traffic of an instance, HighestBytesPerSecond that of the instance with the most.
	BytesPerSecond, HighestBytesPerSecond float64
	// MemoryBytes is the largest resident memory of any instance.
	MemoryBytes float64
}

type usage struct {
	cpu          time.Duration
	controlBytes float64
}

// Measure returns the cost of the fleet's instances, measured over the window.
func (f *Fleet) Measure(ctx context.Context, window time.Duration) (Cost, error) {
	var cost Cost
	before := make([]usage, len(f.nodes))
	for i, n := range f.nodes {
		var err error
		if before[i], err = n.readUsage(ctx); err != nil {
			return cost, err
		}
	}
	startedAt := time.Now()
	select {
	case <-time.After(window):
	case <-ctx.Done():
		return cost, ctx.Err()
	}
	elapsedSeconds := time.Since(startedAt).Seconds()
	count := float64(len(f.nodes))
	for i, n := range f.nodes {
		after, err := n.readUsage(ctx)
		if err != nil {
			return cost, err
		}
		memory, err := n.residentMemory()
		if err != nil {
			return cost, err
		}
		bytesPerSecond := (after.controlBytes - before[i].controlBytes) / elapsedSeconds
		cost.CoreFraction += (after.cpu - before[i].cpu).Seconds() / elapsedSeconds / count
		cost.BytesPerSecond += bytesPerSecond / count
		cost.HighestBytesPerSecond = max(cost.HighestBytesPerSecond, bytesPerSecond)
		cost.MemoryBytes = max(cost.MemoryBytes, memory)
	}
	return cost, nil
}

func (n *node) readUsage(ctx context.Context) (usage, error) {
	cpu, err := n.cpuTime()
	return usage{cpu: cpu, controlBytes: n.controlBytes(ctx)}, err
}

// cpuTime reads the user and system CPU time of the process from /proc.
func (n *node) cpuTime() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "read the CPU time of %s", n.name)
	}
	// The process name in parentheses may contain spaces. User and system time are the 12th and 13th field after it.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * clockTick, nil
}

// residentMemory reads the resident memory of the process in bytes.
func (n *node) residentMemory() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	if err != nil {
		return 0, errors.Wrapf(err, "read the resident memory of %s", n.name)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "VmRSS:"); found {
			kilobytes, err := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kilobytes * 1024, errors.Wrap(err, "parse VmRSS")
		}
	}
	return 0, errors.Errorf("read the resident memory of %s: no VmRSS line", n.name)
}

// controlBytes returns the control bytes that the instance has sent and received. The counters cover only calls that it made as
// a client. Traffic with peers counts twice, because on average over the fleet an instance exchanges as much as the server of
// its peers.
func (n *node) controlBytes(ctx context.Context) float64 {
	text, _ := sendJSON(ctx, http.MethodGet, n.operatorURL()+"/metrics", nil)
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
