package quorum

import (
	"reflect"
	"testing"
	"time"
)

func member(sequence, revision, knownSequence int64) Member {
	return Member{Sequence: sequence, Revision: revision, KnownSequence: knownSequence}
}

// Guards against acceptance by a majority of all instances while an instance that has not acknowledged may still count a
// majority of an older, smaller set of instances, and against one dead instance that blocks every change of the
// configuration.
func TestCheckMajorities(t *testing.T) {
	cases := []struct {
		name           string
		members        []Member
		satisfied      bool
		unacknowledged []int64
	}{
		{"nobody registered", nil, false, nil},
		{"all acknowledged", []Member{member(1, 2, 3), member(2, 2, 3), member(3, 3, 3)}, true, nil},
		{"half acknowledged", []Member{member(1, 2, 2), member(2, 1, 2)}, false, []int64{2}},
		{"oldest dead, but knew all instances", []Member{member(1, 1, 3), member(2, 2, 3), member(3, 2, 3)}, true, []int64{1}},
		{"oldest never reported", []Member{member(1, 1, 0), member(2, 2, 5), member(3, 2, 5)}, false, []int64{1}},
		{"minority of the old prefix of three", []Member{member(1, 1, 3), member(2, 1, 3), member(3, 2, 5), member(4, 2, 5), member(5, 2, 5)}, false, []int64{1, 2}},
		{"same, but both know the new instances", []Member{member(1, 1, 5), member(2, 1, 5), member(3, 2, 5), member(4, 2, 5), member(5, 2, 5)}, true, []int64{1, 2}},
		{"known sequence between members", []Member{member(1, 1, 6), member(2, 2, 9), member(8, 2, 9), member(9, 2, 9)}, false, []int64{1}},
	}
	for _, c := range cases {
		got := CheckMajorities(c.members, 2)
		if got.Satisfied != c.satisfied || !reflect.DeepEqual(got.Unacknowledged, c.unacknowledged) {
			t.Errorf("%s: wrong verdict %+v", c.name, got)
		}
	}
}

// Guards against an instance that serves without recent reports of a majority, or although a member reported a newer
// revision or knows a later registration.
func TestMajoritySupports(t *testing.T) {
	now := time.Unix(1000, 0)
	bound := 6 * time.Second
	heardMember := func(sequence, revision, known int64, age time.Duration) Member {
		return Member{Sequence: sequence, Revision: revision, KnownSequence: known, HeardAt: now.Add(-age)}
	}
	self := member(1, 4, 3)
	cases := []struct {
		name string
		view View
		want bool
	}{
		{"only instance", View{Self: 1, LastSequence: 1, Members: []Member{member(1, 4, 1)}}, true},
		{"majority reported recently", View{Self: 1, LastSequence: 3, Members: []Member{self, heardMember(2, 3, 3, time.Second), heardMember(3, 4, 3, time.Hour)}}, true},
		{"reports older than the bound", View{Self: 1, LastSequence: 3, Members: []Member{self, heardMember(2, 4, 3, bound+1), heardMember(3, 4, 3, time.Hour)}}, false},
		{"newer revision reported long ago", View{Self: 1, LastSequence: 3, Members: []Member{self, heardMember(2, 4, 3, 0), heardMember(3, 5, 3, time.Hour)}}, false},
		{"later registrations exist", View{Self: 1, LastSequence: 3, Members: []Member{self, heardMember(2, 4, 4, 0), heardMember(3, 4, 3, 0)}}, false},
		{"member without a revision", View{Self: 1, LastSequence: 2, Members: []Member{self, heardMember(2, 0, 2, 0)}}, false},
		{"own registration ended", View{Self: 1, LastSequence: 3, Members: []Member{heardMember(2, 4, 3, 0), heardMember(3, 4, 3, 0)}}, false},
		{"not registered", View{LastSequence: 3, Members: []Member{heardMember(2, 4, 3, 0), heardMember(3, 4, 3, 0)}}, true},
	}
	for _, c := range cases {
		if got := c.view.MajoritySupports(4, bound, now); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// Guards against a cold start that adopts the revision of a minority, or adopts one although a member knows later
// registrations.
func TestAdoptableRevision(t *testing.T) {
	now := time.Unix(1000, 0)
	heardMember := func(sequence, revision, known int64) Member {
		return Member{Sequence: sequence, Revision: revision, KnownSequence: known, HeardAt: now.Add(-time.Second)}
	}
	cases := []struct {
		name string
		view View
		want int64
	}{
		{"highest revision of a majority", View{LastSequence: 3, Members: []Member{heardMember(1, 4, 3), heardMember(2, 6, 3), member(3, 0, 0)}}, 6},
		{"minority", View{LastSequence: 4, Members: []Member{heardMember(1, 4, 4), heardMember(2, 6, 4), member(3, 0, 0), member(4, 0, 0)}}, 0},
		{"later registrations exist", View{LastSequence: 2, Members: []Member{heardMember(1, 4, 2), heardMember(2, 4, 3)}}, 0},
	}
	for _, c := range cases {
		if got := c.view.AdoptableRevision(6*time.Second, now); got != c.want {
			t.Errorf("%s: got %d", c.name, got)
		}
	}
}
