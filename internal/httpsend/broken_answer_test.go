package httpsend

import (
	"io"
	"net"
	"net/http"
	"testing"
)

// answerWith returns a server's function that writes the text once it has read the request, and keeps the connection open until the peer closes it.
func answerWith(text string) func(*net.TCPConn, *http.Request) {
	return func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		_, _ = io.Copy(io.Discard, conn)
	}
}

// checkBroken fails the test unless the answer is an error of a request that may have run.
func checkBroken(t *testing.T, answer string) {
	t.Helper()
	response, err := New(Options{}).Do(post(t, t.Context(), startRawServer(t, answerWith(answer)), nil))
	if err == nil {
		_ = response.Body.Close()
		t.Errorf("%q: returned as an answer with status %d and headers %v", answer, response.StatusCode, response.Header)
		return
	}
	if !maybeSent(t, err) {
		t.Errorf("%q: reported as not sent: %v", answer, err)
	}
}

// Guards against a status that is no final answer being returned as one.
func TestStatusThatIsNotFinal(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "-01", "20", "2000", "600", "999", "2 0", "x00"} {
		checkBroken(t, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
	}
}
