package controller

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/placement"
)

// callTimeout bounds one call of an engine.
const callTimeout = 2 * time.Second

// none stands for no version in a move.
var none declaration.VersionID

// errLost ends a round whose holder lost the lease.
var errLost = errors.New("the placement lease is not held any more")

// round is the sending part of one round.
type round struct {
	*Controller
	engines []observed
	// unloaded lists the unloads sent in this round, so that two of them cannot remove the last replica together.
	unloaded []replica
	// failed lists the engines of which a command failed; they get no more in this round.
	failed []string
}

type replica struct {
	engine  string
	version declaration.VersionID
}

// carryOut sends the pending moves again and then the new ones. It ends at the first sign that the lease is lost.
func (r *round) carryOut(ctx context.Context, moves []placement.Move) error {
	for _, o := range r.engines {
		p, ok := r.pending[o.entry.Id]
		if !ok {
			continue
		}
		if err := r.send(ctx, p.move); stops(err) {
			return err
		}
	}
	for _, move := range moves {
		if slices.Contains(r.failed, move.Engine) || move.Load != none && !r.weights(ctx, move.Load) {
			continue
		}
		if move.Load != none {
			// A load is sent again without another request to the weight store. An unload alone is decided anew from what the
			// engine shows.
			r.pending[move.Engine] = pending{move: move, since: time.Now()}
		}
		if err := r.send(ctx, move); stops(err) {
			return err
		}
	}
	return nil
}

func stops(err error) bool { return errors.Is(err, errLost) || errors.Is(err, ErrOldFence) }

// weights asks the weight store for one load. After a refusal nothing is loaded until the store's wait has passed.
func (r *round) weights(ctx context.Context, id declaration.VersionID) bool {
	now := time.Now()
	if now.Before(r.weightsAt) {
		return false
	}
	if _, problem := r.opts.Lease.Fence(now); problem != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grant, err := r.opts.Weights.Request(ctx, id.Model, id.Version)
	if err == nil && grant.GrantedBytes > 0 {
		return true
	}
	wait := refusedWait
	if err == nil && grant.RetryAfterMillis > 0 {
		wait = time.Duration(grant.RetryAfterMillis) * time.Millisecond
	}
	r.weightsAt = time.Now().Add(wait)
	r.opts.Log.Info("the weight store grants no load now", "version", id.String(), "retry_after", wait.String())
	return false
}

// send commands one engine to the state that the move states.
func (r *round) send(ctx context.Context, move placement.Move) error {
	i := slices.IndexFunc(r.engines, func(o observed) bool { return o.entry.Id == move.Engine })
	if i < 0 {
		return nil
	}
	engine := r.engines[i].entry
	if move.Unload != none && r.engines[i].shows(move.Unload) {
		if !r.mayUnload(move) {
			return nil
		}
		if err := r.command(ctx, engine, api.ActionUnload, move.Unload); err != nil {
			return err
		}
		r.unloaded = append(r.unloaded, replica{engine: move.Engine, version: move.Unload})
	}
	if move.Load == none {
		return nil
	}
	return r.command(ctx, engine, api.ActionLoad, move.Load)
}

// mayUnload checks again, immediately before the send, that an unload leaves a usable version a replica that takes
// requests, and that the configuration is still fresh.
func (r *round) mayUnload(move placement.Move) bool {
	snapshot, problem := r.opts.Config(time.Now())
	if problem != nil {
		return false
	}
	if !snapshot.Usable(move.Unload) {
		return true
	}
	for i := range r.engines {
		o := &r.engines[i]
		gone := slices.Contains(r.unloaded, replica{engine: o.entry.Id, version: move.Unload})
		if o.entry.Id != move.Engine && !o.leaving() && !gone && o.ready(move.Unload) {
			return true
		}
	}
	r.opts.Log.Warn("unload of the last replica of a usable version left out", "backend_server", move.Engine, "version", move.Unload.String())
	return false
}

// command sends one command under the fence if the lease is held at this moment. The call ends with the lease.
func (r *round) command(ctx context.Context, engine api.InstanceEntry, action api.EngineCommandAction, id declaration.VersionID) error {
	now := time.Now()
	grant, problem := r.opts.Lease.Fence(now)
	if problem != nil || grant.Fence != r.fence {
		return errLost
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(now.Add(callTimeout), grant.ValidUntil))
	defer cancel()
	command := api.EngineCommand{Fence: grant.Fence, Action: action, Model: id.Model, Version: id.Version}
	err := r.opts.Engines.Command(ctx, engine, command)
	if err != nil {
		r.failed = append(r.failed, engine.Id)
		r.opts.Log.Info("engine command failed", "backend_server", engine.Id, "action", action, "version", id.String(), "error", err.Error())
		return errors.Wrapf(err, "%s %s at %s", action, id, engine.Id)
	}
	r.opts.Log.Info("engine command sent", "backend_server", engine.Id, "action", action, "version", id.String(), "fence", grant.Fence)
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
