package table

import (
	"testing"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

// fakeStanding answers with fixed values; during is called while the majority is checked.
type fakeStanding struct {
	confirms, supports bool
	during             func()
}

func (s *fakeStanding) Confirms(time.Time) bool { return s.confirms }

func (s *fakeStanding) Supports(int64, time.Time) bool {
	if s.during != nil {
		s.during()
	}
	return s.supports
}

// Guards against work by a confirmation that does not count, and by a majority of registrations that came with a newer
// revision while it was checked.
func TestCurrentNeedsStanding(t *testing.T) {
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
		standing := &fakeStanding{confirms: c.confirms, supports: c.supports}
		config := NewConfig(6*time.Second, standing)
		config.Install(declaration.Compile(1, &api.Declaration{}))
		config.Confirm(1, now.Add(-c.age))
		if c.newer {
			standing.during = func() { config.Heard(2) }
		}
		if _, refused := config.Current(now); (refused == nil) != c.want {
			t.Errorf("%s: refused with %v", c.name, refused)
		}
	}
}

// Guards against a report or a majority by reads and reports from before the registration, and against an instance that
// counts by a revision that it only adopted.
func TestOnlyReadsAfterRegistrationCount(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := NewPeers()
	standing := peers.Majority(6 * time.Second)
	peers.Apply([]Registered{{Sequence: 1, Registration: api.Registration{Incarnation: "1"}}})
	peers.Observe(1, 4, 1, now)
	peers.Report(4, now)
	if peers.Reporting() || standing.Confirms(now) || standing.Supports(4, now) {
		t.Error("a read before the registration counts")
	}
	peers.Adopted()
	if peers.Reporting() || !standing.Supports(4, now) {
		t.Error("an instance that cannot register does not serve by the majority that it adopted from")
	}
	peers.Apply([]Registered{{Sequence: 2, Registration: api.Registration{Incarnation: "2"}}})
	peers.SetSelf(2, now.Add(time.Second))
	if peers.Reporting() || standing.Confirms(now) || standing.Supports(4, now) {
		t.Error("the adoption or the read counts after the registration")
	}
	peers.Adopted()
	if peers.Observe(1, 4, 2, now.Add(time.Second)); standing.Supports(4, now.Add(time.Second)) {
		t.Error("the adopted revision counts towards a majority of two")
	}
	peers.Report(4, now.Add(time.Second))
	if !peers.Reporting() || !standing.Confirms(now.Add(time.Second)) || !standing.Supports(4, now.Add(time.Second)) {
		t.Error("a read after the registration does not count")
	}
}
