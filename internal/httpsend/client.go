package httpsend

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/httpanswer"
)

// errInterimTooLong means that a server sent more than maxResponseHeaderBytes of interim answers.
var errInterimTooLong = errors.New("interim answers are too long")

// checkedTransport is a transport of net/http that returns only what is an answer in HTTP.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	interim := &interimCheck{}
	trace := &httptrace.ClientTrace{Got1xxResponse: interim.check}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	err = httpanswer.CheckFinal(response.StatusCode)
	if err == nil {
		err = httpanswer.CheckFields(response.Header)
	}
	if err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response}
	return response, nil
}

// interimCheck checks the interim answers to one request. With such a check, net/http no longer bounds their number.
type interimCheck struct{ bytes int }

func (c *interimCheck) check(_ int, fields textproto.MIMEHeader) error {
	c.bytes += len("HTTP/1.1 100 \r\n\r\n")
	for name, values := range fields {
		for _, value := range values {
			c.bytes += len(name) + len(value) + len(": \r\n")
		}
	}
	if c.bytes > maxResponseHeaderBytes {
		return errInterimTooLong
	}
	return httpanswer.CheckFields(http.Header(fields))
}

// checkedBody is the body of an answer whose trailer is checked at its end. net/http may use the connection again before: a body in chunks has a
// known end whatever the names in its trailer are.
type checkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := httpanswer.CheckFields(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

// NewClient returns a client with the settings of http.DefaultClient that checks answers as a Sender does. It is for callers that need not know
// whether a failed request was sent.
func NewClient() *http.Client {
	return &http.Client{Transport: checkedTransport{http.DefaultTransport.(*http.Transport).Clone()}}
}
