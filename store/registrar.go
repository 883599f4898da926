package store

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

// Intervals of a Registrar.
const (
	// renewalsPerTTL is the number of renewals during the TTL of a lease. After
	// a failed renewal there is time for two more attempts.
	renewalsPerTTL = 3
	// renewalJitter is the largest share by which the interval between renewals
	// is shortened at random, so that entries started together do not call the
	// service at the same moments.
	renewalJitter = 0.1
	// minRetryDelay is the limit on the random delay after the first failure.
	minRetryDelay = 100 * time.Millisecond
	// defaultCallTimeout is the default of RegistrarOptions.CallTimeout.
	defaultCallTimeout = time.Second
	// minLeaseShare is the share of its TTL for which a lease certainly lasts,
	// because the service's clock may be 2 % fast.
	minLeaseShare = 0.98
)

// ErrReplaced means that another process has registered under the same key.
var ErrReplaced = merry.Sentinel("store: another process holds the registration")

// RegistrarOptions configure a Registrar.
type RegistrarOptions struct {
	Store Store
	// Key and Value are written to the store under a lease. The value must
	// differ between processes that register under the same key.
	Key   string
	Value []byte
	// TTL is the time after which the service removes the key unless the
	// Registrar renews the lease, which it does at a third of this time.
	TTL time.Duration
	// CallTimeout is the timeout of one call of the service. 0 means 1 s.
	CallTimeout time.Duration
	// Jitter returns a random duration from 0 to below its argument; nil means
	// a uniform distribution.
	Jitter func(time.Duration) time.Duration
	// OnChange, if set, is called with nil when the registration was made or
	// removed, with ErrLeaseExpired, ErrNotFound or ErrReplaced when it was
	// lost, and with another error each time that it cannot be made or renewed.
	OnChange func(err error)
	// IsRegistration reports whether a value under the key is a registration. Any
	// other value comes from another writer and is replaced. nil means that every
	// value is one.
	IsRegistration func(KV) bool
}

// Registrar keeps one key registered under a lease.
type Registrar struct {
	options RegistrarOptions
	lease   LeaseID // 0 while there is none
	// everRegistered is true once the key was registered. Until then, a value of
	// another process was written by an earlier process and is replaced.
	// Afterwards it was written by a newer process and is not.
	everRegistered bool
	// expectedRevision is the revision that the last write of the key expected.
	// While the key still has this revision, the write has not taken effect.
	expectedRevision uint64
	// leaseValidUntil is the time until which the lease certainly lasts, counted
	// from when the last successful call that extended it was sent. Zero if the
	// lease was never granted.
	leaseValidUntil time.Time

	mu         sync.Mutex
	registered bool
	validUntil time.Time // zero while not registered
}

// NewRegistrar returns a Registrar. It registers the key when Run is called.
func NewRegistrar(o RegistrarOptions) *Registrar {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	if o.OnChange == nil {
		o.OnChange = func(error) {}
	}
	if o.IsRegistration == nil {
		o.IsRegistration = func(KV) bool { return true }
	}
	return &Registrar{options: o}
}

// NewEntryRegistrar returns a Registrar for an entry. It sets the options Key and
// Value from ref, and IsRegistration.
func NewEntryRegistrar(ref wire.EntryRef, o RegistrarOptions) (*Registrar, error) {
	value, err := EncodeEntry(ref)
	if err != nil {
		return nil, err
	}
	o.Key, o.Value = EntriesPrefix+ref.ID, value
	o.IsRegistration = func(kv KV) bool { _, err := decodeEntry(kv); return err == nil }
	return NewRegistrar(o), nil
}

// Registered reports whether the key was registered at the last renewal whose
// outcome is known.
func (r *Registrar) Registered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered
}

// ValidUntil returns the time until which the registration certainly lasts: 0.98
// of the TTL after the last successful renewal was sent. That time may have
// passed. The result is zero while the key is not registered, and after
// Deregister was called. A newer process that registers under the same key, or a
// loss of the service's state, may end the registration earlier; the next
// renewal detects both.
func (r *Registrar) ValidUntil() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.validUntil
}

// Run registers the key and renews the registration until ctx ends. It leaves the
// registration in place; Deregister removes it.
func (r *Registrar) Run(ctx context.Context) {
	interval := r.options.TTL / renewalsPerTTL
	failures := 0
	for ctx.Err() == nil {
		err := r.renew(ctx)
		if ctx.Err() != nil {
			return
		}
		next := interval - r.options.Jitter(time.Duration(renewalJitter*float64(interval)))
		if err == nil {
			failures = 0
		} else {
			failures++
			next = r.backoff(failures, interval)
		}
		wait.For(ctx, next, nil)
	}
}

// Deregister removes the registration by revoking its lease. Call it after Run
// has returned. If it returns an error, the registration lasts until its lease
// expires.
func (r *Registrar) Deregister(ctx context.Context) error {
	if r.lease == 0 {
		return nil
	}
	// The revocation may take effect even if its answer is lost, so the
	// registration is not valid from here on.
	r.mu.Lock()
	r.validUntil = time.Time{}
	r.mu.Unlock()
	err := r.withCallTimeout(ctx, func(ctx context.Context) error { return r.options.Store.Revoke(ctx, r.lease) })
	if err != nil && !errors.Is(err, ErrLeaseExpired) {
		return err
	}
	r.lease = 0
	r.updateState(nil, false)
	return nil
}

// renew extends the lease and checks the key. If either is gone, it registers the
// key again.
func (r *Registrar) renew(ctx context.Context) error {
	err := r.checkRegistration(ctx)
	if errors.Is(err, ErrLeaseExpired) || errors.Is(err, ErrNotFound) {
		r.updateState(err, false)
		err = r.register(ctx)
	}
	r.updateState(err, err == nil || r.Registered() && !errors.Is(err, ErrReplaced))
	return err
}

// updateState records whether the key is registered, and calls OnChange if that
// has changed or if renewing or registering has failed.
func (r *Registrar) updateState(err error, registered bool) {
	r.mu.Lock()
	changed := r.registered != registered
	r.registered = registered
	switch {
	case !registered:
		r.validUntil = time.Time{}
	case err == nil:
		r.validUntil = r.leaseValidUntil
	}
	r.mu.Unlock()
	r.everRegistered = r.everRegistered || registered
	if changed || err != nil && !errors.Is(err, ErrLeaseExpired) && !errors.Is(err, ErrNotFound) {
		r.options.OnChange(err)
	}
}

// checkRegistration extends the lease and checks that the key has this process's
// value. Extending the lease alone is not enough: a service that was restored
// from a backup may have the lease but not the key.
func (r *Registrar) checkRegistration(ctx context.Context) error {
	if r.lease == 0 {
		return ErrLeaseExpired
	}
	sent := time.Now()
	err := r.withCallTimeout(ctx, func(ctx context.Context) error { return r.options.Store.KeepAlive(ctx, r.lease) })
	if err != nil {
		if errors.Is(err, ErrLeaseExpired) {
			r.lease = 0
		}
		return err
	}
	r.recordExtension(sent)
	kv, err := r.readKey(ctx)
	switch {
	case err != nil || bytes.Equal(kv.Value, r.options.Value):
		return err
	case !r.everRegistered && kv.Revision == r.expectedRevision:
		return ErrNotFound // the value of an earlier process: the first write had no effect
	case !r.options.IsRegistration(kv):
		return ErrNotFound
	}
	return ErrReplaced
}

// register writes the key under a lease. If the outcome of the write is unknown,
// checkRegistration finds it out at the next renewal, with the same lease.
func (r *Registrar) register(ctx context.Context) error {
	if r.lease == 0 {
		sent := time.Now()
		err := r.withCallTimeout(ctx, func(ctx context.Context) (err error) {
			r.lease, err = r.options.Store.Grant(ctx, r.options.TTL)
			return err
		})
		if err != nil {
			r.lease = 0
			return err
		}
		r.recordExtension(sent)
	}
	kv, err := r.readKey(ctx)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return err
	}
	if err == nil && r.everRegistered && !bytes.Equal(kv.Value, r.options.Value) && r.options.IsRegistration(kv) {
		return ErrReplaced
	}
	r.expectedRevision = kv.Revision
	return r.withCallTimeout(ctx, func(ctx context.Context) error {
		_, err := r.options.Store.CompareAndSwap(ctx, r.options.Key, kv.Revision, r.options.Value, r.lease)
		return err
	})
}

// recordExtension records that the lease was granted or extended by a call that
// was sent at the given time.
func (r *Registrar) recordExtension(sent time.Time) {
	r.leaseValidUntil = sent.Add(time.Duration(minLeaseShare * float64(r.options.TTL)))
}

// readKey reads the key of the registration.
func (r *Registrar) readKey(ctx context.Context) (kv KV, err error) {
	err = r.withCallTimeout(ctx, func(ctx context.Context) error {
		kv, err = r.options.Store.Get(ctx, r.options.Key)
		return err
	})
	return kv, err
}

// withCallTimeout calls f with a context that ends after the call timeout.
func (r *Registrar) withCallTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.options.CallTimeout)
	defer cancel()
	return f(ctx)
}

// backoff returns the delay after a number of failures in a row: exponential with
// full jitter, and at most the interval between renewals.
func (r *Registrar) backoff(failures int, interval time.Duration) time.Duration {
	limit := interval
	if shift := failures - 1; shift < 16 { // minRetryDelay<<16 is about two hours
		limit = min(interval, minRetryDelay<<shift)
	}
	return r.options.Jitter(limit)
}
