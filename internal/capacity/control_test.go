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
	instances = flag.Int("measure-instances", 3, "instances to start")
	listed    = flag.Int("measure-servers", 4, "backend servers in the platform's list")
	orgs      = flag.Int("measure-organisations", 10, "organisations with limits")
	window    = flag.Duration("measure-window", 5*time.Second, "time over which an idle fleet is measured")
)

// Bounds of the target for control at one instance.
const (
	maxCoreShare   = 0.012
	maxMemoryBytes = 256 << 20
	maxBytesPerSec = 15_000.0
)

// Guards against control costs above the target: processor, memory and bytes of an idle instance. With larger flags it
// measures the slopes of docs/CAPACITY.md.
func TestControlCost(t *testing.T) {
	binaries := t.TempDir()
	build := exec.Command("go", "build", "-o", binaries, "./cmd/cicadawall", "./cmd/standin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	fleet, err := Start(ctx, Options{Binaries: binaries, Dir: t.TempDir(), Instances: *instances, Servers: *listed, Organisations: *orgs})
	defer fleet.Stop()
	if err != nil {
		t.Fatal(err)
	}
	cost, err := fleet.Measure(ctx, *window)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("instances %d, listed servers %d, organisations %d: %.3f%% of a core, %.1f KB/s (highest %.1f), %.1f MB at most",
		*instances, *listed, *orgs, 100*cost.CoreShare, cost.BytesPerSecond/1000, cost.HighestBytesPerSecond/1000, cost.MemoryBytes/1e6)
	if cost.MemoryBytes > maxMemoryBytes {
		t.Errorf("an instance uses %.0f bytes of memory, more than %d", cost.MemoryBytes, maxMemoryBytes)
	}
	if cost.HighestBytesPerSecond > maxBytesPerSec {
		t.Errorf("an instance exchanges %.0f bytes a second for control, more than %.0f", cost.HighestBytesPerSecond, maxBytesPerSec)
	}
	if cost.CoreShare > maxCoreShare {
		t.Errorf("an instance spends %.2f%% of a core on control, more than %.1f%%", 100*cost.CoreShare, 100*maxCoreShare)
	}
}
