package durable

import (
	"context"
	"errors"
	"fmt"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

const (
	// transactionsPerSecond is the limit for all registered entries together. The
	// store accepts 400 writes a second; the rest is for leases and other
	// packages.
	transactionsPerSecond = 320
	// endLeaseTTL is the time to live of a lease of end records. After
	// endLeaseMaxAge the lease is not used for further records, so the store
	// keeps an end record for at least 180 s.
	endLeaseTTL    = 240 * time.Second
	endLeaseMaxAge = 60 * time.Second
)

// writeLoop grants the leases of end records and executes plans until ctx ends.
func (m *Manager) writeLoop(ctx context.Context) {
	failures := 0
	var notBefore time.Time
	for ctx.Err() == nil {
		if m.needsEndLease() {
			began := m.options.Clock.Now()
			if m.grantEndLease(ctx) != nil {
				failures++
				notBefore = m.options.Clock.Now().Add(m.backoff(failures))
				wait.For(ctx, m.options.Clock.Until(notBefore), nil)
				continue
			}
			notBefore = began.Add(m.commitInterval())
		}
		now := m.options.Clock.Now()
		plan, at := m.nextPlan(now, notBefore)
		if plan == nil {
			pause := time.Hour
			if !at.IsZero() {
				pause = at.Sub(now)
			}
			wait.For(ctx, pause, m.wakeWriter)
			continue
		}
		notBefore = now.Add(m.commitInterval())
		if m.execute(ctx, plan) {
			failures = 0
			continue
		}
		failures++
		if after := m.options.Clock.Now().Add(m.backoff(failures)); after.After(notBefore) {
			notBefore = after
		}
	}
}

// commitInterval returns the least time between the beginnings of two
// transactions of this entry.
func (m *Manager) commitInterval() time.Duration {
	entries := max(1, len(m.options.Entries()))
	return max(m.options.CommitInterval, time.Duration(entries)*time.Second/transactionsPerSecond)
}

// nextPlan returns the plan to execute now. If there is none, it returns the time
// at which there may be one; the zero time means that there is none before the
// next change.
func (m *Manager) nextPlan(now, notBefore time.Time) (plan *Plan, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checkValidity(now)
	if !m.ownership.Valid(now) {
		return nil, time.Time{}
	}
	due := m.batch.NextDue(m.endLease != 0)
	if due.IsZero() {
		return nil, due
	}
	if due.Before(notBefore) {
		due = notBefore
	}
	if due.After(now) {
		return nil, due
	}
	plan = m.batch.Next(now, EpochInfo{Own: m.ownership.epoch, Revision: m.ownership.revision, EndLease: m.endLease})
	if plan == nil { // the changes that were due cannot be encoded and were dropped
		return nil, m.batch.NextDue(m.endLease != 0)
	}
	return plan, now
}

// execute makes the calls of a plan and applies their result. It returns false
// after any error other than a conflict, so that writeLoop backs off.
func (m *Manager) execute(ctx context.Context, plan *Plan) bool {
	if plan.Resolve != "" {
		read, err := m.readConflict(ctx, plan)
		m.withLock(func() {
			if err == nil {
				m.batch.Resolve(m.options.Clock.Now(), plan, read)
			}
		})
		return err == nil
	}
	var revision uint64
	err := m.withTimeout(ctx, func(ctx context.Context) (err error) {
		revision, err = m.options.Store.Transact(ctx, plan.Transaction)
		return err
	})
	err = classifyError(err)
	m.withLock(func() {
		switch {
		case err == nil:
			m.commits.Inc(1)
		case isConflict(err):
			m.conflicts.Inc(1)
			if errors.Is(err, store.ErrLeaseExpired) {
				m.endLease = 0
			}
		}
		m.batch.Outcome(m.options.Clock.Now(), plan, revision, err)
	})
	return err == nil || isConflict(err)
}

// classifyError wraps an error that the contract of store.Store does not name as
// store.ErrUnknownOutcome.
func classifyError(err error) error {
	if err == nil {
		return nil
	}
	for _, known := range []error{
		store.ErrUnknownOutcome, store.ErrUnavailable, store.ErrConflict, store.ErrLeaseExpired,
		store.ErrTooLarge, store.ErrInvalidTransaction,
	} {
		if errors.Is(err, known) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", store.ErrUnknownOutcome, err)
}

// needsEndLease reports whether ends wait for a new lease. It drops a lease that
// has reached endLeaseMaxAge.
func (m *Manager) needsEndLease() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.endLease != 0 && m.options.Clock.Since(m.endLeaseAt) >= endLeaseMaxAge {
		m.endLease = 0
	}
	return m.endLease == 0 && m.ownership.Valid(m.options.Clock.Now()) && m.batch.HasEnds()
}

// grantEndLease requests a new lease for end records.
func (m *Manager) grantEndLease(ctx context.Context) error {
	sent := m.options.Clock.Now()
	var lease store.LeaseID
	err := m.withTimeout(ctx, func(ctx context.Context) (err error) {
		lease, err = m.options.Store.Grant(ctx, endLeaseTTL)
		return err
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endLease, m.endLeaseAt = lease, sent
	return nil
}

// readConflict reads the records that explain a conflict.
func (m *Manager) readConflict(ctx context.Context, plan *Plan) (e ConflictRead, err error) {
	kv, err := m.readVerified(ctx, OpenPrefix+plan.Resolve)
	if err != nil {
		return e, err
	}
	e.Revision = kv.Revision
	if kv.Revision != 0 {
		var r Record
		if r, e.OpenError = DecodeRecord(kv.Key, kv.Value); e.OpenError == nil {
			e.Open = &r
		}
	} else if kv, err = m.readVerified(ctx, EndedPrefix+plan.Resolve); err != nil {
		return e, err
	} else if kv.Revision != 0 {
		var end EndRecord
		if end, e.EndError = DecodeEnd(kv.Key, kv.Value); e.EndError == nil {
			e.End = &end
		}
	}
	if plan.readEpoch {
		m.mu.Lock()
		epoch, revision := m.ownership.epoch, m.ownership.revision
		m.mu.Unlock()
		if kv, err = m.readVerified(ctx, epoch.Key()); err != nil {
			return e, err
		}
		e.EpochMissing = kv.Revision != revision
	}
	return e, nil
}

// maxReadAttempts bounds the attempts to read a key whose revision changes
// between the read and its verification.
const maxReadAttempts = 3

// readVerified returns the present value of a key, with revision 0 if it does not
// exist. If the store is not linearizable, it verifies the revision.
func (m *Manager) readVerified(ctx context.Context, key string) (kv store.KV, err error) {
	for range maxReadAttempts {
		if kv, err = m.get(ctx, key); err != nil || m.options.Store.Linearizable() {
			return kv, err
		}
		if err = m.verify(ctx, key, kv.Revision); !errors.Is(err, store.ErrConflict) {
			return kv, err
		}
	}
	return kv, fmt.Errorf("%w: the revision of key %q changed during each read", store.ErrUnavailable, key)
}

// getOrVerifyAbsent returns the value of a key, which may be an older one if the
// store is not linearizable. If the key does not exist, it verifies that and
// returns revision 0.
func (m *Manager) getOrVerifyAbsent(ctx context.Context, key string) (kv store.KV, err error) {
	if kv, err = m.get(ctx, key); err != nil || kv.Revision != 0 || m.options.Store.Linearizable() {
		return kv, err
	}
	if err = m.verify(ctx, key, 0); errors.Is(err, store.ErrConflict) {
		return m.readVerified(ctx, key)
	}
	return kv, err
}

// get reads a key. The revision is 0 if the key does not exist.
func (m *Manager) get(ctx context.Context, key string) (kv store.KV, err error) {
	err = m.withTimeout(ctx, func(ctx context.Context) error {
		kv, err = m.options.Store.Get(ctx, key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{Key: key}, nil
	}
	return kv, err
}

func (m *Manager) verify(ctx context.Context, key string, revision uint64) error {
	return m.withTimeout(ctx, func(ctx context.Context) error { return m.options.Store.Verify(ctx, key, revision) })
}
