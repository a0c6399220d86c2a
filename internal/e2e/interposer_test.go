package e2e

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
)

// interposer is an HTTP reverse proxy between two processes that holds selected calls until the test releases them.
type interposer struct {
	*httptest.Server
	// heldCalls receives a value for each call that the interposer starts to hold.
	heldCalls chan struct{}
	// released is closed to let all held calls continue.
	released chan struct{}
	once     sync.Once
}

// holdRule selects the calls that an interposer holds.
type holdRule struct {
	match func(*http.Request) bool
	// holdResponse means that the response is held instead of the request.
	holdResponse bool
}

func newInterposer(t *testing.T, target string, rule holdRule) *interposer {
	t.Helper()
	base, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(base)
		r.Out.URL.RawPath = r.In.URL.RawPath
	}}
	p := &interposer{heldCalls: make(chan struct{}, 16), released: make(chan struct{})}
	holdCall := func() {
		p.heldCalls <- struct{}{}
		<-p.released
	}
	proxy.ModifyResponse = func(response *http.Response) error {
		if rule.holdResponse && rule.match(response.Request) {
			holdCall()
		}
		return nil
	}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !rule.holdResponse && rule.match(r) {
			holdCall()
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		p.release()
		p.CloseClientConnections()
		p.Close()
	})
	return p
}

// release lets all held calls continue.
func (p *interposer) release() { p.once.Do(func() { close(p.released) }) }

// address returns the listen address of the interposer as IP:port.
func (p *interposer) address() string { return p.Listener.Addr().String() }
