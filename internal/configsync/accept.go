package configsync

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/quorum"
)

// acceptPoll is the interval at which a waiting change looks at the acknowledgements.
const acceptPoll = 250 * time.Millisecond

// await waits until the revision is accepted or the context ends.
func (s *Syncer) await(ctx context.Context, revision int64) api.ApplyResponse {
	s.opts.Trigger(DutyPoll)
	ticker := time.NewTicker(acceptPoll)
	defer ticker.Stop()
	acceptance := quorum.Acceptance{Revision: revision, Bound: s.opts.Bound}
	members := func() []quorum.Member { return s.opts.Peers.QuorumView().Members }
	read := func() bool { return s.opts.Registrations(ctx) == nil }
	registrationsRead := false
	for {
		// The rule holds for the instances registered when the revision was committed.
		registrationsRead = registrationsRead || read()
		accepted, verdict := false, quorum.Required(members(), revision)
		if registrationsRead {
			accepted, verdict = acceptance.Check(time.Now(), members, read)
		}
		if accepted {
			return api.ApplyResponse{State: api.ApplyAccepted, Revision: revision, NotInForce: s.names(verdict.Missing)}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return api.ApplyResponse{
				State: api.ApplyPending, Revision: revision, NotInForce: s.names(verdict.Missing),
				Detail: "committed and not undone; it stays pending until the named instances acknowledge or leave. See config status",
			}
		}
	}
}

func (s *Syncer) names(sequences []int64) []string {
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

// Status returns the revision in force here and what is known of every registered instance.
func (s *Syncer) Status() api.ConfigStatus {
	now := time.Now()
	self, _ := s.opts.Peers.Self()
	status := api.ConfigStatus{Revision: s.opts.Config.Revision(), Instances: []api.InstanceRevision{}}
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		age := int64(-1)
		if peer.Sequence == self {
			age = 0
		} else if !peer.Heard.IsZero() {
			age = now.Sub(peer.Heard).Milliseconds()
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
