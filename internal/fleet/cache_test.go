package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/routing"
	standin "github.com/cicadawall/cicadawall/internal/standin/engine"
	"github.com/cicadawall/cicadawall/internal/table"
)

var smallModel = declaration.VersionID{Model: "small", Version: "v1"}

// standinReader reads cache events from engine stand-ins without a network.
type standinReader struct {
	engines map[string]*standin.Server
}

func (s *standinReader) CacheEvents(_ context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error) {
	path := fmt.Sprintf("/admin/cache-events?limit=%d", limit)
	if after != engine.NewestEvents {
		path += fmt.Sprintf("&after=%d", after)
	}
	recorder := httptest.NewRecorder()
	s.engines[server.Entry.Id].ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	var events api.CacheEvents
	err := json.Unmarshal(recorder.Body.Bytes(), &events)
	return events, err
}

func newStandin(t *testing.T, blocks int, drop float64) *standin.Server {
	t.Helper()
	server, err := standin.New(api.EngineStandinSettings{CacheBlocks: blocks, EventDropFraction: drop, Seed: 2,
		Versions: []api.EngineStandinVersion{{Model: "small", Version: "v1", Loaded: true, Tokens: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// cacheFleet is the fleet of one instance. The instance's prefix index lists the blocks of its own requests as cached by the
// engine.
type cacheFleet struct {
	*Fleet
	index   *routing.PrefixIndex
	servers *table.Servers
}

func newCacheFleet(reader CacheReader, engines ...string) *cacheFleet {
	c := &cacheFleet{index: routing.NewPrefixIndex(1000), servers: table.NewServers()}
	var entries []api.InstanceEntry
	for _, id := range engines {
		entries = append(entries, api.InstanceEntry{Id: id, Kind: api.KindEngine})
	}
	c.servers.Sync(entries)
	c.Fleet = New(Options{Servers: c.servers, Prefixes: c.index, Caches: reader, Log: slog.New(slog.DiscardHandler)})
	return c
}

// send runs the prompt at the engine on behalf of the instance and updates the table and the prefix index as the request
// path does.
func (c *cacheFleet) send(t *testing.T, id string, engine *standin.Server, text string) {
	t.Helper()
	messages := []api.ChatMessage{{Role: "user", Content: text}}
	body, err := json.Marshal(api.ChatCompletionRequest{Model: smallModel.String(), Messages: messages})
	if err != nil {
		t.Fatal(err)
	}
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	engine.ServeHTTP(recorder, request)
	if recorder.Code != http.StatusOK {
		t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
	}
	c.servers.BeginAttempt(id)
	c.index.AddBlocks(id, prefix.Blocks(smallModel, prefix.Render(messages)))
}

func (c *cacheFleet) cachedBlocks(id, text string) int {
	candidates := []routing.Candidate{{ID: id}}
	c.index.MarkCachedBlocks(candidates, prefix.Blocks(smallModel, prefix.Render([]api.ChatMessage{{Role: "user", Content: text}})))
	return candidates[0].CachedBlocks
}

func prompt(letter string) string { return strings.Repeat(letter, 4*prefix.BlockBytes) }

func advance(d time.Duration) { <-time.After(d) }

func poll(t *testing.T, fleets ...*cacheFleet) {
	t.Helper()
	for _, f := range fleets {
		if err := f.PollCaches(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a prefix that attracts requests after the engine evicted it, and against two instances that list different
// blocks for an engine although both read its events.
func TestEvictedPrefixesStopAttracting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newStandin(t, 4, 0)
		defer server.Stop()
		reader := &standinReader{engines: map[string]*standin.Server{"e1": server}}
		first, second := newCacheFleet(reader, "e1"), newCacheFleet(reader, "e1")
		first.send(t, "e1", server, prompt("a"))
		second.servers.BeginAttempt("e1")
		poll(t, first, second)
		if first.cachedBlocks("e1", prompt("a")) != 4 || second.cachedBlocks("e1", prompt("a")) != 4 {
			t.Fatalf("blocks of the stored prompt: %d and %d, want 4", first.cachedBlocks("e1", prompt("a")), second.cachedBlocks("e1", prompt("a")))
		}
		second.send(t, "e1", server, prompt("b"))
		poll(t, first, second)
		for name, f := range map[string]*cacheFleet{"one": first, "two": second} {
			if a, b := f.cachedBlocks("e1", prompt("a")), f.cachedBlocks("e1", prompt("b")); a != 0 || b != 4 {
				t.Errorf("instance %s: %d evicted and %d stored blocks, want 0 and 4", name, a, b)
			}
		}
	})
}

// pageReader answers each read with the next of its pages, and with no events when none is left.
type pageReader struct {
	mu        sync.Mutex
	pages     []api.CacheEvents
	serverIDs []string
}

func (p *pageReader) CacheEvents(_ context.Context, server table.Server, after int64, _ int) (api.CacheEvents, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverIDs = append(p.serverIDs, server.Entry.Id)
	if len(p.pages) == 0 {
		return api.CacheEvents{Next: max(after, 0), LastSequence: max(after, 0)}, nil
	}
	page := p.pages[0]
	p.pages = p.pages[1:]
	return page, nil
}

func newPage(last int64, events ...api.CacheEvent) api.CacheEvents {
	return api.CacheEvents{Events: events, Next: last, LastSequence: last}
}

func storedEvent(sequence int64, blocks ...prefix.Block) api.CacheEvent {
	event := api.CacheEvent{Sequence: sequence, Kind: api.CacheStored}
	for _, block := range blocks {
		event.Blocks = append(event.Blocks, block.String())
	}
	return event
}

func indexHolds(index *routing.PrefixIndex, block prefix.Block) bool {
	candidates := []routing.Candidate{{ID: "e1"}}
	index.MarkCachedBlocks(candidates, []prefix.Block{block})
	return candidates[0].CachedBlocks == 1
}

// Guards against blocks that stay in the index after lost events or a restart of the engine, and against treating the first
// read as a gap because its first event does not have the first sequence number.
func TestGapRemovesBlocksOfEngine(t *testing.T) {
	for name, second := range map[string]api.CacheEvents{
		"lost event": newPage(9, storedEvent(9, 3)),
		"restart":    newPage(2, storedEvent(2, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			reader := &pageReader{pages: []api.CacheEvents{newPage(7, storedEvent(7, 2)), second}}
			f := newCacheFleet(reader, "e1")
			f.servers.BeginAttempt("e1")
			f.index.AddBlocks("e1", []prefix.Block{1})
			poll(t, f)
			if !indexHolds(f.index, 1) || !indexHolds(f.index, 2) {
				t.Fatal("the first read removed blocks")
			}
			poll(t, f)
			if indexHolds(f.index, 1) || indexHolds(f.index, 2) {
				t.Error("blocks stay after the gap")
			}
			if name == "lost event" && !indexHolds(f.index, 3) {
				t.Error("the event after the gap was not applied")
			}
		})
	}
}

// Guards against reads from engines that this instance does not use, and against rounds that read more engines than allowed
// or always the same ones.
func TestCacheReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &pageReader{}
		f := newCacheFleet(reader, "a", "b", "c", "d", "e", "f", "idle")
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			f.servers.BeginAttempt(id)
		}
		poll(t, f)
		advance(cachePollInterval)
		poll(t, f)
		if got := len(reader.serverIDs); got != 2*maxEnginesPerRound {
			t.Fatalf("%d reads in two rounds, want %d", got, 2*maxEnginesPerRound)
		}
		seen := map[string]bool{}
		for _, id := range reader.serverIDs {
			seen[id] = true
		}
		if len(seen) != 6 || seen["idle"] {
			t.Errorf("read %v, want the six engines in use", reader.serverIDs)
		}
		advance(recentUse)
		poll(t, f)
		if len(reader.serverIDs) != 2*maxEnginesPerRound {
			t.Error("read the events of engines that were not used recently")
		}
	})
}
