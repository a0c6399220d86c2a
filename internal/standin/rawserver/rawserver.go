// Package rawserver is a stand-in for a server in trouble, which writes to its connections what a server of net/http would not send.
package rawserver

import (
	"bufio"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Start starts a server that runs the function on each connection and closes the connection afterwards. It returns the server's address. At its end the
// test waits until all functions have returned.
func Start(t testing.TB, serve func(conn *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var handlers sync.WaitGroup
	handlers.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handlers.Go(func() {
				defer func() { _ = conn.Close() }()
				serve(conn.(*net.TCPConn), bufio.NewReader(conn))
			})
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		handlers.Wait()
	})
	return listener.Addr().String()
}

// StartWithRequest is Start for a server that reads the head of the first request of each connection before it runs the function.
func StartWithRequest(t testing.TB, serve func(conn *net.TCPConn, request *http.Request)) string {
	t.Helper()
	return Start(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		if request, err := http.ReadRequest(reader); err == nil {
			serve(conn, request)
		}
	})
}
