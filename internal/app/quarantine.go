package app

import (
	"context"
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/worker"
)

// DutyQuarantine names the duty that writes quarantines to the configuration and releases versions after their quarantine.
const DutyQuarantine = "quarantine"

const (
	quarantineInterval = time.Second
	// quarantineWaitMillis bounds the wait until the configuration change is accepted. The duty need not wait longer, because
	// instances already withhold requests from the version.
	quarantineWaitMillis = 2000
	quarantineTimeout    = 5 * time.Second
	// quarantineAuthor is the recorded author of configuration changes that an instance makes itself.
	quarantineAuthor = "cicadawall"
)

// quarantineSync synchronises the configuration with the versions on which this instance has stopped new work.
type quarantineSync struct {
	instance *Instance
	// lastQuarantined contains the versions that were quarantined in the configuration at the previous run.
	lastQuarantined map[declaration.VersionID]bool
}

func (q *quarantineSync) duty() worker.Duty {
	return worker.Duty{Name: DutyQuarantine, Interval: worker.Every(quarantineInterval), Timeout: quarantineTimeout, Run: q.run}
}

// run writes to the configuration the quarantine of each version that this instance, as the owner of a class, has put on
// hold, and releases versions whose quarantine an operator has ended.
func (q *quarantineSync) run(ctx context.Context) error {
	snapshot := q.instance.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	q.instance.metrics.Declare(snapshot)
	q.releaseEnded(snapshot)
	pending := map[declaration.VersionID]string{}
	for id, reason := range q.instance.owner.HeldVersions(ctx) {
		if snapshot.Usable(id) {
			pending[id] = reason
		}
	}
	if len(pending) == 0 {
		return nil
	}
	return q.writeQuarantines(ctx, snapshot, pending)
}

// releaseEnded releases the versions that were quarantined at the previous run and no longer are.
func (q *quarantineSync) releaseEnded(snapshot *declaration.Snapshot) {
	quarantined := map[declaration.VersionID]bool{}
	for _, id := range snapshot.Versions() {
		version, _ := snapshot.Version(id)
		if version.State == api.VersionQuarantined {
			quarantined[id] = true
		}
	}
	for id := range q.lastQuarantined {
		if !quarantined[id] {
			q.instance.owner.ReleaseVersion(id)
			q.instance.config.ReleaseVersion(id)
			q.instance.log.Info("quarantine ended by a configuration change", "version", id.String())
		}
	}
	q.lastQuarantined = quarantined
}

func (q *quarantineSync) writeQuarantines(ctx context.Context, snapshot *declaration.Snapshot, pending map[declaration.VersionID]string) error {
	document, err := markQuarantined(snapshot.Document, pending)
	if err != nil {
		return err
	}
	response := q.instance.syncer.Apply(ctx, api.ApplyRequest{
		BaseRevision: snapshot.Revision,
		ChangeID:     fmt.Sprintf("quarantine/%s/%d", q.instance.incarnation, snapshot.Revision),
		Author:       quarantineAuthor,
		Document:     document,
		WaitMillis:   quarantineWaitMillis,
	})
	switch response.State {
	case api.ApplyAccepted, api.ApplyPending:
		q.instance.log.Warn("quarantine of versions written to the configuration", "revision", response.Revision, "versions", len(pending))
		return nil
	case api.ApplyConflict:
		return errors.Errorf("write the quarantine: revision %d was written concurrently by %s; retrying", response.ConflictRevision, response.ConflictAuthor)
	}
	return errors.Errorf("write the quarantine: the configuration change ended in state %s; retrying", response.State)
}

// markQuarantined returns the declaration as YAML, with the pending versions marked as quarantined. YAML comments are lost.
func markQuarantined(document *api.Declaration, pending map[declaration.VersionID]string) (string, error) {
	changed := *document
	changed.Models = nil
	for _, model := range document.Models {
		versions := append([]api.Version(nil), model.Versions...)
		for i := range versions {
			reason, ok := pending[declaration.VersionID{Model: model.Name, Version: versions[i].Name}]
			if ok {
				versions[i].State = api.VersionQuarantined
				versions[i].QuarantineReason = reason
			}
		}
		changed.Models = append(changed.Models, api.Model{Name: model.Name, Versions: versions})
	}
	text, err := yaml.Marshal(changed)
	return string(text), errors.Wrap(err, "encode the quarantined declaration")
}
