package engine

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
)

// maxSamples bounds the load history.
const maxSamples = 8192

type loadSample struct {
	at              time.Time
	running, queued int
}

// loadTable remembers the recent load, so that reports can lag.
type loadTable struct {
	mu      *lockorder.Mutex
	samples []loadSample
}

func newLoadTable() *loadTable { return &loadTable{mu: lockorder.New(lockorder.RankStandin)} }

func (t *loadTable) record(running, queued int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.samples = append(t.samples, loadSample{at: now, running: running, queued: queued})
	if len(t.samples) > maxSamples {
		t.samples = append([]loadSample(nil), t.samples[len(t.samples)/2:]...)
	}
}

// at returns the load that held at the given time.
func (t *loadTable) at(when time.Time) loadSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := len(t.samples) - 1; i >= 0; i-- {
		if !t.samples[i].at.After(when) {
			return t.samples[i]
		}
	}
	return loadSample{}
}

// load returns the lagging report. Draining and versions are current.
func (s *Server) load(now time.Time) api.EngineLoad {
	settings := s.state.getSettings()
	sample := s.loads.at(now.Add(-time.Duration(settings.LoadLagMillis) * time.Millisecond))
	return api.EngineLoad{
		Running:   sample.running,
		Queued:    sample.queued,
		Capacity:  s.batch,
		KvUse:     s.cache.share(),
		AgeMillis: settings.LoadLagMillis,
		Draining:  settings.Draining,
		Versions:  s.state.loadedVersions(now),
	}
}

func (s *Server) recordLoad() {
	running, queued := s.queue.sizes()
	s.loads.record(running, queued, time.Now())
}
