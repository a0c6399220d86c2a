package callerconn

import (
	"net"
	"net/http"
	"testing"
)

// Guards against a graceful shutdown that closes an idle connection while a request arrives on it, and still forwards that
// request, so that it runs although its caller gets no response (Parabole trouble-2 --seed 1, LOST: SIGTERM at 11.000 s, request
// sent at 11.005 s, connection closed at 11.021 s, request run at 11.022 s).
func TestRequestOnClosedConnectionIsNotForwarded(t *testing.T) {
	c := NewTable(Options{Limit: 10})
	idleConn, idlePeer := net.Pipe()
	busyConn, busyPeer := net.Pipe()
	defer func() { _, _ = idlePeer.Close(), busyPeer.Close() }()
	idleTracked, busyTracked := c.Track(idleConn), c.Track(busyConn)
	idle, busy := c.ConnContext(t.Context(), idleTracked), c.ConnContext(t.Context(), busyTracked)
	c.ConnState(idleTracked, http.StateIdle)
	c.ConnState(busyTracked, http.StateIdle)
	if !c.MarkBusy(busy) {
		t.Fatal("an open connection is reported as closed")
	}
	c.CloseIdle()
	if c.MarkBusy(idle) {
		t.Error("a request on the closed connection would be forwarded")
	}
	if !c.MarkBusy(busy) {
		t.Error("the busy connection was closed")
	}
	if _, err := idlePeer.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection is still open")
	}
}
