package e2e

import (
	"os"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/processtest"
)

// clusterSlots is a semaphore that limits the number of clusters running at the same time, so that tests do not time out
// because of their own load on a busy machine.
var clusterSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(processtest.Main(m)) }

// process is a running binary whose output goes to a log file.
type process = processtest.Process

// startProcess starts a binary and kills it at the end of the test.
func startProcess(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	return processtest.Start(t, dir, name, nil, binary, args...)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return processtest.FreeAddress(t)
}

func pollUntil(timeout time.Duration, condition func() bool) bool {
	return processtest.PollUntil(timeout, condition)
}

func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	processtest.Eventually(t, timeout, what, condition)
}

// sleep waits for a fixed duration, such as the claim window of a protocol.
func sleep(duration time.Duration) { <-time.After(duration) }
