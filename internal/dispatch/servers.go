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

// Retries bundles the tables of the retry decisions.
type Retries struct {
	Budgets   *retry.Budgets
	Ejections *retry.Ejections
}

// NewRetries returns empty tables.
func NewRetries() *Retries {
	return &Retries{Budgets: retry.NewBudgets(), Ejections: retry.NewEjections()}
}

// retryWithoutServer is the suggested wait when no backend server can take the work.
const retryWithoutServer = 2 * time.Second

func isEngine(row *table.Server) bool { return row.Entry.Kind == api.KindEngine }

// chooseServer returns the backend server for one attempt on a version.
func (r *Router) chooseServer(id declaration.VersionID, messages []api.ChatMessage, tried []string, random *rand.Rand) (table.Server, *fault.Error) {
	rows := r.Servers.Select(isEngine)
	candidates := make([]routing.Candidate, 0, len(rows))
	for i := range rows {
		candidates = append(candidates, candidate(&rows[i]))
	}
	blocks := prefix.Blocks(id, prefix.Render(messages))
	r.Prefixes.Mark(candidates, blocks)
	now := time.Now()
	uses := r.eject(candidates, id, now)
	request := routing.Request{Version: id, Zone: r.AvailabilityZone, Exclude: tried}
	chosen, ok := r.pick(candidates, request, uses, now, random)
	if !ok && len(tried) > 0 {
		// A server that failed an earlier attempt is better than none.
		request.Exclude = nil
		chosen, ok = r.pick(candidates, request, uses, now, random)
	}
	if !ok {
		return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			fmt.Sprintf("no backend server can take %s", id)).WithRetryAfter(retryWithoutServer)
	}
	r.Prefixes.Stored(chosen, blocks)
	for i := range rows {
		if rows[i].Entry.Id == chosen {
			return rows[i], nil
		}
	}
	return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer, "the chosen backend server is gone")
}

// beyondChoice is a time past any choice; a candidate that is ejected until then is not used.
const beyondChoice = time.Hour

// eject marks the candidates that fail too often to be used for the version. The floor of half of the pool holds among the
// servers that have the version loaded.
func (r *Router) eject(candidates []routing.Candidate, id declaration.VersionID, now time.Time) map[string]retry.Use {
	var pool []string
	for i := range candidates {
		candidates[i].EjectedUntil = time.Time{}
		if !candidates[i].Leaving && slices.Contains(candidates[i].Versions, id) {
			pool = append(pool, candidates[i].ID)
		}
	}
	uses := make(map[string]retry.Use, len(pool))
	for i, use := range r.Retries.Ejections.Uses(pool, now) {
		uses[pool[i]] = use
	}
	for i := range candidates {
		if uses[candidates[i].ID] == retry.UseNone {
			candidates[i].EjectedUntil = now.Add(beyondChoice)
		}
	}
	return uses
}

// pick chooses a server and claims the probe of one that is half open. A server whose probe is taken is passed over.
func (r *Router) pick(candidates []routing.Candidate, request routing.Request, uses map[string]retry.Use, now time.Time, random *rand.Rand) (string, bool) {
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
				candidates[i].EjectedUntil = now.Add(beyondChoice)
			}
		}
	}
	return "", false
}

func candidate(row *table.Server) routing.Candidate {
	c := routing.Candidate{
		ID:           row.Entry.Id,
		Zone:         row.Entry.AvailabilityZone,
		Leaving:      row.Leaving,
		EjectedUntil: row.EjectedUntil,
		InFlight:     row.InFlight,
		SentSince:    row.SentSince,
		Report: routing.LoadReport{
			Running:  row.Load.Running,
			Queued:   row.Load.Queued,
			Capacity: row.Load.Capacity,
			At:       row.ReportedAt,
		},
	}
	for _, loaded := range row.Load.Versions {
		c.Versions = append(c.Versions, declaration.VersionID{Model: loaded.Model, Version: loaded.Version})
	}
	return c
}

// PlainServers finds backend servers of plain services.
type PlainServers struct {
	Servers          *table.Servers
	AvailabilityZone string
}

// Choose returns the server of the service with the least requests in flight, its own availability zone first among equals.
func (p *PlainServers) Choose(service string, tried []string) (table.Server, *fault.Error) {
	now := time.Now()
	rows := p.Servers.Select(func(row *table.Server) bool {
		return row.Entry.Kind == api.KindService && row.Entry.Service == service && !row.Leaving
	})
	best := -1
	for i := range rows {
		if best < 0 || p.better(&rows[i], &rows[best], tried, now) {
			best = i
		}
	}
	if best < 0 {
		return table.Server{}, fault.NotRun(fault.StepChoose, fault.CodeNoBackendServer,
			fmt.Sprintf("no backend server offers service %q", service)).WithRetryAfter(retryWithoutServer)
	}
	return rows[best], nil
}

func (p *PlainServers) better(a, b *table.Server, tried []string, now time.Time) bool {
	if x, y := p.penalty(a, tried, now), p.penalty(b, tried, now); x != y {
		return x < y
	}
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.Entry.AvailabilityZone == p.AvailabilityZone && b.Entry.AvailabilityZone != p.AvailabilityZone
}

// penalty ranks servers that were tried or are ejected behind the others; they are used only if nothing else is there.
func (p *PlainServers) penalty(row *table.Server, tried []string, now time.Time) int {
	penalty := 0
	for _, id := range tried {
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

// Server implements order.ServerPicker.
func (p *PlainServers) Server(id string) (order.Server, bool) {
	row, ok := p.Servers.Get(id)
	return order.Server{ID: row.Entry.Id, ChecksFencing: row.Entry.ChecksFencing}, ok
}
