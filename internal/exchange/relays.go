package exchange

import (
	"cmp"
	"slices"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
)

const (
	// directFleetSize is the number of instances up to which each of them follows the store itself. A relay adds up to a second
	// until a change arrives, which only pays where many calls are saved.
	directFleetSize = 16
	// relaysPerZone is the number of instances of an availability zone that follow the store for the others; one may fail.
	relaysPerZone = 2
	// relayKey is the rendezvous key by which every instance chooses the same relays.
	relayKey = "relay"
)

// Relays returns from whom this instance reads the tables of the store.
func (e *Exchange) Relays() rowfeed.Relays { return assignRelays(e.Identity, e.reachablePeers()) }

// RelayCount returns the number of instances that follow the store.
func (e *Exchange) RelayCount() int {
	members := append(e.reachablePeers(), e.Identity)
	if len(members) <= directFleetSize {
		return len(members)
	}
	zones := map[string]bool{}
	for _, member := range members {
		zones[member.AvailabilityZone] = true
	}
	return relaysPerZone * len(zones)
}

// assignRelays chooses the relays of an instance. In each availability zone the instances with the fastest links follow the store
// for the others, because a relay sends each change to all of them. Half of the others prefer one relay, half the other one.
func assignRelays(self api.GatewayInstance, peers []api.GatewayInstance) rowfeed.Relays {
	if 1+len(peers) <= directFleetSize {
		return rowfeed.Relays{Direct: true}
	}
	zone := []api.GatewayInstance{self}
	for _, peer := range peers {
		if peer.AvailabilityZone == self.AvailabilityZone {
			zone = append(zone, peer)
		}
	}
	slices.SortFunc(zone, func(a, b api.GatewayInstance) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(rendezvous.Weight(relayKey, b.PeerAddress), rendezvous.Weight(relayKey, a.PeerAddress)),
			cmp.Compare(a.PeerAddress, b.PeerAddress),
		)
	})
	var relays rowfeed.Relays
	for _, member := range zone[:min(relaysPerZone, len(zone))] {
		if member.PeerAddress == self.PeerAddress {
			return rowfeed.Relays{Direct: true}
		}
		relays.Addresses = append(relays.Addresses, member.PeerAddress)
	}
	rendezvous.Sort(self.PeerAddress, relays.Addresses)
	return relays
}
