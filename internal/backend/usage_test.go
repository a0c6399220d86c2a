package backend

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/serverload"
)

// Guards against a load that is reported after it ended, prompt work that is counted in tokens of a small model, and evidence on the speed of a
// server that is reported twice or rests on an expectation that says nothing.
func TestUsagesFollowAttempts(t *testing.T) {
	d := NewDirectory()
	d.Replace([]Entry{entry("a"), entry("idle")}, 0, now)
	query := Query{Service: "desk", Model: "m", WorkWeight: 0.5, ExpectedPrefill: 100 * time.Millisecond,
		Prompt: []PromptPart{{ID: "shared", Tokens: 400}, {ID: "own", Tokens: 200}}, CachedTokens: 400}
	attempt, _ := d.Begin("a", query, now)
	query.ExpectedPrefill = minSpeedEvidence - 1
	short, _ := d.Begin("a", query, now)
	check := func(step string, want map[string]serverload.Usage) {
		t.Helper()
		if diff := cmp.Diff(want, d.Usages()); diff != "" {
			t.Errorf("%s: %s", step, diff)
		}
	}
	check("sent", map[string]serverload.Usage{"a": {Running: 2, PendingWork: 200}})
	attempt.RecordPrefill(now.Add(100 * time.Millisecond))
	short.RecordPrefill(now.Add(time.Second))
	check("streaming", map[string]serverload.Usage{"a": {Running: 2, Streaming: 2, SpeedSamples: 1}})
	attempt.End(ResultSuccess, now.Add(time.Second))
	check("one has ended", map[string]serverload.Usage{"a": {Running: 1, Streaming: 1}})
	short.End(ResultFailure, now.Add(time.Second))
	check("all have ended", map[string]serverload.Usage{})
}
