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

// peerTimeout bounds one call to a peer, so that an unreachable peer delays a duty only briefly.
const peerTimeout = time.Second

// maxConnsPerPeer bounds the connections to one peer. Each kind of message is sent by a single duty, one message at a time.
const maxConnsPerPeer = 8

// trafficCounter returns a function that counts the bytes of control traffic with the remote side: "peers" or "platform".
func (i *Instance) trafficCounter(remote string) func(written, read int) {
	sent := fmt.Sprintf("cicadawall_control_bytes_total{with=%q,direction=%q}", remote, "sent")
	received := fmt.Sprintf("cicadawall_control_bytes_total{with=%q,direction=%q}", remote, "received")
	return func(written, read int) {
		if written > 0 {
			i.metrics.AddToCounter(sent, written)
		}
		if read > 0 {
			i.metrics.AddToCounter(received, read)
		}
	}
}

func (i *Instance) buildPlatformClient() error {
	client, err := httpclient.New(httpclient.Options{
		BaseURL:  i.settings.Platform.BaseURL,
		Timeout:  settings.Millis(i.settings.Platform.TimeoutMillis),
		Instance: i.settings.Instance.Name,
		Traffic:  i.trafficCounter("platform"),
		InvalidEntry: func(entry []byte, err error) {
			i.log.Warn("invalid entry of the instance list ignored", "bytes", len(entry), "error", err.Error())
		},
	})
	if err != nil {
		return errors.Wrap(err, "build the platform client")
	}
	i.closers = append(i.closers, client.Close)
	i.services = client.Services()
	return nil
}

// buildPeers builds the components that communicate with peers: membership, configuration, bills, limits and quality
// evidence.
func (i *Instance) buildPeers(freshnessBound time.Duration) error {
	sender := httpsend.New(httpsend.Options{TLS: i.tlsConfigs.peerClient, MaxConnsPerHost: maxConnsPerPeer, OnTraffic: i.trafficCounter("peers")})
	i.closers = append(i.closers, sender.Close)
	scheme := "http"
	if i.tlsConfigs.peerClient != nil {
		scheme = "https"
	}
	peers := peerhttp.Client{HTTP: &http.Client{Transport: sender, Timeout: peerTimeout}, Scheme: scheme}
	i.membership = membership.New(membership.Options{
		Registration: api.Registration{
			Incarnation:      i.incarnation,
			Name:             i.settings.Instance.Name,
			Ip:               i.settings.Instance.AdvertiseIP,
			PeerPort:         settings.PeerPort(i.settings),
			AvailabilityZone: i.settings.Instance.AvailabilityZone,
			Region:           i.settings.Instance.Region,
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
		DigestInterval:  settings.Millis(i.settings.Timing.DigestPullMillis),
		ListInterval:    settings.Millis(i.settings.Timing.ListPollMillis),
	})
	i.syncer = configsync.New(configsync.Options{
		Table:             i.services.Table,
		Objects:           i.services.Objects,
		Transport:         peers,
		Peers:             i.peers,
		Config:            i.config,
		Log:               i.log,
		ReadRegistrations: i.membership.CatchUp,
		TriggerDuty:       func(duty string) { i.duties.Trigger(duty) },
		FreshnessBound:    freshnessBound,
		PollInterval:      settings.Millis(i.settings.Timing.ConfigPollMillis),
	})
	i.control = controlhttp.NewClient(sender, func(incarnation string) (string, bool) { return i.peerURL(scheme, incarnation) })
	i.buildLedger()
	i.limits = newLimitAdapter(i.incarnation, i.config, i.peers, i.control)
	return i.buildQuality()
}

func (i *Instance) peerURL(scheme, incarnation string) (string, bool) {
	for _, peer := range i.peers.RegisteredInstances() {
		if peer.Registration.Incarnation == incarnation {
			return fmt.Sprintf("%s://%s", scheme, membership.AddressOf(peer.Registration)), true
		}
	}
	return "", false
}

func (i *Instance) buildLedger() {
	config := billing.Config{
		Table:            i.services.Table,
		Transport:        i.control,
		Peers:            billPeers{self: i.incarnation, zone: i.settings.Instance.AvailabilityZone, peers: i.peers},
		Incarnation:      i.incarnation,
		InstanceCount:    func() int { return max(1, i.peers.Count()) },
		MinFlushInterval: settings.Millis(i.settings.Timing.BillFlushMillis),
		TriggerDuty:      func(duty string) { i.duties.Trigger(duty) },
	}
	i.ledger = billing.NewLedger(config)
	i.billCopies = billing.NewCopies(config)
}

func (i *Instance) buildQuality() error {
	owner, err := quality.NewOwner(i.versions, i.log, i.quarantineVersion)
	if err != nil {
		return err
	}
	i.owner = owner
	i.reporter = quality.NewReporter(quality.ReporterOptions{
		Incarnation: i.incarnation,
		Members:     func() []string { return buildFleetView(i.incarnation, nil, i.peers).Members },
		Classes:     i.classNames,
		Transport:   i.control,
		Owner:       owner,
		Table:       i.versions,
		HoldVersion: i.config.HoldVersion,
	})
	i.sampler, err = quality.NewSampler(i.versions, i.services.Ratings, i.incarnation, i.reporter, i.classes.RecordRating)
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

// quarantineVersion stops using a version at this instance at once and triggers the configuration change that quarantines it
// at all instances.
func (i *Instance) quarantineVersion(id declaration.VersionID, reason string) {
	i.config.HoldVersion(id, reason)
	i.duties.Trigger(DutyQuarantine)
}

// controlHandlers returns the handlers of the bill copies, quality evidence and demand that peers send.
func (i *Instance) controlHandlers() controlhttp.Handlers {
	return controlhttp.Handlers{
		BillCopy: i.billCopies.Receive,
		Evidence: i.owner.AcceptReport,
		Demand: func(report api.DemandReport) (api.LimitGrants, error) {
			if len(report.Demands) == 0 {
				i.demand.HandleReport(report, time.Now())
				return api.LimitGrants{}, nil
			}
			view := i.limits.fleetView()
			return i.limits.allocator.HandleReport(report, view.Members, view.LimitsOf, time.Now()), nil
		},
	}
}

// billPeers selects the peers that hold copies of this instance's bills.
type billPeers struct {
	self  string
	zone  string
	peers *table.Peers
}

// CopyHolders implements billing.Peers. It returns the registered peers in other availability zones, in rendezvous order. The
// order differs between instances, which spreads the copies over the holders.
func (b billPeers) CopyHolders() []string {
	var holders []string
	for _, peer := range b.peers.RegisteredInstances() {
		registration := peer.Registration
		if registration.AvailabilityZone != b.zone && registration.Incarnation != b.self {
			holders = append(holders, registration.Incarnation)
		}
	}
	rendezvous.Sort(b.self, holders)
	return holders
}

// HasLeft implements billing.Peers.
func (b billPeers) HasLeft(incarnation string) bool {
	for _, peer := range b.peers.RegisteredInstances() {
		if peer.Registration.Incarnation == incarnation {
			return false
		}
	}
	return true
}

var _ limit.Transport = (*controlhttp.Client)(nil)
