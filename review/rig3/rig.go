//go:build review

package rig3

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Check ends the case as one that could not run.
func Check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		stopAll()
		os.Exit(2)
	}
}

// init ends the processes if the case is ended from outside.
func init() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		stopAll()
		os.Exit(2)
	}()
}

// Record is the record of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord returns a record that is written to the path.
func NewRecord(path string) *Record {
	file, err := os.Create(path)
	Check(err)
	return &Record{file: file, started: time.Now()}
}

// Printf writes a line with the time since the start.
func (r *Record) Printf(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// Trouble reports whether the case has its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// FreePort returns a port that is free on the address, below those that outgoing connections take.
func FreePort(ip string) int {
	for range 200 {
		port := 20000 + rand.IntN(12000)
		if listener, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			_ = listener.Close()
			return port
		}
	}
	Check(fmt.Errorf("no free port on %s", ip))
	return 0
}

var (
	processesMu sync.Mutex
	processes   []*Node
	tempDirs    []string
	// stopping is set once the case ends; no process starts then.
	stopping bool
)

// Node is one machine with its process.
type Node struct {
	Name, IP, Zone        string
	Front, Ready, Control string
	settings              map[string]string
	dir                   string
	cmd                   *exec.Cmd
	Exited                chan struct{}
}

// NewNode returns a machine with settings as on the page for deployments.
func NewNode(dir, name, ip, zone, store string) *Node {
	n := &Node{Name: name, IP: ip, Zone: zone, dir: dir}
	n.Front = fmt.Sprintf("%s:%d", ip, FreePort(ip))
	n.Ready = fmt.Sprintf("%s:%d", ip, FreePort(ip))
	n.Control = fmt.Sprintf("%s:%d", ip, FreePort(ip))
	n.settings = map[string]string{
		"NodeName": name, "Role": "entry", "MachineClass": "front", "Serves": "front,control", "IpAddress": ip, "Zone": zone,
		"Region": "cascadia", "Zones." + zone: "cascadia", "ListenAddresses.Front": n.Front, "ListenAddresses.Ready": n.Ready,
		"ListenAddresses.Control": n.Control, "InternalPortRange": "7340,7355", "InitialBootstrap": "true",
		"CountsTowardTolerance": "false", "Limits.CpuShare": "0.4", "Limits.CpuCores": "1", "Limits.MemoryMb": "284",
		"Limits.FileDescriptors": "4100", "Limits.LinkMbps": "1000.0", "Limits.DiskMb": "0", "Discovery": "platform",
		"Entry": "virtual_ip", "HeartbeatIntervalMs": "1200",
		"Contracts":               "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
		"FaultTolerance.Machines": "2", "FaultTolerance.Zones": "0", "FaultTolerance.Regions": "0",
		"Bounds.SeedLagS": "3", "Bounds.AddressReuseS": "2", "Bounds.ContactMs": "3000", "Bounds.AcknowledgmentMs": "4000",
		"Bounds.CatchUpS": "4", "Bounds.DrainMs": "2000", "Bounds.GracePeriodS": "8", "Bounds.LossSlackMs": "200",
		"Bounds.ConfigurationMs": "2000", "Bounds.RollbackSlackMs": "250", "Bounds.OuterBoundMs": "5000",
		"Bounds.StrictRevocation": "false", "Bounds.RevocationMs": "5000", "Bounds.RetryBudgetRatio": "0.9",
		"Bounds.BudgetWindowS": "10", "Bounds.RetryBudgetSlack": "54", "Bounds.ExposureShare": "0.15", "Bounds.ExposureSlack": "30",
		"Bounds.RollbackMs": "5000", "Bounds.RecoveryS": "12", "Bounds.PassMs": "120", "Bounds.ReuseWindowS": "10",
		"Bounds.SessionS": "5", "Platform.Address": store, "Platform.form": "table", "Platform.WritesPerS": "400",
		"Platform.ReadsPerS": "2000", "Platform.TransactionMs": "6.0", "Platform.PartWritesPerS": "200", "Platform.RowBytes": "65536",
		"Platform.Across": "false", "Platform.HistoryS": "20", "Platform.BlobBytes": "8388608", "Platform.BlobMs": "25.0",
		"Platform.BlobMbPerS": "80.0",
	}
	return n
}

// Set changes a setting.
func (n *Node) Set(key, value string) { n.settings[key] = value }

// Start starts the process with the command of the deploy file.
func (n *Node) Start() {
	path := filepath.Join(n.dir, n.Name+".conf")
	var text strings.Builder
	for key, value := range n.settings {
		fmt.Fprintf(&text, "%s=%s\n", key, value)
	}
	Check(os.WriteFile(path, []byte(text.String()), 0o600))
	log, err := os.OpenFile(filepath.Join(n.dir, n.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	Check(err)
	n.cmd = exec.Command("target/cicadawall", "platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "CICADAWALL_NODE_FILE=" + path}
	n.cmd.Stdout, n.cmd.Stderr = log, log
	processesMu.Lock()
	defer processesMu.Unlock()
	if stopping {
		return
	}
	if err := n.cmd.Start(); err != nil {
		go Check(err)
		return
	}
	exited := make(chan struct{})
	n.Exited = exited
	cmd := n.cmd
	go func() { _ = cmd.Wait(); close(exited) }()
	processes = append(processes, n)
}

// Running reports whether the process runs.
func (n *Node) Running() bool {
	select {
	case <-n.Exited:
		return false
	default:
		return true
	}
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) { _ = n.cmd.Process.Signal(signal) }

// AwaitReady waits until the machine says that it is ready.
func (n *Node) AwaitReady(timeout time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); ; time.Sleep(100 * time.Millisecond) {
		response, err := client.Get("http://" + n.Ready + "/-/readiness")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(end) {
			Check(fmt.Errorf("%s is not ready", n.Name))
		}
	}
}

// LogOf returns the lines of a machine's log that hold one of the texts.
func (n *Node) LogOf(texts ...string) []string {
	data, _ := os.ReadFile(filepath.Join(n.dir, n.Name+".log"))
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				lines = append(lines, line)
				break
			}
		}
	}
	return lines
}

// TempDir returns a temporary folder, which is removed when the case ends.
func TempDir() string {
	dir, err := os.MkdirTemp("", "review-")
	Check(err)
	processesMu.Lock()
	defer processesMu.Unlock()
	tempDirs = append(tempDirs, dir)
	return dir
}

// stopAll ends all processes and removes the temporary folders.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	stopping = true
	defer func() {
		for _, dir := range tempDirs {
			_ = os.RemoveAll(dir)
		}
	}()
	for _, n := range processes {
		if n.Running() {
			_ = n.cmd.Process.Kill()
			<-n.Exited
		}
	}
}

// Finish ends all processes and the case: with 1 if the rule was broken, and 0 if it held.
func Finish(record *Record, broken bool) {
	stopAll()
	status := 0
	verdict := "the rule held"
	if broken {
		status, verdict = 1, "the rule was broken"
	}
	record.Printf("%s", verdict)
	fmt.Println(verdict)
	os.Exit(status)
}
