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

// DutyQuarantine names the duty that writes quarantines as configuration changes and ends holds.
const DutyQuarantine = "quarantine"

const (
	quarantineInterval = time.Second
	// quarantineWaitMillis bounds the wait for the commit. The change need not be accepted before the duty goes on, because
	// instances hold the version already.
	quarantineWaitMillis = 2000
	quarantineTimeout    = 5 * time.Second
	// quarantineAuthor is the author of changes that the system makes.
	quarantineAuthor = "cicadawall"
)

// quarantines keeps the configuration and the holds in step.
type quarantines struct {
	instance *Instance
	// seen holds the versions that were quarantined in the last configuration looked at.
	seen map[declaration.VersionID]bool
}

func (q *quarantines) duty() worker.Duty {
	return worker.Duty{Name: DutyQuarantine, Interval: worker.Every(quarantineInterval), Timeout: quarantineTimeout, Run: q.run}
}

// run writes the quarantine of versions that this instance holds as the owner of a class, and releases versions whose
// quarantine an operator ended.
func (q *quarantines) run(ctx context.Context) error {
	snapshot := q.instance.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	q.instance.metrics.Declare(snapshot)
	q.release(snapshot)
	pending := map[declaration.VersionID]string{}
	for id, reason := range q.instance.owner.HeldVersions(ctx) {
		if snapshot.Usable(id) {
			pending[id] = reason
		}
	}
	if len(pending) == 0 {
		return nil
	}
	return q.apply(ctx, snapshot, pending)
}

// release ends the holds of versions that were quarantined before and are not any more.
func (q *quarantines) release(snapshot *declaration.Snapshot) {
	now := map[declaration.VersionID]bool{}
	for _, id := range snapshot.Versions() {
		version, _ := snapshot.Version(id)
		if version.State == api.VersionQuarantined {
			now[id] = true
		}
	}
	for id := range q.seen {
		if !now[id] {
			q.instance.owner.ReleaseVersion(id)
			q.instance.config.ReleaseVersion(id)
			q.instance.log.Info("quarantine ended by a configuration change", "version", id.String())
		}
	}
	q.seen = now
}

func (q *quarantines) apply(ctx context.Context, snapshot *declaration.Snapshot, pending map[declaration.VersionID]string) error {
	document, err := quarantined(snapshot.Document, pending)
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
		q.instance.log.Warn("quarantine written", "revision", response.Revision, "versions", len(pending))
		return nil
	case api.ApplyConflict:
		return errors.Errorf("quarantine: revision %d was taken by %s; it is tried again", response.ConflictRevision, response.ConflictAuthor)
	}
	return errors.Errorf("quarantine: the change ended as %s; it is tried again", response.State)
}

// quarantined returns the declaration as YAML with the versions marked. Comments of the document are not kept.
func quarantined(doc *api.Declaration, pending map[declaration.VersionID]string) (string, error) {
	changed := *doc
	changed.Models = nil
	for _, model := range doc.Models {
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
