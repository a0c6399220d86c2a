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
	registerRetry   = 200 * time.Millisecond
	registerTimeout = 10 * time.Second
	callTimeout     = time.Second
)

// Registration is an entry of the platform stand-in's instance list.
type Registration struct {
	// Platform is the base URL of the platform stand-in.
	Platform string
	Entry    api.InstanceEntry
}

// Entry returns the entry of a stand-in that listens at the address.
func Entry(kind api.InstanceEntryKind, listen string) (api.InstanceEntry, error) {
	host, portText, err := net.SplitHostPort(listen)
	if err != nil {
		return api.InstanceEntry{}, errors.Wrapf(err, "listen address %q", listen)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return api.InstanceEntry{}, errors.Wrapf(err, "listen address %q", listen)
	}
	return api.InstanceEntry{Kind: kind, Ip: host, Port: port, State: api.InstanceLive}, nil
}

// Add puts the entry into the list. It retries for 10 s, because the platform stand-in may start later.
func (r Registration) Add(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	body, err := json.Marshal(r.Entry)
	if err != nil {
		return errors.Wrap(err, "encode instance entry")
	}
	for {
		err = r.call(ctx, http.MethodPut, "", body)
		if err == nil || ctx.Err() != nil {
			return err
		}
		Wait(ctx, registerRetry)
	}
}

// Leave marks the entry as leaving.
func (r Registration) Leave(ctx context.Context) error {
	return r.call(ctx, http.MethodPost, "/leave", nil)
}

// Remove deletes the entry.
func (r Registration) Remove(ctx context.Context) error {
	return r.call(ctx, http.MethodDelete, "", nil)
}

func (r Registration) call(ctx context.Context, method, suffix string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := strings.TrimRight(r.Platform, "/") + "/standin/v1/list/" + url.PathEscape(r.Entry.Id) + suffix
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build registration")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "register in the instance list")
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("register in the instance list: status %d", response.StatusCode)
	}
	return nil
}
