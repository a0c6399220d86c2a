package exchange

import (
	"maps"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/coldstart"
)

const (
	// memberTime is how long an instance counts as a member after it was last reachable. Partitions are shorter, so an instance that reaches
	// no other one does not take over what the others own.
	memberTime = 60 * time.Second
	// absenceRetention is how long the loss of an instance is remembered, so that a peer that still lists it does not make it a member again.
	absenceRetention = 10 * time.Minute
)

// absence is the loss of a process that does not answer.
type absence struct {
	since       time.Time
	incarnation string
}

// Members returns the instances among which owners are chosen, including this one; nil as long as no list of all instances has been read.
func (e *Exchange) Members() *coldstart.Members {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members
}

// recordContact records that the process of a peer is there: it answered or sent a query.
func (e *Exchange) recordContact(address string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, absent := e.absent[address]; absent {
		delete(e.absent, address)
		e.updateMembers(now)
	}
}

// recordAbsence records that a known peer does not answer. The caller holds the lock.
func (e *Exchange) recordAbsence(address string, now time.Time) {
	peer, known := e.peers[address]
	if _, absent := e.absent[address]; known && !absent {
		e.absent[address] = absence{since: now, incarnation: peer.Incarnation}
	}
}

// updateMembers derives the members from the peers and the absent ones, and keeps the pointer if they are the same. The caller holds the
// lock.
func (e *Exchange) updateMembers(now time.Time) {
	if !e.membersKnown || e.Identity.PeerAddress == "" {
		// Peers cannot know an instance without an address, and so not leave its share to it.
		return
	}
	maps.DeleteFunc(e.absent, func(_ string, a absence) bool { return now.Sub(a.since) > absenceRetention })
	addresses := []string{e.Identity.PeerAddress}
	for address := range e.peers {
		if _, absent := e.absent[address]; !absent {
			addresses = append(addresses, address)
		}
	}
	for address, a := range e.absent {
		if now.Sub(a.since) <= memberTime {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	if e.members == nil || !slices.Equal(e.members.Addresses, addresses) {
		e.members = &coldstart.Members{Addresses: addresses}
	}
}
