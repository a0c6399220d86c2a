package e2e

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// binaries is the directory of the binaries that TestMain builds.
var binaries string

// slots bounds the worlds that run at the same time, so that a busy machine does not turn load into failures.
var slots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadawall-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-tags", "lockcheck", "-o", dir, "../../cmd/cicadawall", "../../cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the binaries: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is a started binary whose output goes to a file.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	log  string
	// done is closed when the process has ended; err is its error and is read after.
	done chan struct{}
	err  error
}

// start runs a binary and ends it with the test.
func start(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	return startWith(t, dir, name, nil, binary, args...)
}

// startWith runs a binary with variables added to the environment.
func startWith(t *testing.T, dir, name string, environment []string, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, log: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(filepath.Join(binaries, binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.Env = append(os.Environ(), environment...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = output.Close()
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.end)
	return p
}

// end kills the process if it still runs and shows the end of its log after a failure.
func (p *process) end() {
	p.signal(syscall.SIGKILL)
	<-p.done
	if !p.t.Failed() {
		return
	}
	const shown = 6000
	text, _ := os.ReadFile(p.log)
	p.t.Logf("end of the log of %s:\n%s", p.name, text[max(0, len(text)-shown):])
}

// signal sends a signal unless the process has ended.
func (p *process) signal(signal os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// exit waits for the end of the process and returns its exit status.
func (p *process) exit(limit time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(limit):
		p.t.Fatalf("%s still runs %s after the signal", p.name, limit)
		return -1
	}
}

// firstPort starts below the range from which Linux takes the ports of outgoing connections, so that no client holds a port
// that a process is about to open. The process id keeps two test runs apart.
var nextPort atomic.Int32

const (
	firstPort = 20000
	portRange = 12000
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portRange {
		port := firstPort + (int(nextPort.Add(1))+os.Getpid()*37)%portRange
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err == nil {
			_ = socket.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// pollInterval is the time between two looks at a condition.
const pollInterval = 20 * time.Millisecond

// within reports whether the condition came true before the limit.
func within(limit time.Duration, condition func() bool) bool {
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return true
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return condition()
		}
	}
}

// eventually fails the test if the condition does not come true before the limit.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	if !within(limit, condition) {
		t.Fatalf("not within %s: %s", limit, what)
	}
}

// elapse waits for a duration that a protocol states, such as a claim window.
func elapse(duration time.Duration) { <-time.After(duration) }
