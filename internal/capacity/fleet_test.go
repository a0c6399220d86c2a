// Package capacity measures the control overhead of a running instance as the fleet grows. It starts real processes on loopback
// and is never part of the shipped binary. The results are published in docs/CAPACITY.md.
package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
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
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	operatorKey  = "measure-operator"
	pollInterval = 100 * time.Millisecond
	// portsPerInstance counts the listening ports of one instance, in this order: callers, operators, peers.
	portsPerInstance = 3
)

// Options are the size of a fleet and the directories that it uses.
type Options struct {
	// Binaries is the directory of the built binaries, Dir the directory for settings files.
	Binaries, Dir string
	// Instances is the number of instances, Servers the number of backend servers in the platform's list, Organisations the
	// number of organisations with limits.
	Instances, Servers, Organisations int
}

// node is one running instance.
type node struct {
	name  string
	cmd   *exec.Cmd
	ports []int
}

// Fleet is a platform stand-in and the instances that use it.
type Fleet struct {
	opts        Options
	platformURL string
	nodes       []*node
	processes   []*exec.Cmd
}

// Start starts the fleet, applies a declaration and returns when every instance is ready. The caller must call Stop, also after
// an error.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{opts: opts}
	ports, err := freePorts(1 + portsPerInstance*opts.Instances)
	if err != nil {
		return f, err
	}
	address := fmt.Sprintf("127.0.0.1:%d", ports[0])
	f.platformURL = "http://" + address
	if _, err := f.startProcess("standin", "platform", "--listen", address); err != nil {
		return f, err
	}
	if err := pollUntil(ctx, "the platform stand-in answers", func() bool { return returnsOK(ctx, f.platformURL+"/standin/v1/counts") }); err != nil {
		return f, err
	}
	for i := range opts.Servers {
		if err := f.putListEntry(ctx, api.InstanceEntry{Id: fmt.Sprintf("server-%d", i), Kind: api.KindService, Service: "s", Port: 1}); err != nil {
			return f, err
		}
	}
	for i := range opts.Instances {
		firstIndex := 1 + portsPerInstance*i
		if err := f.startInstance(ctx, fmt.Sprintf("entry-%d", i), ports[firstIndex:firstIndex+portsPerInstance]); err != nil {
			return f, err
		}
	}
	return f, f.configure(ctx)
}

// Stop kills every process that the fleet started.
func (f *Fleet) Stop() {
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (f *Fleet) startProcess(name string, args ...string) (*exec.Cmd, error) {
	cmd := exec.Command(filepath.Join(f.opts.Binaries, name), args...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	f.processes = append(f.processes, cmd)
	return cmd, nil
}

func (f *Fleet) startInstance(ctx context.Context, name string, ports []int) error {
	file := filepath.Join(f.opts.Dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settingsText(name, f.platformURL, ports)), 0o600); err != nil {
		return errors.Wrap(err, "write the settings of an instance")
	}
	cmd, err := f.startProcess("cicadawall", "serve", "--settings", file, "--log-level", "error")
	if err != nil {
		return err
	}
	f.nodes = append(f.nodes, &node{name: name, cmd: cmd, ports: ports})
	return f.putListEntry(ctx, api.InstanceEntry{Id: name, Kind: api.KindEntry, Port: ports[2]})
}

// putListEntry adds an entry to the platform's instance list.
func (f *Fleet) putListEntry(ctx context.Context, entry api.InstanceEntry) error {
	entry.Ip, entry.AvailabilityZone, entry.State = "127.0.0.1", "zone-0", api.InstanceLive
	text, status := sendJSON(ctx, http.MethodPut, f.platformURL+"/standin/v1/list/"+entry.Id, entry)
	if status != http.StatusOK {
		return errors.Errorf("put list entry %s: status %d: %s", entry.Id, status, text)
	}
	return nil
}

// configure applies the declaration and waits until every instance is ready.
func (f *Fleet) configure(ctx context.Context) error {
	operator := f.nodes[0].operatorURL()
	if err := pollUntil(ctx, "the first instance answers", func() bool { return returnsOK(ctx, operator+"/healthz") }); err != nil {
		return err
	}
	apply := api.ApplyRequest{ChangeID: "measure", Document: declarationText(f.opts.Organisations), WaitMillis: 30_000}
	err := pollUntil(ctx, "the declaration is accepted", func() bool {
		text, _ := sendJSON(ctx, http.MethodPost, operator+"/operator/v1/config", apply)
		return strings.Contains(string(text), string(api.ApplyAccepted))
	})
	for _, n := range f.nodes {
		if err == nil {
			err = pollUntil(ctx, n.name+" is ready", func() bool { return returnsOK(ctx, n.operatorURL()+"/readyz") })
		}
	}
	return err
}

func (n *node) operatorURL() string { return fmt.Sprintf("http://127.0.0.1:%d", n.ports[1]) }

func freePorts(count int) ([]int, error) {
	var ports []int
	for range count {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		// The sockets stay open until all ports are found, so that no port is returned twice.
		defer func() { _ = socket.Close() }()
		ports = append(ports, socket.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// pollUntil polls until the condition holds or the context ends.
func pollUntil(ctx context.Context, description string, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait until %s", description)
		case <-ticker.C:
		}
	}
	return nil
}

func sendJSON(ctx context.Context, method, url string, body any) ([]byte, int) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, 0
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, 0
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return text, response.StatusCode
}

func returnsOK(ctx context.Context, url string) bool {
	_, status := sendJSON(ctx, http.MethodGet, url, nil)
	return status == http.StatusOK
}

func keyHash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func settingsText(name, platformURL string, ports []int) string {
	secret := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("s"), 32))
	return fmt.Sprintf(`
instance: {name: %s, availabilityZone: zone-%d, advertiseIP: 127.0.0.1}
listen: {caller: "127.0.0.1:%d", operator: "127.0.0.1:%d", peer: "127.0.0.1:%d"}
platform: {baseURL: "%s"}
keys: {operatorKeyHashes: [%s], session: [{id: k, secret: "%s"}]}
`, name, ports[2]%3, ports[0], ports[1], ports[2], platformURL, keyHash(operatorKey), secret)
}

func declarationText(organisations int) string {
	var text strings.Builder
	text.WriteString("models:\n  - {name: m, versions: [{name: v1, inputCost: 1, outputCost: 1, expectedQuality: 0.9}]}\n")
	text.WriteString("classes:\n  - {name: c, priority: 5, target: {quality: 0.5}}\norganisations:\n")
	for i := range organisations {
		fmt.Fprintf(&text, "  - {name: org-%d, keyHashes: [%s], allow: [{model: m, versions: [v1]}], limits: {requestsPerSecond: 100}}\n",
			i, keyHash(strconv.Itoa(i)))
	}
	return text.String()
}
