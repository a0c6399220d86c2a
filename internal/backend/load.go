package backend

import "time"

// peerLoadAge is how long a peer's load counts. Answers of plain services take less than a second, streams a few.
const peerLoadAge = 3 * time.Second

// Load is what one instance has on a server.
type Load struct {
	Running       int
	PendingTokens int
}

// peerLoad is the load of one peer.
type peerLoad struct {
	servers map[string]Load
	at      time.Time
}

// peerLoads holds the loads of the peers that were heard lately. Its users hold the directory's lock.
type peerLoads struct {
	byPeer map[string]peerLoad
	// instances is the number of all instances, this one included.
	instances int
	// total is the sum over the peers, computed again after each change.
	total map[string]Load
}

// sum returns the loads of the heard peers by server, and the factor that extends them to all peers.
func (p *peerLoads) sum(now time.Time) (map[string]Load, float64) {
	for peer, load := range p.byPeer {
		if now.Sub(load.at) > peerLoadAge {
			delete(p.byPeer, peer)
			p.total = nil
		}
	}
	if len(p.byPeer) == 0 {
		return nil, 0
	}
	if p.total == nil {
		p.total = map[string]Load{}
		for _, peer := range p.byPeer {
			for id, load := range peer.servers {
				total := p.total[id]
				p.total[id] = Load{Running: total.Running + load.Running, PendingTokens: total.PendingTokens + load.PendingTokens}
			}
		}
	}
	return p.total, max(1, float64(p.instances-1)/float64(len(p.byPeer)))
}

// Peer takes the load of a peer; instances is the number of all instances.
func (d *Directory) Peer(incarnation string, servers map[string]Load, instances int, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers.byPeer == nil {
		d.peers.byPeer = map[string]peerLoad{}
	}
	d.peers.byPeer[incarnation] = peerLoad{servers: servers, at: now}
	d.peers.instances = instances
	d.peers.total = nil
}

// Loads returns this instance's load on each server that it uses.
func (d *Directory) Loads() map[string]Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	loads := map[string]Load{}
	for id, r := range d.rows {
		if r.inFlight > 0 {
			loads[id] = Load{Running: r.inFlight, PendingTokens: r.pending}
		}
	}
	return loads
}
