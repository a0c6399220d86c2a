package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/oapi-codegen/nullable"

	"github.com/cicadawall/cicadawall/internal/processtest"
	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/retrycheck"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
	"github.com/cicadawall/cicadawall/platform/wire"
)

const (
	fleetHost        = "desk.example"
	fleetKey         = "key-arena-north"
	streamEventCount = 12
	// recoveryTimeout limits the time until requests are served again after the last fault.
	recoveryTimeout = 12 * time.Second
	// backoff is the time for which a server asks to get no requests; it is longer than any test.
	backoff = 5 * time.Minute
	// crashingPart is a part of a prompt that crashes the stand-ins of model servers, which are back after serverRestartTime.
	crashingPart      = "crashing"
	serverRestartTime = time.Second
	// maxCrashesBeforeHold allows all three model servers to crash together for each of the three crashes that count as separate.
	maxCrashesBeforeHold = 9
)

// fleetServer is a model server stand-in that instances reach through its own proxy.
type fleetServer struct {
	*modelserver.Server
	id      string
	service string
	zone    string
	// coldMillis is the time for which the server's row says that it is cold.
	coldMillis int
	link       *proxy
}

// fleetInstance is one instance on the users' platform; it reaches the store through its own proxy.
type fleetInstance struct {
	process          *process
	name             string
	callerAddress    string
	readinessAddress string
	controlAddress   string
	settingsFile     string
	storeProxy       *proxy
	client           *http.Client
}

// fleet is a test setup of the users' platform: the store and the backend servers run inside the test, each instance is a
// process of its own.
type fleet struct {
	t               *testing.T
	dir             string
	store           *rowstore.Store
	storeAddress    string
	servers         []*fleetServer
	instances       []*fleetInstance
	manifestVersion int64
	options         fleetOptions
}

// fleetOptions are settings of the instances; zero values select the defaults.
type fleetOptions struct {
	gracePeriod time.Duration
	retryBudget retrycheck.Budget
	// coldPerSecond is the rate that a cold server of the service orders sustains; zero for no bound.
	coldPerSecond float64
	// orderZones puts each server of the service orders into an availability zone of its own.
	orderZones bool
}

func newFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	return newFleetWithOptions(t, instances, fleetOptions{})
}

func newFleetWithOptions(t *testing.T, instances int, options fleetOptions) *fleet {
	t.Helper()
	if options.gracePeriod == 0 {
		options.gracePeriod = 8 * time.Second
	}
	if options.retryBudget == (retrycheck.Budget{}) {
		options.retryBudget = retrycheck.Budget{Ratio: 0.9, Slack: 50, Window: 10 * time.Second}
	}
	f := &fleet{t: t, dir: t.TempDir(), store: rowstore.New(), options: options}
	storeServer := httptest.NewServer(f.store.Handler())
	t.Cleanup(storeServer.CloseClientConnections)
	f.storeAddress = storeServer.Listener.Addr().String()
	for i := range 3 {
		f.startServer("models", fmt.Sprintf("model-%d", i), 20*time.Millisecond)
		f.startServer("orders", fmt.Sprintf("order-%d", i), 10*time.Millisecond)
	}
	f.writeManifest(fleetKey)
	for i := range instances {
		f.startInstance(fmt.Sprintf("entry-%d", i))
	}
	for _, instance := range f.instances {
		f.awaitReady(instance)
	}
	return f
}

func (f *fleet) startServer(service, id string, eventInterval time.Duration) {
	f.t.Helper()
	server := modelserver.New(modelserver.Options{
		ID: id, EventCount: streamEventCount, Delay: eventInterval, Confidence: map[string]int{"small": 90, "large": 100},
		Backoff: backoff, CrashingPart: crashingPart, RestartTime: serverRestartTime,
	})
	httpServer := httptest.NewServer(server)
	f.t.Cleanup(httpServer.CloseClientConnections)
	s := &fleetServer{Server: server, id: id, service: service, zone: "zone-a", link: newProxy(f.t, httpServer.Listener.Addr().String())}
	if f.options.orderZones && service == "orders" {
		s.zone = "zone-of-" + id
	}
	f.servers = append(f.servers, s)
	f.writeServerRow(s, "ready")
}

// writeServerRow writes the server's row to the store, as a backend server of the users' platform does.
func (f *fleet) writeServerRow(s *fleetServer, state string) {
	f.putServerRow(s.id, map[string]any{
		"Service": s.service, "Address": s.link.address(), "Zone": s.zone, "State": state, "ColdRemainingMs": s.coldMillis,
	})
}

// putServerRow writes a server's row with the fields and the ones that are the same for all servers.
func (f *fleet) putServerRow(id string, fields map[string]any) {
	row := map[string]any{"Version": "v1", "Slots": 8, "Sequence": 1}
	maps.Copy(row, fields)
	f.store.Put("servers", id, f.encode(row))
}

// writeManifest writes the next version of the manifest to the store; its only organisation has the given API keys.
func (f *fleet) writeManifest(keys ...string) {
	manifest := f.nextManifest()
	manifest.Organisations = nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: keys}})
	f.store.Put("op", "config", f.encode(manifest))
}

// writeManifestWith writes the next version of the manifest to the store, with the JSON text as its field for organisations; without the field if
// the text is empty.
func (f *fleet) writeManifestWith(organisations string) {
	f.t.Helper()
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(f.encode(f.nextManifest()), &fields); err != nil {
		f.t.Fatal(err)
	}
	if organisations != "" {
		fields["Tenants"] = json.RawMessage(organisations)
	}
	f.store.Put("op", "config", f.encode(fields))
}

// nextManifest returns the next version of the manifest without organisations.
func (f *fleet) nextManifest() wire.Manifest {
	f.manifestVersion++
	route := func(name, kind, service string) wire.ManifestRoute {
		return wire.ManifestRoute{
			Name: name, Host: fleetHost, PathPrefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMs: 6000,
			TargetLatencyMs: 500, MaxAttempts: 3,
		}
	}
	stream := route("chat", "streaming", "models")
	stream.StreamResumption, stream.CarriesPrompt, stream.TargetInterTokenMs = true, true, 400
	stream.ModelsBySize = nullable.NewNullableWithValue([]string{"small", "large"})
	order := route("buy", "non_idempotent", "orders")
	order.MaxAttempts = 1
	return wire.Manifest{
		Version:  f.manifestVersion,
		Routes:   []wire.ManifestRoute{stream, order, route("look", "safe", "orders")},
		Services: []wire.ManifestService{{Name: "models"}, {Name: "orders", ColdStartS: 3, ColdPerS: f.options.coldPerSecond}},
	}
}

func (f *fleet) encode(value any) []byte {
	f.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

func (f *fleet) startInstance(name string) {
	f.t.Helper()
	i := &fleetInstance{
		name: name, callerAddress: freeAddress(f.t), readinessAddress: freeAddress(f.t), controlAddress: freeAddress(f.t), storeProxy: newProxy(f.t, f.storeAddress),
		settingsFile: filepath.Join(f.dir, name+".conf"),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 8 * time.Second},
	}
	text := strings.Join([]string{
		"NodeName=" + name, "Zone=zone-a", "ListenAddresses.Front=" + i.callerAddress, "ListenAddresses.Ready=" + i.readinessAddress,
		"ListenAddresses.Control=" + i.controlAddress, "Platform.Address=" + i.storeProxy.address(), fmt.Sprintf("Bounds.GracePeriodS=%g", f.options.gracePeriod.Seconds()),
		fmt.Sprintf("Bounds.RetryBudgetRatio=%g", f.options.retryBudget.Ratio), fmt.Sprintf("Bounds.RetryBudgetSlack=%g", f.options.retryBudget.Slack),
		fmt.Sprintf("Bounds.BudgetWindowS=%g", f.options.retryBudget.Window.Seconds()), "Bounds.ExposureShare=0.15",
		"Limits.MemoryMb=284", "Something.New=1", "",
	}, "\n")
	if err := os.WriteFile(i.settingsFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.instances = append(f.instances, i)
	f.startInstanceProcess(i)
}

// startInstanceProcess starts the instance's process, for the first time or after the previous process has exited.
func (f *fleet) startInstanceProcess(i *fleetInstance) {
	f.t.Helper()
	i.process = processtest.Start(f.t, f.dir, i.name, []string{"CICADAWALL_NODE_FILE=" + i.settingsFile}, "cicadawall", "platform")
}

func (f *fleet) awaitReady(i *fleetInstance) {
	f.t.Helper()
	eventually(f.t, startTimeout, i.name+" is ready", func() bool {
		return returnsOK("http://" + i.readinessAddress + "/-/readiness")
	})
}

// reply is the response that a caller received.
type reply struct {
	status int
	body   string
	seal   string
	err    error
}

// send sends one request to the instance and reads the whole response.
func (f *fleet) send(i *fleetInstance, method, path, id string) reply {
	return f.sendWithKey(i, method, path, id, fleetKey)
}

// sendWithKey sends one request with the API key, or without one if it is empty, and reads the whole response.
func (f *fleet) sendWithKey(i *fleetInstance, method, path, id, key string) reply {
	return f.sendRequest(i, method, path, id, key, "shared:80,"+id+":20", "body of "+id)
}

// sendPrompt sends a request for a stream with the prompt.
func (f *fleet) sendPrompt(i *fleetInstance, id, prompt string) reply {
	return f.sendRequest(i, http.MethodPost, "/chat/x", id, fleetKey, prompt, "body of "+id)
}

func (f *fleet) sendRequest(i *fleetInstance, method, path, id, key, prompt, body string) reply {
	request, err := http.NewRequest(method, "http://"+i.callerAddress+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = fleetHost
	request.Header.Set("Cicadawall-Request-Id", id)
	request.Header.Set("Cicadawall-Request-Deadline", "5000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if strings.HasPrefix(path, "/chat/") {
		request.Header.Set("Cicadawall-Model", "*")
		request.Header.Set("Cicadawall-Token-Counts", "100,40")
		request.Header.Set("Cicadawall-Prompt-Prefix", prompt)
	}
	response, err := i.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(answer), seal: response.Header.Get("Cicadawall-Response-Seal"), err: err}
}

// runsOf returns the executions of a request at all backend servers.
func (f *fleet) runsOf(id string) []modelserver.Execution {
	var found []modelserver.Execution
	for _, server := range f.servers {
		for _, run := range server.Executions() {
			if run.ID == id {
				found = append(found, run)
			}
		}
	}
	return found
}

// isCompleteStream reports whether a body holds each event of the stream exactly once and in order.
func isCompleteStream(body, id string) bool {
	var want strings.Builder
	for event := 1; event <= streamEventCount; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: small %s\n\n", event, id)
	}
	return body == want.String()
}
