package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	callerKey   = "bench-caller"
	operatorKey = "bench-operator"
	version     = "small@v1"
	// startTimeout limits the time that a process may take to start.
	startTimeout = 30 * time.Second
	// engineBatch lets the engine stand-in run all streams concurrently, so that the measurement includes no queueing there.
	engineBatch = "4096"
)

// testbed is a platform stand-in, an engine stand-in and one instance, each a process of its own.
type testbed struct {
	binaries, dir                                                  string
	processes                                                      []*exec.Cmd
	instance                                                       *exec.Cmd
	engineAddress, platformAddress, callerAddress, operatorAddress string
}

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *testbed) declaration() string {
	return fmt.Sprintf(`models:
  - name: small
    versions: [{name: v1, inputCost: 0.1, outputCost: 0.4, expectedQuality: 0.9}]
classes:
  - name: quick
    priority: 5
    target: {quality: 0.5, firstTokenMillis: 5000, deadlineMillis: 60000}
organisations:
  - name: guild
    keyHashes: [%s]
    allow: [{model: small, versions: [v1]}]
`, keyHash(callerKey))
}

// start starts the processes, applies the declaration and waits until the instance is ready.
func (s *testbed) start() error {
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	s.platformAddress, s.engineAddress, s.callerAddress, s.operatorAddress = addresses[0], addresses[1], addresses[2], addresses[3]
	if _, err := s.startProcess("platform", "standin", "platform", "--listen", s.platformAddress); err != nil {
		return err
	}
	if err := waitForOK("http://" + s.platformAddress + "/standin/v1/counts"); err != nil {
		return err
	}
	if _, err := s.startProcess("engine", "standin", "engine", "--listen", s.engineAddress, "--platform", "http://"+s.platformAddress, "--zone", "zone-0",
		"--version-loaded", version+"=0.9:40", "--prefill-micros", "10", "--batch", engineBatch, "--queue", engineBatch); err != nil {
		return err
	}
	settings := filepath.Join(s.dir, "entry.yaml")
	if err := os.WriteFile(settings, []byte(s.settings(addresses[4])), 0o600); err != nil {
		return errors.Wrap(err, "write the settings of the instance")
	}
	if s.instance, err = s.startProcess("entry", "cicadawall", "serve", "--settings", settings); err != nil {
		return err
	}
	if err := waitForOK("http://" + s.operatorAddress + "/healthz"); err != nil {
		return err
	}
	if err := s.apply(); err != nil {
		return err
	}
	return waitForOK("http://" + s.operatorAddress + "/readyz")
}

func (s *testbed) settings(peer string) string {
	return fmt.Sprintf(`instance: {name: entry-0, availabilityZone: zone-0, advertiseIP: 127.0.0.1}
listen: {caller: "%s", operator: "%s", peer: "%s"}
platform: {baseURL: "http://%s"}
limits: {workers: 4096}
keys:
  operatorKeyHashes: [%s]
  session: [{id: bench, secret: "%s"}]
`, s.callerAddress, s.operatorAddress, peer, s.platformAddress, keyHash(operatorKey), base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("k"), 32)))
}

func (s *testbed) startProcess(name, binary string, args ...string) (*exec.Cmd, error) {
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create a log file")
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(filepath.Join(s.binaries, binary), args...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	s.processes = append(s.processes, cmd)
	return cmd, nil
}

// stop kills all processes.
func (s *testbed) stop() {
	for _, cmd := range s.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (s *testbed) apply() error {
	request, err := json.Marshal(api.ApplyRequest{ChangeID: "bench", Author: "bench", Document: s.declaration(), WaitMillis: 10_000})
	if err != nil {
		return errors.Wrap(err, "encode the apply request")
	}
	return sendRequest(http.MethodPost, "http://"+s.operatorAddress+"/operator/v1/config", operatorKey, request)
}

// setTokenInterval sets the time between the tokens of a stream at the engine.
func (s *testbed) setTokenInterval(tokenInterval time.Duration) error {
	body, err := json.Marshal(api.EngineStandinSettings{Batch: 4096, Queue: 4096, PrefillMicros: 10, TokenMillis: tokenInterval.Seconds() * 1000})
	if err != nil {
		return errors.Wrap(err, "encode the engine's settings")
	}
	return sendRequest(http.MethodPut, "http://"+s.engineAddress+"/standin/v1/settings", "", body)
}

func sendRequest(method, url, key string, body []byte) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "%s %s", method, url)
	}
	_ = response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s: status %d", method, url, response.StatusCode)
	}
	return nil
}

// waitForOK waits until a GET of the URL returns status 200.
func waitForOK(url string) error {
	deadline := time.After(startTimeout)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		response, err := http.Get(url)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-deadline:
			return errors.Errorf("no successful response from %s within %s", url, startTimeout)
		}
	}
}

// freeAddresses returns loopback addresses whose ports are below the ephemeral port range of Linux, so that no outgoing connection
// takes them before the processes listen on them.
func freeAddresses(count int) ([]string, error) {
	const firstPort, lastPort = 17000, 17999
	var addresses []string
	for port := firstPort; port <= lastPort && len(addresses) < count; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = socket.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < count {
		return nil, errors.New("not enough free ports in the benchmark's port range")
	}
	return addresses, nil
}
