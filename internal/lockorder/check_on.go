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
	held   = map[uint64][]Rank{}
)

// goroutineID parses the id from the first line of the stack, "goroutine 12 [running]:". The runtime has no API for it.
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

func acquire(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	for _, other := range held[id] {
		if other >= rank {
			panic(fmt.Sprintf("lockorder: rank %d taken while rank %d is held", rank, other))
		}
	}
	held[id] = append(held[id], rank)
}

func release(rank Rank) {
	id := goroutineID()
	heldMu.Lock()
	defer heldMu.Unlock()
	ranks := held[id]
	for i := len(ranks) - 1; i >= 0; i-- {
		if ranks[i] != rank {
			continue
		}
		ranks = append(ranks[:i], ranks[i+1:]...)
		break
	}
	if len(ranks) == 0 {
		delete(held, id)
		return
	}
	held[id] = ranks
}
