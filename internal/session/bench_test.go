package session

import (
	"strings"
	"testing"
	"time"
)

// BenchmarkVerify measures the time to verify a session handle, which is spent on the request path, and the size of the
// handle.
func BenchmarkVerify(b *testing.B) {
	s, err := NewSigner([]Key{{ID: "a", Secret: []byte(strings.Repeat("a", 32))}}, time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	handle, err := s.Sign("01234567-89ab-cdef-0123-456789abcdef", "organisation", NewPin(small, large), now)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, refused := s.Verify(handle, "organisation", now); refused != nil {
			b.Fatal(refused)
		}
	}
	b.ReportMetric(float64(len(handle)), "handle-B")
}
