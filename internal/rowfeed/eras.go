package rowfeed

import (
	"context"
	"log/slog"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/lockorder"
	"github.com/cicadawall/cicadawall/internal/storepos"
)

// ErrEarlierEra means that an answer is from an era of the store that has ended: the answer is late, or the relay has not noticed the
// store's return yet.
var ErrEarlierEra = errors.New("the answer is from an earlier era of the store")

// ErrEraChanged means that the store came back from an older copy since the position from which changes were requested, or between two
// pages of a read. The versions that were known before say nothing any more, so the table must be read in full.
var ErrEraChanged = errors.New("the store came back from an older copy")

// Eras holds the newest era of the store that an answer has named. All calls of an instance share it, so that each learns of a return of the store
// from the first answer to any of them. It is safe for concurrent use.
type Eras struct {
	// History tells which rows come from the copies with which the store came back.
	History *storepos.History

	log *slog.Logger
	// countChange is called at each change of the era.
	countChange func()

	mu     *lockorder.Mutex
	newest int64
	// read is set once rows were read, and returned once a later era was seen after that. The first position that is read then bounds the rows of the copy.
	read, returned bool
	// calls are the calls for changes that are under way, with the functions that end them.
	calls map[*call]context.CancelCauseFunc
}

// call identifies a call for changes; it has a field so that each one has an address of its own.
type call struct{ after storepos.Position }

// NewEras returns Eras that have seen no answer.
func NewEras(log *slog.Logger, countChange func()) *Eras {
	return &Eras{
		History: storepos.NewHistory(), log: log, countChange: countChange, mu: lockorder.New(lockorder.RankLeases), calls: map[*call]context.CancelCauseFunc{},
	}
}

// Observe records the era of an answer; zero if the answer names none. It returns ErrEarlierEra if a later era has been seen. A change of the era
// ends the calls for changes that are under way.
func (e *Eras) Observe(era int64) error {
	previous, overtaken := e.advance(era)
	e.History.Reach(era)
	for _, end := range overtaken {
		end(ErrEraChanged)
	}
	switch {
	case era > previous && previous == 0:
		e.log.Info("era of the store read", "era", era)
	case era > previous:
		e.countChange()
		e.log.Warn("the store came back from an older copy", "era", era, "previous", previous)
	case era != 0 && era < previous:
		e.log.Warn("answer from an earlier era of the store rejected", "era", era, "newest", previous)
		return ErrEarlierEra
	}
	return nil
}

// advance records the era if it is the newest one, and returns the previous one and the calls for changes that began before.
func (e *Eras) advance(era int64) (previous int64, overtaken []context.CancelCauseFunc) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous = e.newest
	if era > previous {
		e.newest = era
		e.returned = e.read
		overtaken = slices.Collect(maps.Values(e.calls))
	}
	return previous, overtaken
}

// ObserveRows records the position of an answer with rows; its era was given to Observe.
func (e *Eras) ObserveRows(at storepos.Position) {
	e.mu.Lock()
	current, returned := at.Era() == e.newest, e.returned
	e.read = true
	e.mu.Unlock()
	switch {
	case current && returned:
		e.History.Begin(at)
	case current:
		e.History.Reach(at.Era())
	}
}

// CallAfter returns a context for a call that asks for the changes after the position. The context ends, with ErrEraChanged as its cause,
// when a later era is seen: the call can then return nothing of use, and one that was under way while the store was away may hang.
// CallAfter returns ErrEraChanged if a later era has been seen already.
func (e *Eras) CallAfter(ctx context.Context, after storepos.Position) (context.Context, func(), error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after.Era() != 0 && after.Era() < e.newest {
		return nil, nil, ErrEraChanged
	}
	ctx, cancel := context.WithCancelCause(ctx)
	c := &call{after: after}
	e.calls[c] = cancel
	return ctx, func() {
		e.mu.Lock()
		delete(e.calls, c)
		e.mu.Unlock()
		cancel(nil)
	}, nil
}
