package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cicadawall/cicadawall/internal/standin/rowstore"
)

const (
	// maxCopyAge and maxStoreAway bound how old the copy is with which the store comes back, and how long it is away before.
	maxCopyAge   = 3 * time.Second
	maxStoreAway = 1500 * time.Millisecond
	// lastCopyAge is the same for the last return of a run. The instances' calls for changes of the manifest end every 3 s on average without one, and only
	// then have they seen versions that the copy lacks.
	lastCopyAge = 5 * time.Second
	// heartbeat is the pause in which the servers write their entries while the copy ages.
	heartbeat = 150 * time.Millisecond
	// lastKey is a key that only the manifest which is written after all faults holds.
	lastKey = "key-last"
)

// returnFromCopies lets the store come back from an older copy, once or twice in a row.
func (s *soak) returnFromCopies(random *rand.Rand) {
	defer s.activeFaults.Done()
	for range 1 + random.IntN(2) {
		s.returnFromCopy(random, time.Duration(random.Int64N(int64(maxCopyAge))), func() {})
	}
}

// returnFromCopy lets the store come back from a copy of the age. The operator writes again what is lost, and then makes the change; the servers write again, as
// often as it takes for the store's versions to pass those that it had.
func (s *soak) returnFromCopy(random *rand.Rand, age time.Duration, change func()) {
	faults := []rowstore.Fault{rowstore.FaultReset, rowstore.FaultBusy, rowstore.FaultSilent}
	backup := s.store.Copy()
	for end := time.Now().Add(age); time.Now().Before(end); sleep(heartbeat) {
		s.beat()
	}
	s.store.SetFault(faults[random.IntN(len(faults))])
	s.store.CutFeeds()
	sleep(time.Duration(random.Int64N(int64(maxStoreAway))))
	lost := s.store.Restore(backup)
	s.store.SetFault(rowstore.FaultNone)
	for _, row := range lost {
		switch {
		case row.Table != "op" && row.Table != "servers":
		case row.Deleted:
			s.store.Remove(row.Table, row.Key)
		default:
			s.store.Put(row.Table, row.Key, row.Value)
		}
	}
	change()
	for range int(age/heartbeat) + 1 {
		s.beat()
	}
}

// beat writes the entries of all servers, as their heartbeats do.
func (s *soak) beat() {
	for _, server := range s.servers {
		s.writeServerRow(server, "ready")
	}
}

// waitForLastManifest waits until each instance follows a manifest that is written on a return of the store, and that nothing repeats.
func (s *soak) waitForLastManifest(random *rand.Rand) {
	s.returnFromCopy(random, lastCopyAge, func() { s.writeUnusualManifest(fleetKey, lastKey) })
	for _, instance := range s.instances {
		eventually(s.t, recoveryTimeout, instance.name+" follows the last manifest", func() bool {
			id := fmt.Sprintf("last-%d", s.lastRequest.Add(1))
			return s.sendWithKey(instance, http.MethodPost, "/look/x", id, lastKey).status == http.StatusOK
		})
	}
}
