package configsync

import (
	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/membership"
)

// held is the table of the document in force and of the newest revision that a peer reported.
type held struct {
	mu     *lockorder.Mutex
	doc    api.RevisionDocument
	wanted int64
	holder membership.Address
}

func newHeld() *held { return &held{mu: lockorder.New(lockorder.RankConfiguration)} }

func (h *held) keep(doc api.RevisionDocument) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Revision > h.doc.Revision {
		h.doc = doc
	}
}

func (h *held) current() api.RevisionDocument {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.doc
}

func (h *held) want(revision int64, peer membership.Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision >= h.wanted {
		h.wanted, h.holder = revision, peer
	}
}

func (h *held) wantedFrom() (int64, membership.Address) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wanted, h.holder
}
