// Package httpconn sends HTTP/1.1 requests over pooled connections. It never retries a request, reports whether the peer may
// have received any byte of it, checks that each answer belongs to its request, and reuses a connection only if the previous
// exchange ended cleanly.
package httpconn

import (
	"context"
	"net"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// idleMargin is how long before the end of the peer's keep-alive timeout a connection is no longer reused, so that a
	// request in transit arrives before the peer closes the connection.
	idleMargin = 500 * time.Millisecond
	// defaultDialTimeout bounds the set-up of a connection. It leaves time for one retransmission of a lost SYN packet, which
	// the kernel sends after 1 s.
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultMaxIdleTime is how long an idle connection stays in the pool.
	defaultMaxIdleTime = 15 * time.Second
	// defaultMaxIdlePerPeer bounds the idle connections to one peer.
	defaultMaxIdlePerPeer = 16
)

// Options configures a Pool. A zero value selects the default.
type Options struct {
	// DialTimeout bounds the set-up of a connection; default 1.2 s.
	DialTimeout time.Duration
	// MaxIdleTime is how long an idle connection is kept; default 15 s.
	MaxIdleTime time.Duration
	// MaxIdlePerPeer bounds the idle connections to one peer; default 16.
	MaxIdlePerPeer int
}

// Pool keeps idle connections for each peer address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  *net.Dialer

	mu        *lockorder.Mutex
	idleConns map[string][]*conn
	lastSweep time.Time
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxIdleTime == 0 {
		options.MaxIdleTime = defaultMaxIdleTime
	}
	if options.MaxIdlePerPeer == 0 {
		options.MaxIdlePerPeer = defaultMaxIdlePerPeer
	}
	return &Pool{
		options:   options,
		dialer:    dialer(options.DialTimeout),
		mu:        lockorder.New(lockorder.RankPlatformClient),
		idleConns: map[string][]*conn{},
	}
}

// acquire returns the most recently used idle connection to the address that is still healthy, or dials a new one. With
// newConnection it always dials.
func (p *Pool) acquire(ctx context.Context, address string, newConnection bool) (*conn, error) {
	for !newConnection {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if !c.expired(time.Now(), p.options.MaxIdleTime) && c.healthy() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return newConn(raw, address), nil
}

// popIdle removes and returns the most recently used idle connection to the address, or nil if there is none.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idleConns[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idleConns[address] = idle[:len(idle)-1]
	return c
}

// release returns the connection to the pool after an exchange and closes the connections that no longer fit in.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	dropped := p.addIdle(c)
	for _, old := range dropped {
		_ = old.Close()
	}
}

// addIdle adds the connection to the pool and returns the removed ones: expired connections, and the least recently used ones
// to this peer beyond the limit.
func (p *Pool) addIdle(c *conn) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := p.removeExpired(c.idleSince)
	idle := append(p.idleConns[c.address], c)
	if excess := len(idle) - p.options.MaxIdlePerPeer; excess > 0 {
		dropped = append(dropped, idle[:excess]...)
		idle = append([]*conn(nil), idle[excess:]...)
	}
	p.idleConns[c.address] = idle
	return dropped
}

// removeExpired removes expired connections from the pool and returns them. It runs at most once per maximum idle time. The
// caller holds the lock.
func (p *Pool) removeExpired(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < p.options.MaxIdleTime {
		return nil
	}
	p.lastSweep = now
	var dropped []*conn
	for address, idle := range p.idleConns {
		var live []*conn
		for _, c := range idle {
			if c.expired(now, p.options.MaxIdleTime) {
				dropped = append(dropped, c)
				continue
			}
			live = append(live, c)
		}
		if len(live) == 0 {
			delete(p.idleConns, address)
			continue
		}
		p.idleConns[address] = live
	}
	return dropped
}

// CloseIdle closes the idle connections to a peer that was removed.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idleConns[address]
	delete(p.idleConns, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.Close()
	}
}
