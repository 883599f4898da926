// Package store defines the interface to the platform's key-value service. The
// service offers compare-and-swap, transactions, leases and watches. It limits
// the number of calls, where a watch counts as one call however long it waits,
// and it may be unavailable for some time.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the service holds, in
// bytes.
const MaxValueBytes = 1 << 20

// Errors of calls of the service. Match them with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision was not the expected one. The
	// write did not take effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service did not carry out the call, or that
	// a read got no answer. In either case nothing was changed.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect, or
	// may still take effect later.
	ErrUnknownOutcome = errors.New("store: outcome of the write is unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("store: lease expired")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// LeaseID names a lease. Zero means no lease.
type LeaseID uint64

// KV is a key with its value and the revision of its last write. Each write of
// any key gets a higher revision than all earlier writes.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Store is the platform's key-value service. Calls end with their context. An
// implementation also bounds calls whose context has no deadline.
type Store interface {
	// Linearizable reports whether Get always returns the state of the key at
	// some moment during the call. Otherwise Get may return an older state, and
	// Verify tells whether it did. The result never changes.
	Linearizable() bool
	// Verify returns nil if the key had this revision at some moment during the
	// call; revision 0 means that the key did not exist. It returns ErrConflict
	// if the key had another revision, and ErrUnavailable if that is not known.
	// It never relies on an older state, so it costs the service as much as a
	// write.
	Verify(ctx context.Context, key string, revision uint64) error
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix, ordered by key. It may need several
	// calls of the service, so it is not a snapshot: a change during List may or
	// may not be in the result.
	List(ctx context.Context, prefix string) ([]KV, error)
	// CompareAndSwap writes value if the key's revision is expect; 0 means that
	// the key must not exist. Otherwise it returns ErrConflict. The service
	// removes the key when the lease ends; lease 0 means that it does not.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (KV, error)
	// Delete removes the key if its revision is expect. Otherwise it returns
	// ErrConflict, or ErrNotFound if the key does not exist.
	Delete(ctx context.Context, key string, expect uint64) error
	// Transact applies all changes of the transaction if all its expectations
	// hold and all its leases exist. Otherwise it returns ErrConflict or
	// ErrLeaseExpired and changes nothing. revision is the new revision of the
	// written keys; without writes it has no meaning. The other errors are those
	// of CompareAndSwap, and ErrInvalidTransaction.
	Transact(ctx context.Context, t Transaction) (revision uint64, err error)
	// Grant creates a lease that ends after ttl unless KeepAlive extends it.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease to its ttl from now, or returns
	// ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys. It returns ErrLeaseExpired if
	// the lease does not exist.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until the key's revision differs from after, and then returns
	// the key. It returns ErrNotFound if the key was removed, and may return
	// ErrUnavailable if nothing has changed for some time.
	Watch(ctx context.Context, key string, after uint64) (KV, error)
}
