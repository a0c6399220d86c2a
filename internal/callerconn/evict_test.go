package callerconn

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// pipes is a listener whose connections are made by connect.
type pipes struct{ conns chan net.Conn }

func (p *pipes) Accept() (net.Conn, error) { return <-p.conns, nil }
func (p *pipes) Close() error              { return nil }
func (p *pipes) Addr() net.Addr            { return &net.TCPAddr{} }

// crowd is a table and the peers of its connections.
type crowd struct {
	t        *testing.T
	table    *Table
	listener net.Listener
	pipes    *pipes
	reasons  []string
}

func newCrowd(t *testing.T, limit int) *crowd {
	c := &crowd{t: t, pipes: &pipes{conns: make(chan net.Conn, 1)}}
	c.table = NewTable(Options{Limit: limit, Grace: time.Second, OnEvict: func(reason string) { c.reasons = append(c.reasons, reason) }})
	c.listener = c.table.Listener(c.pipes)
	return c
}

// connect returns both ends of a new connection that the table accepts.
func (c *crowd) connect() (*Conn, net.Conn) {
	server, client := net.Pipe()
	c.pipes.conns <- server
	accepted, err := c.listener.Accept()
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*Conn), client
}

// idle returns a new connection that is idle after a request.
func (c *crowd) idle() (*Conn, net.Conn) {
	conn, client := c.connect()
	c.table.ConnState(conn, http.StateActive)
	c.table.ConnState(conn, http.StateIdle)
	return conn, client
}

// send sends text over the connection and lets the server read it.
func send(conn *Conn, client net.Conn, text string) {
	go func() { _, _ = io.WriteString(client, text) }()
	_, _ = io.ReadFull(conn, make([]byte, len(text)))
}

// closed returns the names of the connections that are closed, separated by spaces.
func closed(conns map[string]*Conn, order ...string) string {
	var names []string
	for _, name := range order {
		if !conns[name].tracked {
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}

// Guards against more connections than the bound allows, and against the wrong one being closed: one whose request was read completely, an
// idle one before those that make no progress, or an idle one on which the next request is being read.
func TestConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t, 6)
		conns := map[string]*Conn{}
		conns["serving"], _ = c.connect()
		serving := c.table.ConnContext(t.Context(), conns["serving"])
		if !c.table.MarkBusy(serving) || !c.table.MarkComplete(serving) {
			t.Fatal("a request on an open connection would not be served")
		}
		conns["silent"], _ = c.connect()
		var trickle net.Conn
		conns["trickle"], trickle = c.connect()
		conns["idle"], _ = c.idle()
		<-time.After(time.Millisecond)
		conns["later"], _ = c.idle()
		var reading net.Conn
		conns["reading"], reading = c.idle()
		<-time.After(10 * time.Second)
		send(conns["trickle"], trickle, "POST")
		send(conns["reading"], reading, "POST")
		order := []string{"serving", "silent", "trickle", "idle", "later", "reading"}
		for _, want := range []string{"silent", "silent trickle", "silent trickle idle", "silent trickle idle later"} {
			c.connect()
			if got := closed(conns, order...); got != want || c.table.Open() != 6 {
				t.Fatalf("closed: %s, want %s; %d open", got, want, c.table.Open())
			}
		}
		want := []string{"receiving_connection", "receiving_connection", "idle_connection", "idle_connection"}
		if diff := cmp.Diff(want, c.reasons); diff != "" {
			t.Error(diff)
		}
	})
}

// Guards against a request that runs although its connection was closed while its body arrived.
func TestRequestOfEvictedConnectionIsNotComplete(t *testing.T) {
	c := newCrowd(t, 1)
	conn, client := c.connect()
	ctx := c.table.ConnContext(t.Context(), conn)
	if !c.table.MarkBusy(ctx) {
		t.Fatal("an open connection is reported as closed")
	}
	c.connect()
	if c.table.MarkComplete(ctx) || c.table.MarkBusy(ctx) {
		t.Error("a request on the closed connection would run")
	}
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is still open")
	}
}

// Guards against a bound that is exceeded, or requests that are cut, when all connections await answers.
func TestNewConnectionIsClosedIfNoneMayGiveWay(t *testing.T) {
	c := newCrowd(t, 2)
	for range 2 {
		conn, _ := c.connect()
		c.table.MarkComplete(c.table.ConnContext(t.Context(), conn))
	}
	server, refused := net.Pipe()
	c.pipes.conns <- server
	next := make(chan net.Conn)
	go func() {
		conn, _ := c.listener.Accept()
		next <- conn
	}()
	if _, err := refused.Read(make([]byte, 1)); err == nil {
		t.Error("a connection over the bound is open")
	}
	if c.table.Open() != 2 || c.reasons[0] != ReasonNoRoom {
		t.Errorf("%d open, reasons %v", c.table.Open(), c.reasons)
	}
	_ = c.table.conns[0].Close()
	other, _ := net.Pipe()
	c.pipes.conns <- other
	if conn := <-next; conn.(*Conn).Conn != other {
		t.Error("the next connection was not accepted")
	}
}

// Guards against a log line for each connection of a flood, and against a flood whose end is not logged.
func TestEvictionsAreLoggedOncePerPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer
		counted := map[string]int{}
		e := NewEvictions(slog.New(slog.NewJSONHandler(&log, nil)), func(name string) { counted[name]++ })
		for range 2 {
			for range 30 {
				e.Add("idle_connection")
				<-time.After(evictionQuiet / 2)
			}
			<-time.After(2 * evictionQuiet)
			synctest.Wait()
		}
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		if len(lines) != 4 || !strings.Contains(lines[1], `"lasted_ms":145000,"gave_way":{"idle_connection":30}`) {
			t.Errorf("log:\n%s", log.String())
		}
		if counted[`cicadawall_evictions_total{reason="idle_connection"}`] != 60 {
			t.Errorf("counted: %v", counted)
		}
	})
}
