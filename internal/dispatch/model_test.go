package dispatch

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/cascade"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/stream"
	"github.com/cicadawall/cicadawall/internal/fault"
)

// runWithHarness runs the test body in a synctest bubble with a new harness.
func runWithHarness(t *testing.T, body func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.close(t)
		body(t, h)
	})
}

// Guards against missing or repeated text, and against a second bill, when an engine fails in the middle of an answer and
// another one resumes it.
func TestCutAnswerIsResumedOnAnotherServer(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		for range 30 { // Earlier requests raise the retry budget enough for two retries.
			h.router.Retries.Budgets.CountRequest("check", time.Now())
		}
		h.engine.scripts[smallV1] = []attemptScript{{cutAfter: 2}, {cutAfter: 1}}
		got := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
		if got.problem != nil || !got.endReceived || got.text != completeText(smallV1, 5) {
			t.Fatalf("answer %q, end marker %v, problem %v", got.text, got.endReceived, got.problem)
		}
		var resumedAfter []int64
		for _, attempt := range h.engine.attempts {
			resumedAfter = append(resumedAfter, attempt.ResumeAfter)
		}
		if diff := cmp.Diff([]int64{0, 2, 3}, resumedAfter); diff != "" {
			t.Errorf("ResumeAfter of the attempts (-want +got):\n%s", diff)
		}
		if h.engine.servers[0] == h.engine.servers[1] {
			t.Error("the second attempt used the server that failed")
		}
		if len(h.ledger.bills) != 1 {
			t.Errorf("%d bills, want 1", len(h.ledger.bills))
		}
		line := h.ledger.bills[0].Lines[0]
		if line.PromptTokens != 7 || line.CompletionTokens != 5 || line.Cost != 0.012 {
			t.Errorf("billed %+v, want 7 prompt tokens and 5 completion tokens", line)
		}
		if diff := cmp.Diff(api.Usage{PromptTokens: 7, CompletionTokens: 5, TotalTokens: 12}, got.usage); diff != "" {
			t.Errorf("usage sent to the caller (-want +got):\n%s", diff)
		}
	})
}

// Guards against a resumed answer that is billed for its last attempt only, or whose prompt is billed once per attempt.
func TestTokensOfResumedAnswer(t *testing.T) {
	text := func() stream.Chunk {
		return stream.Chunk{Body: api.ChatCompletionChunk{Choices: []api.ChunkChoice{{Delta: api.ChunkDelta{Content: "x"}}}}}
	}
	usage := func(prompt, completion int) stream.Chunk {
		return stream.Chunk{Body: api.ChatCompletionChunk{Usage: &api.Usage{PromptTokens: prompt, CompletionTokens: completion}}}
	}
	cases := []struct {
		name     string
		attempts [][]stream.Chunk
		want     api.Usage
	}{
		{"cut before usage", [][]stream.Chunk{{text(), text()}, {text(), usage(9, 1)}}, api.Usage{PromptTokens: 9, CompletionTokens: 3, TotalTokens: 12}},
		{"cut after usage", [][]stream.Chunk{{text(), usage(9, 3)}, {}}, api.Usage{PromptTokens: 9, CompletionTokens: 3, TotalTokens: 12}},
		{"no usage", [][]stream.Chunk{{text()}, {}, {text()}}, api.Usage{PromptTokens: 4, CompletionTokens: 2, TotalTokens: 6}},
	}
	for _, c := range cases {
		a := &answer{promptTokens: 4}
		for _, chunks := range c.attempts {
			a.beginAttempt()
			for _, chunk := range chunks {
				a.add(chunk)
			}
		}
		if diff := cmp.Diff(c.want, a.totalUsage()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// Guards against a cut answer that is reported as a success, or billed, when no attempt can complete it.
func TestAnswerThatCannotBeResumedHasNoEnd(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		for range 10 {
			h.engine.scripts[smallV1] = append(h.engine.scripts[smallV1], attemptScript{cutAfter: 1})
		}
		h.engine.wordCounts[smallV1] = 50
		got := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
		if got.endReceived || got.problem == nil || got.problem.Code != fault.CodeStreamCut || got.problem.Outcome != api.OutcomeUnknown {
			t.Fatalf("end marker %v, problem %v; want stream_cut with outcome unknown", got.endReceived, got.problem)
		}
		if len(h.ledger.bills) != 0 {
			t.Errorf("a cut answer was billed: %v", h.ledger.bills)
		}
	})
}

// Guards against an attempt on a version that was withdrawn before the request ran or while its answer was streamed.
func TestWithdrawalStopsNewAttempts(t *testing.T) {
	withdraw := func(h *harness) {
		h.router.Config.Install(declaration.Compile(2, newDeclaration(api.VersionWithdrawn)))
		h.router.Config.Confirm(2, time.Now())
	}
	t.Run("before the first attempt", func(t *testing.T) {
		runWithHarness(t, func(t *testing.T, h *harness) {
			withdraw(h)
			got := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
			if got.problem == nil || got.problem.Outcome != api.OutcomeNotRun || len(h.engine.attempts) != 0 {
				t.Fatalf("problem %v, want not_run; %d attempts, want 0", got.problem, len(h.engine.attempts))
			}
		})
	})
	t.Run("before a resume", func(t *testing.T) {
		runWithHarness(t, func(t *testing.T, h *harness) {
			h.engine.scripts[smallV1] = []attemptScript{{cutAfter: 2, onChunk: func(sequence int64) {
				if sequence == 2 {
					withdraw(h)
				}
			}}}
			got := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
			if got.endReceived || got.problem == nil || got.problem.Outcome != api.OutcomeUnknown || len(h.engine.attempts) != 1 {
				t.Fatalf("end marker %v, problem %v, want unknown; %d attempts, want 1", got.endReceived, got.problem, len(h.engine.attempts))
			}
		})
	})
}

// addChainRatings adds ratings by which confident answers of the small version are good and its other answers bad, so that a
// chain from the small to the large version is the cheapest choice.
func addChainRatings(h *harness) {
	var samples []cascade.Sample
	for range 600 { // Above 500 ratings only few requests explore.
		samples = append(samples,
			cascade.Sample{Key: cascade.Key{Class: "check", Version: smallV1}, Score: 0.95, Confidence: 0.9},
			cascade.Sample{Key: cascade.Key{Class: "check", Version: smallV1}, Score: 0.05, Confidence: 0.2},
			cascade.Sample{Key: cascade.Key{Class: "check", Version: largeV1}, Score: 0.95, Confidence: 0.9},
			cascade.Sample{Key: cascade.Key{Class: "check", Version: largeV1, EscalatedFrom: smallV1}, Score: 0.95, Confidence: 0.2})
	}
	h.qualityTable.AddRatings(samples)
}

// requireChain installs a configuration whose quality target only the chain or the large version meets.
func requireChain(h *harness) {
	doc := newDeclaration(api.VersionServing)
	doc.Classes[0].Target.Quality = 0.85
	h.router.Config.Install(declaration.Compile(2, doc))
	h.router.Config.Confirm(2, time.Now())
}

// Guards against a first answer of low confidence that reaches the caller, and against two bills for one chain.
func TestWeakFirstAnswerEscalates(t *testing.T) {
	for _, streamed := range []bool{false, true} {
		runWithHarness(t, func(t *testing.T, h *harness) {
			addChainRatings(h)
			requireChain(h)
			h.engine.logprobs[smallV1] = lowLogprob
			got := h.submit(t, func(r *ModelRequest) { r.Body.Stream = streamed })
			if got.problem != nil || got.text != completeText(largeV1, 5) || got.version != largeV1 {
				t.Fatalf("answer %q of %s, problem %v; want the answer of the large version", got.text, got.version, got.problem)
			}
			if len(h.ledger.bills) != 1 || len(h.ledger.bills[0].Lines) != 2 {
				t.Errorf("bills %+v, want one bill with two lines", h.ledger.bills)
			}
		})
	}
}

// Guards against running the second step although the first answer is confident.
func TestConfidentFirstAnswerIsEnough(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		addChainRatings(h)
		requireChain(h)
		h.engine.logprobs[smallV1] = highLogprob
		got := h.submit(t, nil)
		if got.problem != nil || got.text != completeText(smallV1, 5) {
			t.Fatalf("answer %q, problem %v; want the answer of the small version", got.text, got.problem)
		}
		if diff := cmp.Diff([]declaration.VersionID{smallV1}, h.engine.versions()); diff != "" {
			t.Errorf("versions of the attempts (-want +got):\n%s", diff)
		}
	})
}

// Guards against an end marker that is sent although the bill is not durable.
func TestNoEndWithoutDurableBill(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.ledger.commitErr = errors.New("store unavailable")
		got := h.submit(t, nil)
		if got.endReceived || got.problem == nil || got.problem.Code != fault.CodeBillNotDurable {
			t.Fatalf("end marker %v, problem %v; want bill_not_durable and no end marker", got.endReceived, got.problem)
		}
	})
}

// Guards against the outcome not_run after a request was sent to an engine, and against unknown if nothing was sent.
func TestOutcomeOfFailedRequests(t *testing.T) {
	cases := []struct {
		name   string
		script attemptScript
		want   api.Outcome
	}{
		{"nothing sent", attemptScript{refuse: true}, api.OutcomeNotRun},
		{"server error", attemptScript{status: 500}, api.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runWithHarness(t, func(t *testing.T, h *harness) {
				for range 10 {
					h.engine.scripts[smallV1] = append(h.engine.scripts[smallV1], c.script)
				}
				got := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
				if got.problem == nil || got.problem.Outcome != c.want {
					t.Fatalf("problem %v, want outcome %s", got.problem, c.want)
				}
			})
		})
	}
}

// Guards against a session that changes its version, and against one that keeps using a withdrawn version.
func TestSessionStaysOrIsRefused(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		firstResult := h.submit(t, func(r *ModelRequest) { r.Model = "small" })
		secondResult := h.submit(t, func(r *ModelRequest) { r.Model, r.Session = "small", firstResult.session })
		if secondResult.problem != nil || secondResult.version != firstResult.version {
			t.Fatalf("second request ran on %s, problem %v; want the version of the first", secondResult.version, secondResult.problem)
		}
		h.router.Config.Install(declaration.Compile(2, newDeclaration(api.VersionWithdrawn)))
		h.router.Config.Confirm(2, time.Now())
		refusedResult := h.submit(t, func(r *ModelRequest) { r.Model, r.Session = "small", firstResult.session })
		if refusedResult.problem == nil || refusedResult.problem.Outcome != api.OutcomeNotRun || refusedResult.problem.Advice == "" {
			t.Fatalf("problem %v, want outcome not_run with advice", refusedResult.problem)
		}
	})
}

// Guards against a new session that is pinned to a version held because of bad ratings while another version serves.
func TestNewSessionAvoidsHeldVersion(t *testing.T) {
	runWithHarness(t, func(t *testing.T, h *harness) {
		h.router.Config.HoldVersion(smallV1, "ratings fell")
		got := h.submit(t, nil)
		if got.problem != nil || got.version != largeV1 {
			t.Fatalf("ran on %s, problem %v; want the large version", got.version, got.problem)
		}
	})
}
