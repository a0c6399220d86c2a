//go:build lockcheck

package lockorder

import "testing"

// Guards against a check that accepts a lock-order inversion.
func TestInversionPanics(t *testing.T) {
	outer, inner := New(RankQueue), New(RankConfiguration)
	outer.Lock()
	defer outer.Unlock()
	defer func() {
		if recover() == nil {
			t.Fatal("locking a lower rank while holding a higher one did not panic")
		}
	}()
	inner.Lock()
}

// Guards against a check that rejects the declared order or does not record releases.
func TestDeclaredOrderPasses(t *testing.T) {
	outer, inner := NewRW(RankConfiguration), New(RankQueue)
	for range 2 {
		outer.RLock()
		inner.Lock()
		inner.Unlock()
		outer.RUnlock()
	}
}
