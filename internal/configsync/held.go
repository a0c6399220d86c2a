package configsync

import (
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/membership"
)

// revisionTable holds the document in force, and the newest revision that a peer reported with the address of that peer. It
// is safe for concurrent use.
type revisionTable struct {
	mu               *lockorder.Mutex
	inForce          api.RevisionDocument
	reportedRevision int64
	reporter         membership.Address
}

func newRevisionTable() *revisionTable {
	return &revisionTable{mu: lockorder.New(lockorder.RankConfiguration)}
}

// setInForce replaces the document in force unless it has the same or a newer revision.
func (t *revisionTable) setInForce(doc api.RevisionDocument) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if doc.Revision > t.inForce.Revision {
		t.inForce = doc
	}
}

func (t *revisionTable) documentInForce() api.RevisionDocument {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inForce
}

// setReported records a reported revision unless a newer one was reported before.
func (t *revisionTable) setReported(revision int64, peer membership.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision >= t.reportedRevision {
		t.reportedRevision, t.reporter = revision, peer
	}
}

// newestReported returns the newest reported revision and the address of the peer that reported it.
func (t *revisionTable) newestReported() (int64, membership.Address) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reportedRevision, t.reporter
}
