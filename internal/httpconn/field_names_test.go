package httpconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"
	"unicode"
)

// invalidFieldLines are lines of a head whose field name is not a token.
var invalidFieldLines = []string{
	"X Y: 1", "X-Y : 1", "X-Y\t: 1", "X\tY: 1", "X\x00Y: 1", "X\x01Y: 1", "X\rY: 1", "X\x1bY: 1", "X\x7fY: 1", "X\u00e9: 1", "X\xff: 1", ": 1", " : 1",
	"X(Y): 1", "X/Y: 1", "X,Y: 1", "X\"Y\": 1", "X Y: 1\r\n continued", "Content-Length : 2", "Transfer-Encoding : chunked", "Connection : close", "Id : 1",
	"X Y" + strings.Repeat("z", 4000) + ": 1", "X\x01Y" + strings.Repeat("z", 4000) + ": 1",
}

// checkRefused fails the test if the text is taken for an answer, or if its connection stays open.
func checkRefused(t *testing.T, text string) {
	t.Helper()
	closed := make(chan struct{})
	address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) {
		defer close(closed)
		answerRequest(conn, reader, text)
		// The end of the stream completes a body without a length.
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	})
	pool := NewPool(Options{})
	defer pool.CloseIdle(address)
	response, err := pool.Do(t.Context(), getRequest(address, "1"))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response)
		response.Close()
		if err == nil {
			t.Errorf("%q: returned as an answer with headers %v and body %q", text, response.Header, body)
			return
		}
	}
	var failed *Error
	if errors.As(err, &failed) && !failed.Sent {
		t.Errorf("%q: reported as not sent: %v", text, err)
	}
	if reason := err.Error(); len(reason) > 1000 || strings.ContainsFunc(reason, unicode.IsControl) {
		t.Errorf("%q: the error is long or holds control characters: %q", text, reason)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Errorf("%q: the connection stays open", text)
	}
}

// Guards against an answer with a line in its head that is no field of HTTP. If it is dropped or passed on, a line that was meant as a length, a coding or
// an identifier gives the caller another body, or the answer to another request.
func TestInvalidFieldNames(t *testing.T) {
	const status, id, rest = "HTTP/1.1 200 OK\r\n", "Id: 1\r\n", "Content-Length: 2\r\n\r\nok"
	for _, line := range invalidFieldLines {
		line += "\r\n"
		checkRefused(t, status+line+id+rest)
		if line[0] != ' ' { // A line that begins with a blank continues the one before.
			checkRefused(t, status+id+line+rest)
		}
		checkRefused(t, status+line+id+"\r\nok")
		checkRefused(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+status+id+rest)
		checkRefused(t, status+line+"Id: other\r\n"+rest+status+id+rest)
		checkRefused(t, status+id+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+line+"\r\n")
	}
}

// Guards against legal but unusual fields being refused, or being changed.
func TestUnusualFields(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nid: 1\r\ntransfer-ENCODING: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for text, want := range map[string][2]string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nX!#$%&'*+-.^_|~1`: 1\r\nCONTENT-length: 2\r\n\r\nok": {"X!#$%&'*+-.^_|~1`", "1"},
		"HTTP/1.1 200 OK\r\nId: 1\r\nX: \xe9\u00e9\r\ncontent-length: 2\r\n\r\nok":        {"X", "\xe9\u00e9"},
		"HTTP/1.1 200 OK\r\nId: 1\r\nX:a b\t c \r\nContent-Length:2\r\n\r\nok":            {"X", "a b\t c"},
		"HTTP/1.1 200 OK\r\nId: 1\r\nX: a\r\n b: c\r\nContent-Length: 2\r\n\r\nok":        {"X", "a b: c"},
		"HTTP/1.1 200 OK\r\nId: 1\r\nX:\r\n\r\nok":                                        {"X", ""},
		chunked + "\r\n":                                         {"Id", "1"},
		chunked + "X!: 1\r\ny: 2\r\n\r\n":                        {"Id", "1"},
		"HTTP/1.1 103 Early\r\nX!: 1\r\n\r\n" + chunked + "\r\n": {"Id", "1"},
	} {
		address := startScriptedServer(t, func(conn net.Conn, reader *bufio.Reader) { answerRequest(conn, reader, text) })
		response, err := NewPool(Options{}).Do(t.Context(), getRequest(address, "1"))
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if values := response.Header[want[0]]; len(values) != 1 || values[0] != want[1] {
			t.Errorf("%q: headers %q", text, response.Header)
		}
		if got := readBody(t, response); got != "ok" {
			t.Errorf("%q: body %q", text, got)
		}
	}
}
