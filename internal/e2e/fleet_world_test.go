package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
	"github.com/cicadawall/cicadawall/platform/wire"
)

const (
	fleetHost  = "desk.example"
	fleetKey   = "key-arena-north"
	streamSize = 12
	// servedAgain bounds the time until requests are served after the last fault.
	servedAgain = 12 * time.Second
)

// fleetServer is a backend server behind a proxy of its own.
type fleetServer struct {
	*modelserver.Server
	id      string
	service string
	link    *proxy
}

// fleetInstance is one instance on the users' platform.
type fleetInstance struct {
	process  *process
	name     string
	callers  string
	ready    string
	settings string
	store    *proxy
	client   *http.Client
}

// fleet is a store, servers and instances as separate processes.
type fleet struct {
	t         *testing.T
	dir       string
	store     *rowstore.Store
	storeAt   string
	servers   []*fleetServer
	instances []*fleetInstance
	version   int64
}

func newFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), store: rowstore.New()}
	storeServer := httptest.NewServer(f.store.Handler())
	t.Cleanup(storeServer.CloseClientConnections)
	f.storeAt = storeServer.Listener.Addr().String()
	for i := range 3 {
		f.addServer("models", fmt.Sprintf("model-%d", i), 20*time.Millisecond)
		f.addServer("orders", fmt.Sprintf("order-%d", i), 10*time.Millisecond)
	}
	f.declare(fleetKey)
	for i := range instances {
		f.addInstance(fmt.Sprintf("entry-%d", i))
	}
	for _, instance := range f.instances {
		f.awaitReady(instance)
	}
	return f
}

func (f *fleet) addServer(service, id string, pause time.Duration) {
	f.t.Helper()
	server := modelserver.New(modelserver.Options{
		ID: id, EventCount: streamSize, Delay: pause, Confidence: map[string]int{"small": 90, "large": 100},
	})
	listening := httptest.NewServer(server)
	f.t.Cleanup(listening.CloseClientConnections)
	s := &fleetServer{Server: server, id: id, service: service, link: newProxy(f.t, listening.Listener.Addr().String())}
	f.servers = append(f.servers, s)
	f.register(s, "ready")
}

// register writes what the server says of itself.
func (f *fleet) register(s *fleetServer, state string) {
	f.store.Put("servers", s.id, f.encode(map[string]any{
		"Service": s.service, "Address": s.link.address(), "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1,
	}))
}

// declare writes the next version of the manifest with one organisation that has the keys.
func (f *fleet) declare(keys ...string) {
	f.version++
	route := func(name, kind, service string) wire.ManifestRoute {
		return wire.ManifestRoute{
			Name: name, Host: fleetHost, PathPrefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMs: 6000,
			TargetLatencyMs: 500, MaxAttempts: 3,
		}
	}
	stream := route("chat", "streaming", "models")
	stream.StreamResumption, stream.CarriesPrompt, stream.TargetInterTokenMs = true, true, 400
	stream.ModelsBySize = []string{"small", "large"}
	once := route("buy", "non_idempotent", "orders")
	once.MaxAttempts = 1
	f.store.Put("op", "config", f.encode(wire.Manifest{
		Version:       f.version,
		Routes:        []wire.ManifestRoute{stream, once, route("look", "safe", "orders")},
		Services:      []wire.ManifestService{{Name: "models"}, {Name: "orders"}},
		Organisations: []wire.ManifestTenant{{Name: "arena-north", ApiKeys: keys}},
	}))
}

func (f *fleet) encode(value any) []byte {
	f.t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		f.t.Fatal(err)
	}
	return text
}

func (f *fleet) addInstance(name string) {
	f.t.Helper()
	i := &fleetInstance{
		name: name, callers: freeAddress(f.t), ready: freeAddress(f.t), store: newProxy(f.t, f.storeAt),
		settings: filepath.Join(f.dir, name+".conf"),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 8 * time.Second},
	}
	text := strings.Join([]string{
		"NodeName=" + name, "Zone=zone-a", "ListenAddresses.Front=" + i.callers, "ListenAddresses.Ready=" + i.ready,
		"ListenAddresses.Control=" + freeAddress(f.t), "Platform.Address=" + i.store.address(), "Bounds.GracePeriodS=8",
		"Bounds.RetryBudgetRatio=0.9", "Bounds.RetryBudgetSlack=50", "Bounds.BudgetWindowS=10", "Bounds.ExposureShare=0.15",
		"Limits.MemoryMb=284", "Something.New=1", "",
	}, "\n")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.instances = append(f.instances, i)
	f.launch(i)
}

// launch starts the instance's process, also after it has ended.
func (f *fleet) launch(i *fleetInstance) {
	f.t.Helper()
	i.process = startWith(f.t, f.dir, i.name, []string{"CICADAWALL_NODE_FILE=" + i.settings}, "cicadawall", "platform")
}

func (f *fleet) awaitReady(i *fleetInstance) {
	f.t.Helper()
	eventually(f.t, startLimit, i.name+" is ready", func() bool {
		return succeeds("http://" + i.ready + "/-/readiness")
	})
}

// reply is what a caller got.
type reply struct {
	status int
	body   string
	seal   string
	err    error
}

// ask sends one request to the instance.
func (f *fleet) ask(i *fleetInstance, method, path, id string) reply {
	request, err := http.NewRequest(method, "http://"+i.callers+path, strings.NewReader("body of "+id))
	if err != nil {
		return reply{err: err}
	}
	request.Host = fleetHost
	request.Header.Set("Cicadawall-Request-Id", id)
	request.Header.Set("Cicadawall-Request-Deadline", "5000")
	request.Header.Set("Authorization", "Bearer "+fleetKey)
	if strings.HasPrefix(path, "/chat/") {
		request.Header.Set("Cicadawall-Model", "*")
		request.Header.Set("Cicadawall-Token-Counts", "100,40")
		request.Header.Set("Cicadawall-Prompt-Prefix", "shared:80,"+id+":20")
	}
	response, err := i.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), seal: response.Header.Get("Cicadawall-Response-Seal"), err: err}
}

// runs returns the runs of a request at all servers.
func (f *fleet) runs(id string) []modelserver.Execution {
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

// wholeStream reports whether a body holds each event once and in order.
func wholeStream(body, id string) bool {
	var want strings.Builder
	for event := 1; event <= streamSize; event++ {
		fmt.Fprintf(&want, "id: %d\ndata: small %s\n\n", event, id)
	}
	return body == want.String()
}
