package configsync

import (
	"context"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/quorum"
)

// acceptPoll is the interval at which a waiting change looks at the acknowledgements.
const acceptPoll = 250 * time.Millisecond

// await waits until the revision is accepted or the context ends. A revision is accepted at once when every registered
// instance has acknowledged it, else twice the bound after the required majorities have; by then a report or a store
// confirmation from before that moment no longer counts at any instance.
func (s *Syncer) await(ctx context.Context, revision int64) api.ApplyResponse {
	s.opts.Trigger(DutyPoll)
	ticker := time.NewTicker(acceptPoll)
	defer ticker.Stop()
	var satisfied time.Time
	registrationsRead := false
	for {
		if !registrationsRead {
			// The rule holds for the instances registered when the revision was committed.
			registrationsRead = s.opts.Registrations(ctx) == nil
		}
		view := s.opts.Peers.View()
		verdict := quorum.Required(view.Members, revision)
		now := time.Now()
		switch {
		case !registrationsRead || !verdict.Satisfied:
		case len(verdict.Missing) == 0:
			return api.ApplyResponse{State: api.ApplyAccepted, Revision: revision}
		case satisfied.IsZero():
			satisfied = now
		case now.Sub(satisfied) >= 2*s.opts.Bound:
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
	for _, peer := range s.opts.Peers.Live() {
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
	for _, peer := range s.opts.Peers.Live() {
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
