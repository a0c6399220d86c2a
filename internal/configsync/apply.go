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
	// defaultAcceptanceTimeout is the time to wait for acceptance if the request contains none; maxAcceptanceTimeout is the
	// maximum, which replaces a longer time in a request.
	defaultAcceptanceTimeout = 20 * time.Second
	maxAcceptanceTimeout     = 2 * time.Minute
	// writeRetryDelay is the delay between attempts to write a row or to read it back.
	writeRetryDelay = 100 * time.Millisecond
	// maxChangeIDBytes is the maximum length of a change id.
	maxChangeIDBytes = 128
)

// Apply commits a change on its base revision and waits until the change is accepted or the timeout of the request ends. It
// never undoes a committed change. Applying the same change id again on the same base returns the result of the first
// attempt.
func (s *Syncer) Apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptanceTimeout(req))
	defer cancel()
	response := s.apply(ctx, req)
	response.ElapsedMillis = int(time.Since(start).Milliseconds())
	return response
}

// acceptanceTimeout returns how long the request waits for acceptance.
func acceptanceTimeout(req api.ApplyRequest) time.Duration {
	timeout := time.Duration(req.WaitMillis) * time.Millisecond
	if timeout <= 0 {
		return defaultAcceptanceTimeout
	}
	return min(timeout, maxAcceptanceTimeout)
}

func (s *Syncer) apply(ctx context.Context, req api.ApplyRequest) api.ApplyResponse {
	if _, problems := declaration.Parse("", []byte(req.Document)); len(problems) > 0 {
		return api.ApplyResponse{State: api.ApplyInvalid, Problems: problems, Detail: "nothing changed; correct the document"}
	}
	if !req.DryRun && (req.ChangeID == "" || len(req.ChangeID) > maxChangeIDBytes) {
		return invalidResponse("changeID", fmt.Sprintf("must have 1 to %d bytes", maxChangeIDBytes))
	}
	record := api.RevisionRecord{
		ChangeID: req.ChangeID, Author: req.Author, Digest: Digest([]byte(req.Document)), UnixMillis: time.Now().UnixMilli(),
	}
	existing, rejection := s.rowAfterBase(ctx, req)
	switch {
	case rejection != nil:
		return *rejection
	case existing != nil:
		return s.resolveExisting(ctx, *existing, record)
	case req.DryRun:
		return api.ApplyResponse{State: api.ApplyValid, Revision: req.BaseRevision, Detail: "dry run; nothing changed"}
	}
	if err := s.putDocument(ctx, record.Digest, []byte(req.Document)); err != nil {
		return unavailableResponse(err)
	}
	return s.commit(ctx, req.BaseRevision+1, record)
}

// rowAfterBase returns the revision that follows the base revision, or nil if there is none. It rejects a base revision that
// does not exist.
func (s *Syncer) rowAfterBase(ctx context.Context, req api.ApplyRequest) (*api.RevisionDocument, *api.ApplyResponse) {
	if req.BaseRevision < 0 {
		rejection := invalidResponse("baseRevision", "must not be negative; read the current revision with: config show")
		return nil, &rejection
	}
	rows, err := s.opts.Table.Range(ctx, KeyPrefix, Key(req.BaseRevision-1), 2)
	if err != nil {
		rejection := unavailableResponse(err)
		return nil, &rejection
	}
	// A stale read may miss the base revision, but a revision in force at this instance is certainly in the log.
	baseFound := req.BaseRevision <= s.opts.Config.Revision()
	for _, row := range rows {
		doc, err := decodeRow(row)
		if err != nil {
			rejection := unavailableResponse(err)
			return nil, &rejection
		}
		if doc.Revision == req.BaseRevision+1 {
			return doc, nil
		}
		baseFound = baseFound || doc.Revision == req.BaseRevision
	}
	if !baseFound {
		rejection := invalidResponse("baseRevision",
			fmt.Sprintf("revision %d does not exist; read the current revision with: config show", req.BaseRevision))
		return nil, &rejection
	}
	return nil, nil
}

// putDocument stores the document. The write is idempotent, so it is retried after an ambiguous result.
func (s *Syncer) putDocument(ctx context.Context, digest string, document []byte) error {
	for {
		err := s.opts.Objects.PutIfAbsent(ctx, documentPrefix+digest, document)
		if !errors.Is(err, platform.ErrAmbiguous) {
			return errors.Wrap(err, "store the document")
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return errors.Wrap(err, "store the document")
		}
	}
}

// commit inserts the revision's row. After an ambiguous result it reads the row back to find out which change was committed.
func (s *Syncer) commit(ctx context.Context, revision int64, record api.RevisionRecord) api.ApplyResponse {
	value, err := json.Marshal(record)
	if err != nil {
		return unavailableResponse(err)
	}
	ambiguous := false
	for {
		_, err := s.opts.Table.Put(ctx, Key(revision), value, platform.IfAbsent())
		if err == nil {
			return s.awaitAcceptance(ctx, revision)
		}
		storeUnavailable := errors.Is(err, platform.ErrUnavailable)
		if storeUnavailable && !ambiguous {
			return unavailableResponse(err)
		}
		// Unless the error proves that the row was not written, the write may have succeeded.
		ambiguous = ambiguous || !storeUnavailable && !errors.Is(err, platform.ErrConditionFailed)
		row, err := s.opts.Table.Get(ctx, Key(revision))
		if err == nil {
			existing, err := decodeRow(row)
			if err != nil {
				return unknownResponse(revision, err)
			}
			return s.resolveExisting(ctx, *existing, record)
		}
		if err := waitBeforeRetry(ctx); err != nil {
			return unknownResponse(revision, err)
		}
	}
}

// resolveExisting compares the committed revision with the change: the same change is awaited, another one is a conflict.
// The time of the record is not compared, because a repeat of the change has a different time.
func (s *Syncer) resolveExisting(ctx context.Context, existing api.RevisionDocument, record api.RevisionRecord) api.ApplyResponse {
	if existing.Record.ChangeID != record.ChangeID {
		return api.ApplyResponse{
			State:            api.ApplyConflict,
			Revision:         existing.Revision - 1,
			ConflictRevision: existing.Revision,
			ConflictChangeID: existing.Record.ChangeID,
			ConflictAuthor:   existing.Record.Author,
			Detail:           "nothing changed; read the current revision, merge the change into it and apply the result on it",
		}
	}
	if existing.Record.Digest != record.Digest {
		return invalidResponse("changeID",
			fmt.Sprintf("was already used for a different document at revision %d; use a new change id", existing.Revision))
	}
	return s.awaitAcceptance(ctx, existing.Revision)
}

func invalidResponse(field, message string) api.ApplyResponse {
	problem := api.Problem{Line: 1, Field: field, Message: message}
	return api.ApplyResponse{State: api.ApplyInvalid, Problems: []api.Problem{problem}, Detail: "nothing changed"}
}

func unavailableResponse(err error) api.ApplyResponse {
	return api.ApplyResponse{State: api.ApplyUnavailable, Detail: "nothing changed; apply again later: " + err.Error()}
}

func unknownResponse(revision int64, err error) api.ApplyResponse {
	return api.ApplyResponse{
		State: api.ApplyUnknown, Revision: revision,
		Detail: "the change may have been committed; apply it again with the same change id: " + err.Error(),
	}
}

// waitBeforeRetry waits for writeRetryDelay, or returns an error if the context ends before.
func waitBeforeRetry(ctx context.Context) error {
	timer := time.NewTimer(writeRetryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "the request ended before the store gave a definite result")
	}
}
