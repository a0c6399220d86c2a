//go:build review

// Command rig plays the scripted cases of the second independent review: it starts instances of cicadawall with the command of the deploy
// file, next to stand-ins for the platform's store, the servers and the requesters, and judges what these have seen.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

const (
	host       = "desk.example"
	apiKey     = "key-of-the-member"
	tenant     = "member"
	contact    = 3 * time.Second
	readyLimit = 20 * time.Second
)

// record writes what was sent, answered and run, with the time since the start of the case.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  ", time.Since(r.started).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// instance is one process of cicadawall.
type instance struct {
	name, front, ready, control, settings string
	command                               *exec.Cmd
	exited                                chan struct{}
}

// world holds the store, the servers and the instances of a case.
type world struct {
	*record
	dir       string
	program   string
	store     *rowstore.Store
	storeAddr string
	version   int64
	tenants   []map[string]any
	limits    map[string]any
	instances []*instance
}

func newWorld(r *record, program string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, program: program, store: rowstore.New(),
		tenants: []map[string]any{{"Name": tenant, "ApiKeys": []string{apiKey}}},
		limits:  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, w.store.Handler()) }()
	return w, nil
}

func (w *world) close() {
	for _, i := range w.instances {
		w.kill(i)
	}
	_ = os.RemoveAll(w.dir)
}

// put writes a row of the operator or of a server.
func (w *world) put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	w.store.Put(table, key, text)
}

// manifest writes the next manifest.
func (w *world) manifest(routes, services []map[string]any) {
	w.version += 3
	w.put("op", "config", map[string]any{
		"Version": w.version, "Routes": routes, "Services": services,
		"Tenants": w.tenants,
		"Limits":  w.limits,
	})
}

func freeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// add prepares instances; their settings are those of the small deployment in DEPLOY.md.
func (w *world) add(count int) error {
	first := len(w.instances)
	for n := range count {
		w.instances = append(w.instances, &instance{
			name: fmt.Sprintf("front-%d", first+n+1), front: freeAddress(), ready: freeAddress(), control: freeAddress(),
		})
	}
	var seeds []string
	for _, i := range w.instances {
		seeds = append(seeds, i.control)
	}
	for _, i := range w.instances[first:] {
		i.settings = filepath.Join(w.dir, i.name+".conf")
		text := strings.Join([]string{
			"NodeName=" + i.name, "Role=entry", "MachineClass=front", "Serves=front,control", "IpAddress=127.0.0.1", "Zone=lom-a", "Region=lombardia",
			"Zones.lom-a=lombardia", "ListenAddresses.Front=" + i.front, "ListenAddresses.Ready=" + i.ready, "ListenAddresses.Control=" + i.control,
			"SeedNodes=" + strings.Join(seeds[:min(3, len(seeds))], ","), "InitialBootstrap=true", "CountsTowardTolerance=false",
			"Limits.CpuShare=0.4", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.FileDescriptors=4200", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
			"Discovery=platform", "Entry=virtual_ip", "HeartbeatIntervalMs=1200",
			"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,rollout",
			"Bounds.SeedLagS=3", "Bounds.AddressReuseS=2", "Bounds.ContactMs=3000", "Bounds.AcknowledgmentMs=4000", "Bounds.CatchUpS=4",
			"Bounds.DrainMs=2000", "Bounds.GracePeriodS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigurationMs=2000", "Bounds.RollbackSlackMs=250",
			"Bounds.OuterBoundMs=5000", "Bounds.RetryBudgetRatio=0.9", "Bounds.BudgetWindowS=10", "Bounds.RetryBudgetSlack=52",
			"Bounds.ExposureShare=0.15", "Bounds.ExposureSlack=30", "Bounds.RollbackMs=5000", "Bounds.RecoveryS=12", "Bounds.PassMs=120",
			"Bounds.ReuseWindowS=10", "Bounds.SessionS=5", "Platform.Address=" + w.storeAddr, "Platform.form=table", "Platform.WritesPerS=400",
			"Platform.ReadsPerS=2000", "Platform.TransactionMs=6.0", "Platform.RowBytes=65536", "Platform.Across=false", "Platform.HistoryS=20", "",
		}, "\n")
		if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of an instance, as the deploy file says.
func (w *world) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(w.program, "platform")
	i.command.Env = []string{"CICADAWALL_NODE_FILE=" + i.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	i.command.Stdout, i.command.Stderr = log, log
	i.exited = make(chan struct{})
	if err := i.command.Start(); err != nil {
		return err
	}
	go func(c *exec.Cmd, done chan struct{}) { _ = c.Wait(); close(done); _ = log.Close() }(i.command, i.exited)
	return nil
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, i := range w.instances {
		if err := w.start(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyLimit)
	for _, i := range w.instances {
		for !isReady(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %s", i.name, readyLimit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) kill(i *instance) {
	if i.command == nil || i.command.Process == nil {
		return
	}
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.exited
	i.command = nil
}

// answer is what a requester received.
type answer struct {
	status   int
	seal     string
	body     string
	err      error
	duration time.Duration
}

// requestOptions describe a request.
type requestOptions struct {
	method, path, id, prompt, key string
	deadline                      time.Duration
	body                          []byte
}

// send sends one request on a new channel and reads the whole answer.
func send(i *instance, o requestOptions) answer {
	began := time.Now()
	request, err := http.NewRequest(o.method, "http://"+i.front+o.path, bytes.NewReader(o.body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = host
	request.Header.Set("Cicadawall-Request-Id", o.id)
	request.Header.Set("Cicadawall-Request-Deadline", fmt.Sprint(o.deadline.Milliseconds()))
	if o.key != "" {
		request.Header.Set("Authorization", "Bearer "+o.key)
	}
	if o.prompt != "" {
		request.Header.Set("Cicadawall-Model", "m1")
		request.Header.Set("Cicadawall-Token-Counts", "1200,80")
		request.Header.Set("Cicadawall-Prompt-Prefix", o.prompt)
	}
	client := http.Client{Timeout: o.deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err, duration: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, seal: response.Header.Get("Cicadawall-Response-Seal"), body: string(body), err: err,
		duration: time.Since(began)}
}
