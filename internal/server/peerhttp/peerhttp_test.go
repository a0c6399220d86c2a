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

type fake struct{}

var (
	digest = api.Digest{Incarnation: "a", Revision: 3, LastSequence: 2, Ages: []byte{0, 255}, Exceptions: []api.RevisionException{}}
	set    = api.RegistrationSet{LastSequence: 2, Instances: []api.RegisteredInstance{{Sequence: 2}}}
	held   = api.RevisionDocument{Revision: 3, Document: "text"}
)

func (fake) Digest(time.Time) api.Digest                          { return digest }
func (fake) Registrations(int64) api.RegistrationSet              { return set }
func (fake) Document(revision int64) (api.RevisionDocument, bool) { return held, revision <= 3 }

// Guards against a client and handlers that disagree on paths or encoding, and a missing revision taken for a document.
func TestClientReadsHandlers(t *testing.T) {
	e := echo.New()
	Handlers{Members: fake{}, Documents: fake{}}.Register(e)
	server := httptest.NewServer(e)
	defer server.Close()
	host, port, _ := net.SplitHostPort(server.Listener.Addr().String())
	number, _ := strconv.Atoi(port)
	peer := membership.Address{IP: host, Port: number}
	client := Client{HTTP: http.DefaultClient, Scheme: "http"}

	gotDigest, err := client.Digest(t.Context(), peer)
	if diff := cmp.Diff(digest, gotDigest); err != nil || diff != "" {
		t.Error(err, diff)
	}
	gotSet, err := client.Registrations(t.Context(), peer, 1)
	if diff := cmp.Diff(set, gotSet); err != nil || diff != "" {
		t.Error(err, diff)
	}
	doc, err := client.Revision(t.Context(), peer, 3)
	if diff := cmp.Diff(held, doc); err != nil || diff != "" {
		t.Error(err, diff)
	}
	if _, err := client.Revision(t.Context(), peer, 4); err == nil {
		t.Error("revision 4 is not held, but the client returned it")
	}
}
