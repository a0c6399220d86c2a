package httpsend

import (
	"net/http"

	"github.com/cicadawall/cicadawall/internal/httpstatus"
)

// checkedTransport is a transport of net/http that returns only answers whose status is final.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := httpstatus.CheckFinal(response.StatusCode); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// NewClient returns a client with the settings of http.DefaultClient that checks answers as a Sender does. It is for callers that need not know
// whether a failed request was sent.
func NewClient() *http.Client {
	return &http.Client{Transport: checkedTransport{http.DefaultTransport.(*http.Transport).Clone()}}
}
