//go:build lockcheck

package lockorder

import (
	"bytes"
	"fmt"
	"runtime"
	"strconv"
	"sync"
)

var (
	heldMu sync.Mutex
	// heldRanks lists the ranks of the locks that each goroutine holds, by goroutine id.
	heldRanks = map[uint64][]Rank{}
)

// goroutineID returns the id of the calling goroutine. The runtime has no API for it, so it is parsed from the first line
// of the stack trace, "goroutine 12 [running]:".
func goroutineID() uint64 {
	buf := make([]byte, 64)
	buf = buf[:runtime.Stack(buf, false)]
	fields := bytes.Fields(buf)
	id, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		panic(fmt.Sprintf("lockorder: parse goroutine id: %v", err))
	}
	return id
}

// acquire records that the calling goroutine locks a lock of the rank. It panics if the goroutine holds a lock of the same
// or a higher rank.
func acquire(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, heldRank := range heldRanks[id] {
		if heldRank >= rank {
			panic(fmt.Sprintf("lockorder: locking rank %d while rank %d is held", rank, heldRank))
		}
	}
	heldRanks[id] = append(heldRanks[id], rank)
}

// release records that the calling goroutine unlocked its most recently locked lock of the rank.
func release(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := heldRanks[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		ranks = append(ranks[:i], ranks[i+1:]...)
		break
	}
	if len(ranks) == 0 {
		delete(heldRanks, id)
		return
	}
	heldRanks[id] = ranks
}
