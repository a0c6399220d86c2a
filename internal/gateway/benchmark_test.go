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

// fixedBackends answers every attempt alike.
type fixedBackends struct{ action serverAction }

func (a fixedBackends) Send(ctx context.Context, _ Attempt) (*Reply, error) {
	return &Reply{Verdict: a.action.verdict, Confidence: a.action.confidence, IsEventStream: a.action.events != nil,
		Body: &scriptedBody{ctx: ctx, action: a.action}}, nil
}

// BenchmarkRequest measures the processor time of one request between decoding and encoding, for three numbers of servers, with and
// without the log lines of each decision. docs/measurements/platform.md has the figures.
func BenchmarkRequest(b *testing.B) {
	prompt := []backend.PromptPart{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 410}, {ID: "e4402b7d", Tokens: 250}}
	for _, servers := range []int{16, 94, 240} {
		for _, level := range []slog.Level{slog.LevelInfo, slog.LevelError} {
			for path, backends := range map[string]fixedBackends{
				"/look/": {serverAction{body: "x"}}, "/chat/": {serverAction{confidence: 90, events: []int{1, 2, 3, 4, 5, 6, 7, 8}}},
			} {
				b.Run(fmt.Sprintf("servers=%d/log=%s/%s", servers, level, path[1:5]), func(b *testing.B) {
					out := telemetry.NewAsyncWriter(io.Discard)
					defer out.Flush()
					g := newGateway(servers, backends, telemetry.NewLogger(out, "i", level))
					defer g.Stop()
					b.ReportAllocs()
					for b.Loop() {
						g.Serve(context.Background(), &Request{
							ID: "r", Host: "h", Path: path + "x", Key: "key", AnyModel: true, Model: "*", Prompt: prompt, Arrived: time.Now(),
						}, &recordingCaller{})
					}
				})
			}
		}
	}
}
