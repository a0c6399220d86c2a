package matrix

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var (
	pairSeed = flag.Uint64("pair-seed", 1, "first seed of the pairs of faults")
	pairs    = flag.Uint64("pairs", 100, "number of pairs of faults")
)

var durableOperations = []string{"put:order", "get:order", "before-send", "send", "fence", "put:bill", "get:bill", "copy",
	"put:lease", "get:lease", "command", "put:session", "get:session", "resolve"}

// secondFault returns a fault at one of the first calls of a random operation by a random instance. An operation that the path
// of the row does not use never matches, so the fault does not start. A send is never duplicated, for reasonOneSend.
func secondFault(seed uint64, operations []string) *injection {
	rnd := rand.New(rand.NewPCG(seed, 5))
	var minAge time.Duration
	if operations != nil {
		minAge = faultsFrom + time.Duration(rnd.IntN(25))*time.Second
	} else {
		operations = durableOperations
	}
	f := &injection{
		instance:    []string{"a", "b", "c"}[rnd.IntN(3)],
		op:          operations[rnd.IntN(len(operations))],
		nth:         1 + rnd.IntN(4),
		fault:       Columns()[rnd.IntN(len(Columns()))],
		afterEffect: rnd.IntN(2) == 0,
		minAge:      minAge,
	}
	if strings.HasPrefix(f.op, "send") && f.fault == Duplicate {
		f.fault = ReplyLost
	}
	return f
}

// Guards against invariants that hold under one fault but are violated under two.
func TestPairs(t *testing.T) {
	sorted := sortedRows()
	names := make([]string, *pairs)
	for i := range names {
		names[i] = fmt.Sprint("seed ", *pairSeed+uint64(i))
	}
	inParallel(t, names, func(t *testing.T, i int) {
		seed := *pairSeed + uint64(i)
		rnd := rand.New(rand.NewPCG(seed, 9))
		row := sorted[rnd.IntN(len(sorted))]
		column := Columns()[rnd.IntN(len(Columns()))]
		if _, exempt := row.ExemptionReason(column); exempt || row.Check == nil {
			return
		}
		run := runCheck(t, row, &Run{Column: column, Seed: seed})
		for _, problem := range run.failures {
			second := secondFault(seed, run.SecondFaultOperations)
			t.Errorf("seed %d: %s, %s, with second fault %s of %s at call %d of %s (after the effect: %v): %s",
				seed, row.Name(), column, second.fault, second.instance, second.nth, second.op, second.afterEffect, problem)
		}
	})
}
