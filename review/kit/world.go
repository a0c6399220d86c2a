//go:build review

// Command kit plays the review's cases against processes of cicadawall. The store, the backend servers, the operator and the callers are
// stand-ins in this process; they do what the users' pages say. It exits with 1 if the rule of the case was broken, with 0 if it held,
// and with 2 if the case could not run.
package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	host      = "desk.example"
	apiKey    = "key-arena-north"
	tenant    = "arena-north"
	drainTime = 2 * time.Second
)

var (
	begun     = time.Now()
	recordMu  sync.Mutex
	recordOut *bufio.Writer
	processes sync.Map // of *os.Process by pid
	tempDir   string
	trouble   = os.Getenv("TROUBLE") != "0"
)

// record writes one line to record.txt, with the time since the start.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordOut, "%8.3f  %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

// cleanUp ends all processes that the case started and removes the temporary folder.
func cleanUp() {
	processes.Range(func(_, value any) bool {
		_ = value.(*os.Process).Kill()
		return true
	})
	if tempDir != "" {
		_ = os.RemoveAll(tempDir)
	}
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordOut != nil {
		_ = recordOut.Flush()
	}
}

func end(status int, format string, args ...any) {
	if recordOut != nil {
		record(format, args...)
	}
	fmt.Printf(format+"\n", args...)
	cleanUp()
	os.Exit(status)
}

func cannotRun(format string, args ...any) { end(2, "could not run: "+format, args...) }

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: kit CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	recordOut = bufio.NewWriter(file)
	if tempDir, err = os.MkdirTemp("", "cicadawall-review-"); err != nil {
		cannotRun("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(115*time.Second, func() { cannotRun("the case took too long") })
	cases := map[string]func(){"recover": caseRecover, "refused": caseRefused, "deadly": caseDeadly, "crash": caseCrash}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("unknown case %q", os.Args[1])
	}
	record("case %s, disruption: %v", os.Args[1], trouble)
	play()
	cannotRun("the case did not decide")
}

// loopback is the loopback address of this run, so that runs beside one another do not take one another's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), 1+rand.IntN(250))

// freeAddress returns a loopback address on which nothing listens now.
func freeAddress() string {
	listener, err := net.Listen("tcp4", loopback+":0")
	if err != nil {
		cannotRun("%v", err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// instance is one process of cicadawall on the users' platform.
type instance struct {
	name, front, ready, control, settings string

	mu       sync.Mutex
	process  *os.Process
	exited   chan struct{}
	rotation atomic.Bool
	misses   int
}

// fleet is a small deployment: entry instances before the servers.
type fleet struct {
	store     *store
	instances []*instance
}

func newFleet(count int) *fleet {
	f := &fleet{store: newStore()}
	for n := range count {
		f.instances = append(f.instances, &instance{
			name: fmt.Sprintf("front-zone-a-%d", n+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(),
			settings: filepath.Join(tempDir, fmt.Sprintf("settings-%d.conf", n+1)),
		})
	}
	return f
}

// start writes the settings of all instances, starts them and waits until the platform's balancer would use them.
func (f *fleet) start() {
	var seeds []string
	for _, i := range f.instances {
		seeds = append(seeds, i.control)
	}
	for n, i := range f.instances {
		text := strings.Join([]string{
			"NodeName=" + i.name, "Role=entry", "MachineClass=front", "Serves=front,control", "IpAddress=" + loopback, "Zone=zone-a",
			"Region=region-a", "Zones.zone-a=region-a", "ListenAddresses.Front=" + i.front, "ListenAddresses.Ready=" + i.ready,
			"ListenAddresses.Control=" + i.control, fmt.Sprintf("InternalPortRange=%d,%d", 7340+20*n, 7355+20*n),
			"SeedNodes=" + strings.Join(seeds[:min(3, len(seeds))], ","), "InitialBootstrap=true", "CountsTowardTolerance=false",
			"Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.FileDescriptors=4100", "Limits.LinkMbps=1000.0",
			"Limits.DiskMb=0", "Discovery=platform", "Entry=virtual_ip", "HeartbeatIntervalMs=1200",
			"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
			"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
			"Bounds.SeedLagS=3", "Bounds.AddressReuseS=2", "Bounds.ContactMs=3000", "Bounds.AcknowledgmentMs=4000", "Bounds.CatchUpS=4",
			"Bounds.DrainMs=2000", "Bounds.GracePeriodS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigurationMs=2000",
			"Bounds.RollbackSlackMs=250", "Bounds.OuterBoundMs=5000", "Bounds.StrictRevocation=false", "Bounds.RevocationMs=5000",
			"Bounds.RetryBudgetRatio=0.9", "Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=54", "Bounds.ExposureShare=0.15",
			"Bounds.ExposureSlack=30", "Bounds.RollbackMs=5000", "Bounds.RecoveryS=12", "Bounds.PassMs=120", "Bounds.ReuseWindowS=10",
			"Bounds.SessionS=5", "Platform.Address=" + f.store.address, "Platform.form=table", "Platform.WritesPerS=400",
			"Platform.ReadsPerS=2000", "Platform.TransactionMs=6.0", "Platform.PartWritesPerS=200", "Platform.RowBytes=65536",
			"Platform.Across=false", "Platform.HistoryS=20", "Platform.BlobBytes=8388608", "Platform.BlobMs=25.0", "Platform.BlobMbPerS=80.0", "",
		}, "\n")
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			cannotRun("%v", err)
		}
		i.run()
	}
	go f.probe()
	f.awaitReady(15 * time.Second)
}

// run starts the process with the command of the deploy file.
func (i *instance) run() {
	command := exec.Command("target/cicadawall", "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CICADAWALL_NODE_FILE=" + i.settings}
	var out io.Writer = io.Discard
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		if file, err := os.OpenFile(filepath.Join(dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err == nil {
			out = file
		}
	}
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		cannotRun("start an instance: %v", err)
	}
	processes.Store(command.Process.Pid, command.Process)
	exited := make(chan struct{})
	i.mu.Lock()
	i.process, i.exited = command.Process, exited
	i.mu.Unlock()
	record("%s started", i.name)
	go func() {
		_ = command.Wait()
		processes.Delete(command.Process.Pid)
		record("%s ended", i.name)
		close(exited)
	}()
}

// kill ends the process with SIGKILL and waits until it has ended.
func (i *instance) kill() {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	_ = process.Kill()
	<-exited
}

// killAll kills all processes at the same moment and starts them again after a pause.
func (f *fleet) killAll(down time.Duration) {
	record("all processes are killed")
	var done sync.WaitGroup
	for _, i := range f.instances {
		done.Go(i.kill)
	}
	done.Wait()
	time.Sleep(down)
	for _, i := range f.instances {
		i.run()
	}
}

// probe asks each instance once per second whether it is ready, as the platform's balancer does.
func (f *fleet) probe() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, i := range f.instances {
			go func() {
				response, err := client.Get("http://" + i.ready + "/-/readiness")
				ok := err == nil && response.StatusCode == http.StatusOK
				if err == nil {
					_ = response.Body.Close()
				}
				i.mu.Lock()
				defer i.mu.Unlock()
				if ok {
					i.misses = 0
					i.rotation.Store(true)
					return
				}
				if i.misses++; i.misses >= 2 {
					i.rotation.Store(false)
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// pick returns the instance that gets a new channel: one in rotation, or any if fewer than half are.
func (f *fleet) pick() *instance {
	var in []*instance
	for _, i := range f.instances {
		if i.rotation.Load() {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(f.instances) {
		in = f.instances
	}
	return in[rand.IntN(len(in))]
}

func (f *fleet) awaitReady(limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range f.instances {
			if i.rotation.Load() {
				ready++
			}
		}
		if ready == len(f.instances) {
			return
		}
	}
	cannotRun("the instances were not ready in %v", limit)
}

// request is one attempt of a caller.
type request struct {
	id, method, path string
	header           map[string]string
	body             string
	deadline         time.Duration
}

// answer is what the caller got. A status of 0 means that the channel ended without a complete answer.
type answer struct {
	id       string
	sent     time.Time
	instance string
	status   int
	seal     string
	body     string
	err      error
}

func (a answer) served() bool { return a.status == http.StatusOK && a.seal != "" && a.err == nil }

// newID returns the id of a request.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new channel and reads the whole answer.
func (f *fleet) send(q request) answer {
	i := f.pick()
	a := answer{id: q.id, sent: time.Now(), instance: i.name}
	client := &http.Client{Timeout: q.deadline, Transport: &http.Transport{
		DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, DisableCompression: true,
	}}
	var body io.Reader
	if q.method == http.MethodPost {
		body = strings.NewReader(q.body)
	}
	r, err := http.NewRequest(q.method, "http://"+i.front+q.path, body)
	if err != nil {
		cannotRun("%v", err)
	}
	r.Host = host
	r.Header.Set("Cicadawall-Request-Id", q.id)
	r.Header.Set("Cicadawall-Request-Deadline", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+apiKey)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	a.body, a.err, a.seal = string(text), err, response.Header.Get("Cicadawall-Response-Seal")
	if err == nil {
		a.status = response.StatusCode
	}
	return a
}

// every calls the function in a goroutine of its own at the rate until stop is closed.
func every(perSecond float64, stop <-chan struct{}, call func()) {
	pause := time.Duration(float64(time.Second) / perSecond)
	next := time.Now()
	for {
		next = next.Add(pause)
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
			go call()
		}
	}
}
