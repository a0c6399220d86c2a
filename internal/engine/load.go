package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// maxLoadBytes bounds the load header. One loaded version takes about 60 bytes.
const maxLoadBytes = 16 << 10

// LoadReport is a load report with the time at which it held, by this instance's clock.
type LoadReport struct {
	Load api.EngineLoad
	At   time.Time
}

// newLoadReport dates a report that arrived at the given time. Negative values make it unusable.
func newLoadReport(load api.EngineLoad, now time.Time) *LoadReport {
	if load.AgeMillis < 0 || load.Running < 0 || load.Queued < 0 || load.Capacity < 0 {
		return nil
	}
	return &LoadReport{Load: load, At: now.Add(-time.Duration(load.AgeMillis) * time.Millisecond)}
}

// readLoad reads the load header; it returns nil if there is none that can be used.
func readLoad(header http.Header, now time.Time) *LoadReport {
	text := header.Get(HeaderLoad)
	if text == "" || len(text) > maxLoadBytes {
		return nil
	}
	var load api.EngineLoad
	if err := json.Unmarshal([]byte(text), &load); err != nil {
		return nil
	}
	return newLoadReport(load, now)
}
