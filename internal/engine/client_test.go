package engine

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	standin "github.com/cicadawall/cicadawall/internal/standin/engine"
)

// startEngine starts an engine stand-in that serves small@1. It returns the stand-in, its HTTP server and its address.
func startEngine(t *testing.T, change func(*api.EngineStandinSettings)) (*standin.Server, *httptest.Server, string) {
	t.Helper()
	settings := api.EngineStandinSettings{
		TokenMillis: 0.1, PrefillMicros: 1,
		Versions: []api.EngineStandinVersion{{Model: "small", Version: "1", Quality: 0.9, Tokens: 12, Loaded: true}},
	}
	if change != nil {
		change(&settings)
	}
	server, err := standin.New(settings)
	if err != nil {
		t.Fatal(err)
	}
	listener := httptest.NewServer(server)
	t.Cleanup(func() {
		server.Stop()
		listener.Close()
	})
	return server, listener, strings.TrimPrefix(listener.URL, "http://")
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	client := NewClient(Options{})
	t.Cleanup(client.Close)
	return client
}

func newRequestWithID(id string) Request {
	return Request{CompletionID: id, Body: api.ChatCompletionRequest{
		Model: "small@1", Logprobs: true, StreamOptions: &api.StreamOptions{IncludeUsage: true},
		Messages: []api.ChatMessage{{Role: "user", Content: "restock the booth"}},
	}}
}

// assemble reads a stream to its end, closes it and appends the released content to text.
func assemble(stream *Stream, assembler *stream.Assembler, text *strings.Builder) error {
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		ready, _ := assembler.Push(chunk)
		for _, chunk := range ready {
			for _, choice := range chunk.Body.Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
	}
}

func asEngineError(t *testing.T, err error) *Error {
	t.Helper()
	var failure *Error
	if !errors.As(err, &failure) {
		t.Fatalf("error %v is not an *Error", err)
	}
	return failure
}

// Guards against streamed answers that differ from the answer without streaming after repeated, reordered, foreign or missing
// chunks, or after a resume at another engine.
func TestStreamIsAssembled(t *testing.T) {
	tests := []struct {
		name   string
		faults api.EngineStandinFaults
		resume bool
	}{
		{name: "no fault"},
		{name: "duplicates", faults: api.EngineStandinFaults{DuplicateNext: 1}},
		{name: "neighbours changed places", faults: api.EngineStandinFaults{ReorderNext: 1}},
		{name: "foreign chunks", faults: api.EngineStandinFaults{ForeignNext: 1}},
		{name: "all at once", faults: api.EngineStandinFaults{DuplicateNext: 1, ReorderNext: 1, ForeignNext: 1}},
		{name: "cut and resumed", faults: api.EngineStandinFaults{CutNext: 1, CutAfter: 5}, resume: true},
		{name: "cut in a reordered stream", faults: api.EngineStandinFaults{CutNext: 1, CutAfter: 4, ReorderNext: 1}, resume: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, _, address := startEngine(t, nil)
			_, _, otherAddress := startEngine(t, nil)
			client := newTestClient(t)
			want, err := client.Complete(t.Context(), address, newRequestWithID("whole"))
			if err != nil {
				t.Fatal(err)
			}
			server.SetFaults(test.faults)
			assembler := stream.New(stream.Options{CompletionID: "c1", RequireUsage: true})
			var text strings.Builder
			first, err := client.Stream(t.Context(), address, newRequestWithID("c1"))
			if err != nil {
				t.Fatal(err)
			}
			err = assemble(first, assembler, &text)
			if test.resume {
				if assembler.Complete() || asEngineError(t, err).Kind != KindInterrupted {
					t.Fatalf("cut stream: complete %t, error %v", assembler.Complete(), err)
				}
				again := newRequestWithID("c1")
				again.ResumeFrom = assembler.ResumeFrom()
				second, resumeErr := client.Stream(t.Context(), otherAddress, again)
				if resumeErr != nil {
					t.Fatal(resumeErr)
				}
				err = assemble(second, assembler, &text)
			}
			if !errors.Is(err, io.EOF) || !assembler.Complete() {
				t.Fatalf("complete %t, error %v", assembler.Complete(), err)
			}
			if got := text.String(); got != want.Completion.Choices[0].Message.Content {
				t.Fatalf("answer %q, want %q", got, want.Completion.Choices[0].Message.Content)
			}
		})
	}
}

// Guards against errors that state wrongly whether the engine may have run the completion.
func TestErrorKindAndNotRun(t *testing.T) {
	tests := []struct {
		name   string
		set    func(*standin.Server)
		model  string
		kind   Kind
		notRun bool
	}{
		{name: "draining", set: func(s *standin.Server) { s.SetDraining(true) }, kind: KindRefused, notRun: true},
		{name: "not loaded", model: "small@2", kind: KindRefused, notRun: true},
		{name: "failed", set: func(s *standin.Server) { s.SetFaults(api.EngineStandinFaults{FailNext: 1}) }, kind: KindFailed},
		{name: "closed", set: func(s *standin.Server) { s.SetFaults(api.EngineStandinFaults{CloseNext: 1}) }, kind: KindNoResponse},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, listener, address := startEngine(t, nil)
			if test.set != nil {
				test.set(server)
			}
			attempt := newRequestWithID("c1")
			if test.model != "" {
				attempt.Body.Model = test.model
			}
			client := newTestClient(t)
			_, err := client.Stream(t.Context(), address, attempt)
			failure := asEngineError(t, err)
			if failure.Kind != test.kind || failure.NotRun() != test.notRun {
				t.Errorf("error %v, not run %t, want %v, %t", failure, failure.NotRun(), test.kind, test.notRun)
			}
			if test.name == "draining" && (failure.Load == nil || !failure.Load.Load.Draining) {
				t.Errorf("load report %+v does not say draining", failure.Load)
			}
			listener.Close()
			// A new client has no pooled connections: a write to an idle connection that the server has just closed may succeed.
			_, err = newTestClient(t).Complete(t.Context(), address, newRequestWithID("c2"))
			if failure := asEngineError(t, err); failure.Kind != KindNotSent || !failure.NotRun() {
				t.Errorf("closed port: %v", failure)
			}
		})
	}
}

// Guards against a stalled stream that blocks its reader forever, and against completions that keep running after they were
// cancelled or their stream was closed.
func TestStallAndCancel(t *testing.T) {
	server, listener, address := startEngine(t, nil)
	server.SetFaults(api.EngineStandinFaults{StallNext: 1, StallAfter: 2, StallMillis: 60000})
	client := newTestClient(t)
	attempt := newRequestWithID("c1")
	attempt.StallTimeout = 50 * time.Millisecond
	stalled, err := client.Stream(t.Context(), address, attempt)
	if err != nil {
		t.Fatal(err)
	}
	assembler := stream.New(stream.Options{CompletionID: "c1"})
	err = assemble(stalled, assembler, &strings.Builder{})
	if !errors.Is(err, ErrStalled) || assembler.ResumeFrom() != 2 {
		t.Fatalf("error %v after %d chunks, want a stall after 2", err, assembler.ResumeFrom())
	}

	slow, slowListener, slowAddress := startEngine(t, func(s *api.EngineStandinSettings) { s.TokenMillis = 60000 })
	running, err := client.Stream(t.Context(), slowAddress, newRequestWithID("c2"))
	if err != nil {
		t.Fatal(err)
	}
	if err := client.Cancel(t.Context(), slowAddress, "c2"); err != nil {
		t.Fatal(err)
	}
	if err := assemble(running, stream.New(stream.Options{CompletionID: "c2"}), &strings.Builder{}); asEngineError(t, err).Kind != KindInterrupted {
		t.Fatalf("cancelled stream ended with %v", err)
	}
	if got := slow.Counts().Cancelled; got != 1 {
		t.Fatalf("%d completions cancelled, want 1", got)
	}
	listener.Close()

	abandoned, err := client.Stream(t.Context(), slowAddress, newRequestWithID("c3"))
	if err != nil {
		t.Fatal(err)
	}
	abandoned.Close()
	slowListener.Close()
	if got := slow.Counts().Cancelled; got != 2 {
		t.Fatalf("%d completions cancelled after the stream was closed early, want 2", got)
	}
}

// Guards against responses of unlimited size and against event data that is not a chunk.
func TestMalformedResponses(t *testing.T) {
	tests := []struct {
		name, body string
		kind       Kind
	}{
		{"endless line", "data: " + strings.Repeat("a", 1<<20), KindMalformed},
		{"no JSON", "id: 1\ndata: {\n\n", KindMalformed},
		{"wrong type", "id: 1\ndata: {\"choices\":1}\n\n", KindMalformed},
		{"error in the stream", "data: {\"error\":{\"code\":\"oom\"}}\n\n", KindFailed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(HeaderLoad, `{"running":-1}`)
				_, _ = io.WriteString(w, test.body)
			}))
			defer listener.Close()
			stream, err := newTestClient(t).Stream(t.Context(), strings.TrimPrefix(listener.URL, "http://"), newRequestWithID("c1"))
			if err != nil {
				t.Fatal(err)
			}
			defer stream.Close()
			if stream.Load() != nil {
				t.Errorf("load report %+v from a header with a negative number", stream.Load())
			}
			if _, err := stream.Next(); asEngineError(t, err).Kind != test.kind {
				t.Errorf("error %v, want %v", err, test.kind)
			}
		})
	}
}

// Guards against commands with a stale fencing token that take effect at an engine that checks tokens, and against
// commands that fail or have no effect at an engine that does not check them.
func TestCommands(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		_, _, address := startEngine(t, func(s *api.EngineStandinSettings) { s.ChecksFence = checksFence })
		client := newTestClient(t)
		load := api.EngineCommand{Fence: 5, Action: api.ActionLoad, Model: "small", Version: "2"}
		state, err := client.Command(t.Context(), address, load)
		if err != nil || len(state.Versions) != 2 {
			t.Fatalf("load: %+v, %v", state, err)
		}
		unload := api.EngineCommand{Fence: 4, Action: api.ActionUnload, Model: "small", Version: "2"}
		_, err = client.Command(t.Context(), address, unload)
		if checksFence != (err != nil && asEngineError(t, err).Kind == KindStaleFence) {
			t.Errorf("checks %t: stale fencing token: %v", checksFence, err)
		}
		report, err := client.Load(t.Context(), address)
		if err != nil || (len(report.Load.Versions) == 2) != checksFence {
			t.Errorf("checks %t: load report %+v, %v", checksFence, report, err)
		}
	}
}

// Guards against an imported KV cache whose blocks the importing engine does not store.
func TestKVExportAndImport(t *testing.T) {
	_, _, address := startEngine(t, nil)
	_, _, otherAddress := startEngine(t, nil)
	client := newTestClient(t)
	long := newRequestWithID("c1")
	long.Body.Messages[0].Content = strings.Repeat("settle the tour leg ", 50)
	if _, err := client.Complete(t.Context(), address, long); err != nil {
		t.Fatal(err)
	}
	cache, err := client.ExportKV(t.Context(), address, "c1")
	if err != nil {
		t.Fatal(err)
	}
	if err := client.ImportKV(t.Context(), otherAddress, cache); err != nil {
		t.Fatal(err)
	}
	events, err := client.CacheEvents(t.Context(), otherAddress, 0, 0)
	if err != nil || len(events.Events) != 1 || len(events.Events[0].Blocks) != 3 {
		t.Fatalf("cache events after the import: %+v, %v, want 3 blocks stored", events, err)
	}
	if _, err := client.ExportKV(t.Context(), address, "c9"); asEngineError(t, err).Kind != KindRefused {
		t.Fatalf("export of an unknown completion: %v", err)
	}
}

// Guards against opening a new connection for each streamed answer.
func TestConnectionIsReused(t *testing.T) {
	server, _, _ := startEngine(t, nil)
	listener := httptest.NewUnstartedServer(server)
	t.Cleanup(listener.Close)
	var opened atomic.Int64
	listener.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	listener.Start()
	client := newTestClient(t)
	for n := range 5 {
		stream, err := client.Stream(t.Context(), strings.TrimPrefix(listener.URL, "http://"), newRequestWithID(strconv.Itoa(n)))
		if err != nil {
			t.Fatal(err)
		}
		for ended := false; !ended; {
			chunk, err := stream.Next()
			if err != nil {
				t.Fatal(err)
			}
			ended = chunk.End
		}
		stream.Close()
	}
	if opened.Load() != 1 {
		t.Errorf("%d connections for 5 answers, want 1", opened.Load())
	}
}
