package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// writeAttempts is the maximum number of attempts at one conditional write whose result is ambiguous.
const writeAttempts = 3

// errNotWritten means that the write certainly did not change the row.
var errNotWritten = errors.New("the order row was not written")

// errWriteUnknown means that the write may have changed the row and that reading the row back did not show whether it did.
var errWriteUnknown = errors.New("the order row may or may not have been written")

// row is the content and the version of an order row, as it was read or written last.
type row struct {
	claim   api.OrderClaim
	version int64
}

// claimStore reads and writes order rows. All writes are conditional, so that a write based on a stale read has no effect.
type claimStore struct {
	table   platform.Table
	timeout time.Duration
}

func (c *claimStore) read(ctx context.Context, key string) (row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	stored, err := c.table.Get(ctx, key)
	if err != nil {
		return row{}, errors.Wrap(err, "read order row")
	}
	r := row{version: stored.Version}
	if err := json.Unmarshal(stored.Value, &r.claim); err != nil {
		return row{}, errors.Wrapf(err, "decode order row %q", key)
	}
	return r, nil
}

func (c *claimStore) put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.table.Put(ctx, key, value, cond)
}

// write writes the claim to the row if the condition holds. It returns true and the new row if the row contains the claim,
// false and the current row if the condition failed, and errNotWritten or errWriteUnknown otherwise. After an ambiguous
// reply it reads the row back: the attempt id shows whose write the row contains.
func (c *claimStore) write(ctx context.Context, key string, next api.OrderClaim, cond platform.Condition) (row, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return row{}, false, errors.Wrap(errNotWritten, err.Error())
	}
	ambiguous := false
	for range writeAttempts {
		version, err := c.put(ctx, key, value, cond)
		if err == nil {
			return row{claim: next, version: version}, true, nil
		}
		if errors.Is(err, platform.ErrUnavailable) && !ambiguous {
			return row{}, false, errors.Wrap(errNotWritten, err.Error())
		}
		ambiguous = ambiguous || !errors.Is(err, platform.ErrConditionFailed)
		present, err := c.read(ctx, key)
		if errors.Is(err, platform.ErrNotFound) || (err == nil && cond.Version != 0 && present.version == cond.Version) {
			continue // the write was lost, or the read is stale; a conditional write can be repeated safely
		}
		if err != nil {
			return row{}, false, errors.Wrap(errWriteUnknown, err.Error())
		}
		return present, sameWrite(present.claim, next), nil
	}
	return row{}, false, errWriteUnknown
}

// sameWrite reports whether two claims come from the same write.
func sameWrite(a, b api.OrderClaim) bool {
	return a.AttemptID == b.AttemptID && a.State == b.State && a.Fence == b.Fence
}
