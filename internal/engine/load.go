package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// maxLoadHeaderBytes bounds the value of the load header. Each loaded version takes about 60 bytes.
const maxLoadHeaderBytes = 16 << 10

// LoadReport is an engine's load report with the time of its measurement, by this instance's clock.
type LoadReport struct {
	Load       api.EngineLoad
	MeasuredAt time.Time
}

// newLoadReport computes the measurement time of a report from its age and the time of receipt. It returns nil if the report
// holds a negative value.
func newLoadReport(load api.EngineLoad, receivedAt time.Time) *LoadReport {
	if load.AgeMillis < 0 || load.Running < 0 || load.Queued < 0 || load.Capacity < 0 {
		return nil
	}
	return &LoadReport{Load: load, MeasuredAt: receivedAt.Add(-time.Duration(load.AgeMillis) * time.Millisecond)}
}

// parseLoadHeader decodes the load header. It returns nil if the header is missing, too long or invalid.
func parseLoadHeader(header http.Header, receivedAt time.Time) *LoadReport {
	text := header.Get(HeaderLoad)
	if text == "" || len(text) > maxLoadHeaderBytes {
		return nil
	}
	var load api.EngineLoad
	if err := json.Unmarshal([]byte(text), &load); err != nil {
		return nil
	}
	return newLoadReport(load, receivedAt)
}
