// Package httpclient is the adapter to the platform's services over HTTP with JSON, as described in api/platform.yaml. It
// makes one attempt per call and turns each result into the typed errors of package platform.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/httpsend"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	defaultTimeout  = 2 * time.Second
	defaultMaxConns = 64
	// maxReplyBytes bounds one reply; the largest is a range of rows.
	maxReplyBytes = 16 << 20
	// InstanceHeader names the calling instance to the platform.
	InstanceHeader = "X-Cicadawall-Instance"
)

// Options of a Client. Zero values take the defaults.
type Options struct {
	// BaseURL is the platform's address, for example http://10.0.0.1:8080.
	BaseURL string
	// Timeout bounds one call, reply included; default 2 s.
	Timeout time.Duration
	// Instance is sent with each call so that the platform can tell its clients apart.
	Instance string
	// MaxConns bounds the connections; default 64.
	MaxConns int
	// Traffic is told the bytes written and read; nil counts nothing.
	Traffic func(written, read int)
}

// Client speaks to the platform's services.
type Client struct {
	base     string
	instance string
	timeout  time.Duration
	sender   *httpsend.Sender
	list     *instanceList
}

// New returns a client. It fails if the base URL is not an absolute HTTP URL.
func New(options Options) (*Client, error) {
	parsed, err := url.Parse(options.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "parse the platform's base URL")
	}
	if (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return nil, errors.Errorf("platform base URL %q is not an absolute HTTP URL", options.BaseURL)
	}
	if options.Timeout == 0 {
		options.Timeout = defaultTimeout
	}
	if options.MaxConns == 0 {
		options.MaxConns = defaultMaxConns
	}
	client := &Client{
		base:     strings.TrimRight(options.BaseURL, "/"),
		instance: options.Instance,
		timeout:  options.Timeout,
		sender:   httpsend.New(httpsend.Options{MaxConnsPerHost: options.MaxConns, OnTraffic: options.Traffic}),
	}
	client.list = newInstanceList(client)
	return client, nil
}

// Services returns the client as the bundle of all services.
func (c *Client) Services() platform.Services {
	return platform.Services{
		Table:     tableService{c},
		Objects:   objectStore{c},
		Instances: c.list,
		Ratings:   ratingService{c},
		Weights:   weightStore{c},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// call is one request. A write may have an effect; a read has none.
type call struct {
	step   string
	method string
	path   string
	query  url.Values
	body   []byte
	json   bool
	write  bool
	// ifNoneMatch is the entity tag of the copy that the caller has; empty asks for the whole.
	ifNoneMatch string
}

// reply is a definite answer: a status below 500 other than 429, or any status for which the caller asked.
type reply struct {
	status int
	body   []byte
	etag   string
}

// lost returns the typed error for a call that may have reached the service and got no definite answer.
func (c call) lost() error {
	if c.write {
		return platform.ErrAmbiguous
	}
	return platform.ErrUnavailable
}

// fail wraps the kind of failure with step and detail, so that errors.Is finds the kind.
func (c call) fail(kind error, detail string) error {
	return errors.Wrapf(kind, "%s %s: %s", c.step, c.path, detail)
}

// do makes one attempt. The reply's status is not judged except for an outage.
func (c *Client) do(ctx context.Context, call call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.request(ctx, call)
	if err != nil {
		return reply{}, err
	}
	response, err := c.sender.Do(request)
	if err != nil {
		var failed *httpsend.Error
		if errors.As(err, &failed) && !failed.Sent {
			return reply{}, call.fail(platform.ErrUnavailable, err.Error())
		}
		return reply{}, call.fail(call.lost(), err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, call.fail(call.lost(), err.Error())
	}
	if len(body) > maxReplyBytes {
		return reply{}, call.fail(call.lost(), "reply is too large")
	}
	return reply{status: response.StatusCode, body: body, etag: response.Header.Get("ETag")}, nil
}

func (c *Client) request(ctx context.Context, call call) (*http.Request, error) {
	target := c.base + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, call.fail(platform.ErrUnavailable, err.Error())
	}
	if call.json {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.ifNoneMatch != "" {
		request.Header.Set("If-None-Match", call.ifNoneMatch)
	}
	if c.instance != "" {
		request.Header.Set(InstanceHeader, c.instance)
	}
	return request, nil
}

// unexpected types a status for which the call has no meaning of its own. 503 and 429 promise that nothing happened, and
// so does any refusal of the request itself; other statuses promise nothing.
func (c call) unexpected(status int) error {
	detail := "status " + http.StatusText(status)
	refused := status == http.StatusServiceUnavailable || (status >= 400 && status < 500)
	if refused {
		return c.fail(platform.ErrUnavailable, detail)
	}
	return c.fail(c.lost(), detail)
}

// decode reads a JSON reply; one that does not parse is as good as lost.
func (c call) decode(reply reply, into any) error {
	if err := json.Unmarshal(reply.body, into); err != nil {
		return c.fail(c.lost(), err.Error())
	}
	return nil
}
