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
	// startTimeout limits the time that one process may take to start on a busy machine.
	startTimeout = 30 * time.Second
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// declaration returns a declaration with class quick, which can use only the versions of model small. The given versions are
// withdrawn: they get no new requests.
func declaration(withdrawn ...string) string {
	stateField := map[string]string{}
	for _, version := range withdrawn {
		stateField[version] = ", state: withdrawn"
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
`, stateField["v1"], stateField["v2"], keyHash(callerKey))
}

// cluster is a platform stand-in with backend servers and instances, each a process of its own.
type cluster struct {
	t           *testing.T
	dir         string
	platformURL string
	table       platform.Table
	instances   []*instance
	revision    int64
}

// instance is one entry instance with its listen addresses.
type instance struct {
	*process
	name, zone                                  string
	callerAddress, operatorAddress, peerAddress string
}

// newCluster starts a platform stand-in without backend servers and instances.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &cluster{t: t, dir: t.TempDir()}
	address := freeAddress(t)
	c.platformURL = "http://" + address
	startProcess(t, c.dir, "platform", "standin", "platform", "--listen", address)
	c.waitForOK(c.platformURL + "/standin/v1/counts")
	client, err := httpclient.New(httpclient.Options{BaseURL: c.platformURL, Instance: "e2e-reader"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	c.table = client.Services().Table
	return c
}

func (c *cluster) waitForOK(url string) {
	c.t.Helper()
	eventually(c.t, startTimeout, "a successful response from "+url, func() bool { return returnsOK(url) })
}

func returnsOK(url string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// backendServer is a stand-in engine or order server.
type backendServer struct {
	*process
	id, baseURL string
}

// startEngine starts an engine stand-in with versions v1 and v2 of model small. Its answers have the given number of tokens.
func (c *cluster) startEngine(zone string, tokens int, tokenMillis float64) *backendServer {
	c.t.Helper()
	address := freeAddress(c.t)
	id := "engine-" + address[len("127.0.0.1:"):]
	version := func(name string) string { return fmt.Sprintf("small@%s=0.9:%d", name, tokens) }
	p := startProcess(c.t, c.dir, id, "standin", "engine", "--listen", address, "--platform", c.platformURL, "--id", id, "--zone", zone,
		"--version-loaded", version("v1"), "--version-loaded", version("v2"), "--prefill-micros", "10",
		"--token-millis", strconv.FormatFloat(tokenMillis, 'f', -1, 64))
	c.waitForOK("http://" + address + "/standin/v1/counts")
	return &backendServer{process: p, id: id, baseURL: "http://" + address}
}

// startOrderServer starts an order server. It does not add the server to the platform's list; the test lists either its address
// or that of an interposer.
func (c *cluster) startOrderServer(checksFence bool) *backendServer {
	c.t.Helper()
	address := freeAddress(c.t)
	id := "order-" + address[len("127.0.0.1:"):]
	args := []string{"order", "--listen", address}
	if checksFence {
		args = append(args, "--checks-fence")
	}
	p := startProcess(c.t, c.dir, id, "standin", args...)
	c.waitForOK("http://" + address + "/standin/v1/executions")
	return &backendServer{process: p, id: id, baseURL: "http://" + address}
}

// putListEntry puts an entry into the platform's instance list.
func (c *cluster) putListEntry(entry api.InstanceEntry, address string) {
	c.t.Helper()
	host, port, _ := net.SplitHostPort(address)
	entry.Ip = host
	entry.Port, _ = strconv.Atoi(port)
	entry.State = api.InstanceLive
	c.putJSON(c.platformURL+"/standin/v1/list/"+entry.Id, entry)
}

// timing holds timing settings in milliseconds that replace the defaults of these tests.
type timing map[string]int

// yaml encodes the settings over the test defaults, which are shorter than the production defaults so that a test takes seconds.
func (t timing) yaml() string {
	merged := timing{"configPollMillis": 200, "digestPullMillis": 200, "listPollMillis": 500, "billFlushMillis": 20, "drainBalancerMillis": 500}
	maps.Copy(merged, t)
	text, _ := json.Marshal(merged) // JSON is valid YAML.
	return string(text)
}

// startInstances starts n instances spread over three availability zones, applies the declaration and waits until all are ready.
func (c *cluster) startInstances(n int, timing timing) {
	c.t.Helper()
	for index := range n {
		name := fmt.Sprintf("entry-%d", index)
		c.startInstance(name, fmt.Sprintf("zone-%d", index%3), c.platformURL, timing)
	}
	c.configure()
}

// startInstance starts an instance that connects to the platform through the given base URL.
func (c *cluster) startInstance(name, zone, platformURL string, timing timing) *instance {
	c.t.Helper()
	i := &instance{name: name, zone: zone, callerAddress: freeAddress(c.t), operatorAddress: freeAddress(c.t), peerAddress: freeAddress(c.t)}
	c.putListEntry(api.InstanceEntry{Id: name, Kind: api.KindEntry, AvailabilityZone: zone}, i.peerAddress)
	settings := fmt.Sprintf(`instance: {name: %s, availabilityZone: %s, advertiseIP: 127.0.0.1}
listen: {caller: "%s", operator: "%s", peer: "%s"}
platform: {baseURL: "%s"}
limits: {workers: 64}
keys:
  operatorKeyHashes: [%s]
  session: [{id: e2e, secret: "%s"}]
timing: %s
`, name, zone, i.callerAddress, i.operatorAddress, i.peerAddress, platformURL, keyHash(operatorKey),
		base64.StdEncoding.EncodeToString([]byte("0123456789abcdef0123456789abcdef")), timing.yaml())
	file := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		c.t.Fatal(err)
	}
	i.process = startProcess(c.t, c.dir, name, "cicadawall", "serve", "--settings", file)
	c.instances = append(c.instances, i)
	return i
}

// restartInstance starts a new process on the ports of an instance that has exited and waits until it is ready.
func (c *cluster) restartInstance(i *instance) {
	c.t.Helper()
	i.process = startProcess(c.t, c.dir, i.name, "cicadawall", "serve", "--settings", filepath.Join(c.dir, i.name+".yaml"))
	c.waitForOK("http://" + i.operatorAddress + "/readyz")
}

// configure applies the first declaration and waits until all instances are ready.
func (c *cluster) configure() {
	c.t.Helper()
	for _, i := range c.instances {
		c.waitForOK("http://" + i.operatorAddress + "/healthz")
	}
	eventually(c.t, startTimeout, "the declaration is accepted", func() bool {
		return c.apply(c.instances[0], declaration()) == api.ApplyAccepted
	})
	for _, i := range c.instances {
		c.waitForOK("http://" + i.operatorAddress + "/readyz")
	}
}

// apply applies a declaration through an instance and returns the resulting state, or "" if the request failed.
func (c *cluster) apply(i *instance, document string) api.ApplyResponseState {
	c.t.Helper()
	request := api.ApplyRequest{BaseRevision: c.revision, ChangeID: fmt.Sprintf("e2e-%d", c.revision), Author: "e2e", Document: document, WaitMillis: 15_000}
	body, _ := json.Marshal(request)
	httpRequest, _ := http.NewRequest(http.MethodPost, "http://"+i.operatorAddress+"/operator/v1/config", bytes.NewReader(body))
	httpRequest.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var result api.ApplyResponse
	_ = json.NewDecoder(response.Body).Decode(&result)
	if result.State == api.ApplyAccepted {
		c.revision = result.Revision
	}
	return result.State
}

func (c *cluster) putJSON(url string, body any) {
	c.t.Helper()
	text, _ := json.Marshal(body)
	request, _ := http.NewRequest(http.MethodPut, url, bytes.NewReader(text))
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(response.Body)
		c.t.Fatalf("PUT %s: %d %s", url, response.StatusCode, text)
	}
}

func (c *cluster) setFaults(faults api.PlatformFaults) {
	c.t.Helper()
	c.putJSON(c.platformURL+"/standin/v1/faults", faults)
}

func getJSON[T any](t *testing.T, url string) T {
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

// counts returns the engine's counters of the completions that it started and executed.
func (b *backendServer) counts() api.EngineStandinCounts {
	return getJSON[api.EngineStandinCounts](b.T, b.baseURL+"/standin/v1/counts")
}

// executionCount returns how often the order server executed the order with the caller's idempotency key.
func (b *backendServer) executionCount(service, key string) int {
	total := 0
	for _, order := range getJSON[api.OrderExecutions](b.T, b.baseURL+"/standin/v1/executions").Orders {
		if order.Key == "order/guild/"+service+"/"+key {
			total += order.Count
		}
	}
	return total
}

// bills returns the rolled-up bills by id, or nil if the store cannot be read.
func (c *cluster) bills() map[string]api.Bill {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	rows, err := billing.ReadRows(ctx, c.table)
	if err != nil {
		return nil
	}
	statement, err := billing.Rollup(rows)
	if err != nil {
		c.t.Fatal(err)
	}
	bills := map[string]api.Bill{}
	for _, bill := range statement.Bills {
		bills[bill.Id] = bill
	}
	return bills
}
