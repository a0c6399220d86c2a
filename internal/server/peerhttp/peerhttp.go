// Package peerhttp implements the calls between instances that exchange membership digests, registrations and configuration
// documents: the server handlers and the client.
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
	// maxReplyBytes bounds a peer's reply. A declaration has at most 1 MiB.
	maxReplyBytes = 4 << 20
	// callTimeout bounds one call, including connection attempts to addresses where no instance answers.
	callTimeout = time.Second
)

// Members provides the membership state of this instance.
type Members interface {
	// Digest returns the digest of the instances that this instance knows.
	Digest(now time.Time) api.Digest
	// Registrations returns the known registrations with a higher sequence number than the one given.
	Registrations(after int64) api.RegistrationSet
}

// Documents provides the configuration document of this instance.
type Documents interface {
	// Document returns the document in force; false if there is none, or if its revision is lower than the one given.
	Document(revision int64) (api.RevisionDocument, bool)
}

// Handlers serve the peer calls of one instance.
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
		return echo.NewHTTPError(http.StatusBadRequest, "after must be a registration sequence number, 0 or greater")
	}
	return c.JSON(http.StatusOK, h.Members.Registrations(after))
}

func (h Handlers) revision(c echo.Context) error {
	revision, err := strconv.ParseInt(c.Param("revision"), 10, 64)
	if err != nil || revision < 0 {
		return echo.NewHTTPError(http.StatusBadRequest, "revision must be a number, 0 or greater")
	}
	doc, ok := h.Documents.Document(revision)
	if !ok {
		return echo.NewHTTPError(http.StatusNotFound, "this instance has no configuration of that revision or a later one")
	}
	return c.JSON(http.StatusOK, doc)
}

// Client implements membership.Transport over HTTP.
type Client struct {
	// HTTP sends the requests. Its transport sets up mutual TLS.
	HTTP *http.Client
	// Scheme is the URL scheme of all peers, http or https.
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

// get requests a path of the peer and decodes the JSON reply into target.
func (c Client) get(ctx context.Context, peer membership.Address, path string, target any) error {
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
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "read reply of peer %s", peer)
	}
	if reply.StatusCode != http.StatusOK {
		return errors.Errorf("peer %s answered %s with status %d", peer, path, reply.StatusCode)
	}
	return errors.Wrapf(json.Unmarshal(body, target), "decode reply of peer %s", peer)
}
