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

// sessionWorld is a world in which instances that propose different versions serve one session.
type sessionWorld struct {
	*world
	signer *session.Signer

	mu             sync.Mutex
	servedVersions map[string]int
	lastRefusal    map[string]*fault.Error
}

// anyPolicy allows every version.
type anyPolicy struct{}

func (anyPolicy) Usable(declaration.VersionID) bool                 { return true }
func (anyPolicy) Allowed(_, _ string, _ declaration.VersionID) bool { return true }

func newSessionWorld(w *world) *sessionWorld {
	w.lifetime = time.Minute
	signer, err := session.NewSigner([]session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", 32))}}, time.Hour)
	if err != nil {
		w.run.Failf("create the session signer: %v", err)
	}
	return &sessionWorld{world: w, signer: signer, servedVersions: map[string]int{}, lastRefusal: map[string]*fault.Error{}}
}

// newPins returns the session resolver of an instance, with an empty cache.
func (l *sessionWorld) newPins(n *instance) *session.Pins {
	pins, err := session.NewPins(n, l.signer, 10)
	if err != nil {
		l.run.Failf("create the session resolver: %v", err)
	}
	return pins
}

// resolveSession resolves the session once and records the version that would serve it.
func (l *sessionWorld) resolveSession(n *instance, pins *session.Pins, id, proposed string) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.local("resolve")
	proposedVersion := declaration.VersionID{Model: "m", Version: proposed}
	pin, refused := pins.Resolve(ctx, session.Lookup{Organisation: "o", Class: "c", Session: id,
		ProposedVersions: []declaration.VersionID{proposedVersion}, Policy: anyPolicy{}}, time.Now())
	version, _ := pin.Version("m")
	if l.run.Broken("pin is not read") {
		version, refused = proposedVersion, nil
	}
	n.waitPause()
	if n.isDead() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRefusal[n.name] = refused
	if refused == nil {
		l.servedVersions[version.Version]++
	} else if refused.Outcome != api.OutcomeNotRun {
		l.run.Failf("instance %s refused the session with outcome %s instead of not_run", n.name, refused.Outcome)
	}
}

// runRequests sends requests of the session through three instances. Instance c starts with an empty cache at each request.
func (l *sessionWorld) runRequests(id string) {
	for _, name := range []string{"a", "b", "c"} {
		n := l.node(name)
		pins := l.newPins(n)
		n.every(2*time.Second, func(context.Context) {
			if name == "c" {
				pins = l.newPins(n)
			}
			l.resolveSession(n, pins, id, "proposed by "+name)
		})
	}
	l.settle()
	if len(l.servedVersions) == 0 {
		l.run.FailLivenessf("no request of the session was served")
	}
	if len(l.servedVersions) > 1 {
		l.run.Failf("the session ran on %d versions: %v", len(l.servedVersions), l.servedVersions)
	}
	for name, refused := range l.lastRefusal {
		if refused != nil {
			l.run.FailLivenessf("instance %s still refuses the session after all faults: %v", name, refused)
		}
	}
}

// sessionRow returns a row of the path "session" whose fault starts at the nth call of the operation by instance a.
func sessionRow(step, op string, nth int, priorFaults ...injection) Row {
	return Row{Path: "session", Step: step, Check: func(r *Run) {
		variants(r, "a", op, nth, func(w *world) { newSessionWorld(w).runRequests("chosen by the caller") }, priorFaults...)
	}}
}

func init() {
	handle := Row{Path: "session", Step: "verify a handle", Check: func(r *Run) {
		variants(r, "a", "resolve", 1, func(w *world) {
			l := newSessionWorld(w)
			id, err := l.newPins(w.node("a")).IssueHandle("id", "o", []declaration.VersionID{{Model: "m", Version: "issued"}}, time.Now())
			if err != nil {
				r.Failf("issue a session handle: %v", err)
			}
			l.runRequests(id)
		})
	}}
	insertReplyLost := injection{instance: "a", op: "put:session", nth: 1, fault: ReplyLost}
	register(
		sessionRow("read the pin", "get:session", 1).except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		sessionRow("insert the pin", "put:session", 1),
		sessionRow("read back the pin", "get:session", 2, insertReplyLost).except(reasonRead, ReplyLost).except(reasonTwoReads, Duplicate),
		handle.except(reasonNoCall, PartitionOneWay, PartitionBothWays, Slow, ReplyLost).except(reasonNoReading, StaleRead).
			except("every cell presents the same handle to all instances", Duplicate),
	)
	registerMutants(
		Mutant{"pin is not read", append(red("session: read the pin", Kill, StoreUnavailable), red("session: verify a handle", Kill)...)},
		Mutant{"unconditional writes", red("session: insert the pin", PauseResume)},
		Mutant{"lost replies count as written", red("session: insert the pin", PartitionBothWays)},
	)
}
