package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// Guards against a status that is no final answer being returned as one: the caller would wait for an answer that never comes. Interim responses
// must still be skipped.
func TestStatusThatIsNotFinal(t *testing.T) {
	for answer, final := range map[string]bool{
		"HTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n": false, "HTTP/1.1 099 Odd\r\nId: 1\r\n\r\n": false,
		"HTTP/1.1 000 Odd\r\nId: 1\r\n\r\n": false, "HTTP/1.1 600 Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 +20 Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n": false, "HTTP/1.1 999 Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 20 Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n": false, "HTTP/1.1 2000 Odd\r\nId: 1\r\nContent-Length: 0\r\n\r\n": false,
		"HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n" + answerWithID("1"):                    true,
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 101 Switching Protocols\r\nId: 1\r\n\r\n": false,
	} {
		closed := make(chan struct{})
		address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
			defer close(closed)
			answerRequest(conn, reader, answer)
			// The server keeps the connection open until the instance closes it.
			_, _ = reader.ReadByte()
		})
		pool := NewPool(Options{})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		response, err := pool.Do(ctx, getRequest(address, "1"))
		if final {
			if err != nil || readBody(t, response) != "ok" {
				t.Errorf("%q: %v", answer, err)
			}
			pool.CloseIdle(address)
			continue
		}
		if err == nil {
			t.Errorf("%q: returned as an answer with status %d", answer, response.Status)
			response.Close()
			pool.CloseIdle(address)
			continue
		}
		var failed *Error
		if !errors.As(err, &failed) || !failed.Sent || ctx.Err() != nil {
			t.Errorf("%q: error %v", answer, err)
		}
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			t.Errorf("%q: the connection stays open", answer)
		}
	}
}
