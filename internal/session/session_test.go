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
	now           = time.Unix(1_800_000_000, 0)
	small         = declaration.VersionID{Model: "small", Version: "1"}
	large         = declaration.VersionID{Model: "large", Version: "1"}
	smallVersion2 = declaration.VersionID{Model: "small", Version: "2"}
)

// policy permits all versions except one withdrawn and one forbidden version.
type policy struct{ withdrawn, forbidden declaration.VersionID }

func (p policy) Usable(id declaration.VersionID) bool               { return id != p.withdrawn }
func (p policy) Allowed(_, _ string, id declaration.VersionID) bool { return id != p.forbidden }

func testKey(id string) Key { return Key{ID: id, Secret: []byte(strings.Repeat(id, 32))} }

func newTestSigner(t *testing.T, keys ...Key) *Signer {
	t.Helper()
	s, err := NewSigner(keys, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTestPins(t *testing.T, table *memory.Table, hook func(memory.Op, string) memory.Fault) *Pins {
	t.Helper()
	p, err := NewPins(table.View(hook), newTestSigner(t, testKey("a")), 100)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func newLookup(session string, proposed ...declaration.VersionID) Lookup {
	return Lookup{Organisation: "o", Class: "c", Session: session, ProposedVersions: proposed, Policy: policy{}}
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

// Guards against accepting forged, expired or unsigned handles and handles of another organisation, and against refusing
// valid handles during a key rotation.
func TestHandles(t *testing.T) {
	current, rotated, retired := newTestSigner(t, testKey("a")), newTestSigner(t, testKey("b"), testKey("a")), newTestSigner(t, testKey("b"))
	handle, err := current.Sign("s", "o", NewPin(small, large), now)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range []*Signer{current, rotated} {
		got, refused := s.Verify(handle, "o", now.Add(59*time.Minute))
		if refused != nil || got.Session != "s" || len(got.Pin.Versions()) != 2 {
			t.Fatalf("%+v, %v", got, refused)
		}
	}
	parts := strings.Split(strings.TrimPrefix(handle, HandlePrefix), ".")
	forged, _ := newTestSigner(t, Key{ID: "a", Secret: []byte(strings.Repeat("x", 32))}).Sign("s", "o", NewPin(small), now)
	unsigned, _ := jwt.NewWithClaims(jwt.SigningMethodNone, claims{Organisation: "o", Versions: []string{"small", "1"},
		RegisteredClaims: jwt.RegisteredClaims{ExpiresAt: jwt.NewNumericDate(now.Add(time.Hour))}}).SignedString(jwt.UnsafeAllowNoneSignatureType)
	tokenWithoutExpiry := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{Organisation: "o", Versions: []string{"small", "1"}})
	tokenWithoutExpiry.Header["kid"] = "a"
	signedWithoutExpiry, _ := tokenWithoutExpiry.SignedString(testKey("a").Secret)
	for name, c := range map[string]struct {
		signer       *Signer
		handle       string
		organisation string
		at           time.Time
	}{
		"key retired":          {retired, handle, "o", now},
		"expired":              {current, handle, "o", now.Add(time.Hour + time.Second)},
		"another organisation": {current, handle, "p", now},
		"forged":               {current, forged, "o", now},
		"without expiry":       {current, HandlePrefix + signedWithoutExpiry, "o", now},
		"unsigned":             {current, HandlePrefix + unsigned, "o", now},
		"payload changed":      {current, HandlePrefix + parts[0] + "." + parts[1][:len(parts[1])-2] + "AA." + parts[2], "o", now},
		"not a token":          {current, HandlePrefix + "x", "o", now},
	} {
		t.Run(name, func(t *testing.T) {
			_, refused := c.signer.Verify(c.handle, c.organisation, c.at)
			wantCode(t, refused, fault.CodeSessionInvalid)
		})
	}
	for name, keys := range map[string][]Key{"none": nil, "short": {{ID: "a", Secret: []byte("short")}}, "repeated": {testKey("a"), testKey("a")}} {
		if _, err := NewSigner(keys, time.Hour); err == nil {
			t.Fatalf("key set %q was accepted", name)
		}
	}
}

// Guards against pinning one session to two versions when two instances with different configurations receive its first
// requests.
func TestConcurrentFirstRequestsPinOnce(t *testing.T) {
	table := memory.NewTable()
	a, b := newTestPins(t, table, nil), newTestPins(t, table, nil)
	wantPin(t, a, newLookup("s", small, large), large, small)
	wantPin(t, b, newLookup("s", smallVersion2, large), large, small)
	wantPin(t, newTestPins(t, table, nil), newLookup("s"), large, small)
	wantPin(t, b, newLookup("other", smallVersion2), smallVersion2)
	other := newLookup("s", smallVersion2)
	other.Organisation = "o/s"
	wantPin(t, b, other, smallVersion2)

	// Both instances read before either inserts: the second insert fails, and its instance reads the pin that the first
	// inserted.
	raced := false
	var racer *Pins
	loser := newTestPins(t, table, func(op memory.Op, _ string) memory.Fault {
		if op == memory.OpPut && !raced {
			raced = true
			wantPin(t, racer, newLookup("race", smallVersion2), smallVersion2)
		}
		return memory.FaultNone
	})
	racer = newTestPins(t, table, nil)
	wantPin(t, loser, newLookup("race", small), smallVersion2)
}

// Guards against returning a pin that is not stored after a lost reply or a stale read, and against running a session
// without a pin while the table service is unavailable.
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
			p := newTestPins(t, table, func(op memory.Op, _ string) memory.Fault {
				if len(steps) == 0 || steps[0].op != op {
					return memory.FaultNone
				}
				f := steps[0].fault
				steps = steps[1:]
				return f
			})
			_, refused := p.Resolve(context.Background(), newLookup("s", small), now)
			if c.code != "" {
				wantCode(t, refused, c.code)
			} else if refused != nil {
				t.Fatal(refused)
			}
			steps = nil
			wantPin(t, p, newLookup("s", small), small)
			wantPin(t, newTestPins(t, table, nil), newLookup("s", smallVersion2), small)
			wantPin(t, newTestPins(t, table, nil), newLookup("s", smallVersion2), small)
		})
	}
}

// Guards against refusing a session while the table service is unavailable although its pin is cached or in a signed handle.
func TestOutageWithCacheAndHandle(t *testing.T) {
	unavailable := false
	p := newTestPins(t, memory.NewTable(), func(memory.Op, string) memory.Fault {
		if unavailable {
			return memory.FaultUnavailable
		}
		return memory.FaultNone
	})
	wantPin(t, p, newLookup("s", small), small)
	handle, err := p.IssueHandle("id", "o", []declaration.VersionID{large}, now)
	if err != nil {
		t.Fatal(err)
	}
	unavailable = true
	wantPin(t, p, newLookup("s", smallVersion2), small)
	wantPin(t, p, newLookup(handle, smallVersion2), large)
	_, refused := p.Resolve(context.Background(), newLookup("unseen", small), now)
	wantCode(t, refused, fault.CodeSessionUnavailable)
}

// Guards against changing a session to another version when its pinned version is withdrawn or forbidden.
func TestWithdrawnVersion(t *testing.T) {
	p := newTestPins(t, memory.NewTable(), nil)
	wantPin(t, p, newLookup("s", small), small)
	handle, _ := p.IssueHandle("id", "o", []declaration.VersionID{small}, now)
	for _, session := range []string{"s", handle} {
		for _, policy := range []policy{{withdrawn: small}, {forbidden: small}} {
			l := newLookup(session, smallVersion2)
			l.Policy = policy
			_, refused := p.Resolve(context.Background(), l, now)
			wantCode(t, refused, fault.CodeSessionVersionWithdrawn)
			if refused.Advice == "" {
				t.Fatal("the error has no advice")
			}
		}
	}
}
