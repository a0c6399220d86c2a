// Package capacity measures what a running instance spends on control as the fleet grows. The measurements feed
// docs/CAPACITY.md.
package capacity

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
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

const (
	operatorKey  = "measure-operator"
	startTimeout = 60 * time.Second
	pollEvery    = 100 * time.Millisecond
)

// node is one running process.
type node struct {
	name    string
	cmd     *exec.Cmd
	ports   [3]int
	cpu     time.Duration
	traffic float64
}

func freePorts(t *testing.T, n int) []int {
	t.Helper()
	var ports []int
	var sockets []net.Listener
	for range n {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		sockets = append(sockets, socket)
		ports = append(ports, socket.Addr().(*net.TCPAddr).Port)
	}
	for _, socket := range sockets {
		_ = socket.Close()
	}
	return ports
}

func build(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir, "./cmd/cicadawall", "./cmd/standin")
	cmd.Dir = filepath.Join("..", "..")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return dir
}

func start(t *testing.T, name string, args ...string) *exec.Cmd {
	t.Helper()
	cmd := exec.Command(args[0], args[1:]...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.After(startTimeout)
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			t.Fatalf("not within %s: %s", startTimeout, what)
		case <-tick.C:
		}
	}
}

func call(t *testing.T, method, url string, body any) ([]byte, int) {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return text, response.StatusCode
}

func ok(t *testing.T, url string) bool {
	_, status := call(t, http.MethodGet, url, nil)
	return status == http.StatusOK
}

func settingsFile(t *testing.T, n *node, platform string) string {
	sum := sha256.Sum256([]byte(operatorKey))
	secret := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("s"), 32))
	text := fmt.Sprintf(`
instance: {name: %s, availabilityZone: zone-%d, advertiseIP: 127.0.0.1}
listen: {caller: "127.0.0.1:%d", operator: "127.0.0.1:%d", peer: "127.0.0.1:%d"}
platform: {baseURL: "%s"}
keys: {operatorKeyHashes: [%s], session: [{id: k, secret: "%s"}]}
`, n.name, n.ports[2]%3, n.ports[0], n.ports[1], n.ports[2], platform, hex.EncodeToString(sum[:]), secret)
	file := filepath.Join(t.TempDir(), n.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func listEntry(t *testing.T, platform string, entry api.InstanceEntry) {
	t.Helper()
	if text, status := call(t, http.MethodPut, platform+"/standin/v1/list/"+entry.Id, entry); status != http.StatusOK {
		t.Fatalf("list entry %s: %d %s", entry.Id, status, text)
	}
}

func declarationText(organisations int) string {
	var text strings.Builder
	text.WriteString("models:\n  - {name: m, versions: [{name: v1, inputCost: 1, outputCost: 1, expectedQuality: 0.9}]}\n")
	text.WriteString("classes:\n  - {name: c, priority: 5, target: {quality: 0.5}}\norganisations:\n")
	for i := range organisations {
		hash := sha256.Sum256([]byte(strconv.Itoa(i)))
		fmt.Fprintf(&text, "  - {name: org-%d, keyHashes: [%s], allow: [{model: m, versions: [v1]}], limits: {requestsPerSecond: 100}}\n",
			i, hex.EncodeToString(hash[:]))
	}
	return text.String()
}

// cpuTime reads the processor time of a process from /proc, in ticks of 10 ms.
func cpuTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

func memory(t *testing.T, pid int) float64 {
	t.Helper()
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if rest, found := strings.CutPrefix(lines.Text(), "VmRSS:"); found {
			kilobytes, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kilobytes * 1024
		}
	}
	t.Fatal("no VmRSS")
	return 0
}

// controlBytes returns the bytes that an instance sent and received for control. The counters hold what it exchanged as a
// client; what it exchanged as the server of its peers is as much again on average over the fleet.
func controlBytes(t *testing.T, n *node) float64 {
	t.Helper()
	text, _ := call(t, http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/metrics", n.ports[1]), nil)
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

// Guards against control costs above the target: processor, memory and bytes of an idle instance. With larger flags it
// measures the slopes of docs/CAPACITY.md. The processor bound is checked only at the default size, where the machine is
// not saturated by the fleet itself.
func TestControlCost(t *testing.T) {
	dir := build(t)
	ports := freePorts(t, 1+3**instances)
	platform := fmt.Sprintf("http://127.0.0.1:%d", ports[0])
	start(t, "platform", filepath.Join(dir, "standin"), "platform", "--listen", strings.TrimPrefix(platform, "http://"))
	eventually(t, "platform", func() bool { return ok(t, platform+"/standin/v1/counts") })
	for i := range *listed {
		listEntry(t, platform, api.InstanceEntry{Id: fmt.Sprintf("server-%d", i), Kind: api.KindService, Service: "s", Ip: "127.0.0.1", Port: 1,
			AvailabilityZone: "zone-0", State: api.InstanceLive})
	}
	var nodes []*node
	for i := range *instances {
		n := &node{name: fmt.Sprintf("entry-%d", i), ports: [3]int(ports[1+3*i : 4+3*i])}
		n.cmd = start(t, n.name, filepath.Join(dir, "cicadawall"), "serve", "--settings", settingsFile(t, n, platform), "--log-level", "error")
		listEntry(t, platform, api.InstanceEntry{Id: n.name, Kind: api.KindEntry, Ip: "127.0.0.1", Port: n.ports[2], AvailabilityZone: "zone-0", State: api.InstanceLive})
		nodes = append(nodes, n)
	}
	operator := fmt.Sprintf("http://127.0.0.1:%d", nodes[0].ports[1])
	eventually(t, "first instance", func() bool { return ok(t, operator+"/healthz") })
	apply := api.ApplyRequest{ChangeID: "measure", Document: declarationText(*orgs), WaitMillis: 30_000}
	eventually(t, "change accepted", func() bool {
		text, _ := call(t, http.MethodPost, operator+"/operator/v1/config", apply)
		return strings.Contains(string(text), string(api.ApplyAccepted))
	})
	for _, n := range nodes {
		eventually(t, n.name+" ready", func() bool { return ok(t, fmt.Sprintf("http://127.0.0.1:%d/readyz", n.ports[1])) })
	}
	report(t, nodes)
}

func report(t *testing.T, nodes []*node) {
	t.Helper()
	for _, n := range nodes {
		n.cpu, n.traffic = cpuTime(t, n.cmd.Process.Pid), controlBytes(t, n)
	}
	begin := time.Now()
	<-time.After(*window)
	took := time.Since(begin).Seconds()
	var cpu, rss, traffic, highest float64
	for _, n := range nodes {
		cpu += (cpuTime(t, n.cmd.Process.Pid) - n.cpu).Seconds() / took
		bytesPerSec := (controlBytes(t, n) - n.traffic) / took
		traffic += bytesPerSec
		highest = max(highest, bytesPerSec)
		rss = max(rss, memory(t, n.cmd.Process.Pid))
	}
	count := float64(len(nodes))
	t.Logf("instances %d, listed servers %d, organisations %d: %.3f%% of a core, %.1f KB/s (highest %.1f), %.1f MB at most",
		len(nodes), *listed, *orgs, 100*cpu/count, traffic/count/1000, highest/1000, rss/1e6)
	if rss > maxMemoryBytes {
		t.Errorf("an instance uses %.0f bytes of memory, more than %d", rss, maxMemoryBytes)
	}
	if highest > maxBytesPerSec {
		t.Errorf("an instance exchanges %.0f bytes a second for control, more than %.0f", highest, maxBytesPerSec)
	}
	if len(nodes) <= 3 && cpu/count > maxCoreShare {
		t.Errorf("an instance spends %.2f%% of a core on control, more than %.1f%%", 100*cpu/count, 100*maxCoreShare)
	}
}
