// Package store is the interface to the platform's key-value service. The
// service offers compare-and-swap, leases and watches; it counts each call, a
// waiting watch as one, and it has outages.
package store

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of the service, as seen by its callers. Match them with errors.Is.
var (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict means that the key's revision was not the expected one. The
	// write did not take effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable means that the service did not carry out the call, or
	// that a call which changes nothing got no answer.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store: outcome of the write is unknown")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("store: lease expired")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// LeaseID names a lease. Zero means no lease.
type LeaseID uint64

// KV is one key with its value and the revision of its last change. Revisions
// grow with every write of the service.
type KV struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Store is the platform's key-value service. Calls honour the context's
// deadline; an implementation adds its own where the context has none.
type Store interface {
	// Linearizable reports whether Get always returns the key as it was at
	// some moment during the call. Otherwise Get may return an older state,
	// and Verify tells whether it did. The answer never changes.
	Linearizable() bool
	// Verify returns nil if the key had exactly this revision at some moment
	// during the call; 0 means that the key did not exist. Otherwise it
	// returns ErrConflict, or ErrUnavailable without a clear answer. It never
	// relies on an older state, so it costs the service as much as a write.
	Verify(ctx context.Context, key string, revision uint64) error
	// Get returns the key, or ErrNotFound.
	Get(ctx context.Context, key string) (KV, error)
	// List returns all keys with the prefix, ordered by key. The list may be
	// read in several calls of the service: what changes during the call may
	// or may not be in it.
	List(ctx context.Context, prefix string) ([]KV, error)
	// CompareAndSwap writes value if the key's revision is expect; 0 means
	// that the key must not exist. The key disappears with its lease.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (KV, error)
	// Delete removes the key if its revision is expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Transact applies the transaction as a whole if all its expectations
	// hold and all its leases exist; otherwise it returns ErrConflict or
	// ErrLeaseExpired and changes nothing. revision is the new revision of
	// the keys written; without writes it has no meaning. The other errors
	// are those of CompareAndSwap, and ErrInvalidTransaction.
	Transact(ctx context.Context, t Transaction) (revision uint64, err error)
	// Grant creates a lease that lasts ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its ttl, or returns ErrLeaseExpired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch waits until the key's revision differs from after and returns it.
	// It returns ErrNotFound when the key was removed.
	Watch(ctx context.Context, key string, after uint64) (KV, error)
}
