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
	// renewRetryDelay is the wait after a failed renewal. It allows at least four
	// attempts before the ownership expires.
	renewRetryDelay = 250 * time.Millisecond
	// beginRetryDelay is the longest wait before another attempt to begin an
	// epoch. Half of it is random.
	beginRetryDelay = time.Second
	// minBackoff and maxBackoff bound the wait before a transaction or a scan is
	// repeated, of which half is random.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// leaseLoop begins epochs and renews the ownership lease until ctx ends.
func (m *Manager) leaseLoop(ctx context.Context) {
	var number uint64
	var renewAt time.Time
	for ctx.Err() == nil {
		m.mu.Lock()
		now := m.options.Clock.Now()
		m.checkValidity(now)
		begin := m.epochWanted && !m.stopped && m.ownership.epoch == ""
		lease, until := m.ownership.lease, m.ownership.validUntil
		m.mu.Unlock()
		switch {
		case begin:
			number++
			sent := m.options.Clock.Now()
			if err := m.beginEpoch(ctx, number); err != nil {
				m.epochNotBegun(err)
				wait.For(ctx, beginRetryDelay/2+m.options.Jitter(beginRetryDelay/2), nil)
				continue
			}
			renewAt = sent.Add(renewInterval)
		case lease == 0:
			wait.For(ctx, time.Hour, m.wakeLease)
		case now.Before(renewAt):
			wait.For(ctx, min(renewAt.Sub(now), until.Sub(now)), m.wakeLease)
		default:
			renewAt = m.renewLease(ctx, lease, now, until)
		}
	}
}

// beginEpoch requests a lease and writes the key of a new epoch. After an unknown
// outcome the name of the epoch is not used again; if its key is written late,
// the store removes it with the lease.
func (m *Manager) beginEpoch(ctx context.Context, number uint64) error {
	s := m.options.Store
	sent := m.options.Clock.Now()
	var lease store.LeaseID
	err := m.withTimeout(ctx, func(ctx context.Context) (err error) {
		lease, err = s.Grant(ctx, LeaseTTL)
		return err
	})
	if err != nil {
		return err
	}
	epoch := newEpoch(m.options.Entry, m.options.Incarnation, number)
	var kv store.KV
	err = m.withTimeout(ctx, func(ctx context.Context) (err error) {
		kv, err = s.CompareAndSwap(ctx, epoch.Key(), 0, []byte(m.options.Entry), lease)
		return err
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return nil // the lease expires by its time to live
	}
	if !m.ownership.Begin(m.options.Clock.Now(), epoch, lease, kv.Revision, sent) {
		m.ownership.End()
		return fmt.Errorf("%w: registered too late", ErrInvalidEpoch)
	}
	m.options.Log.Info().Str("epoch", string(epoch)).Msg("durable ownership began")
	wake(m.wakeWriter)
	wake(m.wakeScan)
	return nil
}

// epochNotBegun logs why no epoch began, and refuses the creations that wait for
// one.
func (m *Manager) epochNotBegun(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Log.Warn().Err(err).Msg("durable ownership did not begin")
	m.batch.RefuseCreations(fmt.Errorf("%w: %w", ErrNotStored, err))
}

// renewLease extends the lease and returns the time of the next renewal. The call
// is cancelled when the ownership expires at until, so that leaseLoop detects
// the expiry in time.
func (m *Manager) renewLease(ctx context.Context, lease store.LeaseID, sent, until time.Time) time.Time {
	ctx, cancel := context.WithTimeout(ctx, m.options.Clock.Until(until))
	defer cancel()
	err := m.withTimeout(ctx, func(ctx context.Context) error { return m.options.Store.KeepAlive(ctx, lease) })
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	switch {
	case m.ownership.lease != lease:
		return now
	case errors.Is(err, store.ErrLeaseExpired):
		m.invalidate()
		return now
	case err != nil:
		return now.Add(renewRetryDelay)
	}
	m.ownership.Renewed(now, lease, sent)
	return sent.Add(renewInterval)
}

// withTimeout makes one call of the store with Options.CallTimeout.
func (m *Manager) withTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	defer cancel()
	return call(ctx)
}

// backoff returns the wait after a number of successive failures. It grows
// exponentially, and half of it is random.
func (m *Manager) backoff(failures int) time.Duration {
	d := min(maxBackoff, minBackoff<<min(failures, 8))
	return d/2 + m.options.Jitter(d/2)
}
