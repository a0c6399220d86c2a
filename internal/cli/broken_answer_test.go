package cli

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/rawserver"
)

// startBrokenOperatorAPI answers each request for the declaration in force as usual, and each change with the head and a body that says that the
// change is accepted. It returns its URL.
func startBrokenOperatorAPI(t *testing.T, head string) string {
	t.Helper()
	return "http://" + rawserver.StartWithRequest(t, func(conn *net.TCPConn, request *http.Request) {
		if request.Method == http.MethodGet {
			body := fmt.Sprintf(`{"revision":7,"changeId":"c7","document":%q}`, declarationText)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+`{"state":"accepted","revision":8}`)
	})
}

// Guards against an answer of the operator API that is none in HTTP and that a script takes for an accepted change.
func TestBrokenAnswerIsNoAcceptedChange(t *testing.T) {
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK\r\n":              ExitOK,
		"HTTP/1.1 000 OK\r\n":              ExitUnknown,
		"HTTP/1.1 099 OK\r\n":              ExitUnknown,
		"HTTP/1.1 +20 OK\r\n":              ExitUnknown,
		"HTTP/1.1 600 OK\r\n":              ExitUnknown,
		"HTTP/1.1 999 OK\r\n":              ExitUnknown,
		"HTTP/1.1 20 OK\r\n":               ExitUnknown,
		"HTTP/1.1 2000 OK\r\n":             ExitUnknown,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n":    ExitUnknown,
		"HTTP/1.1 200 OK\r\nX\x01Y: 1\r\n": ExitUnknown,
		"HTTP/1.1 101 Switching\r\n":       ExitUnknown,
	} {
		url := startBrokenOperatorAPI(t, head)
		code, out, errOut := runConfig(t, "apply", "--operator-url", url, "--operator-key", operatorKey, "--author", "ada", writeDeclaration(t, declarationText))
		if code != want {
			t.Errorf("%q: exit %d, want %d; printed %q %q", head, code, want, out, errOut)
		}
	}
}
