package peerhttp

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/labstack/echo/v4"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/membership"
)

type fakeInstance struct{}

var (
	testDigest        = api.Digest{Incarnation: "a", Revision: 3, LastSequence: 2, Ages: []byte{0, 255}, Exceptions: []api.RevisionException{}}
	testRegistrations = api.RegistrationSet{LastSequence: 2, Instances: []api.RegisteredInstance{{Sequence: 2}}}
	testDocument      = api.RevisionDocument{Revision: 3, Document: "text"}
)

func (fakeInstance) Digest(time.Time) api.Digest             { return testDigest }
func (fakeInstance) Registrations(int64) api.RegistrationSet { return testRegistrations }
func (fakeInstance) Document(revision int64) (api.RevisionDocument, bool) {
	return testDocument, revision <= 3
}

// Guards against a client and handlers that disagree on paths or encoding, and against a client that returns a document for a
// revision that the peer does not have.
func TestClientDecodesHandlerReplies(t *testing.T) {
	e := echo.New()
	Handlers{Members: fakeInstance{}, Documents: fakeInstance{}}.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	peer := membership.Address{IP: host, Port: number}
	client := Client{HTTP: http.DefaultClient, Scheme: "http"}

	gotDigest, err := client.Digest(t.Context(), peer)
	if diff := cmp.Diff(testDigest, gotDigest); err != nil || diff != "" {
		t.Error(err, diff)
	}
	gotSet, err := client.Registrations(t.Context(), peer, 1)
	if diff := cmp.Diff(testRegistrations, gotSet); err != nil || diff != "" {
		t.Error(err, diff)
	}
	doc, err := client.Revision(t.Context(), peer, 3)
	if diff := cmp.Diff(testDocument, doc); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := client.Revision(t.Context(), peer, 4); err == nil {
		t.Error("the client returned revision 4, which the peer does not have")
	}
}
