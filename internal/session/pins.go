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
	// maxIDLength is the longest session identifier in bytes that a caller may choose.
	maxIDLength = 255
	// storeAttempts bounds how often a pin is read and inserted again after stale reads and lost replies.
	storeAttempts = 3
	// storeTimeout bounds one call to the table service.
	storeTimeout = time.Second
)

// Lookup asks for the pin of one request.
type Lookup struct {
	Organisation string
	Class        string
	// Session is a signed handle or an identifier that the caller chose. It must not be empty.
	Session string
	// Proposed are the versions to pin, one for each model of the chain, if the session is new.
	Proposed []declaration.VersionID
	// Policy is the configuration in force.
	Policy Policy
}

// Pins resolves sessions. Pins never change once written, so a cached pin is always right.
type Pins struct {
	table  platform.Table
	signer *Signer

	mu    *lockorder.Mutex
	cache *simplelru.LRU[string, Pin]
}

// NewPins returns a resolver that caches up to cacheSize pins of caller-chosen sessions.
func NewPins(table platform.Table, signer *Signer, cacheSize int) (*Pins, error) {
	cache, err := simplelru.NewLRU[string, Pin](cacheSize, nil)
	if err != nil {
		return nil, errors.Wrap(err, "create session pin cache")
	}
	return &Pins{table: table, signer: signer, mu: lockorder.New(lockorder.RankSessionPins), cache: cache}, nil
}

// Issue returns a signed handle for a new session pinned to the versions.
func (p *Pins) Issue(session, organisation string, versions []declaration.VersionID, now time.Time) (string, error) {
	return p.signer.Sign(session, organisation, NewPin(versions...), now)
}

// Resolve returns the versions to which the session is pinned; the request may run on no other. If the session is new, it
// is pinned to the proposed versions. Every refusal has the outcome not_run.
func (p *Pins) Resolve(ctx context.Context, l Lookup, now time.Time) (Pin, *fault.Error) {
	pin, refused := p.find(ctx, l, now)
	if refused != nil {
		return Pin{}, refused
	}
	if refused := pin.Check(l.Policy, l.Organisation, l.Class); refused != nil {
		return Pin{}, refused
	}
	return pin, nil
}

func (p *Pins) find(ctx context.Context, l Lookup, now time.Time) (Pin, *fault.Error) {
	if IsHandle(l.Session) {
		handle, refused := p.signer.Verify(l.Session, l.Organisation, now)
		return handle.Pin, refused
	}
	if l.Session == "" || len(l.Session) > maxIDLength {
		return Pin{}, invalid(fmt.Sprintf("a session identifier has 1 to %d bytes; this one has %d", maxIDLength, len(l.Session)))
	}
	key := RowKey(l.Organisation, l.Session)
	if pin, ok := p.cached(key); ok {
		return pin, nil
	}
	pin, err := p.readOrInsert(ctx, key, NewPin(l.Proposed...))
	if err != nil {
		return Pin{}, fault.NotRun(fault.StepSession, fault.CodeSessionUnavailable, "the versions of the session could not be read").
			WithCause(err).WithAdvice("repeat the request, or send it without a session").WithRetryAfter(time.Second)
	}
	p.remember(key, pin)
	return pin, nil
}

// RowKey returns the key of the row of a caller-chosen session.
func RowKey(organisation, session string) string {
	return "session/" + url.PathEscape(organisation) + "/" + url.PathEscape(session)
}

func (p *Pins) cached(key string) (Pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cache.Get(key)
}

func (p *Pins) remember(key string, pin Pin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cache.Add(key, pin)
}

// readOrInsert returns the pin in the row, inserting the proposed one if there is none. Whatever the row holds is the pin,
// so a lost reply and a lost race are resolved by the same read.
func (p *Pins) readOrInsert(ctx context.Context, key string, proposed Pin) (Pin, error) {
	var last error
	for range storeAttempts {
		pin, err := p.read(ctx, key)
		if err == nil || !errors.Is(err, platform.ErrNotFound) {
			return pin, err
		}
		if proposed.Empty() {
			return Pin{}, errors.New("no versions were proposed for a new session")
		}
		err = p.insert(ctx, key, proposed)
		if err == nil {
			return proposed, nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return Pin{}, err
		}
		last = err
	}
	return Pin{}, errors.Wrapf(last, "session row not readable after %d attempts", storeAttempts)
}

func (p *Pins) read(ctx context.Context, key string) (Pin, error) {
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

func (p *Pins) insert(ctx context.Context, key string, pin Pin) error {
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
