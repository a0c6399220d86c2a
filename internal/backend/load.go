package backend

import "time"

// peerLoadMaxAge is how long a peer's load report is used. Responses of plain services take less than a second, streams a few
// seconds.
const peerLoadMaxAge = 3 * time.Second

// ServerLoad is the load that one instance has on a backend server.
type ServerLoad struct {
	InFlight      int
	PendingTokens int
}

// peerLoad is the last load report of one peer.
type peerLoad struct {
	servers    map[string]ServerLoad
	receivedAt time.Time
}

// peerLoads holds the recent load reports of the peers. Callers hold the directory's lock.
type peerLoads struct {
	byPeer map[string]peerLoad
	// instanceCount is the number of all instances, including this one.
	instanceCount int
	// totalByServer is the sum over the peers; nil after a change, until sum computes it again.
	totalByServer map[string]ServerLoad
}

// sum returns the total load of the peers with a recent report by server, and the factor that extrapolates it to all peers.
func (p *peerLoads) sum(now time.Time) (map[string]ServerLoad, float64) {
	for peer, load := range p.byPeer {
		if now.Sub(load.receivedAt) > peerLoadMaxAge {
			delete(p.byPeer, peer)
			p.totalByServer = nil
		}
	}
	if len(p.byPeer) == 0 {
		return nil, 0
	}
	if p.totalByServer == nil {
		p.totalByServer = map[string]ServerLoad{}
		for _, peer := range p.byPeer {
			for id, load := range peer.servers {
				total := p.totalByServer[id]
				p.totalByServer[id] = ServerLoad{
					InFlight: total.InFlight + load.InFlight, PendingTokens: total.PendingTokens + load.PendingTokens,
				}
			}
		}
	}
	return p.totalByServer, max(1, float64(p.instanceCount-1)/float64(len(p.byPeer)))
}

// SetPeerLoad records the load report of a peer; instanceCount is the number of all instances.
func (d *Directory) SetPeerLoad(incarnation string, servers map[string]ServerLoad, instanceCount int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peerLoads.byPeer == nil {
		d.peerLoads.byPeer = map[string]peerLoad{}
	}
	d.peerLoads.byPeer[incarnation] = peerLoad{servers: servers, receivedAt: now}
	d.peerLoads.instanceCount = instanceCount
	d.peerLoads.totalByServer = nil
}

// LocalLoads returns this instance's load on each server with requests in flight.
func (d *Directory) LocalLoads() map[string]ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[string]ServerLoad{}
	for id, r := range d.rows {
		if r.inFlight > 0 {
			loads[id] = ServerLoad{InFlight: r.inFlight, PendingTokens: r.pendingTokens}
		}
	}
	return loads
}
