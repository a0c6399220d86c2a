package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

func newServer(t *testing.T, settings api.EngineStandinSettings) *Server {
	t.Helper()
	settings.Versions = []api.EngineStandinVersion{{Model: "small", Version: "1", Quality: 0.9, Tokens: 10, Loaded: true}}
	server, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// complete requests one completion without streaming and returns the status and the time it took.
func complete(t *testing.T, ctx context.Context, server *Server, prompt string, priority int) (int, time.Duration) {
	t.Helper()
	body, err := json.Marshal(api.ChatCompletionRequest{Model: "small@1", Messages: []api.ChatMessage{{Role: "user", Content: prompt}}})
	if err != nil {
		t.Error(err)
	}
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(priorityHeader, strconv.Itoa(priority))
	recorder := httptest.NewRecorder()
	start := time.Now()
	func() {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				panic(cause)
			}
		}()
		server.ServeHTTP(recorder, request)
	}()
	return recorder.Code, time.Since(start)
}

// Guards against a prefix cache that does not shorten the time to first token, and against a wrong inter-token latency.
func TestTokenIntervalAndPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, api.EngineStandinSettings{TokenMillis: 10, PrefillMicros: 1000, CacheBlocks: 8})
		defer server.Stop()
		prompt := strings.Repeat("a", 4*256)
		version, _ := server.state.findLoaded("small", "1", time.Now())
		tokens := len(generateAnswer(version, "user:"+prompt+"\n", 0, 0).tokens)
		decode := time.Duration(tokens-1) * 10 * time.Millisecond
		_, cold := complete(t, t.Context(), server, prompt, 0)
		_, warm := complete(t, t.Context(), server, prompt, 0)
		if want := decode + 258*time.Millisecond; cold != want {
			t.Errorf("without cache %v, want %v", cold, want)
		}
		if want := decode + 2*time.Millisecond; warm != want {
			t.Errorf("with cache %v, want %v", warm, want)
		}
		for i := range 3 {
			complete(t, t.Context(), server, strings.Repeat(strconv.Itoa(i), 1024), 0)
		}
		if _, afterEviction := complete(t, t.Context(), server, prompt, 0); afterEviction != cold {
			t.Errorf("after eviction %v, want %v", afterEviction, cold)
		}
	})
}

// Guards against a batch or queue that exceeds its limit, a queue that ignores priorities, and cancelled completions that
// stay in the queue.
func TestBatchAndQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, api.EngineStandinSettings{Batch: 1, Queue: 2, TokenMillis: 10})
		defer server.Stop()
		var mu sync.Mutex
		var order []string
		var running sync.WaitGroup
		start := func(ctx context.Context, name string, priority int) {
			running.Go(func() {
				status, _ := complete(t, ctx, server, name, priority)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, name+" "+strconv.Itoa(status))
			})
			synctest.Wait()
		}
		cancelledCtx, cancel := context.WithCancel(t.Context())
		start(t.Context(), "first", 0)
		start(cancelledCtx, "gone", 9)
		start(t.Context(), "low", 1)
		start(t.Context(), "refused", 9)
		cancel()
		synctest.Wait()
		start(t.Context(), "high", 2)
		running.Wait()
		if got, want := strings.Join(order, ", "), "refused 429, gone 200, first 200, high 200, low 200"; got != want {
			t.Errorf("order %q, want %q", got, want)
		}
		counts := server.Counts()
		if counts.Started != 4 || counts.Finished != 3 || counts.Cancelled != 1 || counts.Refused != 1 {
			t.Errorf("counts %+v", counts)
		}
	})
}

// Guards against cache events that can be read before the configured lag, or of which none is dropped.
func TestCacheEventLagAndLoss(t *testing.T) {
	table, err := newCacheTable(1000, 1)
	if err != nil {
		t.Fatal(err)
	}
	settings := api.EngineStandinSettings{EventLagMillis: 500, EventDropFraction: 0.5}
	now := time.Unix(0, 0)
	for i := range 100 {
		table.lookUpAndStore([]string{strconv.Itoa(i)}, settings, now)
	}
	if early := table.eventsAfter(0, 0, now.Add(499*time.Millisecond)); len(early.Events) != 0 || early.Next != 0 {
		t.Errorf("events before the lag: %+v", early)
	}
	late := table.eventsAfter(0, 0, now.Add(500*time.Millisecond))
	if len(late.Events) < 25 || len(late.Events) > 75 {
		t.Errorf("%d of 100 events arrived, want about half", len(late.Events))
	}
	if rest := table.eventsAfter(late.Next, 0, now.Add(time.Hour)); len(rest.Events) != 0 {
		t.Errorf("events after the last one: %+v", rest)
	}
	if page := table.eventsAfter(0, 3, now.Add(time.Hour)); len(page.Events) != 3 || page.LastSequence != late.Next {
		t.Errorf("page %+v, want 3 events and the last sequence number %d", page, late.Next)
	}
	if tail := table.newestEvents(2, now.Add(time.Hour)); len(tail.Events) != 2 || tail.Next != late.Next {
		t.Errorf("newest events %+v, want the last 2", tail)
	}
}

// Guards against a load report that shows the current load although its age says that it is outdated.
func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newServer(t, api.EngineStandinSettings{LoadLagMillis: 200, TokenMillis: 1000})
		defer server.Stop()
		ctx, cancel := context.WithCancel(t.Context())
		go complete(t, ctx, server, "a", 0)
		synctest.Wait()
		start := time.Now()
		if load := server.loadReport(start); load.Running != 0 || load.AgeMillis != 200 {
			t.Errorf("load before the lag: %+v", load)
		}
		if load := server.loadReport(start.Add(200 * time.Millisecond)); load.Running != 1 {
			t.Errorf("load after the lag: %+v", load)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against answers that a second engine cannot continue because their words vary, and against a quality that does not
// show in the log probabilities.
func TestAnswerFollowsPromptAndQuality(t *testing.T) {
	good := api.EngineStandinVersion{Model: "small", Version: "1", Quality: 0.9, Tokens: 50}
	bad := good
	bad.Quality = 0.2
	first, second := generateAnswer(good, "p", 7, 0), generateAnswer(good, "p", 7, 0)
	if strings.Join(first.tokens, "") != strings.Join(second.tokens, "") {
		t.Error("the same prompt and seed gave two answers")
	}
	worse := generateAnswer(bad, "p", 7, 0)
	if strings.Join(first.tokens[1:], "") != strings.Join(worse.tokens[1:], "") {
		t.Error("words depend on the quality")
	}
	mean := func(a answer) float64 {
		sum := 0.0
		for _, logprob := range a.logprobs {
			sum += math.Exp(logprob)
		}
		return sum / float64(len(a.logprobs))
	}
	if mean(first) < mean(worse)+0.2 {
		t.Errorf("mean probability %.2f of a good answer, %.2f of a bad one", mean(first), mean(worse))
	}
	if short := generateAnswer(good, "p", 7, 3); len(short.tokens) != 3 || short.finishReason != "length" {
		t.Errorf("limited answer: %d tokens, finish %q", len(short.tokens), short.finishReason)
	}
}

// Guards against a change of a version's quality that has no effect, or that also unloads the version or resets its answer
// length.
func TestSetVersionKeepsVersionLoaded(t *testing.T) {
	server := newServer(t, api.EngineStandinSettings{})
	defer server.Stop()
	server.SetVersion(api.EngineStandinVersion{Model: "small", Version: "1", Quality: 0.2})
	version, loaded := server.state.findLoaded("small", "1", time.Now())
	if !loaded || version.Quality != 0.2 || version.Tokens != 10 {
		t.Errorf("version %+v, loaded %t", version, loaded)
	}
}
