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
	// endTTL of the leases of end records, and the age at which a lease gets no
	// further ones, so that an end record is kept for at least 180 s.
	endTTL = 240 * time.Second
	endAge = 60 * time.Second
)

// write carries out plans until ctx ends.
func (k *Manager) write(ctx context.Context) {
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
			notBefore = began.Add(k.interval())
		}
		now := time.Now()
		plan, at := k.next(now, notBefore)
		if plan == nil {
			pause := time.Hour
			if !at.IsZero() {
				pause = at.Sub(now)
			}
			wait.For(ctx, pause, k.wakeWriter)
			continue
		}
		notBefore = now.Add(k.interval())
		if k.carryOut(ctx, plan) {
			failures = 0
			continue
		}
		failures++
		if after := time.Now().Add(k.backoff(failures)); after.After(notBefore) {
			notBefore = after
		}
	}
}

// interval between the beginnings of transactions of this entry.
func (k *Manager) interval() time.Duration {
	entries := max(1, len(k.options.Entries()))
	return max(k.options.CommitInterval, time.Duration(entries)*time.Second/transactionsPerSecond)
}

// next returns the plan to carry out now, or when there may be one; the zero
// time means after the next change.
func (k *Manager) next(now, notBefore time.Time) (plan *Plan, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expire(now)
	if !k.owner.Valid(now) {
		return nil, time.Time{}
	}
	due := k.batch.Due(k.endLease != 0)
	if due.IsZero() {
		return nil, due
	}
	if due.Before(notBefore) {
		due = notBefore
	}
	if due.After(now) {
		return nil, due
	}
	plan = k.batch.Next(now, Epochs{Own: k.owner.epoch, Revision: k.owner.revision, EndLease: k.endLease})
	if plan == nil { // what was due cannot be written and was dropped
		return nil, k.batch.Due(k.endLease != 0)
	}
	return plan, now
}

// carryOut makes the calls of a plan and reports whether the store answered.
func (k *Manager) carryOut(ctx context.Context, plan *Plan) bool {
	if plan.Resolve != "" {
		evidence, err := k.evidence(ctx, plan)
		k.locked(func() {
			if err == nil {
				k.batch.Resolve(time.Now(), plan, evidence)
			}
		})
		return err == nil
	}
	var revision uint64
	err := k.timed(ctx, func(ctx context.Context) (err error) {
		revision, err = k.options.Store.Transact(ctx, plan.Transaction)
		return err
	})
	err = classified(err)
	k.locked(func() {
		switch {
		case err == nil:
			k.commits.Inc(1)
		case conflict(err):
			k.conflicts.Inc(1)
			if errors.Is(err, store.ErrLeaseExpired) {
				k.endLease = 0
			}
		}
		k.batch.Outcome(time.Now(), plan, revision, err)
	})
	return err == nil || conflict(err)
}

// classified takes an error that the store's contract does not name for an
// unknown outcome.
func classified(err error) error {
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
	if k.endLease != 0 && time.Since(k.endLeaseAt) >= endAge {
		k.endLease = 0
	}
	return k.endLease == 0 && k.owner.Valid(time.Now()) && k.batch.Ending()
}

func (k *Manager) grantEndLease(ctx context.Context) error {
	sent := time.Now()
	var lease store.LeaseID
	err := k.timed(ctx, func(ctx context.Context) (err error) {
		lease, err = k.options.Store.Grant(ctx, endTTL)
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

// evidence reads what explains a conflict.
func (k *Manager) evidence(ctx context.Context, plan *Plan) (e Evidence, err error) {
	kv, err := k.read(ctx, OpenPrefix+plan.Resolve)
	if err != nil {
		return e, err
	}
	e.Revision = kv.Revision
	if kv.Revision != 0 {
		var r Record
		if r, e.OpenError = DecodeRecord(kv.Key, kv.Value); e.OpenError == nil {
			e.Open = &r
		}
	} else if kv, err = k.read(ctx, EndedPrefix+plan.Resolve); err != nil {
		return e, err
	} else if kv.Revision != 0 {
		var end EndRecord
		if end, e.EndError = DecodeEnd(kv.Key, kv.Value); e.EndError == nil {
			e.End = &end
		}
	}
	if plan.owns {
		k.mu.Lock()
		epoch, revision := k.owner.epoch, k.owner.revision
		k.mu.Unlock()
		if kv, err = k.read(ctx, epoch.Key()); err != nil {
			return e, err
		}
		e.EpochGone = kv.Revision != revision
	}
	return e, nil
}

// reads is the number of attempts to read a key whose revision changes between
// the read and its verification.
const reads = 3

// read returns the present state of a key, at revision 0 if it does not exist.
func (k *Manager) read(ctx context.Context, key string) (kv store.KV, err error) {
	for range reads {
		if kv, err = k.get(ctx, key); err != nil || k.options.Store.Linearizable() {
			return kv, err
		}
		if err = k.verify(ctx, key, kv.Revision); !errors.Is(err, store.ErrConflict) {
			return kv, err
		}
	}
	return kv, fmt.Errorf("%w: key %q changes while it is read", store.ErrUnavailable, key)
}

// absent reads a key of which an older state will do if it exists. That it does
// not exist is verified.
func (k *Manager) absent(ctx context.Context, key string) (kv store.KV, err error) {
	if kv, err = k.get(ctx, key); err != nil || kv.Revision != 0 || k.options.Store.Linearizable() {
		return kv, err
	}
	if err = k.verify(ctx, key, 0); errors.Is(err, store.ErrConflict) {
		return k.read(ctx, key)
	}
	return kv, err
}

// get reads a key, whose revision is 0 if it does not exist.
func (k *Manager) get(ctx context.Context, key string) (kv store.KV, err error) {
	err = k.timed(ctx, func(ctx context.Context) error {
		kv, err = k.options.Store.Get(ctx, key)
		return err
	})
	if errors.Is(err, store.ErrNotFound) {
		return store.KV{Key: key}, nil
	}
	return kv, err
}

func (k *Manager) verify(ctx context.Context, key string, revision uint64) error {
	return k.timed(ctx, func(ctx context.Context) error { return k.options.Store.Verify(ctx, key, revision) })
}
