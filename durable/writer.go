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
	// transactionsPerSecond of all registered entries together. The store
	// accepts 400 writes a second; the rest is for leases and other packages.
	transactionsPerSecond = 320
	// endLeaseTTL of the leases of end records, and the age at which a lease gets no
	// further ones, so that an end record is kept for at least 180 s.
	endLeaseTTL    = 240 * time.Second
	endLeaseMaxAge = 60 * time.Second
)

// writeLoop carries out plans until ctx ends.
func (k *Manager) writeLoop(ctx context.Context) {
	failures := 0
	var notBefore time.Time
	for ctx.Err() == nil {
		if k.needsEndLease() {
			began := time.Now()
			if k.grantEndLease(ctx) != nil {
				failures++
				notBefore = time.Now().Add(k.backoff(failures))
				wait.For(ctx, time.Until(notBefore), nil)
				continue
			}
			notBefore = began.Add(k.commitInterval())
		}
		now := time.Now()
		plan, at := k.nextPlan(now, notBefore)
		if plan == nil {
			pause := time.Hour
			if !at.IsZero() {
				pause = at.Sub(now)
			}
			wait.For(ctx, pause, k.wakeWriter)
			continue
		}
		notBefore = now.Add(k.commitInterval())
		if k.execute(ctx, plan) {
			failures = 0
			continue
		}
		failures++
		if after := time.Now().Add(k.backoff(failures)); after.After(notBefore) {
			notBefore = after
		}
	}
}

// commitInterval between the beginnings of transactions of this entry.
func (k *Manager) commitInterval() time.Duration {
	entries := max(1, len(k.options.Entries()))
	return max(k.options.CommitInterval, time.Duration(entries)*time.Second/transactionsPerSecond)
}

// nextPlan returns the plan to carry out now, or when there may be one; the zero
// time means after the nextPlan change.
func (k *Manager) nextPlan(now, notBefore time.Time) (plan *Plan, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkValidity(now)
	if !k.owner.Valid(now) {
		return nil, time.Time{}
	}
	due := k.batch.NextDue(k.endLease != 0)
	if due.IsZero() {
		return nil, due
	}
	if due.Before(notBefore) {
		due = notBefore
	}
	if due.After(now) {
		return nil, due
	}
	plan = k.batch.Next(now, EpochInfo{Own: k.owner.epoch, Revision: k.owner.revision, EndLease: k.endLease})
	if plan == nil { // what was due cannot be written and was dropped
		return nil, k.batch.NextDue(k.endLease != 0)
	}
	return plan, now
}

// execute makes the calls of a plan and reports whether the store answered.
func (k *Manager) execute(ctx context.Context, plan *Plan) bool {
	if plan.Resolve != "" {
		evidence, err := k.readConflict(ctx, plan)
		k.withLock(func() {
			if err == nil {
				k.batch.Resolve(time.Now(), plan, evidence)
			}
		})
		return err == nil
	}
	var revision uint64
	err := k.withTimeout(ctx, func(ctx context.Context) (err error) {
		revision, err = k.options.Store.Transact(ctx, plan.Transaction)
		return err
	})
	err = classifyError(err)
	k.withLock(func() {
		switch {
		case err == nil:
			k.commits.Inc(1)
		case isConflict(err):
			k.conflicts.Inc(1)
			if errors.Is(err, store.ErrLeaseExpired) {
				k.endLease = 0
			}
		}
		k.batch.Outcome(time.Now(), plan, revision, err)
	})
	return err == nil || isConflict(err)
}

// classifyError takes an error that the store's contract does not name for an
// unknown outcome.
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

// needsEndLease reports whether ends wait for a lease.
func (k *Manager) needsEndLease() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.endLease != 0 && time.Since(k.endLeaseAt) >= endLeaseMaxAge {
		k.endLease = 0
	}
	return k.endLease == 0 && k.owner.Valid(time.Now()) && k.batch.HasEnds()
}

func (k *Manager) grantEndLease(ctx context.Context) error {
	sent := time.Now()
	var lease store.LeaseID
	err := k.withTimeout(ctx, func(ctx context.Context) (err error) {
		lease, err = k.options.Store.Grant(ctx, endLeaseTTL)
		return err
	})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endLease, k.endLeaseAt = lease, sent
	return nil
}

// readConflict reads what explains a conflict.
func (k *Manager) readConflict(ctx context.Context, plan *Plan) (e ConflictRead, err error) {
	kv, err := k.readVerified(ctx, OpenPrefix+plan.Resolve)
	if err != nil {
		return e, err
	}
	e.Revision = kv.Revision
	if kv.Revision != 0 {
		var r Record
		if r, e.OpenError = DecodeRecord(kv.Key, kv.Value); e.OpenError == nil {
			e.Open = &r
		}
	} else if kv, err = k.readVerified(ctx, EndedPrefix+plan.Resolve); err != nil {
		return e, err
	} else if kv.Revision != 0 {
		var end EndRecord
		if end, e.EndError = DecodeEnd(kv.Key, kv.Value); e.EndError == nil {
			e.End = &end
		}
	}
	if plan.readEpoch {
		k.mu.Lock()
		epoch, revision := k.owner.epoch, k.owner.revision
		k.mu.Unlock()
		if kv, err = k.readVerified(ctx, epoch.Key()); err != nil {
			return e, err
		}
		e.EpochMissing = kv.Revision != revision
	}
	return e, nil
}

// maxReadAttempts is the number of attempts to read a key whose revision changes between
// the read and its verification.
const maxReadAttempts = 3

// readVerified returns the present state of a key, at revision 0 if it does not exist.
func (k *Manager) readVerified(ctx context.Context, key string) (kv store.KV, err error) {
	for range maxReadAttempts {
		if kv, err = k.get(ctx, key); err != nil || k.options.Store.Linearizable() {
			return kv, err
		}
		if err = k.verify(ctx, key, kv.Revision); !errors.Is(err, store.ErrConflict) {
			return kv, err
		}
	}
	return kv, fmt.Errorf("%w: key %q changes while it is read", store.ErrUnavailable, key)
}

// getOrVerifyAbsent reads a key of which an older state will do if it exists. That it does
// not exist is verified.
func (k *Manager) getOrVerifyAbsent(ctx context.Context, key string) (kv store.KV, err error) {
	if kv, err = k.get(ctx, key); err != nil || kv.Revision != 0 || k.options.Store.Linearizable() {
		return kv, err
	}
	if err = k.verify(ctx, key, 0); errors.Is(err, store.ErrConflict) {
		return k.readVerified(ctx, key)
	}
	return kv, err
}

// get reads a key, whose revision is 0 if it does not exist.
func (k *Manager) get(ctx context.Context, key string) (kv store.KV, err error) {
	err = k.withTimeout(ctx, func(ctx context.Context) error {
		kv, err = k.options.Store.Get(ctx, key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{Key: key}, nil
	}
	return kv, err
}

func (k *Manager) verify(ctx context.Context, key string, revision uint64) error {
	return k.withTimeout(ctx, func(ctx context.Context) error { return k.options.Store.Verify(ctx, key, revision) })
}
