package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/backend"
	"github.com/cicadawall/cicadawall/internal/telemetry"
)

// answering serves each attempt with the same answer.
type answering struct{ act act }

func (a answering) Send(context.Context, Attempt) (*Reply, error) {
	return &Reply{Verdict: a.act.verdict, Confidence: a.act.confidence, Events: a.act.events != nil, Body: &body{act: a.act}}, nil
}

// BenchmarkRequest measures the processor time of one request between decoding and encoding, for fleets of two sizes, with the lines
// of each decision and without. docs/measurements/platform.md has the figures.
func BenchmarkRequest(b *testing.B) {
	prompt := []backend.Part{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}, {ID: "e4402b7d", Tokens: 250}}
	for _, servers := range []int{16, 94} {
		for _, level := range []slog.Level{slog.LevelInfo, slog.LevelError} {
			for path, asked := range map[string]answering{
				"/look/": {act{body: "x"}}, "/chat/": {act{confidence: 90, events: []int{1, 2, 3, 4, 5, 6, 7, 8}}},
			} {
				b.Run(fmt.Sprintf("servers=%d/log=%s/%s", servers, level, path[1:5]), func(b *testing.B) {
					out := telemetry.NewAsyncWriter(io.Discard)
					defer out.Flush()
					g := newGateway(servers, asked, telemetry.NewLogger(out, "i", level))
					defer g.Stop()
					b.ReportAllocs()
					for b.Loop() {
						g.Serve(context.Background(), &Request{
							ID: "r", Host: "h", Path: path + "x", Key: "key", AnyModel: true, Model: "*", Prompt: prompt, Arrived: time.Now(),
						}, &caller{})
					}
				})
			}
		}
	}
}
