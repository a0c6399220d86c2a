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

// callTimeout bounds one call of an engine or of the weight store.
const callTimeout = 2 * time.Second

// noVersion marks a move without a load or without an unload.
var noVersion declaration.VersionID

// errLeaseLost ends a round because the lease was lost.
var errLeaseLost = errors.New("the placement lease is no longer held")

// round is the state of sending the commands of one round.
type round struct {
	*Controller
	engines []observedEngine
	// sentUnloads lists the unloads sent in this round, so that two of them cannot remove a version's last two replicas.
	sentUnloads []engineVersion
	// failedEngines lists the engines on which a command failed. They receive no new moves in this round.
	failedEngines []string
}

type engineVersion struct {
	engine  string
	version declaration.VersionID
}

// sendMoves resends the pending moves and then sends the new ones. It stops when the lease is found to be lost.
func (r *round) sendMoves(ctx context.Context, moves []placement.Move) error {
	for _, o := range r.engines {
		p, ok := r.pendingLoads[o.entry.Id]
		if !ok {
			continue
		}
		if err := r.sendMove(ctx, p.move); endsRound(err) {
			return err
		}
	}
	for _, move := range moves {
		if slices.Contains(r.failedEngines, move.Engine) || move.Load != noVersion && !r.requestWeights(ctx, move.Load) {
			continue
		}
		if move.Load != noVersion {
			// A pending load is resent without another request to the weight store. A move that only unloads is not kept: the
			// next round decides it again from the engine's state.
			r.pendingLoads[move.Engine] = pendingLoad{move: move, grantedAt: time.Now()}
		}
		if err := r.sendMove(ctx, move); endsRound(err) {
			return err
		}
	}
	return nil
}

func endsRound(err error) bool { return errors.Is(err, errLeaseLost) || errors.Is(err, ErrStaleFence) }

// requestWeights asks the weight store for permission for one load. After a refusal nothing is loaded until the store's retry
// time has passed.
func (r *round) requestWeights(ctx context.Context, id declaration.VersionID) bool {
	now := time.Now()
	if now.Before(r.weightsRetryAt) {
		return false
	}
	if _, problem := r.opts.Lease.Fence(now); problem != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	grant, err := r.opts.Weights.RequestGrant(ctx, id.Model, id.Version)
	if err == nil && grant.GrantedBytes > 0 {
		return true
	}
	wait := defaultWeightsBackoff
	if err == nil && grant.RetryAfterMillis > 0 {
		wait = time.Duration(grant.RetryAfterMillis) * time.Millisecond
	}
	r.weightsRetryAt = time.Now().Add(wait)
	r.opts.Log.Info("weight store granted no load; waiting before the next request", "version", id.String(), "retry_after", wait.String())
	return false
}

// sendMove sends the commands of a move to its engine.
func (r *round) sendMove(ctx context.Context, move placement.Move) error {
	i := slices.IndexFunc(r.engines, func(o observedEngine) bool { return o.entry.Id == move.Engine })
	if i < 0 {
		return nil
	}
	engine := r.engines[i].entry
	if move.Unload != noVersion && r.engines[i].hasOrLoads(move.Unload) {
		if !r.mayUnload(move) {
			return nil
		}
		if err := r.sendCommand(ctx, engine, api.ActionUnload, move.Unload); err != nil {
			return err
		}
		r.sentUnloads = append(r.sentUnloads, engineVersion{engine: move.Engine, version: move.Unload})
	}
	if move.Load == noVersion {
		return nil
	}
	return r.sendCommand(ctx, engine, api.ActionLoad, move.Load)
}

// mayUnload checks again, immediately before the command is sent, that the configuration is fresh and that another engine
// still serves a usable version after the unload.
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
		unloadSent := slices.Contains(r.sentUnloads, engineVersion{engine: o.entry.Id, version: move.Unload})
		if o.entry.Id != move.Engine && !o.leaving() && !unloadSent && o.serves(move.Unload) {
			return true
		}
	}
	r.opts.Log.Warn("skipped the unload of the last replica of a usable version", "backend_server", move.Engine, "version", move.Unload.String())
	return false
}

// sendCommand sends one command under the fence if the lease is held now. The call is cancelled when the lease ends.
func (r *round) sendCommand(ctx context.Context, engine api.InstanceEntry, action api.EngineCommandAction, id declaration.VersionID) error {
	now := time.Now()
	grant, problem := r.opts.Lease.Fence(now)
	if problem != nil || grant.Fence != r.fence {
		return errLeaseLost
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(now.Add(callTimeout), grant.ValidUntil))
	defer cancel()
	command := api.EngineCommand{Fence: grant.Fence, Action: action, Model: id.Model, Version: id.Version}
	err := r.opts.Engines.Command(ctx, engine, command)
	if err != nil {
		r.failedEngines = append(r.failedEngines, engine.Id)
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
