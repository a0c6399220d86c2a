package e2e

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
)

// interposer stands between two processes and holds calls back at a point that the test chooses.
type interposer struct {
	*httptest.Server
	// reached receives a value for each call that is held.
	reached chan struct{}
	// released ends all holds.
	released chan struct{}
	once     sync.Once
}

// held selects the calls that are held.
type held struct {
	match func(*http.Request) bool
	// after holds the reply instead of the request.
	after bool
}

func interpose(t *testing.T, target string, hold held) *interposer {
	t.Helper()
	base, err := url.Parse(target)
	if err != nil {
		t.Fatal(err)
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		r.SetURL(base)
		r.Out.URL.RawPath = r.In.URL.RawPath
	}}
	p := &interposer{reached: make(chan struct{}, 16), released: make(chan struct{})}
	wait := func() {
		p.reached <- struct{}{}
		<-p.released
	}
	proxy.ModifyResponse = func(response *http.Response) error {
		if hold.after && hold.match(response.Request) {
			wait()
		}
		return nil
	}
	p.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !hold.after && hold.match(r) {
			wait()
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

// release lets all held calls go on.
func (p *interposer) release() { p.once.Do(func() { close(p.released) }) }

// address returns the IP:port of the interposer.
func (p *interposer) address() string { return p.Listener.Addr().String() }
