package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// link is what a proxy does to the connections that pass it.
type link int

const (
	linkOpen link = iota
	// linkSilent passes no byte and keeps connections open.
	linkSilent
	// linkDeaf passes requests and holds answers back.
	linkDeaf
	// linkReset ends connections at once.
	linkReset
)

// proxy is a loopback TCP proxy in front of one address.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   link
	changed *sync.Cond
	conns   map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close()
		p.set(linkReset)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set changes the state of the link, also for open connections.
func (p *proxy) set(state link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	p.changed.Broadcast()
	if state != linkReset {
		return
	}
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn)
	}
}

func (p *proxy) carry(caller net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil || !p.track(caller, server) {
		_ = caller.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.pump(server, caller, linkSilent) })
	directions.Go(func() { p.pump(caller, server, linkSilent, linkDeaf) })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, caller)
	delete(p.conns, server)
}

// track remembers the connections; it reports false while the link resets them.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == linkReset {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return true
}

// pump copies one direction and waits while the link is in one of the states.
func (p *proxy) pump(to, from net.Conn, held ...link) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for holds(held, p.state) {
			p.changed.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func holds(states []link, state link) bool {
	for _, s := range states {
		if s == state {
			return true
		}
	}
	return false
}
