package engine

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
)

// maxSamples bounds the load history.
const maxSamples = 8192

type loadSample struct {
	at              time.Time
	running, queued int
}

// loadHistory remembers the recent load, so that reports can lag. It is part of the queue table and guarded by its lock, so
// that the samples are in the order of the changes.
type loadHistory struct{ samples []loadSample }

func (h *loadHistory) record(running, queued int, now time.Time) {
	h.samples = append(h.samples, loadSample{at: now, running: running, queued: queued})
	if len(h.samples) > maxSamples {
		h.samples = append([]loadSample(nil), h.samples[len(h.samples)/2:]...)
	}
}

// at returns the load that held at the given time.
func (h *loadHistory) at(when time.Time) loadSample {
	for i := len(h.samples) - 1; i >= 0; i-- {
		if !h.samples[i].at.After(when) {
			return h.samples[i]
		}
	}
	return loadSample{}
}

// load returns the lagging report. Draining and versions are current.
func (s *Server) load(now time.Time) api.EngineLoad {
	settings := s.state.getSettings()
	sample := s.queue.loadAt(now.Add(-time.Duration(settings.LoadLagMillis) * time.Millisecond))
	return api.EngineLoad{
		Running:      sample.running,
		Queued:       sample.queued,
		Capacity:     s.batch,
		KvCacheUsage: s.cache.share(),
		AgeMillis:    settings.LoadLagMillis,
		Draining:     settings.Draining,
		Slots:        settings.Slots,
		Versions:     s.state.loadedVersions(now),
		Loading:      s.state.loadingVersions(now),
	}
}
