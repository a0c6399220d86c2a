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

// binaries is the directory that holds the binaries built by TestMain.
var binaries string

// clusterSlots is a semaphore that limits the number of clusters running at the same time, so that tests do not time out
// because of their own load on a busy machine.
var clusterSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
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

// process is a running binary whose output goes to a log file.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	logFile string
	// done is closed when the process has exited. err is the error of its Wait call and may be read only after that.
	done chan struct{}
	err  error
}

// startProcess starts a binary and kills it at the end of the test.
func startProcess(t *testing.T, dir, name, binary string, args ...string) *process {
	t.Helper()
	return startProcessWithEnv(t, dir, name, nil, binary, args...)
}

// startProcessWithEnv is startProcess with variables added to the environment.
func startProcessWithEnv(t *testing.T, dir, name string, environment []string, binary string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, logFile: filepath.Join(dir, name+".log"), done: make(chan struct{})}
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	t.Cleanup(p.killAndLog)
	return p
}

// killAndLog kills the process if it is still running and, if the test failed, logs the last bytes of the process's output.
func (p *process) killAndLog() {
	p.signal(syscall.SIGKILL)
	<-p.done
	if !p.t.Failed() {
		return
	}
	const maxLogBytes = 6000
	text, _ := os.ReadFile(p.logFile)
	p.t.Logf("last output of %s:\n%s", p.name, text[max(0, len(text)-maxLogBytes):])
}

// signal sends a signal to the process unless it has exited.
func (p *process) signal(signal os.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(signal)
	}
}

// waitForExit waits until the process exits and returns its exit status.
func (p *process) waitForExit(timeout time.Duration) int {
	p.t.Helper()
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		p.t.Fatalf("%s is still running after a wait of %s", p.name, timeout)
		return -1
	}
}

// nextPort counts the ports tried by freeAddress.
var nextPort atomic.Int32

const (
	// firstPort and portCount stay below the ephemeral port range of Linux, so that no outgoing connection occupies a port that
	// a process is about to listen on.
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns a loopback address on which nothing listens. The process id in the offset keeps concurrent test runs
// apart.
func freeAddress(t *testing.T) string {
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

// pollInterval is the time between two evaluations of a condition.
const pollInterval = 20 * time.Millisecond

// pollUntil reports whether the condition became true before the timeout.
func pollUntil(timeout time.Duration, condition func() bool) bool {
	deadline := time.NewTimer(timeout)
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

// eventually fails the test if the condition does not become true before the timeout.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) {
	t.Helper()
	if !pollUntil(timeout, condition) {
		t.Fatalf("condition not met within %s: %s", timeout, what)
	}
}

// sleep waits for a fixed duration, such as the claim window of a protocol.
func sleep(duration time.Duration) { <-time.After(duration) }
