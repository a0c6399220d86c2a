//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	memoryMB = 284
	// uploadBytes is just below MaxBodyBytes.
	uploadBytes = 4 << 20
	// usualRate is the usual rate of one tenant's requests, of which each takes uploadTime; hotFactor times that is its rate while it is hot.
	usualRate  = 4.0
	uploadTime = 6 * time.Second
	hotFactor  = 7.5
	hotTime    = 6500 * time.Millisecond
)

// residentMB returns the memory of the instance's process.
func (i *instance) residentMB() float64 {
	i.mu.Lock()
	pid := i.process.Pid
	i.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			return kilobytes / 1024
		}
	}
	return 0
}

// caseMemory: one tenant sends many times its usual requests, whose bodies are as long as the manifest allows.
func caseMemory() {
	f := newFleet(2)
	f.putManifest(7, []any{map[string]any{
		"Name": "models", "HealthCheckPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 64, "KvCacheTokens": 595276, "Models": []any{map[string]any{"Name": smallModel, "Cost": 0.018}}},
	}}, manifestRoute("draft", "streaming", "models", map[string]any{
		"TimeoutMs": 25000, "TargetLatencyMs": 2000, "MaxAttempts": 3, "SessionAffinity": true, "StreamResumption": true, "TargetGapMs": 2000,
	}))
	var mu sync.Mutex
	runs, killed, peak := map[string]bool{}, 0, 0.0
	for n := range 6 {
		s := &server{id: fmt.Sprintf("i-model-%d", n), service: "models", version: "v1", slots: 64, queue: 64}
		s.work = func(w http.ResponseWriter, r *http.Request, _ string) {
			id := r.Header.Get("Cicadawall-Request-Id")
			mu.Lock()
			runs[id] = true
			mu.Unlock()
			record("%s runs at %s", id, s.id)
			s.seal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			events(w, r, 76, uploadTime/76)
		}
		f.startServer(s)
	}
	f.start()
	// The platform kills a process that exceeds its memory, and starts it again.
	stop := make(chan struct{})
	for _, i := range f.instances {
		go every(50, stop, func() {
			used := i.residentMB()
			mu.Lock()
			peak = max(peak, used)
			over := used > memoryMB && !i.over.Swap(used > memoryMB)
			if over {
				killed++
			}
			mu.Unlock()
			if over {
				record("%s uses %.0f MB, more than %d, and is killed", i.name, used, memoryMB)
				i.kill()
				time.Sleep(500 * time.Millisecond)
				i.run()
				i.over.Store(false)
			}
		})
	}
	upload := bytes.Repeat([]byte("d"), uploadBytes)
	cut, sent, served := 0, 0, 0
	ask := func(client *http.Client, i *instance, body []byte) answer {
		id := newID()
		a := answer{id: id, sent: time.Now(), instance: i.name}
		r, err := http.NewRequest(http.MethodPost, "http://"+i.front+"/draft/1", bytes.NewReader(body))
		if err != nil {
			cannotRun("%v", err)
		}
		r.Host = host
		for name, value := range map[string]string{
			"Cicadawall-Request-Id": id, "Cicadawall-Request-Deadline": "25000", "Authorization": "Bearer " + apiKey,
			"Cicadawall-Model": smallModel, "Cicadawall-Token-Counts": "900,80", "Cicadawall-Prompt-Prefix": "5c1e07a2:800," + id[:8] + ":100",
		} {
			r.Header.Set(name, value)
		}
		record("%s sent: POST /draft/1 with %d bytes to %s", id, len(body), i.name)
		response, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			a.status, a.seal = response.StatusCode, response.Header.Get("Cicadawall-Response-Seal")
		}
		a.err = err
		record("%s answered by %s: %d %v", id, i.name, a.status, err)
		return a
	}
	// Eight callers send short requests, one after the other, each on its kept channel.
	for n := range 8 {
		i := f.instances[n%2]
		go func() {
			client := &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{DisableCompression: true}}
			for kept := false; ; {
				select {
				case <-stop:
					return
				default:
				}
				a := ask(client, i, []byte("draft"))
				mu.Lock()
				sent++
				if a.served() {
					served++
				}
				if kept && runs[a.id] && a.err != nil {
					cut++
					record("%s was passed on from a kept channel, which was closed without a complete answer", a.id)
				}
				mu.Unlock()
				if kept = a.served(); !kept {
					time.Sleep(300 * time.Millisecond)
				}
			}
		}()
	}
	client := &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	go every(usualRate, stop, func() { ask(client, f.pick(), upload) })
	time.Sleep(12 * time.Second)
	if trouble {
		record("one tenant sends %.1f times its usual requests", hotFactor)
		hot := make(chan struct{})
		go every(usualRate*(hotFactor-1), hot, func() { ask(client, f.pick(), upload) })
		time.Sleep(hotTime)
		close(hot)
	} else {
		time.Sleep(hotTime)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	record("peak memory of a process: %.0f MB; killed over %d MB: %d times; short requests served: %d of %d", peak, memoryMB, killed, served, sent)
	if cut > maxCut {
		end(1, "LOST is broken: %d requests of kept channels were passed on and got no complete answer; processes killed over %d MB: %d; peak %.0f MB",
			cut, memoryMB, killed, peak)
	}
	end(0, "LOST holds: %d requests of kept channels were passed on and got no complete answer; processes killed over %d MB: %d; peak %.0f MB",
		cut, memoryMB, killed, peak)
}
