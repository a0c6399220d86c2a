package membership

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	// checkpointKey is the row that holds a snapshot of the registrations as of one row of the registration log. The key
	// lies outside the log's key prefix, so range reads of the log skip it.
	checkpointKey = "membership/checkpoint"
	// checkpointIntervalRows is the number of log rows after which the checkpoint is rewritten. At 570 restarts a day the
	// log grows by 1,140 rows, so that a starting instance reads at most three ranges however old the log is.
	checkpointIntervalRows = 1000
)

// loadCheckpoint fills an empty table from the checkpoint. Without a checkpoint the log is read from its beginning.
func (s *Service) loadCheckpoint(ctx context.Context) {
	set, _, ok := s.readCheckpoint(ctx)
	if ok && s.opts.Peers.LastSequence() == 0 {
		s.applySet(set)
	}
}

func (s *Service) readCheckpoint(ctx context.Context) (set api.RegistrationSet, version int64, ok bool) {
	row, err := s.opts.Table.Get(ctx, checkpointKey)
	if err != nil {
		return set, 0, false
	}
	if err := json.Unmarshal(row.Value, &set); err != nil {
		s.opts.Log.Warn("registration checkpoint could not be decoded", "error", err.Error())
		return set, row.Version, false
	}
	return set, row.Version, true
}

// saveCheckpoint rewrites the checkpoint if it is at least checkpointIntervalRows behind the log. A missing or old
// checkpoint only costs later starts more reads, so a write that fails or loses a race is not retried.
func (s *Service) saveCheckpoint(ctx context.Context) {
	if s.opts.Peers.LastSequence() < checkpointIntervalRows {
		return
	}
	saved, version, ok := s.readCheckpoint(ctx)
	if ok && s.opts.Peers.LastSequence() < saved.LastSequence+checkpointIntervalRows {
		return
	}
	set := s.Registrations(0)
	set.Instances = slices.DeleteFunc(set.Instances, func(entry api.RegisteredInstance) bool { return entry.LeftSequence != 0 })
	value, err := json.Marshal(set)
	if err != nil {
		return
	}
	condition := platform.IfAbsent()
	if version != 0 {
		condition = platform.IfVersion(version)
	}
	if _, err := s.opts.Table.Put(ctx, checkpointKey, value, condition); err != nil {
		s.opts.Log.Debug("registration checkpoint could not be written", "error", err.Error())
	}
}
