package storepos

import "testing"

// Guards against versions of different eras that are compared by their numbers, and against an order for positions that have none.
func TestPrecedesAcrossEras(t *testing.T) {
	for _, test := range []struct {
		a, b       Position
		aToB, bToA bool
	}{
		{At(1, 5), At(1, 6), true, false},
		{At(1, 5), At(1, 5), false, false},
		{At(1, 900), At(2, 3), true, false},
		{At(0, 4), At(0, 9), true, false},
		{At(0, 4), At(2, 9), false, false},
		{At(0, 9), At(2, 4), false, false},
		{Position{}, At(0, 1), true, false},
		{Position{}, At(3, 1), true, false},
		{Position{}, Position{}, false, false},
	} {
		if test.a.Precedes(test.b) != test.aToB || test.b.Precedes(test.a) != test.bToA {
			t.Errorf("%s and %s: precedes %t, preceded %t", test.a, test.b, test.a.Precedes(test.b), test.b.Precedes(test.a))
		}
	}
	if got := Later(At(1, 900), At(2, 3)); got != At(2, 3) {
		t.Errorf("later position %s", got)
	}
	if got := Later(At(2, 3), At(0, 900)); got != At(2, 3) {
		t.Errorf("later of two positions without an order: %s", got)
	}
	if got := Later(At(0, 900), At(2, 3)); got != At(2, 3) {
		t.Errorf("later of two positions without an order: %s", got)
	}
}
