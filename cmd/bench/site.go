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
	// startLimit bounds the start of a process.
	startLimit = 30 * time.Second
	// engineBatch lets the engine run all streams at the same time, so that no queue of the stand-in is measured.
	engineBatch = "4096"
)

// site is a platform, an engine and one instance, each a process of its own.
type site struct {
	binaries, dir                      string
	processes                          []*exec.Cmd
	instance                           *exec.Cmd
	engine, platform, caller, operator string
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (s *site) declaration() string {
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
`, hashOf(callerKey))
}

// start starts the processes and waits until the instance takes work.
func (s *site) start() error {
	addresses, err := freeAddresses(5)
	if err != nil {
		return err
	}
	s.platform, s.engine, s.caller, s.operator = addresses[0], addresses[1], addresses[2], addresses[3]
	if _, err := s.process("platform", "standin", "platform", "--listen", s.platform); err != nil {
		return err
	}
	if err := answers("http://" + s.platform + "/standin/v1/counts"); err != nil {
		return err
	}
	if _, err := s.process("engine", "standin", "engine", "--listen", s.engine, "--platform", "http://"+s.platform, "--zone", "zone-0",
		"--version-loaded", version+"=0.9:40", "--prefill-micros", "10", "--batch", engineBatch, "--queue", engineBatch); err != nil {
		return err
	}
	settings := filepath.Join(s.dir, "entry.yaml")
	if err := os.WriteFile(settings, []byte(s.settings(addresses[4])), 0o600); err != nil {
		return errors.Wrap(err, "write the settings")
	}
	if s.instance, err = s.process("entry", "cicadawall", "serve", "--settings", settings); err != nil {
		return err
	}
	if err := answers("http://" + s.operator + "/healthz"); err != nil {
		return err
	}
	if err := s.apply(); err != nil {
		return err
	}
	return answers("http://" + s.operator + "/readyz")
}

func (s *site) settings(peer string) string {
	return fmt.Sprintf(`instance: {name: entry-0, availabilityZone: zone-0, advertiseIP: 127.0.0.1}
listen: {caller: "%s", operator: "%s", peer: "%s"}
platform: {baseURL: "http://%s"}
limits: {workers: 4096}
keys:
  operatorKeyHashes: [%s]
  session: [{id: bench, secret: "%s"}]
`, s.caller, s.operator, peer, s.platform, hashOf(operatorKey), base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("k"), 32)))
}

func (s *site) process(name, binary string, args ...string) (*exec.Cmd, error) {
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create a log")
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

// stop ends all processes.
func (s *site) stop() {
	for _, cmd := range s.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (s *site) apply() error {
	request, err := json.Marshal(api.ApplyRequest{ChangeID: "bench", Author: "bench", Document: s.declaration(), WaitMillis: 10_000})
	if err != nil {
		return errors.Wrap(err, "encode the change")
	}
	return send(http.MethodPost, "http://"+s.operator+"/operator/v1/config", operatorKey, request)
}

// pace sets the time between the tokens of a stream.
func (s *site) pace(between time.Duration) error {
	body, err := json.Marshal(api.EngineStandinSettings{Batch: 4096, Queue: 4096, PrefillMicros: 10, TokenMillis: between.Seconds() * 1000})
	if err != nil {
		return errors.Wrap(err, "encode the engine's settings")
	}
	return send(http.MethodPut, "http://"+s.engine+"/standin/v1/settings", "", body)
}

func send(method, url, key string, body []byte) error {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build a request")
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

// answers waits until the URL answers with success.
func answers(url string) error {
	deadline := time.After(startLimit)
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
			return errors.Errorf("no success of %s within %s", url, startLimit)
		}
	}
}

// freeAddresses returns loopback addresses below the range from which Linux takes the ports of outgoing connections.
func freeAddresses(n int) ([]string, error) {
	const first, last = 17000, 17999
	var addresses []string
	for port := first; port <= last && len(addresses) < n; port++ {
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = socket.Close()
		addresses = append(addresses, address)
	}
	if len(addresses) < n {
		return nil, errors.New("no free ports")
	}
	return addresses, nil
}
