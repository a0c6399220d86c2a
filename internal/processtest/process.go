// Package processtest starts the binaries of the project as processes of their own, for tests.
package processtest

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

// Main builds the binaries cicadawall and standin with the lock-order check, runs the tests and returns their exit status. TestMain calls it
// from a package two directories below the root.
func Main(m *testing.M) int {
	dir, err := os.MkdirTemp("", "cicadawall-test-")
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

// binaries is the directory that holds the binaries built by Main.
var binaries string

// Binary returns the path of a binary built by Main.
func Binary(name string) string { return filepath.Join(binaries, name) }

// Process is a running binary whose output goes to a log file.
type Process struct {
	// T is the test that started the process.
	T       *testing.T
	LogFile string

	name string
	cmd  *exec.Cmd
	// done is closed when the process has exited.
	done chan struct{}
}

// Start starts a binary with variables added to its environment, and kills it at the end of the test.
func Start(t *testing.T, dir, name string, environment []string, binary string, args ...string) *Process {
	t.Helper()
	p := &Process{T: t, name: name, LogFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	output, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(Binary(binary), args...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.Env = append(os.Environ(), environment...)
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = output.Close()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.killAndLog)
	return p
}

// killAndLog kills the process if it is still running and, if the test failed, logs the last bytes of the process's output.
func (p *Process) killAndLog() {
	p.Signal(syscall.SIGKILL)
	<-p.done
	if !p.T.Failed() {
		return
	}
	const maxLogBytes = 6000
	text, _ := os.ReadFile(p.LogFile)
	p.T.Logf("last output of %s:\n%s", p.name, text[max(0, len(text)-maxLogBytes):])
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Alive reports whether the process has not exited.
func (p *Process) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process unless it has exited.
func (p *Process) Signal(signal os.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// WaitForExit waits until the process exits and returns its exit status.
func (p *Process) WaitForExit(timeout time.Duration) int {
	p.T.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		p.T.Fatalf("%s is still running after a wait of %s", p.name, timeout)
		return -1
	}
}

// nextPort counts the ports tried by FreeAddress.
var nextPort atomic.Int32

const (
	// firstPort and portCount stay below the ephemeral port range of Linux, so that no outgoing connection occupies a port that
	// a process is about to listen on.
	firstPort = 20000
	portCount = 12000
)

// FreeAddress returns a loopback address on which nothing listens. The process id in the offset keeps concurrent test runs
// apart.
func FreeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (int(nextPort.Add(1))+os.Getpid()*37)%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err == nil {
			_ = socket.Close()
			return address
		}
	}
	t.Fatal("no free port in the test port range")
	return ""
}

// PollInterval is the time between two evaluations of a condition.
const PollInterval = 20 * time.Millisecond

// PollUntil reports whether the condition became true before the timeout.
func PollUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	ticker := time.NewTicker(PollInterval)
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

// Eventually fails the test if the condition does not become true before the timeout.
func Eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	if !PollUntil(timeout, condition) {
		t.Fatalf("condition not met within %s: %s", timeout, what)
	}
}
