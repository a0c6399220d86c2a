package app

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/billing"
	"github.com/cicadawall/cicadawall/internal/configsync"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/httpsend"
	"github.com/cicadawall/cicadawall/internal/limit"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/platform/httpclient"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/rendezvous"
	"github.com/cicadawall/cicadawall/internal/server/controlhttp"
	"github.com/cicadawall/cicadawall/internal/server/peerhttp"
	"github.com/cicadawall/cicadawall/internal/settings"
	"github.com/cicadawall/cicadawall/internal/table"
)

// peerTimeout bounds one call between instances, so that a dead peer costs little.
const peerTimeout = time.Second

// peerConns bounds the connections to one peer. Each kind of message is sent by one duty, one at a time.
const peerConns = 8

// traffic returns a counter of the control bytes that this instance exchanges with peers or the platform.
func (i *Instance) traffic(with string) func(written, read int) {
	sent := fmt.Sprintf("cicadawall_control_bytes_total{with=%q,direction=%q}", with, "sent")
	received := fmt.Sprintf("cicadawall_control_bytes_total{with=%q,direction=%q}", with, "received")
	return func(written, read int) {
		if written > 0 {
			i.metrics.Count(sent, written)
		}
		if read > 0 {
			i.metrics.Count(received, read)
		}
	}
}

func (i *Instance) buildPlatform() error {
	client, err := httpclient.New(httpclient.Options{
		BaseURL:  i.set.Platform.BaseURL,
		Timeout:  settings.Millis(i.set.Platform.TimeoutMillis),
		Instance: i.set.Instance.Name,
		Traffic:  i.traffic("platform"),
	})
	if err != nil {
		return errors.Wrap(err, "platform client")
	}
	i.closers = append(i.closers, client.Close)
	i.services = client.Services()
	return nil
}

// buildPeers builds membership, configuration and all that instances tell each other.
func (i *Instance) buildPeers(bound time.Duration) error {
	sender := httpsend.New(httpsend.Options{TLS: i.tls.peerClient, MaxConnsPerHost: peerConns, OnTraffic: i.traffic("peers")})
	i.closers = append(i.closers, sender.Close)
	scheme := "http"
	if i.tls.peerClient != nil {
		scheme = "https"
	}
	peers := peerhttp.Client{HTTP: &http.Client{Transport: sender, Timeout: peerTimeout}, Scheme: scheme}
	i.membership = membership.New(membership.Options{
		Registration: api.Registration{
			Incarnation:      i.incarnation,
			Name:             i.set.Instance.Name,
			Ip:               i.set.Instance.AdvertiseIP,
			PeerPort:         settings.PeerPort(i.set),
			AvailabilityZone: i.set.Instance.AvailabilityZone,
			Region:           i.set.Instance.Region,
		},
		Peers:           i.peers,
		Config:          i.config,
		Table:           i.services.Table,
		Instances:       i.services.Instances,
		Transport:       peers,
		Log:             i.log,
		Random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ConfirmConfig:   func(ctx context.Context) error { return i.syncer.Poll(ctx) },
		OnNewerRevision: func(revision int64, peer membership.Address) { i.syncer.PeerReported(revision, peer) },
		DigestInterval:  settings.Millis(i.set.Timing.DigestPullMillis),
		ListInterval:    settings.Millis(i.set.Timing.ListPollMillis),
	})
	i.syncer = configsync.New(configsync.Options{
		Table:             i.services.Table,
		Objects:           i.services.Objects,
		Transport:         peers,
		Peers:             i.peers,
		Config:            i.config,
		Log:               i.log,
		ReadRegistrations: i.membership.CatchUp,
		Trigger:           func(duty string) { i.duties.Trigger(duty) },
		FreshnessBound:    bound,
		PollInterval:      settings.Millis(i.set.Timing.ConfigPollMillis),
	})
	i.control = controlhttp.NewClient(sender, func(incarnation string) (string, bool) { return i.peerURL(scheme, incarnation) })
	i.buildLedger()
	i.limits = newLimits(i.incarnation, i.config, i.peers, i.control)
	return i.buildQuality()
}

func (i *Instance) peerURL(scheme, incarnation string) (string, bool) {
	for _, peer := range i.peers.Live() {
		if peer.Registration.Incarnation == incarnation {
			return fmt.Sprintf("%s://%s", scheme, membership.AddressOf(peer.Registration)), true
		}
	}
	return "", false
}

func (i *Instance) buildLedger() {
	config := billing.Config{
		Table:       i.services.Table,
		Transport:   i.control,
		Peers:       billPeers{self: i.incarnation, zone: i.set.Instance.AvailabilityZone, peers: i.peers},
		Incarnation: i.incarnation,
		Instances:   func() int { return max(1, i.peers.Count()) },
		MinFlush:    settings.Millis(i.set.Timing.BillFlushMillis),
		Wake:        func(duty string) { i.duties.Trigger(duty) },
	}
	i.ledger = billing.NewLedger(config)
	i.copies = billing.NewCopies(config)
}

func (i *Instance) buildQuality() error {
	owner, err := quality.NewOwner(i.versions, i.log, i.quarantine)
	if err != nil {
		return err
	}
	i.owner = owner
	i.reporter = quality.NewReporter(quality.ReporterOptions{
		Incarnation: i.incarnation,
		Members:     func() []string { return limitView(i.incarnation, nil, i.peers).Members },
		Classes:     i.classNames,
		Transport:   i.control,
		Owner:       owner,
		Table:       i.versions,
		HoldVersion: i.config.Hold,
	})
	i.sampler, err = quality.NewSampler(i.versions, i.services.Ratings, i.incarnation, i.reporter, i.classes.Rated)
	return err
}

func (i *Instance) classNames() []string {
	snapshot := i.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	names := make([]string, 0, len(snapshot.Document.Classes))
	for _, class := range snapshot.Document.Classes {
		names = append(names, class.Name)
	}
	return names
}

// quarantine marks a version as quarantined at once here and starts the configuration change that does so everywhere.
func (i *Instance) quarantine(id declaration.VersionID, reason string) {
	i.config.Hold(id, reason)
	i.duties.Trigger(DutyQuarantine)
}

// peerHandlers returns the handlers of bills, evidence and demand.
func (i *Instance) controlHandlers() controlhttp.Handlers {
	return controlhttp.Handlers{
		BillCopy: i.copies.Receive,
		Evidence: i.owner.AcceptReport,
		Demand: func(report api.DemandReport) (api.LimitGrants, error) {
			if len(report.Demands) == 0 {
				i.demand.Take(report, time.Now())
				return api.LimitGrants{}, nil
			}
			view := i.limits.view()
			return i.limits.allocator.HandleReport(report, view.Members, view.LimitsOf, time.Now()), nil
		},
	}
}

// billPeers chooses the holder of this instance's bill copies among the peers.
type billPeers struct {
	self  string
	zone  string
	peers *table.Peers
}

// CopyHolders implements billing.Peers: live peers of other availability zones, in an order that differs between instances so
// that holders share the work.
func (b billPeers) CopyHolders() []string {
	var holders []string
	for _, peer := range b.peers.Live() {
		registration := peer.Registration
		if registration.AvailabilityZone != b.zone && registration.Incarnation != b.self {
			holders = append(holders, registration.Incarnation)
		}
	}
	rendezvous.Sort(b.self, holders)
	return holders
}

// Gone implements billing.Peers.
func (b billPeers) Gone(incarnation string) bool {
	for _, peer := range b.peers.Live() {
		if peer.Registration.Incarnation == incarnation {
			return false
		}
	}
	return true
}

var _ limit.Transport = (*controlhttp.Client)(nil)
