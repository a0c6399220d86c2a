// Package httpconn makes single HTTP/1.1 exchanges over kept connections. It never repeats a request, reports whether a
// byte of it may have reached the peer, matches each answer with its request, and uses a connection again only if the
// exchange ended cleanly.
package httpconn

import (
	"context"
	"net"
	"time"

	"github.com/cicadawall/cicadawall/internal/lockorder"
)

const (
	// idleMargin is the time before the peer's stated idle limit from which a connection is not used again; a request on
	// its way must arrive before the peer closes.
	idleMargin = 500 * time.Millisecond
	// defaultDialTimeout bounds the set-up of a connection. A dropped opening packet is sent again after 1 s.
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultMaxIdle is how long a connection stays in the pool.
	defaultMaxIdle = 15 * time.Second
	// defaultIdlePerPeer bounds the idle connections to one peer.
	defaultIdlePerPeer = 16
)

// Options of a Pool. Zero values take the defaults.
type Options struct {
	// DialTimeout bounds the set-up of a connection; default 1.2 s.
	DialTimeout time.Duration
	// MaxIdle is how long a connection is kept without a request; default 15 s.
	MaxIdle time.Duration
	// IdlePerPeer bounds the idle connections to one peer; default 16.
	IdlePerPeer int
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	options Options
	dialer  *net.Dialer

	mu    *lockorder.Mutex
	idle  map[string][]*conn
	swept time.Time
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.MaxIdle == 0 {
		options.MaxIdle = defaultMaxIdle
	}
	if options.IdlePerPeer == 0 {
		options.IdlePerPeer = defaultIdlePerPeer
	}
	return &Pool{
		options: options,
		dialer:  dialer(options.DialTimeout),
		mu:      lockorder.New(lockorder.RankPlatformClient),
		idle:    map[string][]*conn{},
	}
}

// get returns a kept connection that is still quiet, the latest used first, or a new one.
func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if !c.expired(time.Now(), p.options.MaxIdle) && c.quiet() {
			c.used = true
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

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// put keeps the connection for another exchange.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	dropped := p.keep(c)
	for _, old := range dropped {
		_ = old.Close()
	}
}

// keep stores the connection and returns those that no longer have a place.
func (p *Pool) keep(c *conn) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	dropped := p.sweep(c.idleSince)
	kept := append(p.idle[c.address], c)
	if excess := len(kept) - p.options.IdlePerPeer; excess > 0 {
		dropped = append(dropped, kept[:excess]...)
		kept = append([]*conn(nil), kept[excess:]...)
	}
	p.idle[c.address] = kept
	return dropped
}

// sweep takes out expired connections, at most once for each maximum idle time.
func (p *Pool) sweep(now time.Time) []*conn {
	if now.Sub(p.swept) < p.options.MaxIdle {
		return nil
	}
	p.swept = now
	var dropped []*conn
	for address, kept := range p.idle {
		var live []*conn
		for _, c := range kept {
			if c.expired(now, p.options.MaxIdle) {
				dropped = append(dropped, c)
				continue
			}
			live = append(live, c)
		}
		if len(live) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = live
	}
	return dropped
}

// Forget closes the idle connections to a peer that is gone.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	kept := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range kept {
		_ = c.Close()
	}
}
