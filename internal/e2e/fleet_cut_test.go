package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cicadawall/cicadawall/internal/standin/modelserver"
)

// framing is how an answer marks the end of its body.
type framing string

const (
	framedByLength framing = "length"
	framedByChunks framing = "chunks"
	framedByClose  framing = "close"
)

// cutServerSeal is the seal in the answers of a cutServer.
const cutServerSeal = "cut"

// cutServer is a backend server that stops in the middle of its answer and closes the connection. The id of a request, such as
// "cut-chunks-17", names the framing and the number of bytes; other requests are answered in full on a kept connection.
type cutServer struct {
	id       string
	listener net.Listener
	// isStream makes the answers streams of events.
	isStream bool
}

func startCutServer(t *testing.T, id string, isStream bool) *cutServer {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &cutServer{id: id, listener: listener, isStream: isStream}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *cutServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Cicadawall-Request-Id")
		parts := strings.Split(id, "-")
		if parts[0] != "cut" {
			if _, err := io.WriteString(conn, s.head(id, framedByLength)+s.encodedBody(id, framedByLength)); err != nil {
				return
			}
			continue
		}
		length, _ := strconv.Atoi(parts[2])
		answer := s.head(id, framing(parts[1])) + s.encodedBody(id, framing(parts[1]))
		_, _ = io.WriteString(conn, answer[:length])
		return
	}
}

// body returns the body of the answer to a request.
func (s *cutServer) body(id string) string {
	if !s.isStream {
		return "answer to " + id
	}
	return "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
}

// head returns the head of the answer, which an interim answer precedes.
func (s *cutServer) head(id string, f framing) string {
	contentType := "text/plain"
	if s.isStream {
		contentType = "text/event-stream"
	}
	head := "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\nCicadawall-Response-Seal: " + cutServerSeal + "\r\n" +
		"Cicadawall-Confidence: 90\r\nCicadawall-Instance-Id: " + s.id + "\r\nCicadawall-Request-Id: " + id + "\r\n"
	switch f {
	case framedByLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(s.body(id)))
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\nTrailer: Checked\r\n"
	case framedByClose:
	}
	return head + "\r\n"
}

func (s *cutServer) encodedBody(id string, f framing) string {
	body := s.body(id)
	if f != framedByChunks {
		return body
	}
	return fmt.Sprintf("%x\r\n%s\r\n%x;extension=1\r\n%s\r\n0\r\nChecked: yes\r\n\r\n", 5, body[:5], len(body)-5, body[5:])
}

// Guards against a server that stops in the middle of its answer and closes the connection: a caller must not get a part of the answer, or
// nothing of it, as if it were whole. Only a body that ends with its connection cannot be told from a shorter one.
func TestFleetTakesNoCutAnswerForAWholeOne(t *testing.T) {
	f := newFleet(t, 1)
	orders, models := startCutServer(t, "cut-orders", false), startCutServer(t, "cut-models", true)
	for service, s := range map[string]*cutServer{"orders": orders, "models": models} {
		f.store.Put("servers", s.id, f.encode(map[string]any{
			"Service": service, "Address": s.listener.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": 1,
		}))
	}
	for _, s := range f.servers {
		f.writeServerRow(s, "draining")
	}
	for path, s := range map[string]*cutServer{"/buy/x": orders, "/look/x": orders, "/chat/x": models} {
		eventually(t, recoveryTimeout, "only the cut server gets requests for "+path, func() bool {
			return f.send(f.instances[0], http.MethodPost, path, "warm-0").seal == cutServerSeal
		})
		for _, kind := range []framing{framedByLength, framedByChunks, framedByClose} {
			f.checkCuts(path, s, kind)
		}
	}
}

// checkCuts cuts the answer at each byte, on kept connections and on new ones.
func (f *fleet) checkCuts(path string, s *cutServer, kind framing) {
	headLength := len(s.head("cut-"+string(kind)+"-000", kind))
	whole := headLength + len(s.encodedBody("cut-"+string(kind)+"-000", kind))
	for _, kept := range []bool{true, false} {
		for cut := range whole + 1 {
			if kept {
				f.send(f.instances[0], http.MethodPost, path, "warm-1")
			}
			id := fmt.Sprintf("cut-%s-%03d", kind, cut)
			got := f.send(f.instances[0], http.MethodPost, path, id)
			isWhole := got.err == nil && got.status == http.StatusOK
			mayBeWhole := cut == whole || kind == framedByClose && cut >= headLength
			if isWhole && (!mayBeWhole || kind != framedByClose && got.body != s.body(id)) {
				f.t.Errorf("%s, %s, kept connection %t, cut after %d of %d bytes (head %d): %+v", path, kind, kept, cut, whole, headLength, got)
			}
			if cut == whole && !isWhole {
				f.t.Errorf("%s, %s, kept connection %t, whole answer: %+v", path, kind, kept, got)
			}
		}
	}
}

// Guards against a stream that is cut off and looks whole to a caller of HTTP/1.0, for which the end of the connection is the end of the body.
func TestFleetResetsCutAnswersOfOldCallers(t *testing.T) {
	f := newFleet(t, 1)
	for _, server := range f.servers {
		server.SetFault(modelserver.FaultBreak, -1)
	}
	conn, err := net.Dial("tcp4", f.instances[0].callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /chat/x HTTP/1.0\r\nHost: "+fleetHost+"\r\nCicadawall-Request-Id: old\r\nCicadawall-Request-Deadline: 5000\r\n"+
		"Authorization: Bearer "+fleetKey+"\r\nCicadawall-Model: *\r\nCicadawall-Token-Counts: 100,40\r\nCicadawall-Prompt-Prefix: a:80\r\n"+
		"Content-Length: 0\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("the connection ended without a reset after the answer %q", answer)
	}
}
