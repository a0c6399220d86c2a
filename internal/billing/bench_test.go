package billing

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkFullBuffer measures the memory of a full buffer, which counts against the limit of 256 MB per node.
func BenchmarkFullBuffer(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		buffer := newBuffer(defaultCapacity)
		for i := range defaultCapacity {
			id := Identity("organisation", "", fmt.Sprintf("request-%032d", i))
			buffer.add(bill(id), time.Unix(0, 0))
			if i%100 == 99 {
				buffer.seal()
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/defaultCapacity, "heap-B/bill")
		runtime.KeepAlive(buffer)
	}
}
