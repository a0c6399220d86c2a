package table

import (
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// fakeEligibility returns fixed values; onMajorityCheck, if set, is called during the check of the majority.
type fakeEligibility struct {
	acceptsConfirmation, majoritySupports bool
	onMajorityCheck                       func()
}

func (s *fakeEligibility) AcceptsConfirmation(time.Time) bool { return s.acceptsConfirmation }

func (s *fakeEligibility) MajoritySupports(int64, time.Time) bool {
	if s.onMajorityCheck != nil {
		s.onMajorityCheck()
	}
	return s.majoritySupports
}

// Guards against new work admitted by a confirmation that does not count, or by a majority whose registrations arrived,
// together with a newer revision, during the check.
func TestNewWorkNeedsConfirmationOrMajority(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name               string
		confirms, supports bool
		age                time.Duration
		newer, want        bool
	}{
		{"confirmed", true, false, time.Second, false, true},
		{"confirmed before the registration", false, false, time.Second, false, false},
		{"confirmation too old", true, false, 7 * time.Second, false, false},
		{"majority", false, true, 7 * time.Second, false, true},
		{"newer revision arrives with registrations", false, true, 7 * time.Second, true, false},
	}
	for _, c := range cases {
		eligibility := &fakeEligibility{acceptsConfirmation: c.confirms, majoritySupports: c.supports}
		config := NewConfig(6*time.Second, eligibility)
		config.Install(declaration.Compile(1, &api.Declaration{}))
		config.Confirm(1, now.Add(-c.age))
		if c.newer {
			eligibility.onMajorityCheck = func() { config.ObserveRevision(2) }
		}
		if _, refused := config.SnapshotIfEligible(now); (refused == nil) != c.want {
			t.Errorf("%s: refused with %v", c.name, refused)
		}
	}
}

// Guards against store reads and peer reports from before the registration that let the instance report its revision or
// serve by a majority, and against an instance that counts towards a majority by a revision that it only adopted.
func TestReadsBeforeRegistrationDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := NewPeers()
	eligibility := peers.Eligibility(6 * time.Second)
	peers.Apply([]RegistrationRow{{Sequence: 1, Registration: api.Registration{Incarnation: "1"}}})
	peers.ObserveReport(1, 4, 1, now)
	peers.ConfirmOwnRevision(4, now)
	if peers.ReportsOwnRevision() || eligibility.AcceptsConfirmation(now) || eligibility.MajoritySupports(4, now) {
		t.Error("a store read before the registration counts")
	}
	peers.MarkRevisionAdopted()
	if peers.ReportsOwnRevision() || !eligibility.MajoritySupports(4, now) {
		t.Error("an instance that cannot register does not serve by the majority whose revision it adopted")
	}
	peers.Apply([]RegistrationRow{{Sequence: 2, Registration: api.Registration{Incarnation: "2"}}})
	peers.SetSelf(2, now.Add(time.Second))
	if peers.ReportsOwnRevision() || eligibility.AcceptsConfirmation(now) || eligibility.MajoritySupports(4, now) {
		t.Error("the adoption or the store read from before the registration still counts after it")
	}
	peers.MarkRevisionAdopted()
	if peers.ObserveReport(1, 4, 2, now.Add(time.Second)); eligibility.MajoritySupports(4, now.Add(time.Second)) {
		t.Error("an adopted revision counts towards a majority of two")
	}
	peers.ConfirmOwnRevision(4, now.Add(time.Second))
	if !peers.ReportsOwnRevision() || !eligibility.AcceptsConfirmation(now.Add(time.Second)) || !eligibility.MajoritySupports(4, now.Add(time.Second)) {
		t.Error("a store read after the registration does not count")
	}
}

// Guards against an instance that was suspended and then serves by a revision whose confirmation, or whose support by peers, is older
// than it seems: the monotonic clock does not count the suspension.
func TestSuspensionEndsFreshness(t *testing.T) {
	var suspended time.Duration
	config := NewConfig(6*time.Second, nil)
	config.suspended = func() time.Duration { return suspended }
	config.suspendedBefore, config.suspendedSeen = 0, 0
	config.Install(&declaration.Snapshot{Revision: 1})
	now := time.Now()
	config.Confirm(1, now)
	if _, problem := config.SnapshotIfEligible(now.Add(time.Second)); problem != nil {
		t.Fatalf("before the suspension: %v", problem)
	}
	suspended = time.Minute
	if _, problem := config.SnapshotIfEligible(now.Add(2 * time.Second)); problem == nil {
		t.Error("the confirmation from before the suspension still counts")
	}
	config.Confirm(1, now.Add(2*time.Second))
	if _, problem := config.SnapshotIfEligible(now.Add(2 * time.Second)); problem == nil {
		t.Error("a read that may have started before the suspension counts as a confirmation")
	}
	config.Confirm(1, now.Add(3*time.Second))
	if _, problem := config.SnapshotIfEligible(now.Add(3 * time.Second)); problem != nil {
		t.Errorf("after a confirmation since the suspension: %v", problem)
	}
}
