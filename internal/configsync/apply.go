package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	// defaultWait is the wait for acceptance when the request names none; longestWait is the longest one accepted.
	defaultWait = 20 * time.Second
	longestWait = 2 * time.Minute
	// writeRetry is the wait between attempts to write or read back.
	writeRetry = 100 * time.Millisecond
	// maxChangeID is the longest change id in bytes.
	maxChangeID = 128
)

// Apply commits a change on its base revision and waits until it is accepted or the wait ends. It never undoes a
// committed change. Applying the same change id again on the same base returns the result of the first attempt.
func (s *Syncer) Apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, waitOf(req))
	defer cancel()
	response := s.apply(ctx, req)
	response.ElapsedMillis = int(time.Since(start).Milliseconds())
	return response
}

func waitOf(req api.ApplyRequest) time.Duration {
	wait := time.Duration(req.WaitMillis) * time.Millisecond
	if wait <= 0 {
		return defaultWait
	}
	return min(wait, longestWait)
}

func (s *Syncer) apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse {
	if _, problems := declaration.Parse("", []byte(req.Document)); len(problems) > 0 {
		return api.ApplyResponse{State: api.ApplyInvalid, Problems: problems, Detail: "nothing changed; correct the document"}
	}
	if !req.DryRun && (req.ChangeID == "" || len(req.ChangeID) > maxChangeID) {
		return invalid("changeID", fmt.Sprintf("must have 1 to %d bytes", maxChangeID))
	}
	record := api.RevisionRecord{
		ChangeID: req.ChangeID, Author: req.Author, Digest: Digest([]byte(req.Document)), UnixMillis: time.Now().UnixMilli(),
	}
	existing, refused := s.atBase(ctx, req)
	switch {
	case refused != nil:
		return *refused
	case existing != nil:
		return s.resolve(ctx, *existing, record)
	case req.DryRun:
		return api.ApplyResponse{State: api.ApplyValid, Revision: req.BaseRevision, Detail: "dry run; nothing changed"}
	}
	if err := s.putDocument(ctx, record.Digest, []byte(req.Document)); err != nil {
		return unavailable(err)
	}
	return s.commit(ctx, req.BaseRevision+1, record)
}

// atBase reads the row that follows the base revision. It refuses a base that does not exist.
func (s *Syncer) atBase(ctx context.Context, req api.ApplyRequest) (*api.RevisionDocument, *api.ApplyResponse) {
	if req.BaseRevision < 0 {
		refused := invalid("baseRevision", "must not be negative; read the present revision with: config show")
		return nil, &refused
	}
	rows, err := s.opts.Table.Range(ctx, Prefix, Key(req.BaseRevision-1), 2)
	if err != nil {
		refused := unavailable(err)
		return nil, &refused
	}
	// A stale read may miss the base. A revision in force here is in the log.
	baseFound := req.BaseRevision <= s.opts.Config.Revision()
	for _, row := range rows {
		doc, err := decodeRow(row)
		if err != nil {
			refused := unavailable(err)
			return nil, &refused
		}
		if doc.Revision == req.BaseRevision+1 {
			return doc, nil
		}
		baseFound = baseFound || doc.Revision == req.BaseRevision
	}
	if !baseFound {
		refused := invalid("baseRevision", fmt.Sprintf("revision %d does not exist; read the present revision with: config show", req.BaseRevision))
		return nil, &refused
	}
	return nil, nil
}

// putDocument stores the document. Storing it again is harmless, so an ambiguous result is repeated.
func (s *Syncer) putDocument(ctx context.Context, digest string, document []byte) error {
	for {
		err := s.opts.Objects.PutIfAbsent(ctx, documentPrefix+digest, document)
		if !errors.Is(err, platform.ErrAmbiguous) {
			return errors.Wrap(err, "store the document")
		}
		if err := pause(ctx); err != nil {
			return errors.Wrap(err, "store the document")
		}
	}
}

// commit inserts the revision's row. After an ambiguous result only the row itself tells what happened.
func (s *Syncer) commit(ctx context.Context, revision int64, record api.RevisionRecord) api.ApplyResponse {
	value, err := json.Marshal(record)
	if err != nil {
		return unavailable(err)
	}
	ambiguous := false
	for {
		_, err := s.opts.Table.Put(ctx, Key(revision), value, platform.IfAbsent())
		if err == nil {
			return s.await(ctx, revision)
		}
		refused := errors.Is(err, platform.ErrUnavailable)
		if refused && !ambiguous {
			return unavailable(err)
		}
		// An error that is not known to be without effect may have had one.
		ambiguous = ambiguous || !refused && !errors.Is(err, platform.ErrConditionFailed)
		row, err := s.opts.Table.Get(ctx, Key(revision))
		if err == nil {
			existing, err := decodeRow(row)
			if err != nil {
				return unknown(revision, err)
			}
			return s.resolve(ctx, *existing, record)
		}
		if err := pause(ctx); err != nil {
			return unknown(revision, err)
		}
	}
}

// resolve compares the row that holds the revision with the change. The time of the record does not count: a repeat of
// the change has another one.
func (s *Syncer) resolve(ctx context.Context, existing api.RevisionDocument, record api.RevisionRecord) api.ApplyResponse {
	if existing.Record.ChangeID != record.ChangeID {
		return api.ApplyResponse{
			State:            api.ApplyConflict,
			Revision:         existing.Revision - 1,
			ConflictRevision: existing.Revision,
			ConflictChangeID: existing.Record.ChangeID,
			ConflictAuthor:   existing.Record.Author,
			Detail:           "nothing changed; read the present revision, merge and apply on it",
		}
	}
	if existing.Record.Digest != record.Digest {
		return invalid("changeID", fmt.Sprintf("was used for another document at revision %d; use a new change id", existing.Revision))
	}
	return s.await(ctx, existing.Revision)
}

func invalid(field, message string) api.ApplyResponse {
	problem := api.Problem{Line: 1, Field: field, Message: message}
	return api.ApplyResponse{State: api.ApplyInvalid, Problems: []api.Problem{problem}, Detail: "nothing changed"}
}

func unavailable(err error) api.ApplyResponse {
	return api.ApplyResponse{State: api.ApplyUnavailable, Detail: "nothing changed; apply again later: " + err.Error()}
}

func unknown(revision int64, err error) api.ApplyResponse {
	return api.ApplyResponse{
		State: api.ApplyUnknown, Revision: revision,
		Detail: "the change may have been committed; apply it again with the same change id: " + err.Error(),
	}
}

func pause(ctx context.Context) error {
	timer := time.NewTimer(writeRetry)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "no result in time")
	}
}
