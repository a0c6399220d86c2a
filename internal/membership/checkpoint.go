package membership

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	// checkpointKey is the row that holds the registrations after a row of the log. It sorts outside of the log's prefix.
	checkpointKey = "membership/checkpoint"
	// checkpointRows is the number of log rows after which the checkpoint is written anew. At 570 restarts a day the log
	// grows by 1,140 rows, so that a start reads at most three ranges whatever the age of the log.
	checkpointRows = 1000
)

// loadCheckpoint starts an empty table from the checkpoint. Without one the log is read from its beginning.
func (s *Service) loadCheckpoint(ctx context.Context) {
	set, _, ok := s.readCheckpoint(ctx)
	if ok && s.opts.Peers.LastSequence() == 0 {
		s.take(set)
	}
}

func (s *Service) readCheckpoint(ctx context.Context) (set api.RegistrationSet, version int64, ok bool) {
	row, err := s.opts.Table.Get(ctx, checkpointKey)
	if err != nil {
		return set, 0, false
	}
	if err := json.Unmarshal(row.Value, &set); err != nil {
		s.opts.Log.Warn("the registration checkpoint cannot be read", "error", err.Error())
		return set, row.Version, false
	}
	return set, row.Version, true
}

// saveCheckpoint writes the checkpoint if it is far behind. Its loss costs later starts more reads and nothing else, so a
// write that fails or loses a race is not repeated.
func (s *Service) saveCheckpoint(ctx context.Context) {
	if s.opts.Peers.LastSequence() < checkpointRows {
		return
	}
	old, version, ok := s.readCheckpoint(ctx)
	if ok && s.opts.Peers.LastSequence() < old.LastSequence+checkpointRows {
		return
	}
	set := s.Registrations(0)
	set.Instances = slices.DeleteFunc(set.Instances, func(entry api.RegisteredInstance) bool { return entry.LeftSequence != 0 })
	value, err := json.Marshal(set)
	if err != nil {
		return
	}
	cond := platform.IfAbsent()
	if version != 0 {
		cond = platform.IfVersion(version)
	}
	if _, err := s.opts.Table.Put(ctx, checkpointKey, value, cond); err != nil {
		s.opts.Log.Debug("registration checkpoint not written", "error", err.Error())
	}
}
