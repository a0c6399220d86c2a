package backend

import (
	"math"
	"time"

	"github.com/cicadawall/cicadawall/internal/serverload"
)

const (
	// minSpeedEvidence is the shortest expected prefill that says something about the speed of a server; network and scheduling delays
	// dominate shorter ones.
	minSpeedEvidence = 50 * time.Millisecond
	// maxLogSlowdown bounds the weight of one observation, which may contain an unknown queue.
	maxLogSlowdown = 1.5
)

// speedEvidence is the evidence on the speed of a server since it was last reported.
type speedEvidence struct {
	samples int
	logSum  float64
}

// record compares the time to the first event with the expected one.
func (s *speedEvidence) record(observed, expected time.Duration) {
	if expected < minSpeedEvidence || observed <= 0 {
		return
	}
	s.samples++
	s.logSum += max(-maxLogSlowdown, min(maxLogSlowdown, math.Log(float64(observed)/float64(expected))))
}

// Usages returns this instance's use of each server that has requests or new evidence on its speed. The evidence is returned once.
func (d *Directory) Usages() map[string]serverload.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	usages := map[string]serverload.Usage{}
	for id, r := range d.rows {
		if r.inFlight == 0 && r.speed.samples == 0 {
			continue
		}
		usages[id] = serverload.Usage{
			Running: r.inFlight, Streaming: r.streaming, PendingWork: max(0, r.pendingWork),
			SpeedSamples: r.speed.samples, LogSlowdownSum: r.speed.logSum,
		}
		r.speed = speedEvidence{}
	}
	return usages
}
