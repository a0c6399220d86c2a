//go:build lockcheck

package lockorder

import "testing"

// Guards against a lock-order check that accepts an inversion.
func TestInversionPanics(t *testing.T) {
	outer, inner := New(RankQueue), New(RankConfiguration)
	outer.Lock()
	defer outer.Unlock()
	defer func() {
		if recover() == nil {
			t.Fatal("taking a lower rank under a higher one did not panic")
		}
	}()
	inner.Lock()
}

// Guards against a check that refuses the declared order or forgets releases.
func TestDeclaredOrderPasses(t *testing.T) {
	outer, inner := NewRW(RankConfiguration), New(RankQueue)
	for range 2 {
		outer.RLock()
		inner.Lock()
		inner.Unlock()
		outer.RUnlock()
	}
}
