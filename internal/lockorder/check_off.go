//go:build !lockcheck

package lockorder

func acquire(Rank) {}

func release(Rank) {}
