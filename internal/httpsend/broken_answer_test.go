package httpsend

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"unicode"

	"github.com/cicadawall/cicadawall/internal/standin/rawserver"
)

// answerWith returns a server's function that writes the text once it has read the request, and reads the connection until the peer closes it.
func answerWith(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	}
}

// checkBroken fails the test unless the answer is an error of a request that may have run.
func checkBroken(t *testing.T, answer string) {
	t.Helper()
	response, err := New(Options{}).Do(post(t, t.Context(), "http://"+rawserver.StartWithRequest(t, answerWith(answer)), nil))
	if err == nil {
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			t.Errorf("%q: returned as an answer with status %d, headers %v and body %q", answer, response.StatusCode, response.Header, body)
		}
		return
	}
	if !maybeSent(t, err) {
		t.Errorf("%q: reported as not sent: %v", answer, err)
	}
	if text := err.Error(); len(text) > 1000 || strings.ContainsFunc(text, unicode.IsControl) {
		t.Errorf("%q: the error is long or holds control characters: %q", answer, text)
	}
}

// Guards against a status that is no final answer being returned as one.
func TestStatusThatIsNotFinal(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-01", "20", "2000", "600", "999", "2 0", "x00"} {
		checkBroken(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against an answer with a line in its head that is no field of HTTP. If it is dropped, a line that was meant as a length or a coding gives the caller
// another body.
func TestInvalidFieldNames(t *testing.T) {
	const status, rest = "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n\r\nok"
	for _, line := range []string{
		"X Y: 1", "X-Y : 1", "X\tY: 1", "X\x00Y: 1", "X\x01Y: 1", "X\x7fY: 1", "X\xff: 1", ": 1", " : 1", "Content-Length : 2", "Transfer-Encoding : chunked",
		"X Y" + strings.Repeat("z", 4000) + ": 1", "X\x01Y" + strings.Repeat("z", 4000) + ": 1",
	} {
		line += "\r\n"
		checkBroken(t, status+line+rest)
		checkBroken(t, status+line+"\r\nok")
		checkBroken(t, "HTTP/1.1 103 Early Hints\r\n"+line+"\r\n"+status+rest)
		checkBroken(t, status+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+line+"\r\n")
	}
}

// Guards against legal but unusual fields being refused.
func TestUnusualFields(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX!#$%&'*+-.^_|~1`: 1\r\nCONTENT-length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nX: \xe9\r\n\r\nok",
		"HTTP/1.1 103 Early Hints\r\nX!: 1\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX!: 1\r\n\r\n",
	} {
		response, err := New(Options{}).Do(post(t, t.Context(), "http://"+rawserver.StartWithRequest(t, answerWith(text)), nil))
		if err != nil {
			t.Errorf("%q: %v", text, err)
			continue
		}
		if body, err := io.ReadAll(response.Body); string(body) != "ok" || err != nil {
			t.Errorf("%q: body %q, error %v", text, body, err)
		}
		_ = response.Body.Close()
	}
}

// Guards against interim answers without end that hold the request or fill the memory.
func TestInterimAnswersWithoutEnd(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\nX: 1\r\n\r\n"
	url := "http://" + rawserver.StartWithRequest(t, func(conn *net.TCPConn, _ *http.Request) {
		for {
			if _, err := io.WriteString(conn, strings.Repeat(interim, 100)); err != nil {
				return
			}
		}
	})
	response, err := New(Options{}).Do(post(t, t.Context(), url, nil))
	if err == nil {
		_ = response.Body.Close()
		t.Fatalf("returned as an answer with status %d", response.StatusCode)
	}
	if t.Context().Err() != nil || !maybeSent(t, err) {
		t.Errorf("error %v", err)
	}
}
