package session

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/google/go-cmp/cmp"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/fault"
	"github.com/cicadawall/cicadawall/internal/platform/memory"
)

var (
	now   = time.Unix(1_800_000_000, 0)
	small = declaration.VersionID{Model: "small", Version: "1"}
	large = declaration.VersionID{Model: "large", Version: "1"}
	newer = declaration.VersionID{Model: "small", Version: "2"}
)

// policy names the versions that are not usable and those that are not allowed.
type policy struct{ withdrawn, forbidden declaration.VersionID }

func (p policy) Usable(id declaration.VersionID) bool               { return id != p.withdrawn }
func (p policy) Allowed(_, _ string, id declaration.VersionID) bool { return id != p.forbidden }

func key(id string) Key { return Key{ID: id, Secret: []byte(strings.Repeat(id, 32))} }

func signer(t *testing.T, keys ...Key) *Signer {
	t.Helper()
	s, err := NewSigner(keys, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func pins(t *testing.T, table *memory.Table, hook func(memory.Op, string) memory.Fault) *Pins {
	t.Helper()
	p, err := NewPins(table.View(hook), signer(t, key("a")), 100)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func lookup(session string, proposed ...declaration.VersionID) Lookup {
	return Lookup{Organisation: "o", Class: "c", Session: session, Proposed: proposed, Policy: policy{}}
}

func wantPin(t *testing.T, p *Pins, l Lookup, want ...declaration.VersionID) {
	t.Helper()
	got, refused := p.Resolve(context.Background(), l, now)
	if refused != nil {
		t.Fatal(refused)
	}
	if diff := cmp.Diff(want, got.Versions()); diff != "" {
		t.Fatalf("pinned versions (-want +got):\n%s", diff)
	}
}

func wantCode(t *testing.T, refused *fault.Error, code fault.Code) {
	t.Helper()
	if refused == nil || refused.Code != code || refused.Outcome != api.OutcomeNotRun {
		t.Fatalf("got %v, want %s with outcome not_run", refused, code)
	}
}

// Guards against forged, foreign, expired and unsigned handles, and handles lost in a key rotation.
func TestHandles(t *testing.T) {
	old, rotated, retired := signer(t, key("a")), signer(t, key("b"), key("a")), signer(t, key("b"))
	handle, err := old.Sign("s", "o", NewPin(small, large), now)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Signer{old, rotated} {
		got, refused := s.Verify(handle, "o", now.Add(59*time.Minute))
		if refused != nil || got.Session != "s" || len(got.Pin.Versions()) != 2 {
			t.Fatalf("%+v, %v", got, refused)
		}
	}
	parts := strings.Split(strings.TrimPrefix(handle, HandlePrefix), ".")
	forged, _ := signer(t, Key{ID: "a", Secret: []byte(strings.Repeat("x", 32))}).Sign("s", "o", NewPin(small), now)
	unsigned, _ := jwt.NewWithClaims(jwt.SigningMethodNone, claims{Organisation: "o", Versions: []string{"small", "1"},
		RegisteredClaims: jwt.RegisteredClaims{ExpiresAt: jwt.NewNumericDate(now.Add(time.Hour))}}).SignedString(jwt.UnsafeAllowNoneSignatureType)
	endless := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{Organisation: "o", Versions: []string{"small", "1"}})
	endless.Header["kid"] = "a"
	unlimited, _ := endless.SignedString(key("a").Secret)
	for name, c := range map[string]struct {
		signer       *Signer
		handle       string
		organisation string
		at           time.Time
	}{
		"key retired":          {retired, handle, "o", now},
		"expired":              {old, handle, "o", now.Add(time.Hour + time.Second)},
		"another organisation": {old, handle, "p", now},
		"forged":               {old, forged, "o", now},
		"without expiry":       {old, HandlePrefix + unlimited, "o", now},
		"unsigned":             {old, HandlePrefix + unsigned, "o", now},
		"payload changed":      {old, HandlePrefix + parts[0] + "." + parts[1][:len(parts[1])-2] + "AA." + parts[2], "o", now},
		"not a token":          {old, HandlePrefix + "x", "o", now},
	} {
		t.Run(name, func(t *testing.T) {
			_, refused := c.signer.Verify(c.handle, c.organisation, c.at)
			wantCode(t, refused, fault.CodeSessionInvalid)
		})
	}
	for name, keys := range map[string][]Key{"none": nil, "short": {{ID: "a", Secret: []byte("short")}}, "repeated": {key("a"), key("a")}} {
		if _, err := NewSigner(keys, time.Hour); err == nil {
			t.Fatalf("key set %q was accepted", name)
		}
	}
}

// Guards against two first requests with different configurations that pin one session to two versions.
func TestFirstRequestsAtTwoInstances(t *testing.T) {
	table := memory.NewTable()
	a, b := pins(t, table, nil), pins(t, table, nil)
	wantPin(t, a, lookup("s", small, large), large, small)
	wantPin(t, b, lookup("s", newer, large), large, small)
	wantPin(t, pins(t, table, nil), lookup("s"), large, small)
	wantPin(t, b, lookup("other", newer), newer)
	other := lookup("s", newer)
	other.Organisation = "o/s"
	wantPin(t, b, other, newer)

	// Both read before either writes: the loser's insert fails and it reads the winner's pin.
	raced := false
	var racer *Pins
	loser := pins(t, table, func(op memory.Op, _ string) memory.Fault {
		if op == memory.OpPut && !raced {
			raced = true
			wantPin(t, racer, lookup("race", newer), newer)
		}
		return memory.FaultNone
	})
	racer = pins(t, table, nil)
	wantPin(t, loser, lookup("race", small), newer)
}

// Guards against a pin assumed after a lost reply or a stale read, and a session served unpinned in an outage.
func TestStoreFaults(t *testing.T) {
	type step struct {
		op    memory.Op
		fault memory.Fault
	}
	for name, c := range map[string]struct {
		steps []step
		code  fault.Code
	}{
		"reply lost":              {steps: []step{{memory.OpGet, 0}, {memory.OpPut, memory.FaultReplyLost}}},
		"request lost":            {steps: []step{{memory.OpGet, 0}, {memory.OpPut, memory.FaultRequestLost}}},
		"reply lost, stale read":  {steps: []step{{memory.OpGet, 0}, {memory.OpPut, memory.FaultReplyLost}, {memory.OpGet, memory.FaultStale}}},
		"read unavailable":        {steps: []step{{memory.OpGet, memory.FaultUnavailable}}, code: fault.CodeSessionUnavailable},
		"write unavailable":       {steps: []step{{memory.OpGet, 0}, {memory.OpPut, memory.FaultUnavailable}}, code: fault.CodeSessionUnavailable},
		"reply lost, unavailable": {steps: []step{{memory.OpGet, 0}, {memory.OpPut, memory.FaultReplyLost}, {memory.OpGet, memory.FaultUnavailable}}, code: fault.CodeSessionUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			table := memory.NewTable()
			steps := c.steps
			p := pins(t, table, func(op memory.Op, _ string) memory.Fault {
				if len(steps) == 0 || steps[0].op != op {
					return memory.FaultNone
				}
				f := steps[0].fault
				steps = steps[1:]
				return f
			})
			_, refused := p.Resolve(context.Background(), lookup("s", small), now)
			if c.code != "" {
				wantCode(t, refused, c.code)
			} else if refused != nil {
				t.Fatal(refused)
			}
			steps = nil
			wantPin(t, p, lookup("s", small), small)
			wantPin(t, pins(t, table, nil), lookup("s", newer), small)
			wantPin(t, pins(t, table, nil), lookup("s", newer), small)
		})
	}
}

// Guards against sessions that need the table service although the pin is cached or signed.
func TestOutageWithCacheAndHandle(t *testing.T) {
	down := false
	p := pins(t, memory.NewTable(), func(memory.Op, string) memory.Fault {
		if down {
			return memory.FaultUnavailable
		}
		return memory.FaultNone
	})
	wantPin(t, p, lookup("s", small), small)
	handle, err := p.Issue("id", "o", []declaration.VersionID{large}, now)
	if err != nil {
		t.Fatal(err)
	}
	down = true
	wantPin(t, p, lookup("s", newer), small)
	wantPin(t, p, lookup(handle, newer), large)
	_, refused := p.Resolve(context.Background(), lookup("unseen", small), now)
	wantCode(t, refused, fault.CodeSessionUnavailable)
}

// Guards against a session moved to another version when its own is withdrawn or forbidden.
func TestWithdrawnVersion(t *testing.T) {
	p := pins(t, memory.NewTable(), nil)
	wantPin(t, p, lookup("s", small), small)
	handle, _ := p.Issue("id", "o", []declaration.VersionID{small}, now)
	for _, session := range []string{"s", handle} {
		for _, policy := range []policy{{withdrawn: small}, {forbidden: small}} {
			l := lookup(session, newer)
			l.Policy = policy
			_, refused := p.Resolve(context.Background(), l, now)
			wantCode(t, refused, fault.CodeSessionVersionWithdrawn)
			if refused.Advice == "" {
				t.Fatal("the refusal gives no advice")
			}
		}
	}
}
