package configsync

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/quorum"
)

// acceptancePollInterval is the interval at which the acknowledgements of a committed revision are checked.
const acceptancePollInterval = 250 * time.Millisecond

// awaitAcceptance waits until the revision is accepted or the context ends.
func (s *Syncer) awaitAcceptance(ctx context.Context, revision int64) api.ApplyResponse {
	s.opts.TriggerDuty(DutyPoll)
	ticker := time.NewTicker(acceptancePollInterval)
	defer ticker.Stop()
	acceptance := quorum.Acceptance{Revision: revision, FreshnessBound: s.opts.FreshnessBound}
	members := func() []quorum.Member { return s.opts.Peers.QuorumView().Members }
	readRegistrations := func() bool { return s.opts.ReadRegistrations(ctx) == nil }
	registrationsRead := false
	for {
		// Acceptance depends on the instances that were registered when the revision was committed.
		registrationsRead = registrationsRead || readRegistrations()
		accepted, verdict := false, quorum.CheckMajorities(members(), revision)
		if registrationsRead {
			accepted, verdict = acceptance.Check(time.Now(), members, readRegistrations)
		}
		if accepted {
			return api.ApplyResponse{State: api.ApplyAccepted, Revision: revision, NotInForce: s.instanceNames(verdict.Unacknowledged)}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return api.ApplyResponse{
				State: api.ApplyPending, Revision: revision, NotInForce: s.instanceNames(verdict.Unacknowledged),
				Detail: "the change is committed and is not undone; it stays pending until the named instances acknowledge it or leave. See config status",
			}
		}
	}
}

// instanceNames returns the names of the registered instances with these registration sequence numbers.
func (s *Syncer) instanceNames(sequences []int64) []string {
	missing := map[int64]bool{}
	for _, sequence := range sequences {
		missing[sequence] = true
	}
	var names []string
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if missing[peer.Sequence] {
			names = append(names, peer.Registration.Name)
		}
	}
	return names
}

// Status returns the revision in force at this instance, and the last reported revision of every registered instance with
// the age of the report.
func (s *Syncer) Status() api.ConfigStatus {
	now := time.Now()
	self, _ := s.opts.Peers.Self()
	status := api.ConfigStatus{Revision: s.opts.Config.Revision(), Instances: []api.InstanceRevision{}}
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		age := int64(-1)
		if peer.Sequence == self {
			age = 0
		} else if !peer.HeardAt.IsZero() {
			age = now.Sub(peer.HeardAt).Milliseconds()
		}
		status.Instances = append(status.Instances, api.InstanceRevision{
			Name:             peer.Registration.Name,
			Incarnation:      peer.Registration.Incarnation,
			AvailabilityZone: peer.Registration.AvailabilityZone,
			Revision:         peer.Revision,
			AgeMillis:        age,
		})
	}
	return status
}

// Show returns the configuration in force at this instance.
func (s *Syncer) Show() (api.ConfigDocument, bool) {
	doc, ok := s.Document(0)
	if !ok {
		return api.ConfigDocument{}, false
	}
	return api.ConfigDocument{
		Revision: doc.Revision, ChangeID: doc.Record.ChangeID, Author: doc.Record.Author, Document: doc.Document,
	}, true
}
