// Package platform defines the narrow interfaces to the platform's services. An adapter makes no decisions: it implements
// conditional writes, reads and ranges, and reports a write with an unknown outcome as ambiguous.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Errors that calls of the services return. Adapters wrap them; callers compare with errors.Is.
var (
	// ErrConditionFailed means that the condition of a write was not met; nothing was written.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the service did not execute the call, or that a read got no reply; nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. The caller must read the row back to find out.
	ErrAmbiguous = errors.New("outcome of the write is ambiguous")
)

// Condition must be met for a write to take effect. The zero value writes unconditionally.
type Condition struct {
	// Absent requires that the key does not exist.
	Absent bool
	// Version, if not zero, requires that the row has this version.
	Version int64
}

// IfAbsent is the condition of an insert.
func IfAbsent() Condition { return Condition{Absent: true} }

// IfVersion is the condition of a compare-and-set.
func IfVersion(version int64) Condition { return Condition{Version: version} }

// Table is the transactional table service.
type Table interface {
	// Put writes one row and returns its new version. Errors: ErrConditionFailed, ErrUnavailable, ErrAmbiguous.
	Put(ctx context.Context, key string, value []byte, cond Condition) (int64, error)
	// Get reads one row. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) (api.Row, error)
	// Range reads up to limit rows with the prefix whose key is greater than after, in key order. Error: ErrUnavailable.
	Range(ctx context.Context, prefix, after string, limit int) ([]api.Row, error)
}

// Objects is the object store. Objects are immutable.
type Objects interface {
	// PutIfAbsent stores an object; storing it again has no effect. Errors: ErrUnavailable, ErrAmbiguous.
	PutIfAbsent(ctx context.Context, key string, value []byte) error
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Instances is the list of live and leaving instances and backend servers; its entries may be out of date.
type Instances interface {
	List(ctx context.Context) ([]api.InstanceEntry, error)
}

// Ratings is the rating service, which scores answers asynchronously.
type Ratings interface {
	// Submit hands over an answer for scoring. Errors: ErrUnavailable, ErrAmbiguous.
	Submit(ctx context.Context, request api.RatingRequest) error
	// Results returns the scores of the answers that the named instance submitted, from the cursor on, and the next cursor.
	Results(ctx context.Context, instance, cursor string) (api.RatingResults, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// RequestGrant asks for permission to load a version's weights once.
	RequestGrant(ctx context.Context, model, version string) (api.WeightGrant, error)
}

// Services bundles the platform's services for one instance.
type Services struct {
	Table     Table
	Objects   Objects
	Instances Instances
	Ratings   Ratings
	Weights   Weights
}
