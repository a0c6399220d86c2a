// Package billing records one bill for each request. A bill is durable when its batch is in the table service or when a
// peer in another availability zone holds a copy. A deterministic roll-up removes duplicate bills of the same identity.
package billing

import (
	"context"
	"fmt"
	"net/url"
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// Peers provides the state of the other instances.
type Peers interface {
	// CopyHolders returns the incarnations of live peers in other availability zones, in order of preference.
	CopyHolders() []string
	// HasLeft reports whether the instance has left or was absent from the platform's instance list long enough to count as
	// dead.
	HasLeft(incarnation string) bool
}

// CopyTransport sends copies of batches of bills to peers.
type CopyTransport interface {
	// PutBillCopy returns without an error only if the holder has the batch in memory. It is idempotent.
	PutBillCopy(ctx context.Context, holder string, req api.BillCopyRequest) (api.BillCopyAck, error)
}

// Config holds the dependencies and settings of a Ledger and of Copies. Zero values take the defaults.
type Config struct {
	Table       platform.Table
	Transport   CopyTransport
	Peers       Peers
	Incarnation string
	// InstanceCount returns the number of registered instances, which share the write rate; default 1.
	InstanceCount func() int
	// Now returns the time with a monotonic reading; the default is time.Now.
	Now func() time.Time
	// MinFlushInterval is the shortest interval between rows of one instance; default 50 ms.
	MinFlushInterval time.Duration
	// TriggerDuty runs the named duty of the ledger at once. If it is set, the duties are suspended while there is nothing to
	// write or copy.
	TriggerDuty func(duty string)
	// Capacity bounds the bills that wait for the table service, and separately the copies held for peers; default 100,000.
	Capacity int
}

const (
	defaultMinFlushInterval = 50 * time.Millisecond
	defaultCapacity         = 100_000
	// maxRowsPerSecond bounds the rate at which all instances together write rows of bills. It is part of the table service's
	// write budget.
	maxRowsPerSecond = 100
	// copyDelay is the longest time that a bill waits for the table service before it is copied to a peer.
	copyDelay = 200 * time.Millisecond
	// copyInterval is the wait between two runs of the copy duty. It also bounds the time for which a batch stays open while
	// copies are made, and the copies of one instance to 10 a second.
	copyInterval = 100 * time.Millisecond
	// suspendedInterval is the wait of a suspended duty. The next bill triggers the duty earlier; the periodic run is a safety
	// net.
	suspendedInterval = 10 * time.Second
	// copyTimeout bounds one copy to one peer.
	copyTimeout = 500 * time.Millisecond
	// storeTimeout bounds one call of the table service.
	storeTimeout = time.Second
	// maxBillsPerRow bounds the bills of one row, which keeps it near 1 MB at about 200 bytes for each bill.
	maxBillsPerRow = 5_000
	// reserveDivisor determines the fraction of the capacity, 1/reserveDivisor, that is reserved for the bills of requests
	// already admitted.
	reserveDivisor = 20
	// drainCopyCount is the number of peers that receive copies at a planned stop while the table service is unavailable. One
	// peer is not enough, because the instance that stops no longer holds the bills itself.
	drainCopyCount = 2
)

func (c Config) withDefaults() Config {
	if c.InstanceCount == nil {
		c.InstanceCount = func() int { return 1 }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.MinFlushInterval == 0 {
		c.MinFlushInterval = defaultMinFlushInterval
	}
	if c.Capacity == 0 {
		c.Capacity = defaultCapacity
	}
	return c
}

// FlushInterval returns the wait between two rows of one instance, at least the minimum, such that the instances together
// write at most maxRowsPerSecond rows a second.
func FlushInterval(minimum time.Duration, instances int) time.Duration {
	return max(minimum, time.Duration(instances)*time.Second/maxRowsPerSecond)
}

// Identity returns the identity of a bill, of which the roll-up keeps one bill: the organisation's idempotency key if there
// is one, else its request id.
func Identity(organisation, idempotencyKey, requestID string) string {
	if idempotencyKey != "" {
		return url.PathEscape(organisation) + "/key/" + url.PathEscape(idempotencyKey)
	}
	return url.PathEscape(organisation) + "/request/" + url.PathEscape(requestID)
}

// KeyPrefix is the key prefix of all bill rows.
const KeyPrefix = "bill/"

// ownerKey returns the key of a row that the owner of the bills writes. The row starts with the batch firstSequence.
func ownerKey(incarnation string, firstSequence int64) string {
	return fmt.Sprintf("%s%s/%020d", KeyPrefix, incarnation, firstSequence)
}

// holderKey returns the key of a row that the holder of copies writes. It sorts after the owner's row, so that the owner's
// bills take precedence in the roll-up.
func holderKey(incarnation string, firstSequence int64, holder string) string {
	return ownerKey(incarnation, firstSequence) + "." + holder
}
