package e2e

import (
	"io"
	"net"
	"sync"
	"testing"
)

// linkState is the state of a proxied link: how the proxy treats its connections.
type linkState int

const (
	linkOpen linkState = iota
	// linkStalled keeps connections open and forwards no bytes in either direction.
	linkStalled
	// linkResponsesStalled forwards requests and withholds responses.
	linkResponsesStalled
	// linkReset resets open and new connections immediately.
	linkReset
)

// proxy is a loopback TCP proxy in front of one address. It simulates faults of the link.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	state   linkState
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
		p.setState(linkReset)
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setState changes the state of the link for new and open connections.
func (p *proxy) setState(state linkState) {
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
		go p.forward(conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp4", p.target)
	if err != nil || !p.track(client, server) {
		_ = client.Close()
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copyDirection(server, client, linkStalled) })
	directions.Go(func() { p.copyDirection(client, server, linkStalled, linkResponsesStalled) })
	directions.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, client)
	delete(p.conns, server)
}

// track records the connections so that setState can reset them; it returns false while the link is in state linkReset.
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

// copyDirection copies bytes in one direction and pauses while the link is in one of the given states.
func (p *proxy) copyDirection(to, from net.Conn, stalledIn ...linkState) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for containsState(stalledIn, p.state) {
			p.changed.Wait()
		}
		p.mu.Unlock()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
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

func containsState(states []linkState, state linkState) bool {
	for _, s := range states {
		if s == state {
			return true
		}
	}
	return false
}
