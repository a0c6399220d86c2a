//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	gracePeriod = 8 * time.Second
	slowBody    = 13 * time.Second
	callers     = 6
	maxCut      = 3
	// longPrefill is the time until a server begins to answer a long prompt; it is below the aim of the sheet's longest requests.
	longPrefill = 3500 * time.Millisecond
)

// restart stops an instance with SIGTERM, as the platform does, and starts it again.
func (i *instance) restart() {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	record("%s gets SIGTERM", i.name)
	_ = process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		i.kill()
	}
	i.run()
}

// ended reports whether the process of the instance has ended.
func (i *instance) ended() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// sendSlowly sends a request whose body arrives bit by bit over the time, and describes the answer.
func sendSlowly(i *instance, id string, total time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp4", i.front, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(25 * time.Second))
	const pieces, piece = 13, 4096
	head := fmt.Sprintf("POST /draft/slow HTTP/1.1\r\nHost: %s\r\nCicadawall-Request-Id: %s\r\nCicadawall-Model: %s\r\nCicadawall-Token-Counts: 900,80\r\n"+
		"Cicadawall-Prompt-Prefix: 5c1e07a2:800,%s:100\r\nCicadawall-Request-Deadline: 25000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n",
		host, id, smallModel, id[:8], apiKey, pieces*piece)
	if _, err := io.WriteString(conn, head); err != nil {
		return "", err
	}
	for range pieces {
		time.Sleep(total / pieces)
		if _, err := io.WriteString(conn, strings.Repeat("d", piece)); err != nil {
			return "", err
		}
	}
	record("%s: the whole body has been sent", id)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%s, seal %q, %d bytes", response.Status, response.Header.Get("Cicadawall-Response-Seal"), len(body)), err
}

// caseCrash: an instance is restarted; the first request that it takes then has a body that arrives slowly, and further callers come before
// that body is complete.
func caseCrash() {
	f := newFleet(2)
	f.putManifest(7, []any{map[string]any{
		"Name": "models", "HealthCheckPath": "/health", "MaxConnections": 360, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": 16, "KvCacheTokens": 595276, "Models": []any{map[string]any{"Name": smallModel, "Cost": 0.018}}},
	}}, manifestRoute("draft", "streaming", "models", map[string]any{
		"TimeoutMs": 25000, "TargetLatencyMs": 4000, "MaxAttempts": 3, "SessionAffinity": true, "StreamResumption": true, "TargetGapMs": 2000,
	}))
	var mu sync.Mutex
	runs := map[string]bool{}
	for n := range 3 {
		s := &server{id: fmt.Sprintf("i-model-%d", n), service: "models", version: "v1", slots: 16, queue: 16}
		s.work = func(w http.ResponseWriter, r *http.Request, _ string) {
			id := r.Header.Get("Cicadawall-Request-Id")
			mu.Lock()
			runs[id] = true
			mu.Unlock()
			record("%s runs at %s", id, s.id)
			// A long prompt is read for longer before the answer begins.
			prefill := 40 * time.Millisecond
			if strings.HasSuffix(r.URL.Path, "/long") {
				prefill = longPrefill
			}
			if !sleep(r, prefill) {
				return
			}
			s.seal(w)
			w.Header().Set("Content-Type", "text/event-stream")
			events(w, r, 4, 60*time.Millisecond)
		}
		f.startServer(s)
	}
	f.start()
	first, second := f.instances[0], f.instances[1]

	// ask sends a request on the caller's channel.
	ask := func(client *http.Client, i *instance, path string) answer {
		id := newID()
		a := answer{id: id, sent: time.Now(), instance: i.name}
		r, err := http.NewRequest(http.MethodPost, "http://"+i.front+path, strings.NewReader("draft"))
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
		record("%s sent: POST %s to %s", id, path, i.name)
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
	newClient := func() *http.Client {
		return &http.Client{Timeout: 25 * time.Second, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}
	}
	for _, i := range f.instances {
		if a := ask(newClient(), i, "/draft/1"); !a.served() {
			cannotRun("%s does not serve", i.name)
		}
	}
	// The callers whose channels the platform forwards to the other instance.
	stop := make(chan struct{})
	other := newClient()
	go every(2, stop, func() { ask(other, second, "/draft/1") })
	time.Sleep(2 * time.Second)
	if trouble {
		first.restart()
	}
	time.Sleep(1500 * time.Millisecond)
	f.awaitReady(10 * time.Second)
	time.Sleep(contactTime)

	slowID := newID()
	record("%s sent to %s, its body takes %v", slowID, first.name, slowBody)
	var done sync.WaitGroup
	done.Go(func() {
		line, err := sendSlowly(first, slowID, slowBody)
		record("%s answered by %s: %s %v", slowID, first.name, line, err)
	})
	time.Sleep(slowBody - 2*time.Second)
	cut := 0
	for range callers {
		done.Go(func() {
			client := newClient()
			if a := ask(client, first, "/draft/1"); !a.served() {
				record("%s: the first request of a channel was not served", a.id)
				return
			}
			a := ask(client, first, "/draft/long")
			mu.Lock()
			defer mu.Unlock()
			if runs[a.id] && a.err != nil && a.status == 0 {
				cut++
				record("%s was passed on from a kept channel, which was closed without an answer", a.id)
			}
		})
	}
	done.Wait()
	close(stop)
	time.Sleep(500 * time.Millisecond)
	crashed := first.ended()
	record("the process of %s has ended by itself: %v", first.name, crashed)
	if cut > maxCut {
		end(1, "LOST is broken: %d of %d requests of kept channels were passed on and got no answer; the process has ended by itself: %v",
			cut, callers, crashed)
	}
	end(0, "LOST holds: %d of %d requests of kept channels were passed on and got no answer; the process has ended by itself: %v",
		cut, callers, crashed)
}
