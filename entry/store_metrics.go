package entry

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/store"
)

// instrumentedStore is a Store that counts the calls and their failures.
// Results that are part of normal operation, such as store.ErrNotFound and
// store.ErrConflict, and calls that the caller cancelled are not counted as
// failures.
type instrumentedStore struct {
	store.Store
	metrics metrics
}

func (c instrumentedStore) count(ctx context.Context, err error) {
	c.metrics.storeCalls.Inc(1)
	switch {
	case err == nil, errors.Is(err, store.ErrNotFound), errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrLeaseExpired):
	case errors.Is(context.Cause(ctx), context.Canceled):
	case errors.Is(err, store.ErrUnknownOutcome):
		c.metrics.storeUnknown.Inc(1)
	default:
		c.metrics.storeErrors.Inc(1)
	}
}

// Verify forwards the call and counts it.
func (c instrumentedStore) Verify(ctx context.Context, key string, revision uint64) error {
	err := c.Store.Verify(ctx, key, revision)
	c.count(ctx, err)
	return err
}

// Get forwards the call and counts it.
func (c instrumentedStore) Get(ctx context.Context, key string) (store.KV, error) {
	kv, err := c.Store.Get(ctx, key)
	c.count(ctx, err)
	return kv, err
}

// List forwards the call and counts it.
func (c instrumentedStore) List(ctx context.Context, prefix string) ([]store.KV, error) {
	kvs, err := c.Store.List(ctx, prefix)
	c.count(ctx, err)
	return kvs, err
}

// CompareAndSwap forwards the call and counts it.
func (c instrumentedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease store.LeaseID) (store.KV, error) {
	kv, err := c.Store.CompareAndSwap(ctx, key, expect, value, lease)
	c.count(ctx, err)
	return kv, err
}

// Transact forwards the call and counts it.
func (c instrumentedStore) Transact(ctx context.Context, t store.Transaction) (uint64, error) {
	revision, err := c.Store.Transact(ctx, t)
	c.count(ctx, err)
	return revision, err
}

// Grant forwards the call and counts it.
func (c instrumentedStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	id, err := c.Store.Grant(ctx, ttl)
	c.count(ctx, err)
	return id, err
}

// KeepAlive forwards the call and counts it.
func (c instrumentedStore) KeepAlive(ctx context.Context, lease store.LeaseID) error {
	err := c.Store.KeepAlive(ctx, lease)
	c.count(ctx, err)
	return err
}

// Revoke forwards the call and counts it.
func (c instrumentedStore) Revoke(ctx context.Context, lease store.LeaseID) error {
	err := c.Store.Revoke(ctx, lease)
	c.count(ctx, err)
	return err
}

// Watch forwards the call and counts it. A watch that ends with its context,
// without a change, is not counted as a failure.
func (c instrumentedStore) Watch(ctx context.Context, key string, after uint64) (store.KV, error) {
	kv, err := c.Store.Watch(ctx, key, after)
	if ctx.Err() != nil {
		c.count(ctx, nil)
	} else {
		c.count(ctx, err)
	}
	return kv, err
}
