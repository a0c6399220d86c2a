package flood

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oapi-codegen/nullable"

	"github.com/cicadawall/cicadawall/internal/processtest"
	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
	"github.com/cicadawall/cicadawall/platform/wire"
)

const (
	host = "desk.example"
	key  = "key-arena-north"
	path = "/look/x"
	// maxBodyBytes and maxHeadBytes are the limits that the manifest states.
	maxBodyBytes = 4 << 20
	maxHeadBytes = 16 << 10
	// memoryMB is the memory of the instance in all tests. A sixth of it, 16 MB, is for the bodies of requests.
	memoryMB = 96
	// startTimeout, callTimeout and crowdTimeout only end a test that hangs.
	startTimeout = 30 * time.Second
	callTimeout  = 15 * time.Second
	crowdTimeout = 20 * time.Second
	// ordinaryAttempts is how often an ordinary caller sends its request, waiting for the time of Retry-After between two attempts.
	ordinaryAttempts = 20
	// ordinaryBodyBytes is the length of an ordinary request's body.
	ordinaryBodyBytes = 600
)

func TestMain(m *testing.M) { os.Exit(processtest.Main(m)) }

// world is one instance with a store and a backend server, which run inside the test.
type world struct {
	t         *testing.T
	process   *processtest.Process
	callers   string
	readiness string
	// descriptors is the descriptor limit in the settings of the instance.
	descriptors int
}

// newWorld starts an instance with the descriptor limit and waits until it is ready.
func newWorld(t *testing.T, descriptors int) *world {
	t.Helper()
	store := rowstore.New()
	storeServer := httptest.NewServer(store.Handler())
	t.Cleanup(storeServer.CloseClientConnections)
	server := httptest.NewServer(modelserver.New(modelserver.Options{ID: "server-0", Delay: time.Millisecond}))
	t.Cleanup(server.CloseClientConnections)
	put := func(table, key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(table, key, text)
	}
	put("servers", "server-0", map[string]any{
		"Service": "orders", "Address": server.Listener.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": 64, "State": "ready",
		"ColdRemainingMs": 0, "Sequence": 1,
	})
	put("op", "config", wire.Manifest{
		Version: 1,
		Limits:  wire.ManifestLimits{MaxBodyBytes: maxBodyBytes, MaxHeaderBytes: maxHeadBytes, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Routes: []wire.ManifestRoute{{
			Name: "look", Host: host, PathPrefix: "/look/", Kind: "safe", Service: "orders", TimeoutMs: 30000, TargetLatencyMs: 500,
			MaxAttempts: 3,
		}},
		Services:      []wire.ManifestService{{Name: "orders"}},
		Organisations: nullable.NewNullableWithValue([]wire.ManifestTenant{{Name: "arena-north", ApiKeys: []string{key}}}),
	})
	dir := t.TempDir()
	w := &world{t: t, callers: processtest.FreeAddress(t), readiness: processtest.FreeAddress(t), descriptors: descriptors}
	settings := filepath.Join(dir, "entry.conf")
	text := strings.Join([]string{
		"NodeName=entry", "Zone=zone-a", "ListenAddresses.Front=" + w.callers, "ListenAddresses.Ready=" + w.readiness,
		"ListenAddresses.Control=" + processtest.FreeAddress(t), "Platform.Address=" + storeServer.Listener.Addr().String(),
		fmt.Sprintf("Limits.MemoryMb=%d", memoryMB), fmt.Sprintf("Limits.FileDescriptors=%d", descriptors), "",
	}, "\n")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	w.process = processtest.Start(t, dir, "entry", []string{"CICADAWALL_NODE_FILE=" + settings}, "cicadawall", "platform")
	processtest.Eventually(t, startTimeout, "the instance is ready", func() bool { return w.readinessStatus() == http.StatusOK })
	return w
}

// readinessStatus returns the status of a readiness check; zero if there is no answer.
func (w *world) readinessStatus() int {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + w.readiness + "/-/readiness")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// check checks the instance while the crowd is connected, and that it answers an ordinary request.
func (w *world) check() {
	w.t.Helper()
	w.checkProcess()
	w.checkOrdinaryRequest()
	w.checkProcess()
}

// checkProcess checks that the process lives, stays within the memory and the descriptors of its settings, and is ready.
func (w *world) checkProcess() {
	w.t.Helper()
	if !w.process.Alive() {
		w.t.Fatal("the process has ended")
	}
	if status := w.readinessStatus(); status != http.StatusOK {
		w.t.Errorf("readiness: status %d", status)
	}
	peak, descriptors := w.peakMemoryKB(), w.openDescriptors()
	w.t.Logf("peak of the resident memory %d KB, %d descriptors", peak, descriptors)
	if peak > memoryMB<<10 {
		w.t.Errorf("peak of the resident memory: %d KB, more than %d", peak, memoryMB<<10)
	}
	if descriptors > w.descriptors {
		w.t.Errorf("%d descriptors are open, more than %d", descriptors, w.descriptors)
	}
}

// peakMemoryKB returns the peak of the resident memory of the process.
func (w *world) peakMemoryKB() int {
	w.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.process.PID()))
	if err != nil {
		w.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	line, _, _ := strings.Cut(after, "kB")
	peak, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		w.t.Fatal(err)
	}
	return peak
}

func (w *world) openDescriptors() int {
	w.t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", w.process.PID()))
	if err != nil {
		w.t.Fatal(err)
	}
	return len(entries)
}

// checkOrdinaryRequest sends a short request as an ordinary caller does: again after the time in Retry-After if it was refused, and on a new
// connection if that was closed.
func (w *world) checkOrdinaryRequest() {
	w.t.Helper()
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for range ordinaryAttempts {
		request, err := http.NewRequest(http.MethodPost, "http://"+w.callers+path, strings.NewReader(strings.Repeat("x", ordinaryBodyBytes)))
		if err != nil {
			w.t.Fatal(err)
		}
		request.Host = host
		request.Header.Set("Cicadawall-Request-Id", "ordinary")
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		<-time.After(time.Duration(seconds * float64(time.Second)))
	}
	w.t.Errorf("an ordinary request was not answered in %d attempts, last: %s", ordinaryAttempts, last)
}
