package tcpconn

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
)

// dial returns both ends of a new connection.
func dial(t *testing.T) (client *Conn, peer *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	raw, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = raw.Close()
		_ = accepted.Close()
	})
	return New(raw), accepted.(*net.TCPConn)
}

// writeUntilError writes until the kernel reports an error.
func writeUntilError(client *Conn) error {
	for {
		if _, err := client.Write([]byte("x")); err != nil {
			return err
		}
	}
}

// Guards against a reset that a write has met and that the reader then takes for the end of the stream.
func TestReadAfterResetThatAWriteHasMet(t *testing.T) {
	client, peer := dial(t)
	_, _ = io.WriteString(peer, "part")
	_ = peer.SetLinger(0)
	_ = peer.Close()
	if err := writeUntilError(client); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v; the test needs a reset", err)
	}
	for _, want := range []string{"part", ""} {
		data, err := io.ReadAll(client)
		if string(data) != want || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("read %q and %v, want %q and a reset", data, err, want)
		}
	}
}

// Guards against a whole answer that counts as broken because the peer, which had ended its stream in order, then refused further bytes of the
// request.
func TestReadAfterEndOfStreamAndReset(t *testing.T) {
	client, peer := dial(t)
	_, _ = io.WriteString(peer, "whole")
	_ = peer.Close()
	if err := writeUntilError(client); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("the write ended with %v; the test needs a reset after the end of the stream", err)
	}
	if data, err := io.ReadAll(client); string(data) != "whole" || err != nil {
		t.Errorf("read %q and %v", data, err)
	}
}

// Guards against a read at the end of the stream that waits for a write which the peer never accepts.
func TestEndOfStreamInterruptsWrite(t *testing.T) {
	client, peer := dial(t)
	written := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 64<<20))
		written <- err
	}()
	// The peer accepts the first byte only, so that the write is under way.
	if _, err := io.ReadFull(peer, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "whole")
	_ = peer.CloseWrite()
	if data, err := io.ReadAll(client); string(data) != "whole" || err != nil {
		t.Errorf("read %q and %v", data, err)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write ended with %v", err)
	}
}
