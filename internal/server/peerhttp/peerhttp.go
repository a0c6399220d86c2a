// Package peerhttp is the HTTP adapter of the protocol between instances: digests, registrations and configuration
// documents.
package peerhttp

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/membership"
)

const (
	// maxReply bounds a peer's reply in bytes; a declaration has at most 1 MiB.
	maxReply = 4 << 20
	// callTimeout bounds one call, dead or wrong addresses included.
	callTimeout = time.Second
)

// Members answers for the membership of this instance.
type Members interface {
	Digest(now time.Time) api.Digest
	Registrations(after int64) api.RegistrationSet
}

// Documents answers for the configuration of this instance.
type Documents interface {
	// Document returns the document in force if its revision is at least the one given.
	Document(revision int64) (api.RevisionDocument, bool)
}

// Handlers are the echo handlers of one instance.
type Handlers struct {
	Members   Members
	Documents Documents
}

// Register adds the routes to the peer API.
func (h Handlers) Register(e *echo.Echo) {
	e.GET("/peer/v1/digest", h.digest)
	e.GET("/peer/v1/registrations", h.registrations)
	e.GET("/peer/v1/config/:revision", h.revision)
}

func (h Handlers) digest(c echo.Context) error {
	return c.JSON(http.StatusOK, h.Members.Digest(time.Now()))
}

func (h Handlers) registrations(c echo.Context) error {
	after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
	if err != nil || after < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "after must be a registration sequence")
	}
	return c.JSON(http.StatusOK, h.Members.Registrations(after))
}

func (h Handlers) revision(c echo.Context) error {
	revision, err := strconv.ParseInt(c.Param("revision"), 10, 64)
	if err != nil || revision < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "revision must be a number")
	}
	doc, ok := h.Documents.Document(revision)
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "this instance holds no such revision")
	}
	return c.JSON(http.StatusOK, doc)
}

// Client implements membership.Transport over HTTP.
type Client struct {
	// HTTP carries the connections; mutual TLS is set up by its transport.
	HTTP *http.Client
	// Scheme is http or https.
	Scheme string
}

// Digest implements membership.Transport.
func (c Client) Digest(ctx context.Context, peer membership.Address) (api.Digest, error) {
	var digest api.Digest
	err := c.get(ctx, peer, "/peer/v1/digest", &digest)
	return digest, err
}

// Registrations implements membership.Transport.
func (c Client) Registrations(ctx context.Context, peer membership.Address, after int64) (api.RegistrationSet, error) {
	var set api.RegistrationSet
	err := c.get(ctx, peer, fmt.Sprintf("/peer/v1/registrations?after=%d", after), &set)
	return set, err
}

// Revision implements membership.Transport.
func (c Client) Revision(ctx context.Context, peer membership.Address, revision int64) (api.RevisionDocument, error) {
	var doc api.RevisionDocument
	err := c.get(ctx, peer, fmt.Sprintf("/peer/v1/config/%d", revision), &doc)
	return doc, err
}

func (c Client) get(ctx context.Context, peer membership.Address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	url := fmt.Sprintf("%s://%s%s", c.Scheme, peer, path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "build request to peer %s", peer)
	}
	reply, err := c.HTTP.Do(req)
	if err != nil {
		return errors.Wrapf(err, "call peer %s", peer)
	}
	defer reply.Body.Close()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReply))
	if err != nil {
		return errors.Wrapf(err, "read reply of peer %s", peer)
	}
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("peer %s answered %s with status %d", peer, path, reply.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(body, into), "decode reply of peer %s", peer)
}
