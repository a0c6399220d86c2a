package capacity

import (
	"context"
	"flag"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	instanceCount     = flag.Int("measure-instances", 3, "instances to start")
	listedServers     = flag.Int("measure-servers", 4, "backend servers in the platform's list")
	organisationCount = flag.Int("measure-organisations", 10, "organisations with limits")
	measureWindow     = flag.Duration("measure-window", 5*time.Second, "time over which an idle fleet is measured")
)

// Upper bounds of the target for the control overhead of one instance.
const (
	maxCoreFraction   = 0.012
	maxMemoryBytes    = 256 << 20
	maxBytesPerSecond = 15_000.0
)

// Guards against control overhead above the target: CPU time, memory and control traffic of an idle instance. Run with larger
// values of the flags it measures the slopes of docs/CAPACITY.md.
func TestControlCost(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "./cmd/cicadawall", "./cmd/standin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	fleet, err := Start(ctx, Options{Binaries: binaries, Dir: t.TempDir(), Instances: *instanceCount, Servers: *listedServers, Organisations: *organisationCount})
	defer fleet.Stop()
	if err != nil {
		t.Fatal(err)
	}
	cost, err := fleet.Measure(ctx, *measureWindow)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("instances %d, listed servers %d, organisations %d: %.3f%% of a core, %.1f KB/s (highest %.1f), %.1f MB at most",
		*instanceCount, *listedServers, *organisationCount, 100*cost.CoreFraction, cost.BytesPerSecond/1000, cost.HighestBytesPerSecond/1000, cost.MemoryBytes/1e6)
	if cost.MemoryBytes > maxMemoryBytes {
		t.Errorf("an idle instance uses %.0f bytes of memory, more than the target of %d", cost.MemoryBytes, maxMemoryBytes)
	}
	if cost.HighestBytesPerSecond > maxBytesPerSecond {
		t.Errorf("an idle instance exchanges %.0f control bytes per second, more than the target of %.0f", cost.HighestBytesPerSecond, maxBytesPerSecond)
	}
	if cost.CoreFraction > maxCoreFraction {
		t.Errorf("an idle instance uses %.2f%% of a core for control, more than the target of %.1f%%", 100*cost.CoreFraction, 100*maxCoreFraction)
	}
}
