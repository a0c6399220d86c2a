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
	if e.Relays().Small {
		return e.InstanceCount()
	}
	zones := map[string]int{e.Identity.AvailabilityZone: 1}
	for _, peer := range e.reachablePeers() {
		zones[peer.AvailabilityZone]++
	}
	count := 0
	for _, members := range zones {
		count += min(relaysPerZone, members)
	}
	return count
}

// OtherRelays returns the addresses of the relays of all availability zones except this instance; in a small fleet these are all reachable
// peers.
func (e *Exchange) OtherRelays() []string { return otherRelays(e.Identity, e.reachablePeers()) }

func otherRelays(self api.GatewayInstance, peers []api.GatewayInstance) []string {
	var addresses []string
	if 1+len(peers) <= directFleetSize {
		for _, peer := range peers {
			addresses = append(addresses, peer.PeerAddress)
		}
		return addresses
	}
	zones := map[string][]api.GatewayInstance{}
	for _, instance := range append(peers, self) {
		zones[instance.AvailabilityZone] = append(zones[instance.AvailabilityZone], instance)
	}
	for _, members := range zones {
		addresses = append(addresses, relaysOfZone(members)...)
	}
	return slices.DeleteFunc(addresses, func(address string) bool { return address == self.PeerAddress })
}

// assignRelays chooses the relays of an instance. Half of the instances of an availability zone prefer one relay, half the other one.
func assignRelays(self api.GatewayInstance, peers []api.GatewayInstance) rowfeed.Relays {
	if 1+len(peers) <= directFleetSize {
		return rowfeed.Relays{Direct: true, Small: true}
	}
	members := []api.GatewayInstance{self}
	for _, peer := range peers {
		if peer.AvailabilityZone == self.AvailabilityZone {
			members = append(members, peer)
		}
	}
	addresses := relaysOfZone(members)
	if slices.Contains(addresses, self.PeerAddress) {
		return rowfeed.Relays{Direct: true}
	}
	rendezvous.Sort(self.PeerAddress, addresses)
	return rowfeed.Relays{Addresses: addresses}
}

// relaysOfZone returns the relays among the members of an availability zone: those with the fastest links, because a relay sends each
// change to half of the others.
func relaysOfZone(members []api.GatewayInstance) []string {
	slices.SortFunc(members, func(a, b api.GatewayInstance) int {
		return cmp.Or(
			cmp.Compare(b.LinkMbps, a.LinkMbps),
			cmp.Compare(rendezvous.Weight(relayKey, b.PeerAddress), rendezvous.Weight(relayKey, a.PeerAddress)),
			cmp.Compare(a.PeerAddress, b.PeerAddress),
		)
	})
	addresses := make([]string, 0, relaysPerZone)
	for _, member := range members[:min(relaysPerZone, len(members))] {
		addresses = append(addresses, member.PeerAddress)
	}
	return addresses
}
