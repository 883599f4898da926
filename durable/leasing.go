package durable

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// Waits after calls that failed.
const (
	// renewRetryDelay fits at least four attempts into the validity that is left
	// when a renewal fails.
	renewRetryDelay = 250 * time.Millisecond
	// beginRetryDelay, half of it at random, is the wait before another attempt to
	// register an epoch while the store is out of reach.
	beginRetryDelay = time.Second
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = time.Second
)

// leaseLoop registers epochs and renews the ownership lease until ctx ends.
func (k *Manager) leaseLoop(ctx context.Context) {
	var number uint64
	var renewAt time.Time
	for ctx.Err() == nil {
		k.mu.Lock()
		now := time.Now()
		k.checkValidity(now)
		begin := k.epochWanted && !k.stopped && k.owner.epoch == ""
		lease, until := k.owner.lease, k.owner.validUntil
		k.mu.Unlock()
		switch {
		case begin:
			number++
			sent := time.Now()
			if err := k.beginEpoch(ctx, number); err != nil {
				k.epochNotBegun(err)
				wait.For(ctx, beginRetryDelay/2+k.options.Jitter(beginRetryDelay/2), nil)
				continue
			}
			renewAt = sent.Add(renewInterval)
		case lease == 0:
			wait.For(ctx, time.Hour, k.wakeLease)
		case now.Before(renewAt):
			wait.For(ctx, min(renewAt.Sub(now), until.Sub(now)), k.wakeLease)
		default:
			renewAt = k.renewLease(ctx, lease, now, until)
		}
	}
}

// beginEpoch registers a new epoch. After an unknown outcome its name is not used any
// more; a key that is written late disappears with its lease.
func (k *Manager) beginEpoch(ctx context.Context, number uint64) error {
	s := k.options.Store
	sent := time.Now()
	var lease store.LeaseID
	err := k.withTimeout(ctx, func(ctx context.Context) (err error) {
		lease, err = s.Grant(ctx, LeaseTTL)
		return err
	})
	if err != nil {
		return err
	}
	epoch := newEpoch(k.options.Entry, k.options.Incarnation, number)
	var kv store.KV
	err = k.withTimeout(ctx, func(ctx context.Context) (err error) {
		kv, err = s.CompareAndSwap(ctx, epoch.Key(), 0, []byte(k.options.Entry), lease)
		return err
	})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil // the lease ends with its time to live
	}
	if !k.owner.Begin(time.Now(), epoch, lease, kv.Revision, sent) {
		k.owner.End()
		return fmt.Errorf("%w: registered too late", ErrInvalidEpoch)
	}
	k.options.Log.Info().Str("epoch", string(epoch)).Msg("durable ownership began")
	wake(k.wakeWriter)
	wake(k.wakeScan)
	return nil
}

// epochNotBegun refuses the creations that wait for an epoch.
func (k *Manager) epochNotBegun(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.options.Log.Warn().Err(err).Msg("durable ownership did not begin")
	k.batch.RefuseCreations(fmt.Errorf("%w: %w", ErrNotStored, err))
}

// renewLease extends the lease and returns when to do so next. The call ends with the
// validity, so that its end is noticed in time.
func (k *Manager) renewLease(ctx context.Context, lease store.LeaseID, sent, until time.Time) time.Time {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	err := k.withTimeout(ctx, func(ctx context.Context) error { return k.options.Store.KeepAlive(ctx, lease) })
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	switch {
	case k.owner.lease != lease:
		return now
	case errors.Is(err, store.ErrLeaseExpired):
		k.invalidate()
		return now
	case err != nil:
		return now.Add(renewRetryDelay)
	}
	k.owner.Renewed(now, lease, sent)
	return sent.Add(renewInterval)
}

// withTimeout makes one call of the store.
func (k *Manager) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, k.options.CallTimeout)
	defer cancel()
	return call(ctx)
}

// backoff returns the wait after a number of failures: exponential, half of it
// at random.
func (k *Manager) backoff(failures int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures, 8))
	return d/2 + k.options.Jitter(d/2)
}
