package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/engine/prefix"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/order"
	"github.com/cicadawall/cicadawall/internal/retry"
	"github.com/cicadawall/cicadawall/internal/routing"
	"github.com/cicadawall/cicadawall/internal/table"
)

// Retries holds the retry budgets and the outlier-ejection states of the backend servers.
type Retries struct {
	Budgets   *retry.Budgets
	Ejections *retry.Ejections
}

// NewRetries returns unused budgets and no ejections.
func NewRetries() *Retries {
	return &Retries{Budgets: retry.NewBudgets(), Ejections: retry.NewEjections()}
}

// noServerRetryAfter is the suggested wait before a retry when no backend server is available.
const noServerRetryAfter = 2 * time.Second

func isEngine(row *table.Server) bool { return row.Entry.Kind == api.KindEngine }

// chooseServer chooses the backend server for one attempt on a version.
func (r *Router) chooseServer(id declaration.VersionID, messages []api.ChatMessage, triedServers []string, random *rand.Rand) (table.Server, *fault.Error) {
	rows, candidates := r.engineCandidates()
	prefixBlocks := prefix.Blocks(id, prefix.Render(messages))
	r.Prefixes.MarkCachedBlocks(candidates, prefixBlocks)
	now := time.Now()
	uses := r.excludeEjected(candidates, id, now)
	request := routing.Request{Version: id, Zone: r.AvailabilityZone, Exclude: triedServers}
	chosenID, ok := r.chooseAndClaimProbe(candidates, request, uses, now, random)
	if !ok && len(triedServers) > 0 {
		// Falls back to the servers that failed an earlier attempt.
		request.Exclude = nil
		chosenID, ok = r.chooseAndClaimProbe(candidates, request, uses, now, random)
	}
	if !ok {
		return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			fmt.Sprintf("no backend server can run %s", id)).WithRetryAfter(noServerRetryAfter)
	}
	r.Prefixes.AddBlocks(chosenID, prefixBlocks)
	for i := range rows {
		if rows[i].Entry.Id == chosenID {
			return rows[i], nil
		}
	}
	return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer, "the chosen backend server is no longer listed")
}

// engineCandidates returns the engines and their states in the same order.
func (r *Router) engineCandidates() ([]table.Server, []routing.Candidate) {
	snapshot := r.Config.Snapshot()
	rows := r.Servers.Select(isEngine)
	candidates := make([]routing.Candidate, 0, len(rows))
	for i := range rows {
		candidates = append(candidates, newCandidate(&rows[i], snapshot))
	}
	return rows, candidates
}

// exclusionTime is longer than any choice takes; a candidate whose ejection ends that late is excluded from the choice.
const exclusionTime = time.Hour

// excludeEjected excludes the ejected candidates from the choice and returns how each server may be used. At most half of the
// pool is excluded; the pool is the servers that have the version loaded, are not leaving and not in an
// evacuated zone.
func (r *Router) excludeEjected(candidates []routing.Candidate, id declaration.VersionID, now time.Time) map[string]retry.Use {
	var pool []string
	for i := range candidates {
		candidates[i].EjectedUntil = time.Time{}
		if !candidates[i].Leaving && !candidates[i].Evacuated && slices.Contains(candidates[i].Versions, id) {
			pool = append(pool, candidates[i].ID)
		}
	}
	uses := make(map[string]retry.Use, len(pool))
	for i, use := range r.Retries.Ejections.Uses(pool, now) {
		uses[pool[i]] = use
	}
	for i := range candidates {
		if uses[candidates[i].ID] == retry.UseNone {
			candidates[i].EjectedUntil = now.Add(exclusionTime)
		}
	}
	return uses
}

// chooseAndClaimProbe chooses a server and, if it is half-open after an ejection, claims its probe. It skips servers whose
// probe is already in flight.
func (r *Router) chooseAndClaimProbe(candidates []routing.Candidate, request routing.Request, uses map[string]retry.Use, now time.Time, random *rand.Rand) (string, bool) {
	for range candidates {
		choice, _ := routing.Choose(candidates, request, now, random)
		if !choice.Found {
			return "", false
		}
		if r.Retries.Ejections.BeginAttempt(choice.Server, uses[choice.Server], now) {
			return choice.Server, true
		}
		for i := range candidates {
			if candidates[i].ID == choice.Server {
				candidates[i].EjectedUntil = now.Add(exclusionTime)
			}
		}
	}
	return "", false
}

// newCandidate returns the state of a backend server that the routing decision depends on. The snapshot is nil before the first configuration.
func newCandidate(row *table.Server, snapshot *declaration.Snapshot) routing.Candidate {
	candidate := routing.Candidate{
		ID:              row.Entry.Id,
		Zone:            row.Entry.AvailabilityZone,
		Leaving:         row.Leaving,
		Evacuated:       snapshot.Evacuated(row.Entry.AvailabilityZone),
		EjectedUntil:    row.EjectedUntil,
		InFlight:        row.InFlight,
		SentSinceReport: row.SentSinceReport,
		Report: routing.LoadReport{
			Running:  row.Load.Running,
			Queued:   row.Load.Queued,
			Capacity: row.Load.Capacity,
			At:       row.ReportedAt,
		},
	}
	for _, loaded := range row.Load.Versions {
		candidate.Versions = append(candidate.Versions, declaration.VersionID{Model: loaded.Model, Version: loaded.Version})
	}
	return candidate
}

// PlainServers chooses backend servers of plain services.
type PlainServers struct {
	Config           *table.Config
	Servers          *table.Servers
	AvailabilityZone string
}

// Choose returns the backend server of the service with the fewest requests in flight; among equals it prefers the instance's
// own availability zone. Servers that were tried or are ejected are used only if there is no other.
func (p *PlainServers) Choose(service string, triedServers []string) (table.Server, *fault.Error) {
	now, snapshot := time.Now(), p.Config.Snapshot()
	rows := p.Servers.Select(func(row *table.Server) bool {
		return row.Entry.Kind == api.KindService && row.Entry.Service == service && !row.Leaving && !snapshot.Evacuated(row.Entry.AvailabilityZone)
	})
	bestIndex := -1
	for i := range rows {
		if bestIndex < 0 || p.preferred(&rows[i], &rows[bestIndex], triedServers, now) {
			bestIndex = i
		}
	}
	if bestIndex < 0 {
		return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			fmt.Sprintf("no backend server offers service %q", service)).WithRetryAfter(noServerRetryAfter)
	}
	return rows[bestIndex], nil
}

// preferred reports whether a is to be preferred to b.
func (p *PlainServers) preferred(a, b *table.Server, triedServers []string, now time.Time) bool {
	if penaltyA, penaltyB := p.penalty(a, triedServers, now), p.penalty(b, triedServers, now); penaltyA != penaltyB {
		return penaltyA < penaltyB
	}
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.Entry.AvailabilityZone == p.AvailabilityZone && b.Entry.AvailabilityZone != p.AvailabilityZone
}

// penalty counts the reasons to avoid a server: each earlier attempt of the request on it, and its ejection.
func (p *PlainServers) penalty(row *table.Server, triedServers []string, now time.Time) int {
	penalty := 0
	for _, id := range triedServers {
		if id == row.Entry.Id {
			penalty++
		}
	}
	if now.Before(row.EjectedUntil) {
		penalty++
	}
	return penalty
}

// Pick implements order.ServerPicker.
func (p *PlainServers) Pick(_, service string) (order.Server, *fault.Error) {
	row, problem := p.Choose(service, nil)
	if problem != nil {
		return order.Server{}, problem
	}
	return order.Server{ID: row.Entry.Id, ChecksFencing: row.Entry.ChecksFencing}, nil
}

// Server implements order.ServerPicker. A server of an evacuated availability zone must not get an order again.
func (p *PlainServers) Server(id string) (order.Server, bool) {
	row, ok := p.Servers.Get(id)
	ok = ok && !p.Config.Snapshot().Evacuated(row.Entry.AvailabilityZone)
	return order.Server{ID: row.Entry.Id, ChecksFencing: row.Entry.ChecksFencing}, ok
}
