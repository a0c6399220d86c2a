package exchange

import (
	"fmt"
	"testing"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/rowfeed"
)

func fleetOf(zones, perZone int) []api.GatewayInstance {
	var fleet []api.GatewayInstance
	for i := range zones * perZone {
		fleet = append(fleet, api.GatewayInstance{
			PeerAddress: fmt.Sprint("peer-", i), AvailabilityZone: fmt.Sprint("zone-", i%zones), LinkMbps: float64(20 + 180*(i/zones%8/7)),
		})
	}
	return fleet
}

func relaysOf(fleet []api.GatewayInstance, i int) rowfeed.Relays {
	peers := append(append([]api.GatewayInstance{}, fleet[:i]...), fleet[i+1:]...)
	return assignRelays(fleet[i], peers)
}

// Guards against calls of the store that grow with the fleet, against a zone without relays, and against relays on slow links while
// there are fast ones, which would pass changes on too late.
func TestRelaysPerZone(t *testing.T) {
	fleet := fleetOf(6, 50)
	direct := map[string]bool{}
	readers := map[string]int{}
	for i := range fleet {
		relays := relaysOf(fleet, i)
		if relays.Direct {
			direct[fleet[i].PeerAddress] = true
			if fleet[i].LinkMbps != 200 {
				t.Errorf("%+v is a relay", fleet[i])
			}
			continue
		}
		readers[relays.Addresses[0]]++
	}
	if len(direct) != 6*relaysPerZone {
		t.Errorf("%d of %d instances follow the store", len(direct), len(fleet))
	}
	for address, count := range readers {
		if !direct[address] || count > 40 {
			t.Errorf("%s, which is a relay: %t, has %d readers", address, direct[address], count)
		}
	}
}

// Guards against the delay of a relay in a small fleet, where direct calls cost little.
func TestSmallFleetReadsDirectly(t *testing.T) {
	fleet := fleetOf(2, 8)
	for i := range fleet {
		if !relaysOf(fleet, i).Direct {
			t.Errorf("%+v does not follow the store", fleet[i])
		}
	}
}

// Guards against relays that do not pull from each other, whose instances would not see each other's loads, and against instances that
// pull from themselves.
func TestRelaysKnowEachOther(t *testing.T) {
	for _, fleet := range [][]api.GatewayInstance{fleetOf(6, 50), fleetOf(3, 1), fleetOf(18, 1)} {
		relays := map[string]bool{}
		for i := range fleet {
			relays[fleet[i].PeerAddress] = relaysOf(fleet, i).Direct
		}
		for i := range fleet {
			others := map[string]bool{fleet[i].PeerAddress: relays[fleet[i].PeerAddress]}
			for _, address := range otherRelays(fleet[i], append(append([]api.GatewayInstance{}, fleet[:i]...), fleet[i+1:]...)) {
				others[address] = address != fleet[i].PeerAddress
			}
			for address, relay := range relays {
				if others[address] != relay {
					t.Fatalf("%s: relay %t, pulled by %s: %t", address, relay, fleet[i].PeerAddress, others[address])
				}
			}
		}
	}
}
