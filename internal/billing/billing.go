// Package billing records each request's bill once. A bill is durable when its batch is in the table service or when a
// peer in another availability zone holds a copy; a deterministic roll-up removes duplicates of one identity.
package billing

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Peers knows the other instances.
type Peers interface {
	// CopyHolders returns the incarnations of live peers in other availability zones, in order of preference.
	CopyHolders() []string
	// Gone reports whether the instance has left or was absent from the platform's list long enough to count as dead.
	Gone(incarnation string) bool
}

// CopyTransport sends copies of batches to peers.
type CopyTransport interface {
	// PutBillCopy returns without an error only if the holder has the batch in memory. It is repeatable.
	PutBillCopy(ctx context.Context, holder string, req api.BillCopyRequest) (api.BillCopyAck, error)
}

// Config holds what a Ledger needs. Zero values take the defaults.
type Config struct {
	Table       platform.Table
	Transport   CopyTransport
	Peers       Peers
	Incarnation string
	// Instances returns the number of registered instances, which share the write budget; default 1.
	Instances func() int
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
	// MinFlush is the shortest interval between rows of one instance; default 50 ms.
	MinFlush time.Duration
	// Wake runs a duty of the ledger at once. If it is set, the duties rest while there is nothing to write or copy.
	Wake func(duty string)
	// Capacity bounds the bills that wait for the table service, and separately the copies held for peers; default 100,000.
	Capacity int
}

const (
	defaultMinFlush = 50 * time.Millisecond
	defaultCapacity = 100_000
	// writesPerSecond is the share of the table service's write budget that all instances together spend on bills.
	writesPerSecond = 100
	// copyAfter is the longest time that a bill waits for the table service before it is copied to a peer.
	copyAfter = 200 * time.Millisecond
	// copyInterval is the wait between rounds of copying, and with it the longest time for which a batch stays open while
	// copies are made. It bounds the copies of one instance to 10 a second.
	copyInterval = 100 * time.Millisecond
	// restInterval is the wait of a duty that rests. A bill wakes it before; the run is only a second chance.
	restInterval = 10 * time.Second
	// copyTimeout bounds one copy to one peer.
	copyTimeout = 500 * time.Millisecond
	// storeTimeout bounds one call to the table service.
	storeTimeout = time.Second
	// maxRowBills bounds the bills of one row, which keeps it near 1 MB at about 200 bytes for each bill.
	maxRowBills = 5_000
	// reserveShare is the part of the capacity, 1/reserveShare, that is kept for requests already admitted.
	reserveShare = 20
	// drainCopies is the number of peers that receive copies at a planned stop while the table service is unavailable: the
	// owner's own memory no longer counts.
	drainCopies = 2
)

func (c Config) withDefaults() Config {
	if c.Instances == nil {
		c.Instances = func() int { return 1 }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MinFlush == 0 {
		c.MinFlush = defaultMinFlush
	}
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	return c
}

// FlushInterval returns the wait between rows such that n instances together write at most writesPerSecond rows a second.
func FlushInterval(shortest time.Duration, n int) time.Duration {
	return max(shortest, time.Duration(n)*time.Second/writesPerSecond)
}

// Identity returns the identity for which one bill counts: the idempotency key if there is one, else the request id.
func Identity(organisation, idempotencyKey, requestID string) string {
	if idempotencyKey != "" {
		return url.PathEscape(organisation) + "/key/" + url.PathEscape(idempotencyKey)
	}
	return url.PathEscape(organisation) + "/request/" + url.PathEscape(requestID)
}

// RowPrefix starts the keys of all bill rows.
const RowPrefix = "bill/"

// ownerKey returns the key of the owner's row that starts with the batch of the sequence.
func ownerKey(incarnation string, first int64) string {
	return fmt.Sprintf("%s%s/%020d", RowPrefix, incarnation, first)
}

// holderKey returns the key of a row that the holder of the copy writes. It sorts after the owner's row.
func holderKey(incarnation string, first int64, holder string) string {
	return ownerKey(incarnation, first) + "." + holder
}
