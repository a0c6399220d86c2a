//go:build review

// Command driver plays the drill in which the store comes back from a copy, and a manifest that the operator writes on its return.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/review/rig3"
)

const (
	host = "ficu95.example"
	// heartbeat is HeartbeatIntervalMs of the deployment.
	heartbeat = 1200 * time.Millisecond
	// copyAge is how old the copy is when the store goes away, away how long it is away.
	copyAge = 5 * time.Second
	away    = 1500 * time.Millisecond
	// rewriteTime is the time in which the servers write again what they wrote; the page allows about two seconds.
	rewriteTime = 400 * time.Millisecond
	// bound is the time from the ack of a version from which only it may be seen: ContactMs, in which the store is not stable, OuterBoundMs by
	// which an unstable store stretches the bound, and ConfigurationMs.
	bound     = 3*time.Second + 5*time.Second + 2*time.Second
	observe   = 3 * time.Second
	maxDrills = 4
)

func manifest(version int, keys []string) map[string]any {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Kind": "safe", "TimeoutMs": 3000, "TargetLatencyMs": 300,
			"Priority": 2, "Service": service, "MaxAttempts": 2, "AllowAnonymous": false}
	}
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false}
	}
	return map[string]any{
		"Version": version, "Routes": []any{route("stock-lookup", "/cufi504/", "order-core")}, "Services": []any{service("order-core")},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{"key-kept"}}, map[string]any{"Name": "pota114", "ApiKeys": keys}},
	}
}

func main() {
	record := rig3.NewRecord(os.Args[1])
	dir := rig3.TempDir()
	store, runs := rig3.NewStore(record), rig3.NewRuns()
	keys := []string{"key-0"}
	version := 7
	store.Put("op", "config", manifest(version, keys))
	var servers []*rig3.PlainServer
	for i := range 8 {
		zone := []string{"seattle-sodo", "tacoma-port"}[i%2]
		servers = append(servers, rig3.NewPlainServer(fmt.Sprintf("i-7f3a91c%d", i), "order-core", zone, 20*time.Millisecond, store, runs))
	}
	for i, server := range servers {
		server.Beat(time.Duration(i)*heartbeat/time.Duration(len(servers)), heartbeat)
	}
	nodes := []*rig3.Node{
		rig3.NewNode(dir, "front-seattle-sodo-1", "127.0.0.1", "seattle-sodo", store.Address),
		rig3.NewNode(dir, "front-tacoma-port-1", "127.0.0.1", "tacoma-port", store.Address),
	}
	for _, node := range nodes {
		node.Set("SeedNodes", nodes[0].Control+","+nodes[1].Control)
		node.Start()
	}
	for _, node := range nodes {
		node.AwaitReady(15 * time.Second)
	}
	client := &http.Client{Timeout: 4 * time.Second}
	time.Sleep(6 * time.Second)
	broken := false
	for drill := 1; drill <= maxDrills && !broken; drill++ {
		previous := keys[0]
		keys = []string{fmt.Sprintf("key-%d", drill)}
		version += 3
		before := store.Copy()
		written := map[*rig3.PlainServer]int{}
		for _, server := range servers {
			written[server] = server.Written()
		}
		time.Sleep(copyAge)
		if rig3.Trouble() {
			for _, server := range servers {
				server.Pause(true)
			}
			store.Away()
			record.Printf("drill %d: the store goes away at version %d", drill, store.Version())
			time.Sleep(away)
			lost := store.Restore(before)
			store.Return()
			record.Printf("drill %d: the store is back from a copy, %d versions back, at version %d", drill, lost, store.Version())
		} else {
			time.Sleep(away)
		}
		ackVersion := store.Put("op", "config", manifest(version, keys))
		acked := time.Now()
		record.Printf("drill %d: manifest %d acknowledged at version %d: %s instead of %s", drill, version, ackVersion, keys[0], previous)
		if rig3.Trouble() {
			writeAgain(servers, written)
			record.Printf("drill %d: the servers have written again, version %d", drill, store.Version())
		}
		time.Sleep(time.Until(acked.Add(bound)))
		oldRan, newRefused, sent := 0, 0, 0
		for end := time.Now().Add(observe); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
			for _, node := range nodes {
				kept := rig3.Get(client, node.Front, host, "/cufi504/fi50/2f", "key-kept", 3*time.Second)
				old := rig3.Get(client, node.Front, host, "/cufi504/fi50/2f", previous, 3*time.Second)
				fresh := rig3.Get(client, node.Front, host, "/cufi504/fi50/2f", keys[0], 3*time.Second)
				record.Printf("%s: %s by key-kept: %d; %s by the removed %s: %d, runs %d; %s by the added %s: %d, runs %d", node.Name, kept.ID, kept.Status,
					old.ID, previous, old.Status, len(runs.Of(old.ID)), fresh.ID, keys[0], fresh.Status, len(runs.Of(fresh.ID)))
				sent++
				if len(runs.Of(old.ID)) > 0 {
					oldRan++
				}
				if fresh.Status == http.StatusUnauthorized {
					newRefused++
				}
			}
		}
		summary := fmt.Sprintf("drill %d: later than %v after the ack, of %d requests each: %d with the removed key ran, %d with the added key were refused with 401",
			drill, bound, sent, oldRan, newRefused)
		record.Printf("%s", summary)
		fmt.Println(summary)
		broken = oldRan > 0 || newRefused > 0
	}
	for _, node := range nodes {
		for _, line := range node.LogOf("manifest in force", "store unavailable", "store available", "no longer has the changes") {
			record.Printf("%s", strings.TrimSpace(line))
		}
	}
	rig3.Finish(record, broken)
}

// writeAgain lets each server write again as often as it had written since the copy, and goes on with the heartbeats.
func writeAgain(servers []*rig3.PlainServer, since map[*rig3.PlainServer]int) {
	var group sync.WaitGroup
	for _, server := range servers {
		count := server.Written() - since[server]
		if os.Getenv("REWRITE") == "once" {
			// For comparison: each server writes its entry once.
			count = 1
		}
		group.Add(1)
		go func() {
			defer group.Done()
			for range count {
				time.Sleep(rand.N(rewriteTime / time.Duration(max(1, count))))
				server.Write()
			}
			server.Pause(false)
		}()
	}
	group.Wait()
}
