// Package storetest is a test suite for the contract of store.Store that every
// implementation must pass. Each case runs in a testing/synctest bubble, in
// virtual time.
package storetest

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
)

// Fixture is an implementation under test whose service holds no keys.
type Fixture struct {
	Store store.Store
	// Stub is the service that Store calls; the suite injects faults into it.
	Stub *storestub.Stub
}

// timeout bounds one call of the suite. It is shorter than the outages that the
// suite injects and longer than the latency that calls are to survive.
const timeout = 500 * time.Millisecond

// Run runs the suite on the implementation that setup returns. It calls setup in
// the bubble of each case; setup registers its cleanup with t.
func Run(t *testing.T, setup func(t *testing.T) Fixture) {
	for _, c := range slices.Concat(cases, transactions) {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(&checker{t, setup(t)}) })
		})
	}
	for _, f := range slices.Concat(faultCases, transactionFaults) {
		t.Run("fault/"+f.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f.check(&checker{t, setup(t)}) })
		})
	}
}

// checker makes the calls of one case and fails the test on unexpected results.
type checker struct {
	*testing.T
	Fixture
}

func (c *checker) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.Cleanup(cancel)
	return ctx
}

func (c *checker) put(key string, expect uint64, value string, lease store.LeaseID) store.KV {
	c.Helper()
	kv, err := c.Store.CompareAndSwap(c.ctx(), key, expect, []byte(value), lease)
	if err != nil {
		c.Fatalf("write %q at revision %d: %v", key, expect, err)
	}
	return kv
}

func (c *checker) get(key string) store.KV {
	c.Helper()
	kv, err := c.Store.Get(c.ctx(), key)
	if err != nil {
		c.Fatalf("get %q: %v", key, err)
	}
	return kv
}

func (c *checker) grant(ttl time.Duration) store.LeaseID {
	c.Helper()
	lease, err := c.Store.Grant(c.ctx(), ttl)
	if err != nil || lease == 0 {
		c.Fatalf("grant: lease %d, %v", lease, err)
	}
	return lease
}

func (c *checker) wantValue(key, value string) {
	c.Helper()
	if kv := c.get(key); string(kv.Value) != value || kv.Key != key {
		c.Errorf("%q holds %q under key %q, want %q", key, kv.Value, kv.Key, value)
	}
}

func (c *checker) wantError(what string, err, want error) {
	c.Helper()
	if !matchesError(err, want) {
		c.Errorf("%s: got error %v, want %v", what, err, want)
	}
}

func (c *checker) wantMissing(key string) {
	c.Helper()
	_, err := c.Store.Get(c.ctx(), key)
	c.wantError("get "+key, err, store.ErrNotFound)
}

// watch starts a watch of key "a" and returns a channel with its result.
func (c *checker) watch(ctx context.Context, after uint64) <-chan watchResult {
	done := make(chan watchResult, 1)
	go func() {
		kv, err := c.Store.Watch(ctx, "a", after)
		done <- watchResult{kv, err}
	}()
	return done
}

type watchResult struct {
	kv  store.KV
	err error
}
