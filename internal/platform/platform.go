// Package platform holds the narrow interfaces to the platform's services. They decide nothing: an adapter for another
// service implements conditional writes, reads and ranges and reports ambiguous outcomes as such.
package platform

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cicadawall/cicadawall/internal/api"
)

// Results of a call besides success.
var (
	// ErrConditionFailed means that the condition of a write did not hold; nothing was written.
	ErrConditionFailed = errors.New("condition failed")
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrAmbiguous means that a write may or may not have taken effect. The caller must read back.
	ErrAmbiguous = errors.New("outcome of the write is ambiguous")
)

// Condition restricts a write.
type Condition struct {
	// Absent writes only if the key does not exist.
	Absent bool
	// Version, if not zero, writes only if the row has this version.
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

// Objects is the object store. Objects never change.
type Objects interface {
	// PutIfAbsent stores an object; storing it again is harmless. Errors: ErrUnavailable, ErrAmbiguous.
	PutIfAbsent(ctx context.Context, key string, value []byte) error
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
}

// Instances is the list of live and leaving instances and backend servers; it lags behind reality.
type Instances interface {
	List(ctx context.Context) ([]api.InstanceEntry, error)
}

// Ratings is the rating service, which scores answers late.
type Ratings interface {
	Submit(ctx context.Context, request api.RatingRequest) error
	// Results returns scores for the named instance after the cursor, and the next cursor.
	Results(ctx context.Context, instance, cursor string) (api.RatingResults, error)
}

// Weights is the rate-limited weight store.
type Weights interface {
	// Request asks for one load of a version's weights.
	Request(ctx context.Context, model, version string) (api.WeightGrant, error)
}

// Services bundles the platform's services for one instance.
type Services struct {
	Table     Table
	Objects   Objects
	Instances Instances
	Ratings   Ratings
	Weights   Weights
}
