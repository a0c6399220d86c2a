// Package configsync follows the log of configuration revisions: it puts each new revision in force at this instance,
// commits the changes of operators and decides when a change is accepted (docs/design.md section 6.1).
package configsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/membership"
	"github.com/cicadawall/cicadawall/internal/platform"
	"github.com/cicadawall/cicadawall/internal/table"
	"github.com/cicadawall/cicadawall/internal/worker"
)

const (
	// KeyPrefix is the key prefix of the revision log in the table service.
	KeyPrefix = "config/rev/"
	// documentPrefix is the key prefix of documents in the object store; the digest follows.
	documentPrefix = "config/document/"
	// rangePageRows is the maximum number of rows of one range read.
	rangePageRows = 100
	// storeTimeout bounds the read from the store in an immediate fetch. After it the fetch asks the reporting peer.
	storeTimeout = 500 * time.Millisecond
	// dutyTimeout is the timeout of one run of a duty.
	dutyTimeout = 5 * time.Second
	// fetchRetryInterval is the interval at which a failed fetch is repeated.
	fetchRetryInterval = time.Second
)

// Names of the periodic duties.
const (
	DutyPoll  = "configuration-poll"
	DutyFetch = "configuration-fetch"
)

// Options are the dependencies and settings of a Syncer.
type Options struct {
	Table     platform.Table
	Objects   platform.Objects
	Transport membership.Transport
	Peers     *table.Peers
	Config    *table.Config
	Log       *slog.Logger
	// ReadRegistrations reads the registration log to its end.
	ReadRegistrations func(ctx context.Context) error
	// TriggerDuty runs a duty at once, outside its interval.
	TriggerDuty func(duty string)
	// FreshnessBound is the age after which a confirmation is no longer fresh.
	FreshnessBound time.Duration
	// PollInterval is the shortest interval between polls.
	PollInterval time.Duration
}

// Syncer keeps the configuration of one instance up to date with the revision log.
type Syncer struct {
	opts      Options
	revisions *revisionTable
}

// New returns a syncer.
func New(opts Options) *Syncer { return &Syncer{opts: opts, revisions: newRevisionTable()} }

// Duties returns the periodic duties of the syncer.
func (s *Syncer) Duties() []worker.Duty {
	interval := func() time.Duration {
		return membership.PollInterval(s.opts.Peers.Count(), s.opts.PollInterval)
	}
	return []worker.Duty{
		{Name: DutyPoll, Interval: interval, Timeout: dutyTimeout, Run: s.PollOrColdStart},
		{Name: DutyFetch, Interval: worker.Every(fetchRetryInterval), Timeout: dutyTimeout, Run: s.Fetch},
	}
}

// Key returns the key of the revision's row. Keys sort by revision.
func Key(revision int64) string { return fmt.Sprintf("%s%020d", KeyPrefix, revision) }

func parseKey(key string) (int64, error) {
	var revision int64
	if _, err := fmt.Sscanf(key, KeyPrefix+"%d", &revision); err != nil {
		return 0, errors.Wrapf(err, "key %q is not the key of a revision row", key)
	}
	return revision, nil
}

// Poll reads the log after the revision in force, puts the newest revision in force and confirms it.
func (s *Syncer) Poll(ctx context.Context) error {
	start := time.Now()
	current := s.opts.Config.Revision()
	newest, err := s.newestInLog(ctx, current)
	if err != nil {
		return err
	}
	if newest != nil {
		s.opts.Config.ObserveRevision(newest.Revision)
		if err := s.fetchDocument(ctx, newest); err != nil {
			return err
		}
		current = newest.Revision
	}
	if current > 0 {
		s.opts.Config.Confirm(current, start)
	}
	s.opts.Peers.ConfirmOwnRevision(current, start)
	return nil
}

// newestInLog returns the last revision of the log after the given revision, without its document; nil if there is none.
func (s *Syncer) newestInLog(ctx context.Context, after int64) (*api.RevisionDocument, error) {
	var last *api.RevisionDocument
	for {
		rows, err := s.opts.Table.Range(ctx, KeyPrefix, Key(after), rangePageRows)
		if err != nil {
			return nil, errors.Wrap(err, "read the revision log")
		}
		if len(rows) > 0 {
			if last, err = decodeRow(rows[len(rows)-1]); err != nil {
				return nil, err
			}
			after = last.Revision
		}
		if len(rows) < rangePageRows {
			return last, nil
		}
	}
}

func decodeRow(row api.Row) (*api.RevisionDocument, error) {
	revision, err := parseKey(row.Key)
	if err != nil {
		return nil, err
	}
	doc := &api.RevisionDocument{Revision: revision}
	if err := json.Unmarshal(row.Value, &doc.Record); err != nil {
		return nil, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return doc, nil
}

// fetchDocument reads the revision's document from the object store, or if that fails from a peer that reports the revision,
// and puts it in force.
func (s *Syncer) fetchDocument(ctx context.Context, doc *api.RevisionDocument) error {
	text, err := s.opts.Objects.Get(ctx, documentPrefix+doc.Record.Digest)
	if err == nil {
		doc.Document = string(text)
		return s.install(*doc)
	}
	for _, peer := range s.opts.Peers.RegisteredInstances() {
		if self, _ := s.opts.Peers.Self(); peer.Sequence == self || peer.Revision < doc.Revision || ctx.Err() != nil {
			continue
		}
		if s.fetchFromPeer(ctx, doc.Revision, membership.AddressOf(peer.Registration)) == nil {
			return nil
		}
	}
	return errors.Wrapf(err, "read document of revision %d", doc.Revision)
}

// fetchFromPeer reads the revision in force at a peer and puts it in force here. It fails if that revision is older than
// minRevision.
func (s *Syncer) fetchFromPeer(ctx context.Context, minRevision int64, peer membership.Address) error {
	doc, err := s.opts.Transport.Revision(ctx, peer, minRevision)
	if err != nil {
		return errors.Wrapf(err, "read revision %d from peer %s", minRevision, peer)
	}
	if doc.Revision < minRevision {
		return errors.Errorf("peer %s sent revision %d instead of %d", peer, doc.Revision, minRevision)
	}
	return s.install(doc)
}

// install verifies a document and puts it in force. It does not replace a newer revision.
func (s *Syncer) install(doc api.RevisionDocument) error {
	if digest := Digest([]byte(doc.Document)); digest != doc.Record.Digest {
		return fault.NotRun(fault.StepConfigure, fault.CodeInternal,
			fmt.Sprintf("document of revision %d has digest %s instead of %s", doc.Revision, digest, doc.Record.Digest))
	}
	decl, problems := declaration.Parse(Key(doc.Revision), []byte(doc.Document))
	if len(problems) > 0 {
		return fault.NotRun(fault.StepConfigure, fault.CodeInternal,
			fmt.Sprintf("document of revision %d is not valid at this instance: line %d: %s", doc.Revision, problems[0].Line, problems[0].Message))
	}
	s.revisions.setInForce(doc)
	if s.opts.Config.Install(declaration.Compile(doc.Revision, decl)) {
		s.opts.Log.Info("configuration in force", "revision", doc.Revision, "change_id", doc.Record.ChangeID, "author", doc.Record.Author,
			"evacuated_zones", decl.EvacuatedAvailabilityZones)
	}
	s.opts.Peers.SetOwnRevision(s.opts.Config.Revision())
	return nil
}

// Digest returns the digest of a document, SHA-256 in hex.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Document returns the document in force, for peers and operators. It returns false if there is none or if it is older than
// minRevision.
func (s *Syncer) Document(minRevision int64) (api.RevisionDocument, bool) {
	doc := s.revisions.documentInForce()
	return doc, doc.Revision > 0 && doc.Revision >= minRevision
}
