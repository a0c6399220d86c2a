// Package httpclient is the adapter to the platform's services over HTTP with JSON, as described in api/platform.yaml. It
// makes one attempt per call and maps each failure to one of the errors of package platform.
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
	// maxReplyBytes limits the size of one reply; the largest replies are ranges of rows.
	maxReplyBytes = 16 << 20
	// InstanceHeader carries the id of the calling instance.
	InstanceHeader = "X-Cicadawall-Instance"
)

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	// BaseURL is the platform's address, for example http://10.0.0.1:8080.
	BaseURL string
	// Timeout limits one call, including reading the reply; default 2 s.
	Timeout time.Duration
	// Instance is sent with each call so that the platform can tell its clients apart.
	Instance string
	// MaxConns limits the number of connections to the platform; default 64.
	MaxConns int
	// Traffic, if set, is called with the numbers of bytes written and read.
	Traffic func(written, read int)
	// InvalidEntry, if set, is called with each entry of the instance list that cannot be used, and why.
	InvalidEntry func(entry []byte, err error)
}

// Client calls the platform's services.
type Client struct {
	baseURL  string
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
		baseURL:  strings.TrimRight(options.BaseURL, "/"),
		instance: options.Instance,
		timeout:  options.Timeout,
		sender:   httpsend.New(httpsend.Options{MaxConnsPerHost: options.MaxConns, OnTraffic: options.Traffic}),
	}
	client.list = newInstanceList(client, options.InvalidEntry)
	return client, nil
}

// Services returns the platform's services, all of which use this client.
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

// call describes one request.
type call struct {
	// operation names the call in errors.
	operation string
	method    string
	path      string
	query     url.Values
	body      []byte
	jsonBody  bool
	isWrite   bool
	// ifNoneMatch is the entity tag of the caller's cached copy; if empty, the reply always carries the full content.
	ifNoneMatch string
}

// reply is a completely received HTTP response with any status.
type reply struct {
	status int
	body   []byte
	etag   string
}

// noReplyError returns the error for a call that may have reached the service but got no usable reply.
func (c call) noReplyError() error {
	if c.isWrite {
		return platform.ErrAmbiguous
	}
	return platform.ErrUnavailable
}

// wrapError adds operation, path and detail to one of the errors of package platform; errors.Is still matches kind.
func (c call) wrapError(kind error, detail string) error {
	return errors.Wrapf(kind, "%s %s: %s", c.operation, c.path, detail)
}

// do makes one attempt and returns the reply whatever its status is. Errors: ErrUnavailable, ErrAmbiguous.
func (c *Client) do(ctx context.Context, call call) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := c.newRequest(ctx, call)
	if err != nil {
		return reply{}, err
	}
	response, err := c.sender.Do(request)
	if err != nil {
		var sendErr *httpsend.Error
		if errors.As(err, &sendErr) && !sendErr.Sent {
			return reply{}, call.wrapError(platform.ErrUnavailable, err.Error())
		}
		return reply{}, call.wrapError(call.noReplyError(), err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, call.wrapError(call.noReplyError(), err.Error())
	}
	if len(body) > maxReplyBytes {
		return reply{}, call.wrapError(call.noReplyError(), "reply exceeds the size limit")
	}
	return reply{status: response.StatusCode, body: body, etag: response.Header.Get("ETag")}, nil
}

func (c *Client) newRequest(ctx context.Context, call call) (*http.Request, error) {
	target := c.baseURL + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, call.wrapError(platform.ErrUnavailable, err.Error())
	}
	if call.jsonBody {
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

// statusError returns the error for a status that the call does not handle. 503 and all 4xx statuses, 429 among them,
// guarantee that the call had no effect; after any other status the outcome of a write is unknown.
func (c call) statusError(status int) error {
	detail := "status " + http.StatusText(status)
	rejected := status == http.StatusServiceUnavailable || (status >= 400 && status < 500)
	if rejected {
		return c.wrapError(platform.ErrUnavailable, detail)
	}
	return c.wrapError(c.noReplyError(), detail)
}

// decode decodes a JSON reply into message. A reply that does not parse counts as no reply.
func (c call) decode(reply reply, message any) error {
	if err := json.Unmarshal(reply.body, message); err != nil {
		return c.wrapError(c.noReplyError(), err.Error())
	}
	return nil
}
