package quorum

import (
	"reflect"
	"testing"
	"time"
)

func member(sequence, revision, known int64) Member {
	return Member{Sequence: sequence, Revision: revision, Known: known}
}

// Guards against acceptance by a majority of all when an unacknowledged instance may decide by an older, smaller prefix,
// and against one dead instance that blocks operators.
func TestRequired(t *testing.T) {
	cases := []struct {
		name      string
		members   []Member
		satisfied bool
		missing   []int64
	}{
		{"nobody registered", nil, false, nil},
		{"all acknowledged", []Member{member(1, 2, 3), member(2, 2, 3), member(3, 3, 3)}, true, nil},
		{"half", []Member{member(1, 2, 2), member(2, 1, 2)}, false, []int64{2}},
		{"oldest dead but knew all", []Member{member(1, 1, 3), member(2, 2, 3), member(3, 2, 3)}, true, []int64{1}},
		{"oldest never heard", []Member{member(1, 1, 0), member(2, 2, 5), member(3, 2, 5)}, false, []int64{1}},
		{"two of the old prefix of three", []Member{member(1, 1, 3), member(2, 1, 3), member(3, 2, 5), member(4, 2, 5), member(5, 2, 5)}, false, []int64{1, 2}},
		{"same, but both know the new ones", []Member{member(1, 1, 5), member(2, 1, 5), member(3, 2, 5), member(4, 2, 5), member(5, 2, 5)}, true, []int64{1, 2}},
		{"known sequence between members", []Member{member(1, 1, 6), member(2, 2, 9), member(8, 2, 9), member(9, 2, 9)}, false, []int64{1}},
	}
	for _, c := range cases {
		got := Required(c.members, 2)
		if got.Satisfied != c.satisfied || !reflect.DeepEqual(got.Missing, c.missing) {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
}

// Guards against an instance that serves without a recent majority, or beside a newer revision or registration.
func TestSupports(t *testing.T) {
	now := time.Unix(1000, 0)
	bound := 6 * time.Second
	heard := func(sequence, revision, known int64, age time.Duration) Member {
		return Member{Sequence: sequence, Revision: revision, Known: known, Heard: now.Add(-age)}
	}
	self := member(1, 4, 3)
	cases := []struct {
		name string
		view View
		want bool
	}{
		{"alone", View{Self: 1, Last: 1, Members: []Member{member(1, 4, 1)}}, true},
		{"majority", View{Self: 1, Last: 3, Members: []Member{self, heard(2, 3, 3, time.Second), heard(3, 4, 3, time.Hour)}}, true},
		{"too old", View{Self: 1, Last: 3, Members: []Member{self, heard(2, 4, 3, bound+1), heard(3, 4, 3, time.Hour)}}, false},
		{"newer revision heard long ago", View{Self: 1, Last: 3, Members: []Member{self, heard(2, 4, 3, 0), heard(3, 5, 3, time.Hour)}}, false},
		{"later registrations exist", View{Self: 1, Last: 3, Members: []Member{self, heard(2, 4, 4, 0), heard(3, 4, 3, 0)}}, false},
		{"no revision supports nothing", View{Self: 1, Last: 2, Members: []Member{self, heard(2, 0, 2, 0)}}, false},
		{"removed", View{Self: 1, Last: 3, Members: []Member{heard(2, 4, 3, 0), heard(3, 4, 3, 0)}}, false},
		{"not registered", View{Last: 3, Members: []Member{heard(2, 4, 3, 0), heard(3, 4, 3, 0)}}, true},
	}
	for _, c := range cases {
		if got := c.view.Supports(4, bound, now); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// Guards against a cold start that adopts from a minority or without a later registration set.
func TestAdoptable(t *testing.T) {
	now := time.Unix(1000, 0)
	heard := func(sequence, revision, known int64) Member {
		return Member{Sequence: sequence, Revision: revision, Known: known, Heard: now.Add(-time.Second)}
	}
	cases := []struct {
		name string
		view View
		want int64
	}{
		{"highest of a majority", View{Last: 3, Members: []Member{heard(1, 4, 3), heard(2, 6, 3), member(3, 0, 0)}}, 6},
		{"minority", View{Last: 4, Members: []Member{heard(1, 4, 4), heard(2, 6, 4), member(3, 0, 0), member(4, 0, 0)}}, 0},
		{"later registrations exist", View{Last: 2, Members: []Member{heard(1, 4, 2), heard(2, 4, 3)}}, 0},
	}
	for _, c := range cases {
		if got := c.view.Adoptable(6*time.Second, now); got != c.want {
			t.Errorf("%s: got %d", c.name, got)
		}
	}
}
