package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/platform"
)

// writeAttempts bounds how often one conditional write is repeated after an ambiguous reply.
const writeAttempts = 3

// errNoEffect means that the row was certainly not written.
var errNoEffect = errors.New("the order row was not written")

// errUnresolved means that it could not be read back whether the row was written.
var errUnresolved = errors.New("the write of the order row could not be read back")

// row is an order row as of one read.
type row struct {
	claim   api.OrderClaim
	version int64
}

// claims reads and writes order rows. All writes are conditional, so that a stale read never overwrites anything.
type claims struct {
	table   platform.Table
	timeout time.Duration
}

func (c *claims) read(ctx context.Context, key string) (row, error) {
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

func (c *claims) put(ctx context.Context, key string, value []byte, cond platform.Condition) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return c.table.Put(ctx, key, value, cond)
}

// write puts the claim if the condition holds. It returns true and the row if the claim is in the row, false and the
// present row if the condition failed, errNoEffect or errUnresolved otherwise. An ambiguous reply is resolved by reading
// the row back; the attempt id tells whose write it holds.
func (c *claims) write(ctx context.Context, key string, next api.OrderClaim, cond platform.Condition) (row, bool, error) {
	value, err := json.Marshal(next)
	if err != nil {
		return row{}, false, errors.Wrap(errNoEffect, err.Error())
	}
	ambiguous := false
	for range writeAttempts {
		version, err := c.put(ctx, key, value, cond)
		if err == nil {
			return row{claim: next, version: version}, true, nil
		}
		if errors.Is(err, platform.ErrUnavailable) && !ambiguous {
			return row{}, false, errors.Wrap(errNoEffect, err.Error())
		}
		ambiguous = ambiguous || !errors.Is(err, platform.ErrConditionFailed)
		present, err := c.read(ctx, key)
		if errors.Is(err, platform.ErrNotFound) || (err == nil && cond.Version != 0 && present.version == cond.Version) {
			continue // the write did not arrive, or the read is stale; the conditional write is repeatable
		}
		if err != nil {
			return row{}, false, errors.Wrap(errUnresolved, err.Error())
		}
		return present, sameWrite(present.claim, next), nil
	}
	return row{}, false, errUnresolved
}

func sameWrite(a, b api.OrderClaim) bool {
	return a.AttemptID == b.AttemptID && a.State == b.State && a.Fence == b.Fence
}
