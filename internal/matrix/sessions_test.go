package matrix

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/session"
)

// lounge is a world in which instances with different configurations serve one session.
type lounge struct {
	*world
	signer *session.Signer

	mu       sync.Mutex
	versions map[string]int
	last     map[string]*fault.Error
}

// anyPolicy allows every version.
type anyPolicy struct{}

func (anyPolicy) Usable(declaration.VersionID) bool                 { return true }
func (anyPolicy) Allowed(_, _ string, _ declaration.VersionID) bool { return true }

func newLounge(w *world) *lounge {
	w.lifetime = time.Minute
	signer, err := session.NewSigner([]session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, time.Hour)
	if err != nil {
		w.run.Failf("signer: %v", err)
	}
	return &lounge{world: w, signer: signer, versions: map[string]int{}, last: map[string]*fault.Error{}}
}

// pins returns the resolver of an instance, with an empty cache.
func (l *lounge) pins(n *instance) *session.Pins {
	pins, err := session.NewPins(n, l.signer, 10)
	if err != nil {
		l.run.Failf("pins: %v", err)
	}
	return pins
}

// request resolves the session once and notes the version that would serve it.
func (l *lounge) request(n *instance, pins *session.Pins, id, proposed string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.local("resolve")
	own := declaration.VersionID{Model: "m", Version: proposed}
	pin, refused := pins.Resolve(ctx, session.Lookup{Organisation: "o", Class: "c", Session: id,
		ProposedVersions: []declaration.VersionID{own}, Policy: anyPolicy{}}, time.Now())
	version, _ := pin.Version("m")
	if l.run.Broken("pin is not read") {
		version, refused = own, nil
	}
	n.waitPause()
	if n.isDead() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last[n.name] = refused
	if refused == nil {
		l.versions[version.Version]++
	} else if refused.Outcome != api.OutcomeNotRun {
		l.run.Failf("instance %s refused the session as %s", n.name, refused.Outcome)
	}
}

// serve sends requests of the session through three instances; those at c always find an empty cache.
func (l *lounge) serve(id string) {
	for _, name := range []string{"a", "b", "c"} {
		n := l.node(name)
		pins := l.pins(n)
		n.every(2*time.Second, func(context.Context) {
			if name == "c" {
				pins = l.pins(n)
			}
			l.request(n, pins, id, "proposed by "+name)
		})
	}
	l.settle()
	if len(l.versions) == 0 {
		l.run.Stuckf("no request of the session was served")
	}
	if len(l.versions) > 1 {
		l.run.Failf("the session ran on %d versions: %v", len(l.versions), l.versions)
	}
	for name, refused := range l.last {
		if refused != nil {
			l.run.Stuckf("instance %s still refuses the session after all faults: %v", name, refused)
		}
	}
}

// sessionRow returns a row whose fault hits the nth such operation of instance a.
func sessionRow(step, op string, nth int, prelude ...injection) Row {
	return Row{Path: "session", Step: step, Check: func(r *Run) {
		variants(r, "a", op, nth, func(w *world) { newLounge(w).serve("chosen by the caller") }, prelude...)
	}}
}

func init() {
	handle := Row{Path: "session", Step: "verify a handle", Check: func(r *Run) {
		variants(r, "a", "resolve", 1, func(w *world) {
			l := newLounge(w)
			id, err := l.pins(w.node("a")).IssueHandle("id", "o", []declaration.VersionID{{Model: "m", Version: "issued"}}, time.Now())
			if err != nil {
				r.Failf("issue: %v", err)
			}
			l.serve(id)
		})
	}}
	lostInsert := injection{instance: "a", op: "put:session", nth: 1, fault: ReplyLost}
	register(
		sessionRow("read the pin", "get:session", 1).except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		sessionRow("insert the pin", "put:session", 1),
		sessionRow("read back the pin", "get:session", 2, lostInsert).except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		handle.except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost).except(reasonNoReading, StaleRead).
			except("the same handle is presented at all instances in every cell", Duplicate),
	)
	registerMutants(
		Mutant{"pin is not read", append(red("session: read the pin", Kill, StoreUnavailable), red("session: verify a handle", Kill)...)},
		Mutant{"unconditional writes", red("session: insert the pin", PauseResume)},
		Mutant{"lost replies count as written", red("session: insert the pin", PartitionBothWays)},
	)
}
