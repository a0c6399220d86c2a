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
	state := acceptance{syncer: s, revision: revision}
	for {
		accepted, missing := state.check(ctx)
		if accepted {
			return api.ApplyResponse{State: api.ApplyAccepted, Revision: revision, NotInForce: s.names(missing)}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return api.ApplyResponse{
				State: api.ApplyPending, Revision: revision, NotInForce: s.names(missing),
				Detail: "committed and not undone; it stays pending until the named instances acknowledge or leave. See config status",
			}
		}
	}
}

// acceptance is the state of one wait for a revision's acceptance.
//
// A revision is accepted twice the bound after the required majorities hold; by then a report or a store confirmation from
// before that moment no longer counts at any instance. Where every registered instance has acknowledged, and a read of the
// registration log that began after that shows no other, the bound itself is enough: only an instance that is not in the
// log and adopted the older revision from peers may still serve it, by reports from before the last acknowledgement.
type acceptance struct {
	syncer   *Syncer
	revision int64
	// read holds once the registration log was read after the commit.
	read bool
	// satisfied is the time since when the required majorities hold, complete that since when all instances acknowledged.
	satisfied, complete time.Time
}

// check reports whether the revision is accepted now, and which registered instances have not acknowledged it.
func (a *acceptance) check(ctx context.Context) (accepted bool, missing []int64) {
	if !a.read {
		// The rule holds for the instances registered when the revision was committed.
		a.read = a.syncer.opts.Registrations(ctx) == nil
	}
	verdict := a.verdict()
	if !a.read || !verdict.Satisfied {
		return false, verdict.Missing
	}
	now := time.Now()
	if a.satisfied.IsZero() {
		a.satisfied = now
	}
	if len(verdict.Missing) == 0 && a.complete.IsZero() && a.syncer.opts.Registrations(ctx) == nil {
		if verdict = a.verdict(); len(verdict.Missing) == 0 {
			a.complete = now
		}
	}
	bound := a.syncer.opts.Bound
	all := len(verdict.Missing) == 0 && !a.complete.IsZero() && now.Sub(a.complete) > bound
	return verdict.Satisfied && (all || now.Sub(a.satisfied) >= 2*bound), verdict.Missing
}

func (a *acceptance) verdict() quorum.Verdict {
	return quorum.Required(a.syncer.opts.Peers.View().Members, a.revision)
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
