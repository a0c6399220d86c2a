package session

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/platform"
)

const (
	// maxSessionIDBytes is the longest session identifier in bytes that a caller may choose.
	maxSessionIDBytes = 255
	// storeAttempts limits how often a pin is read and inserted; stale reads and lost replies make a repeat necessary.
	storeAttempts = 3
	// storeTimeout is the timeout of one call to the table service.
	storeTimeout = time.Second
)

// Lookup holds the inputs for resolving the session of one request.
type Lookup struct {
	Organisation string
	Class        string
	// Session is a signed session handle or a session identifier chosen by the caller. It must not be empty.
	Session string
	// ProposedVersions are the versions to which a new session is pinned, one for each model of the chain.
	ProposedVersions []declaration.VersionID
	// Policy is the configuration in force.
	Policy Policy
}

// Pins resolves sessions to their pins. A stored pin never changes, so a cached pin is never out of date.
type Pins struct {
	table  platform.Table
	signer *Signer

	mu    *lockorder.Mutex
	cache *simplelru.LRU[string, Pin]
}

// NewPins returns a resolver that caches up to cacheSize pins of sessions whose identifier was chosen by the caller.
func NewPins(table platform.Table, signer *Signer, cacheSize int) (*Pins, error) {
	cache, err := simplelru.NewLRU[string, Pin](cacheSize, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create session pin cache")
	}
	return &Pins{table: table, signer: signer, mu: lockorder.New(lockorder.RankSessionPins), cache: cache}, nil
}

// IssueHandle returns a signed handle for a new session pinned to the versions.
func (p *Pins) IssueHandle(session, organisation string, versions []declaration.VersionID, now time.Time) (string, error) {
	return p.signer.Sign(session, organisation, NewPin(versions...), now)
}

// Resolve returns the versions to which the session is pinned; the request must not run on any other version. A new session
// is pinned to the proposed versions. Every returned error has the outcome not_run.
func (p *Pins) Resolve(ctx context.Context, lookup Lookup, now time.Time) (Pin, *fault.Error) {
	pin, refused := p.findPin(ctx, lookup, now)
	if refused != nil {
		return Pin{}, refused
	}
	if refused := pin.Check(lookup.Policy, lookup.Organisation, lookup.Class); refused != nil {
		return Pin{}, refused
	}
	return pin, nil
}

func (p *Pins) findPin(ctx context.Context, lookup Lookup, now time.Time) (Pin, *fault.Error) {
	if IsHandle(lookup.Session) {
		handle, refused := p.signer.Verify(lookup.Session, lookup.Organisation, now)
		return handle.Pin, refused
	}
	if lookup.Session == "" || len(lookup.Session) > maxSessionIDBytes {
		return Pin{}, sessionInvalid(fmt.Sprintf("a session identifier has 1 to %d bytes; this one has %d", maxSessionIDBytes, len(lookup.Session)))
	}
	key := RowKey(lookup.Organisation, lookup.Session)
	if pin, ok := p.cachedPin(key); ok {
		return pin, nil
	}
	pin, err := p.readOrInsertPin(ctx, key, NewPin(lookup.ProposedVersions...))
	if err != nil {
		return Pin{}, fault.NotRun(fault.StepSession, fault.CodeSessionUnavailable, "the versions of the session could not be read from the table service").
			WithCause(err).WithAdvice("repeat the request, or send it without a session").WithRetryAfter(time.Second)
	}
	p.cachePin(key, pin)
	return pin, nil
}

// RowKey returns the key of the table row that holds the pin of a session whose identifier was chosen by the caller.
func RowKey(organisation, session string) string {
	return "session/" + url.PathEscape(organisation) + "/" + url.PathEscape(session)
}

func (p *Pins) cachedPin(key string) (Pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Get(key)
}

func (p *Pins) cachePin(key string, pin Pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Add(key, pin)
}

// readOrInsertPin returns the pin in the row. If the row does not exist, it inserts the proposed pin. The first inserted row
// is the pin, so after a lost reply or a concurrent insert by another instance the same read finds it.
func (p *Pins) readOrInsertPin(ctx context.Context, key string, proposed Pin) (Pin, error) {
	var lastErr error
	for range storeAttempts {
		pin, err := p.readPin(ctx, key)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return pin, err
		}
		if proposed.Empty() {
			return Pin{}, errors.New("no versions were proposed for a new session")
		}
		err = p.insertPin(ctx, key, proposed)
		if err == nil {
			return proposed, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return Pin{}, err
		}
		lastErr = err
	}
	return Pin{}, errors.Wrapf(lastErr, "session row could not be read or inserted in %d attempts", storeAttempts)
}

func (p *Pins) readPin(ctx context.Context, key string) (Pin, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	stored, err := p.table.Get(ctx, key)
	if err != nil {
		return Pin{}, errors.Wrap(err, "read session row")
	}
	var record api.SessionPin
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return Pin{}, errors.Wrapf(err, "decode session row %q", key)
	}
	var ids []declaration.VersionID
	for model, version := range record.Versions {
		ids = append(ids, declaration.VersionID{Model: model, Version: version})
	}
	if len(ids) == 0 {
		return Pin{}, errors.Errorf("session row %q names no versions", key)
	}
	return NewPin(ids...), nil
}

func (p *Pins) insertPin(ctx context.Context, key string, pin Pin) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record := api.SessionPin{Versions: map[string]string{}}
	for _, id := range pin.versions {
		record.Versions[id.Model] = id.Version
	}
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode session row")
	}
	_, err = p.table.Put(ctx, key, value, platform.IfAbsent())
	return errors.Wrap(err, "insert session row")
}
