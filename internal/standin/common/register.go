package common

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

const (
	registerRetryInterval = 200 * time.Millisecond
	registerTimeout       = 10 * time.Second
	requestTimeout        = time.Second
)

// Registration is a stand-in's entry in the instance list of the platform stand-in.
type Registration struct {
	// Platform is the base URL of the platform stand-in.
	Platform string
	Entry    api.InstanceEntry
}

// NewEntry returns the instance list entry of a live stand-in of the kind that listens on the address, given as IP:port.
func NewEntry(kind api.InstanceEntryKind, address string) (api.InstanceEntry, error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return api.InstanceEntry{}, errors.Wrapf(err, "parse listen address %q", address)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return api.InstanceEntry{}, errors.Wrapf(err, "parse listen address %q", address)
	}
	return api.InstanceEntry{Kind: kind, Ip: host, Port: port, State: api.InstanceLive}, nil
}

// Add adds the entry to the list. It retries for 10 s, because the platform stand-in may start later than the caller.
func (r Registration) Add(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(r.Entry)
	if err != nil {
		return errors.Wrap(err, "encode instance entry")
	}
	for {
		err = r.send(ctx, http.MethodPut, "", body)
		if err == nil || ctx.Err() != nil {
			return err
		}
		Sleep(ctx, registerRetryInterval)
	}
}

// MarkLeaving marks the entry as leaving.
func (r Registration) MarkLeaving(ctx context.Context) error {
	return r.send(ctx, http.MethodPost, "/leave", nil)
}

// Remove deletes the entry.
func (r Registration) Remove(ctx context.Context) error {
	return r.send(ctx, http.MethodDelete, "", nil)
}

func (r Registration) send(ctx context.Context, method, suffix string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	target := strings.TrimRight(r.Platform, "/") + "/standin/v1/list/" + url.PathEscape(r.Entry.Id) + suffix
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build instance list request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "update the instance list")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("update the instance list: status %d", response.StatusCode)
	}
	return nil
}
