package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/billing"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/platform/httpclient"
)

const (
	callerKey   = "e2e-caller"
	operatorKey = "e2e-operator"
	// startLimit bounds the start of one process on a busy machine.
	startLimit = 30 * time.Second
)

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// declaration has one class whose only versions are those of model small; withdrawn names versions that take no new work.
func declaration(withdrawn ...string) string {
	state := map[string]string{}
	for _, version := range withdrawn {
		state[version] = ", state: withdrawn"
	}
	return fmt.Sprintf(`models:
  - name: small
    versions:
      - {name: v1, inputCost: 0.1, outputCost: 0.4, expectedQuality: 0.9%s}
      - {name: v2, inputCost: 0.1, outputCost: 0.4, expectedQuality: 0.9%s}
classes:
  - name: quick
    priority: 5
    ratingShare: 0
    target: {quality: 0.5, firstTokenMillis: 5000, deadlineMillis: 30000}
services:
  - name: checked
    calls: [{method: POST, path: /orders, repeatable: false, timeoutMillis: 20000}]
  - name: unchecked
    calls: [{method: POST, path: /orders, repeatable: false, timeoutMillis: 20000}]
organisations:
  - name: guild
    keyHashes: [%s]
    allow: [{model: small, versions: [v1, v2]}]
    services: [checked, unchecked]
`, state["v1"], state["v2"], hashOf(callerKey))
}

// world is a platform with backend servers and instances.
type world struct {
	t         *testing.T
	dir       string
	platform  string
	table     platform.Table
	instances []*instance
	changes   int64
}

// instance is one entry instance with the addresses of its ports.
type instance struct {
	*process
	name, zone             string
	caller, operator, peer string
}

// newWorld starts a platform.
func newWorld(t *testing.T) *world {
	t.Helper()
	t.Parallel()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	w := &world{t: t, dir: t.TempDir()}
	address := freeAddress(t)
	w.platform = "http://" + address
	start(t, w.dir, "platform", "standin", "platform", "--listen", address)
	w.answers(w.platform + "/standin/v1/counts")
	client, err := httpclient.New(httpclient.Options{BaseURL: w.platform, Instance: "e2e-reader"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	w.table = client.Services().Table
	return w
}

func (w *world) answers(url string) {
	w.t.Helper()
	eventually(w.t, startLimit, "success of "+url, func() bool { return succeeds(url) })
}

func succeeds(url string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// backend is a stand-in behind the instances.
type backend struct {
	*process
	id, base string
}

// engine starts an engine with versions v1 and v2 of model small.
func (w *world) engine(zone string, tokens int, tokenMillis float64) *backend {
	w.t.Helper()
	address := freeAddress(w.t)
	id := "engine-" + address[len("127.0.0.1:"):]
	version := func(name string) string { return fmt.Sprintf("small@%s=0.9:%d", name, tokens) }
	p := start(w.t, w.dir, id, "standin", "engine", "--listen", address, "--platform", w.platform, "--id", id, "--zone", zone,
		"--version-loaded", version("v1"), "--version-loaded", version("v2"), "--prefill-micros", "10",
		"--token-millis", strconv.FormatFloat(tokenMillis, 'f', -1, 64))
	w.answers("http://" + address + "/standin/v1/counts")
	return &backend{process: p, id: id, base: "http://" + address}
}

// orderServer starts an order server. It is not listed; the test lists its address or that of an interposer.
func (w *world) orderServer(checksFence bool) *backend {
	w.t.Helper()
	address := freeAddress(w.t)
	id := "order-" + address[len("127.0.0.1:"):]
	args := []string{"order", "--listen", address}
	if checksFence {
		args = append(args, "--checks-fence")
	}
	p := start(w.t, w.dir, id, "standin", args...)
	w.answers("http://" + address + "/standin/v1/executions")
	return &backend{process: p, id: id, base: "http://" + address}
}

// list puts an entry into the platform's instance list.
func (w *world) list(entry api.InstanceEntry, address string) {
	w.t.Helper()
	host, port, _ := net.SplitHostPort(address)
	entry.Ip = host
	entry.Port, _ = strconv.Atoi(port)
	entry.State = api.InstanceLive
	w.put(w.platform+"/standin/v1/list/"+entry.Id, entry)
}

// timing holds settings in milliseconds that differ from those of the tests.
type timing map[string]int

// yaml returns the settings with shorter intervals than in production, so that a test takes seconds.
func (o timing) yaml() string {
	all := timing{"configPollMillis": 200, "digestPullMillis": 200, "listPollMillis": 500, "billFlushMillis": 20, "drainBalancerMillis": 500}
	maps.Copy(all, o)
	text, _ := json.Marshal(all) // YAML contains JSON.
	return string(text)
}

// start starts n instances in different availability zones, applies the declaration and waits until all take work.
func (w *world) start(n int, timing timing) {
	w.t.Helper()
	for number := range n {
		name := fmt.Sprintf("entry-%d", number)
		w.add(name, fmt.Sprintf("zone-%d", number%3), w.platform, timing)
	}
	w.ready()
}

// add starts an instance that reaches the platform at the base URL.
func (w *world) add(name, zone, platform string, timing timing) *instance {
	w.t.Helper()
	i := &instance{name: name, zone: zone, caller: freeAddress(w.t), operator: freeAddress(w.t), peer: freeAddress(w.t)}
	w.list(api.InstanceEntry{Id: name, Kind: api.KindEntry, AvailabilityZone: zone}, i.peer)
	settings := fmt.Sprintf(`instance: {name: %s, availabilityZone: %s, advertiseIP: 127.0.0.1}
listen: {caller: "%s", operator: "%s", peer: "%s"}
platform: {baseURL: "%s"}
limits: {workers: 64}
keys:
  operatorKeyHashes: [%s]
  session: [{id: e2e, secret: "%s"}]
timing: %s
`, name, zone, i.caller, i.operator, i.peer, platform, hashOf(operatorKey),
		base64.StdEncoding.EncodeToString([]byte("0123456789abcdef0123456789abcdef")), timing.yaml())
	file := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		w.t.Fatal(err)
	}
	i.process = start(w.t, w.dir, name, "cicadawall", "serve", "--settings", file)
	w.instances = append(w.instances, i)
	return i
}

// replace starts a new process on the ports of an instance that has ended.
func (w *world) replace(i *instance) {
	w.t.Helper()
	i.process = start(w.t, w.dir, i.name, "cicadawall", "serve", "--settings", filepath.Join(w.dir, i.name+".yaml"))
	w.answers("http://" + i.operator + "/readyz")
}

// ready applies the first declaration and waits until all instances take work.
func (w *world) ready() {
	w.t.Helper()
	for _, i := range w.instances {
		w.answers("http://" + i.operator + "/healthz")
	}
	eventually(w.t, startLimit, "acceptance of the declaration", func() bool {
		return w.apply(w.instances[0], declaration()) == api.ApplyAccepted
	})
	for _, i := range w.instances {
		w.answers("http://" + i.operator + "/readyz")
	}
}

// apply changes the configuration through an instance and returns how it ended.
func (w *world) apply(i *instance, document string) api.ApplyResponseState {
	w.t.Helper()
	request := api.ApplyRequest{BaseRevision: w.changes, ChangeID: fmt.Sprintf("e2e-%d", w.changes), Author: "e2e", Document: document, WaitMillis: 15_000}
	body, _ := json.Marshal(request)
	call, _ := http.NewRequest(http.MethodPost, "http://"+i.operator+"/operator/v1/config", bytes.NewReader(body))
	call.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var result api.ApplyResponse
	_ = json.NewDecoder(response.Body).Decode(&result)
	if result.State == api.ApplyAccepted {
		w.changes = result.Revision
	}
	return result.State
}

func (w *world) put(url string, body any) {
	w.t.Helper()
	text, _ := json.Marshal(body)
	request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		w.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		w.t.Fatalf("PUT %s: %d %s", url, response.StatusCode, text)
	}
}

func (w *world) faults(faults api.PlatformFaults) {
	w.t.Helper()
	w.put(w.platform+"/standin/v1/faults", faults)
}

func get[T any](t *testing.T, url string) T {
	t.Helper()
	var value T
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&value); err != nil {
		t.Fatal(err)
	}
	return value
}

// counts returns the completions of an engine.
func (b *backend) counts() api.EngineStandinCounts {
	return get[api.EngineStandinCounts](b.t, b.base+"/standin/v1/counts")
}

// executions returns the number of times that the order of the caller's key ran.
func (b *backend) executions(service, key string) int {
	total := 0
	for _, order := range get[api.OrderExecutions](b.t, b.base+"/standin/v1/executions").Orders {
		if order.Key == "order/guild/"+service+"/"+key {
			total += order.Count
		}
	}
	return total
}

// bills returns the bills after the roll-up by identity.
func (w *world) bills() map[string]api.Bill {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rows, err := billing.ReadRows(ctx, w.table)
	if err != nil {
		return nil
	}
	statement, err := billing.Rollup(rows)
	if err != nil {
		w.t.Fatal(err)
	}
	bills := map[string]api.Bill{}
	for _, bill := range statement.Bills {
		bills[bill.Id] = bill
	}
	return bills
}
