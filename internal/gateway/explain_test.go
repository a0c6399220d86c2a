package gateway

import (
	"bytes"
	"container/list"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/crashguard"
	"github.com/cicadawall/cicadawall/internal/migration"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// oneIn reports true once in n calls on average.
func oneIn(n int, rng *rand.Rand) bool { return rng.IntN(n) == 0 }

// seconds returns a random time of up to n seconds.
func seconds(n int, rng *rand.Rand) time.Duration {
	return time.Duration(rng.IntN(n*1000)) * time.Millisecond
}

// randomRequest returns a request of any kind; some have an unknown host or key.
func randomRequest(rng *rand.Rand, now time.Time) *Request {
	request := &Request{
		ID: strconv.Itoa(rng.IntN(100)), Host: "h", Path: []string{"/buy/x", "/look/x", "/chat/x", "/split/x", "/look/free/x"}[rng.IntN(5)],
		Key: "key", Arrived: now, OutputTokens: rng.IntN(500), AnyModel: oneIn(2, rng), Model: []string{"small", "large", "other"}[rng.IntN(3)],
	}
	if oneIn(20, rng) {
		request.Key = "unknown"
	}
	if oneIn(20, rng) {
		request.Host = "unknown"
	}
	if oneIn(2, rng) {
		request.Timeout = time.Millisecond + seconds(10, rng)
	}
	for part := range rng.IntN(4) {
		request.Prompt = append(request.Prompt, backend.PromptPart{ID: fmt.Sprintf("%d-%d", part, rng.IntN(2)), Tokens: rng.IntN(5000)})
	}
	return request
}

// addRandomServers adds servers to the directory with attempts in flight and the results of earlier ones.
func addRandomServers(g *Gateway, rng *rand.Rand, now time.Time) {
	for n := range rng.IntN(9) {
		id := strconv.Itoa(n)
		g.Directory.Put(backend.Entry{
			ID: id, Service: []string{"desk", "desk", "till"}[rng.IntN(3)], Address: id, AvailabilityZone: []string{"z", "y"}[rng.IntN(2)], Slots: rng.IntN(4),
			Software: []string{"v1", "v2"}[rng.IntN(2)], Leaving: oneIn(6, rng), ColdDuration: seconds(3, rng),
		}, now)
		for range rng.IntN(7) {
			earlier := randomRequest(rng, now)
			attempt, _ := g.Directory.Begin(id, backend.Query{Model: earlier.Model, Prompt: earlier.Prompt}, now)
			if oneIn(2, rng) {
				attempt.RecordPrefill(now)
			}
			if oneIn(12, rng) {
				attempt.MarkBackoff(seconds(3, rng), now)
			}
			if oneIn(2, rng) {
				attempt.End(backend.Result(rng.IntN(4)), now)
			} else if oneIn(2, rng) {
				attempt.End(backend.ResultUnreachable, now)
			}
		}
	}
}

// randomGateway returns a gateway with random servers, limits, loads, roll-outs, holds and plans to stop.
func randomGateway(rng *rand.Rand, backends Backends, log *slog.Logger) *Gateway {
	now := time.Now()
	g := newGateway(0, backends, log)
	configuration := testConfiguration()
	configuration.Version, configuration.Services[0].MaxConnections = 2, rng.IntN(5)
	configuration.Routes = append(configuration.Routes, Route{Name: "split", Host: "h", PathPrefix: "/split/", MaxAttempts: 1,
		Services: []WeightedService{{"desk", 1}, {"till", 2}}})
	g.Configurations.Adopt(configuration.Compile())
	addRandomServers(g, rng, now)
	for range rng.IntN(3) {
		g.models.addWork(&configuration.Services[0], []string{"small", "large"}[rng.IntN(2)], rng.IntN(1e6), now)
	}
	mayTry, instances := oneIn(2, rng), rng.IntN(3)
	g.Crashes = crashguard.NewTable(crashguard.Options{MayTry: func(string) bool { return mayTry }, Log: log})
	for n := range rng.IntN(5) {
		g.Crashes.Merge([]crashguard.Crash{{Service: "desk", Server: strconv.Itoa(n), Request: strconv.Itoa(n), Parts: []string{"0-0"},
			At: now.Add(time.Duration(n)*time.Second - seconds(60, rng))}}, now)
	}
	versions := migration.NewTable(0.15)
	versions.SetSlack(40, func() int { return instances }, time.Time{})
	if oneIn(2, rng) {
		versions.AddOrder(migration.Order{Service: "desk", Target: "v2", Duration: 20 * time.Second, Revision: storepos.At(0, 1)}, seconds(25, rng), now)
	}
	if oneIn(8, rng) {
		versions.ApplyStatus(migration.Status{Service: "desk", Target: "v2", State: migration.StateRolledBack, Revision: storepos.At(0, 2)})
	}
	g.Versions = versions
	if oneIn(8, rng) {
		g.StopAt(now.Add(seconds(4, rng)))
	}
	return g
}

// dump writes all values that are reachable from a value, except locks, channels and functions.
func dump(out io.Writer, v reflect.Value, seen map[any]bool) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() || v.Kind() == reflect.Pointer && (seen[v.Pointer()] || v.Elem().Type().PkgPath() == "time") {
			return
		}
		if v.Kind() == reflect.Pointer {
			seen[v.Pointer()] = true
		}
		dump(out, v.Elem(), seen)
	case reflect.Struct:
		switch path := v.Type().PkgPath(); {
		case path == "sync" || strings.HasSuffix(path, "/lockorder"):
			return
		case v.Type() == reflect.TypeFor[list.List]():
			fmt.Fprint(out, v.FieldByName("len")) // The idle workers, which are channels.
			return
		}
		for i := range v.NumField() {
			fmt.Fprintf(out, "\n%s.%s ", v.Type(), v.Type().Field(i).Name)
			dump(out, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			fmt.Fprint(out, v.Len()) // The log.
			return
		}
		for i := range v.Len() {
			dump(out, v.Index(i), seen)
		}
	case reflect.Map:
		keys := map[string]reflect.Value{}
		for _, key := range v.MapKeys() {
			var text strings.Builder
			dump(&text, key, seen)
			keys[text.String()] = key
		}
		for _, text := range slices.Sorted(maps.Keys(keys)) {
			fmt.Fprintf(out, "\n[%s] ", text)
			dump(out, v.MapIndex(keys[text]), seen)
		}
	case reflect.Chan, reflect.Func, reflect.UnsafePointer:
	default:
		fmt.Fprint(out, v)
	}
}

func stateOf(g *Gateway) string {
	var out strings.Builder
	dump(&out, reflect.ValueOf(g), map[any]bool{})
	return out.String()
}

// retryAfter compares times after which to retry. They may be those of a backoff, which measures how long the machine was suspended by two
// clocks that are not read at the same moment.
var retryAfter = cmp.FilterPath(func(path cmp.Path) bool { return path.Last().String() == ".RetryAfter" },
	cmp.Comparer(func(a, b time.Duration) bool { return (a - b).Abs() < time.Millisecond }))

// checkExplanation compares the explanation of a random request with what then happens to the request. It returns the code of the refusal
// or the fallback step.
func checkExplanation(t *testing.T, g *Gateway, backends *scriptedBackends, seed uint64, rng *rand.Rand) string {
	t.Helper()
	request, caller := randomRequest(rng, time.Now()), &recordingCaller{}
	before, draws := stateOf(g), rng.Uint64()
	explain := func() Explanation { return g.Explain(request, time.Now(), rand.New(rand.NewPCG(draws, 0))) }
	explanation := explain()
	if diff := cmp.Diff(explanation, explain(), retryAfter); diff != "" {
		t.Errorf("seed %d: a second explanation differs: %s", seed, diff)
	}
	if after := stateOf(g); after != before {
		t.Errorf("seed %d: the explanation changed the state: %s", seed, cmp.Diff(strings.Split(before, "\n"), strings.Split(after, "\n")))
	}
	backends.attempts = nil
	g.serve(t.Context(), request, caller, rand.New(rand.NewPCG(draws, 0)))
	synctest.Wait()
	if explanation.Refusal != nil {
		if diff := cmp.Diff(explanation.Refusal, caller.refusal, retryAfter); diff != "" || len(backends.attempts) > 0 {
			t.Errorf("seed %d: other refusal after %d attempts: %s", seed, len(backends.attempts), diff)
		}
		return string(explanation.Refusal.Code)
	}
	if len(backends.attempts) == 0 || backends.attempts[0].Server.ID != explanation.Server || explanation.Candidates[0].ID != explanation.Server {
		t.Errorf("seed %d: explained %+v, attempts %+v, refusal %v", seed, explanation, backends.attempts, caller.refusal)
	} else if explanation.Route == "chat" && backends.attempts[0].Model != explanation.Model {
		t.Errorf("seed %d: explained model %q, sent %q", seed, explanation.Model, backends.attempts[0].Model)
	}
	return "fallback: " + string(explanation.Fallback)
}

// Guards against an explanation that differs from what happens to the request, or that changes any state of the instance: the load, the
// health or the choice of servers, the counts of a roll-out, the retry budget, the trial of a held prompt, metrics or the log.
func TestExplanationAgreesWithRequestPath(t *testing.T) {
	results := map[string]int{}
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng, backends := rand.New(rand.NewPCG(seed, 0)), &scriptedBackends{actions: []serverAction{{body: "x", confidence: 100}}}
			g := randomGateway(rng, backends, slog.New(slog.NewJSONHandler(&bytes.Buffer{}, nil)))
			defer g.Stop()
			synctest.Wait()
			for range 12 {
				results[checkExplanation(t, g, backends, seed, rng)]++
				<-time.After(seconds(2, rng))
			}
		})
	}
	t.Log(results)
	for _, result := range []string{
		"fallback: ", "fallback: " + string(FallbackEjected), "fallback: " + string(FallbackVersion),
		"no_backend_server", "prompt_held", "draining", "unauthenticated", "unknown_service",
	} {
		if results[result] == 0 {
			t.Errorf("no case of %q", result)
		}
	}
}
