package serverload

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// BenchmarkRelay measures what a relay does for one report, encoding aside, and reports the bytes of the messages before compression.
func BenchmarkRelay(b *testing.B) {
	for _, size := range []struct{ instances, servers, used int }{{80, 140, 8}, {410, 1100, 25}} {
		b.Run(fmt.Sprintf("%d instances %d servers", size.instances, size.servers), func(b *testing.B) {
			now := time.Now()
			l := newLedger(now)
			var reports [][]item
			for n := range size.instances {
				own := map[string]Usage{}
				for k := range size.used {
					own[fmt.Sprintf("server-%04d", (n*size.servers/size.instances+k*37)%size.servers)] = Usage{
						Running: 1 + k%3, Streaming: k % 2, PendingWork: int64(n*k) * 13, SpeedSamples: k % 2, LogSlowdownSum: 0.3 * float64(k%2)}
				}
				reports = append(reports, ownItems(own))
				l.putReport(fmt.Sprint(n), 0, reports[n], now)
			}
			l.updateSpeeds(now)
			var view api.GatewayLoads
			sequence := int64(0)
			b.ReportAllocs()
			for b.Loop() {
				sequence++
				n := int(sequence) % size.instances
				l.putReport(fmt.Sprint(n), sequence, reports[n], now)
				l.expire(now)
				view.AgeMillis = l.age(now).Milliseconds()
				l.encodeView(&view, fmt.Sprint(n), l.list)
			}
			b.ReportMetric(bytesOf(b, encodeReport(reports[0])), "report-B")
			sums, _ := l.encodeSums(l.list, false)
			b.ReportMetric(bytesOf(b, sums), "sums-B")
			b.ReportMetric(bytesOf(b, view), "view-B")
		})
	}
}

func bytesOf(b *testing.B, message any) float64 {
	body, err := json.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(body))
}
