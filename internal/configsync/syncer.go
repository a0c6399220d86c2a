// Package configsync follows the log of configuration revisions: it puts each new revision in force at this instance,
// applies changes of operators and decides when a change is accepted (docs/design.md section 6.1).
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
	// Prefix is the key prefix of the revision log in the table service.
	Prefix = "config/rev/"
	// documentPrefix is the key prefix of documents in the object store; the digest follows.
	documentPrefix = "config/document/"
	// rangeLimit is the number of rows of one range read.
	rangeLimit = 100
	// storeWait bounds the store's part of an immediate fetch, after which the reporting peer is asked.
	storeWait = 500 * time.Millisecond
	// dutyTimeout bounds one run of a duty.
	dutyTimeout = 5 * time.Second
	// fetchRetry is the interval at which a fetch that failed is repeated.
	fetchRetry = time.Second
)

// Names of the periodic duties.
const (
	DutyPoll  = "configuration-poll"
	DutyFetch = "configuration-fetch"
)

// Options are the parts that a syncer works with.
type Options struct {
	Table     platform.Table
	Objects   platform.Objects
	Transport membership.Transport
	Peers     *table.Peers
	Config    *table.Config
	Log       *slog.Logger
	// Registrations reads the registration log to its end.
	Registrations func(ctx context.Context) error
	// Trigger starts a duty at once.
	Trigger func(duty string)
	// Bound is the age after which a confirmation is no longer fresh.
	Bound time.Duration
	// PollInterval is the shortest interval between polls.
	PollInterval time.Duration
}

// Syncer keeps the configuration of one instance in step with the log.
type Syncer struct {
	opts Options
	held *held
}

// New returns a syncer.
func New(opts Options) *Syncer { return &Syncer{opts: opts, held: newHeld()} }

// Duties returns the periodic duties of the syncer.
func (s *Syncer) Duties() []worker.Duty {
	interval := func() time.Duration {
		return membership.PollInterval(s.opts.Peers.Count(), s.opts.PollInterval)
	}
	return []worker.Duty{
		{Name: DutyPoll, Interval: interval, Timeout: dutyTimeout, Run: s.PollOrColdStart},
		{Name: DutyFetch, Interval: worker.Every(fetchRetry), Timeout: dutyTimeout, Run: s.Fetch},
	}
}

// Key returns the key of the revision's row.
func Key(revision int64) string { return fmt.Sprintf("%s%020d", Prefix, revision) }

func parseKey(key string) (int64, error) {
	var revision int64
	if _, err := fmt.Sscanf(key, Prefix+"%d", &revision); err != nil {
		return 0, errors.Wrapf(err, "key %q is not a revision", key)
	}
	return revision, nil
}

// Poll reads the log after the revision in force, puts the newest one in force and confirms it.
func (s *Syncer) Poll(ctx context.Context) error {
	start := time.Now()
	current := s.opts.Config.Revision()
	newest, err := s.newest(ctx, current)
	if err != nil {
		return err
	}
	if newest != nil {
		s.opts.Config.ObserveRevision(newest.Revision)
		if err := s.fetch(ctx, newest); err != nil {
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

// newest returns the last row of the log after the revision, without its document; nil if there is none.
func (s *Syncer) newest(ctx context.Context, after int64) (*api.RevisionDocument, error) {
	var last *api.RevisionDocument
	for {
		rows, err := s.opts.Table.Range(ctx, Prefix, Key(after), rangeLimit)
		if err != nil {
			return nil, errors.Wrap(err, "read the revision log")
		}
		if len(rows) > 0 {
			if last, err = decodeRow(rows[len(rows)-1]); err != nil {
				return nil, err
			}
			after = last.Revision
		}
		if len(rows) < rangeLimit {
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

// fetch reads the revision's document from the object store, else from peers that report it, and installs it.
func (s *Syncer) fetch(ctx context.Context, doc *api.RevisionDocument) error {
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

// fetchFromPeer installs the revision in force at a peer, if it is at least the one given.
func (s *Syncer) fetchFromPeer(ctx context.Context, revision int64, peer membership.Address) error {
	doc, err := s.opts.Transport.Revision(ctx, peer, revision)
	if err != nil {
		return errors.Wrapf(err, "read revision %d from peer %s", revision, peer)
	}
	if doc.Revision < revision {
		return errors.Errorf("peer %s sent revision %d instead of %d", peer, doc.Revision, revision)
	}
	return s.install(doc)
}

// install verifies a document and puts it in force.
func (s *Syncer) install(doc api.RevisionDocument) error {
	if digest := Digest([]byte(doc.Document)); digest != doc.Record.Digest {
		return fault.NotRun(fault.StepConfigure, fault.CodeInternal,
			fmt.Sprintf("document of revision %d has digest %s instead of %s", doc.Revision, digest, doc.Record.Digest))
	}
	decl, problems := declaration.Parse(Key(doc.Revision), []byte(doc.Document))
	if len(problems) > 0 {
		return fault.NotRun(fault.StepConfigure, fault.CodeInternal,
			fmt.Sprintf("revision %d is not valid here: line %d: %s", doc.Revision, problems[0].Line, problems[0].Message))
	}
	s.held.keep(doc)
	if s.opts.Config.Install(declaration.Compile(doc.Revision, decl)) {
		s.opts.Log.Info("configuration in force", "revision", doc.Revision, "change_id", doc.Record.ChangeID, "author", doc.Record.Author)
	}
	s.opts.Peers.SetOwnRevision(s.opts.Config.Revision())
	return nil
}

// Digest returns the digest of a document, SHA-256 in hex.
func Digest(document []byte) string {
	sum := sha256.Sum256(document)
	return hex.EncodeToString(sum[:])
}

// Document returns the document in force, which peers and operators read. It returns false if it is older than the
// revision given or if there is none.
func (s *Syncer) Document(revision int64) (api.RevisionDocument, bool) {
	doc := s.held.current()
	return doc, doc.Revision > 0 && doc.Revision >= revision
}
