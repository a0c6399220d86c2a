package engine

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// maxSamples limits the length of the load history.
const maxSamples = 8192

// loadSample holds the numbers of running and queued completions from a time on.
type loadSample struct {
	time            time.Time
	running, queued int
}

// loadHistory records the recent load, so that reports can be outdated by a set lag. It is part of the queue table and
// guarded by its lock, so that the samples are in the order of the changes.
type loadHistory struct{ samples []loadSample }

func (h *loadHistory) record(running, queued int, now time.Time) {
	h.samples = append(h.samples, loadSample{time: now, running: running, queued: queued})
	if len(h.samples) > maxSamples {
		h.samples = append([]loadSample(nil), h.samples[len(h.samples)/2:]...)
	}
}

// sampleAt returns the load at the given time.
func (h *loadHistory) sampleAt(when time.Time) loadSample {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].time.After(when) {
			return h.samples[i]
		}
	}
	return loadSample{}
}

// loadReport returns the load report. Running and queued requests are those of the configured lag ago; all other fields are
// current.
func (s *Server) loadReport(now time.Time) api.EngineLoad {
	settings := s.state.getSettings()
	sample := s.queue.loadAt(now.Add(-time.Duration(settings.LoadLagMillis) * time.Millisecond))
	return api.EngineLoad{
		Running:      sample.running,
		Queued:       sample.queued,
		Capacity:     s.batch,
		KvCacheUsage: s.cache.usedFraction(),
		AgeMillis:    settings.LoadLagMillis,
		Draining:     settings.Draining,
		Slots:        settings.Slots,
		Versions:     s.state.loadedVersions(now),
		Loading:      s.state.loadingVersions(now),
	}
}
