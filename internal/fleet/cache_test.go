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

var small = declaration.VersionID{Model: "small", Version: "v1"}

// standins reads cache events from engine stand-ins, without a network.
type standins struct {
	engines map[string]*standin.Server
}

func (s *standins) CacheEvents(_ context.Context, server table.Server, after int64, limit int) (api.CacheEvents, error) {
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

// cacheFleet is one instance with an index that believes that the engine holds the blocks of its own requests.
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

// send runs the prompt at the engine on behalf of the instance and records it as the request path does.
func (c *cacheFleet) send(t *testing.T, id string, engine *standin.Server, text string) {
	t.Helper()
	messages := []api.ChatMessage{{Role: "user", Content: text}}
	body, err := json.Marshal(api.ChatCompletionRequest{Model: small.String(), Messages: messages})
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
	c.index.AddBlocks(id, prefix.Blocks(small, prefix.Render(messages)))
}

func (c *cacheFleet) cached(id, text string) int {
	candidates := []routing.Candidate{{ID: id}}
	c.index.MarkCachedBlocks(candidates, prefix.Blocks(small, prefix.Render([]api.ChatMessage{{Role: "user", Content: text}})))
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

// Guards against a prefix that attracts requests after its eviction, and against instances that disagree about an engine
// although both read its events.
func TestEvictedPrefixesStopAttracting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newStandin(t, 4, 0)
		defer server.Stop()
		reader := &standins{engines: map[string]*standin.Server{"e1": server}}
		one, two := newCacheFleet(reader, "e1"), newCacheFleet(reader, "e1")
		one.send(t, "e1", server, prompt("a"))
		two.servers.BeginAttempt("e1")
		poll(t, one, two)
		if one.cached("e1", prompt("a")) != 4 || two.cached("e1", prompt("a")) != 4 {
			t.Fatalf("blocks of the stored prompt: %d and %d, want 4", one.cached("e1", prompt("a")), two.cached("e1", prompt("a")))
		}
		two.send(t, "e1", server, prompt("b"))
		poll(t, one, two)
		for name, f := range map[string]*cacheFleet{"one": one, "two": two} {
			if a, b := f.cached("e1", prompt("a")), f.cached("e1", prompt("b")); a != 0 || b != 4 {
				t.Errorf("instance %s: %d evicted and %d stored blocks, want 0 and 4", name, a, b)
			}
		}
	})
}

// pages answers each read with the next page.
type pages struct {
	mu    sync.Mutex
	pages []api.CacheEvents
	ids   []string
}

func (p *pages) CacheEvents(_ context.Context, server table.Server, after int64, _ int) (api.CacheEvents, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids = append(p.ids, server.Entry.Id)
	if len(p.pages) == 0 {
		return api.CacheEvents{Next: max(after, 0), LastSequence: max(after, 0)}, nil
	}
	page := p.pages[0]
	p.pages = p.pages[1:]
	return page, nil
}

func page(last int64, events ...api.CacheEvent) api.CacheEvents {
	return api.CacheEvents{Events: events, Next: last, LastSequence: last}
}

func stored(sequence int64, blocks ...prefix.Block) api.CacheEvent {
	event := api.CacheEvent{Sequence: sequence, Kind: api.CacheStored}
	for _, block := range blocks {
		event.Blocks = append(event.Blocks, block.String())
	}
	return event
}

func holds(index *routing.PrefixIndex, block prefix.Block) bool {
	candidates := []routing.Candidate{{ID: "e1"}}
	index.MarkCachedBlocks(candidates, []prefix.Block{block})
	return candidates[0].CachedBlocks == 1
}

// Guards against blocks that stay after lost events or a restart of the engine, and against a first read, which starts
// somewhere in the middle, that is taken for a gap.
func TestGapForgetsTheEngine(t *testing.T) {
	for name, second := range map[string]api.CacheEvents{
		"lost event": page(9, stored(9, 3)),
		"restart":    page(2, stored(2, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			reader := &pages{pages: []api.CacheEvents{page(7, stored(7, 2)), second}}
			f := newCacheFleet(reader, "e1")
			f.servers.BeginAttempt("e1")
			f.index.AddBlocks("e1", []prefix.Block{1})
			poll(t, f)
			if !holds(f.index, 1) || !holds(f.index, 2) {
				t.Fatal("the first read forgot blocks")
			}
			poll(t, f)
			if holds(f.index, 1) || holds(f.index, 2) {
				t.Error("blocks stay after the gap")
			}
			if name == "lost event" && !holds(f.index, 3) {
				t.Error("the event after the gap was not applied")
			}
		})
	}
}

// Guards against reads of engines that this instance does not use, and against a round that reads more than its bound or
// always the same engines.
func TestCacheReadsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &pages{}
		f := newCacheFleet(reader, "a", "b", "c", "d", "e", "f", "idle")
		for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
			f.servers.BeginAttempt(id)
		}
		poll(t, f)
		advance(cacheInterval)
		poll(t, f)
		if got := len(reader.ids); got != 2*cacheEngines {
			t.Fatalf("%d reads in two rounds, want %d", got, 2*cacheEngines)
		}
		seen := map[string]bool{}
		for _, id := range reader.ids {
			seen[id] = true
		}
		if len(seen) != 6 || seen["idle"] {
			t.Errorf("read %v, want the six engines in use", reader.ids)
		}
		advance(usedLately)
		poll(t, f)
		if len(reader.ids) != 2*cacheEngines {
			t.Error("read engines that were not used lately")
		}
	})
}
