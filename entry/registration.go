package entry

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// listInterval between readings of the registrations. New entries are learnt
// sooner from peers; the list removes those that are gone.
const listInterval = 10 * time.Second

// registration keeps this entry's key in the store under a lease.
type registration struct {
	store   store.Store
	timing  settings.Timing
	self    wire.EntryRef
	log     zerolog.Logger
	metrics metrics
	lease   store.LeaseID // 0 while not registered
	listed  func([]wire.EntryRef)
}

// run registers and renews until ctx ends.
func (r *registration) run(ctx context.Context) {
	interval := r.timing.LeaseTTL.Of() / 3
	failures := 0
	var nextList time.Time
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil && !time.Now().Before(nextList) {
			if err = r.list(ctx); err == nil {
				nextList = time.Now().Add(listInterval)
			}
		}
		if err == nil {
			failures = 0
			sleep(ctx, interval)
			continue
		}
		r.log.Debug().Err(err).Msg("registration not renewed")
		failures++
		sleep(ctx, fullJitter(interval, failures))
	}
}

// step renews the lease, or registers when there is none.
func (r *registration) step(ctx context.Context) error {
	if r.lease == 0 {
		return r.register(ctx)
	}
	err := r.call(ctx, func(ctx context.Context) error { return r.store.KeepAlive(ctx, r.lease) })
	if errors.Is(err, store.ErrLeaseExpired) {
		r.metrics.registrationsExpired.Inc(1)
		r.log.Warn().Msg("registration expired; registering again")
		r.lease = 0
		return r.register(ctx)
	}
	return err
}

func (r *registration) register(ctx context.Context) error {
	value, err := wire.EncodeRegistration(r.self)
	if err != nil {
		return err
	}
	var lease store.LeaseID
	err = r.call(ctx, func(ctx context.Context) (err error) {
		lease, err = r.store.Grant(ctx, r.timing.LeaseTTL.Of())
		return err
	})
	if err != nil {
		return err
	}
	if err := r.put(ctx, value, lease); err != nil {
		// Without its lease the key, if it was written after all, disappears.
		_ = r.call(ctx, func(ctx context.Context) error { return r.store.Revoke(ctx, lease) })
		return err
	}
	r.lease = lease
	r.log.Info().Str("key", r.key()).Msg("registered")
	return nil
}

// put writes the key over whatever an earlier process of this name left.
func (r *registration) put(ctx context.Context, value []byte, lease store.LeaseID) error {
	var revision uint64
	err := r.call(ctx, func(ctx context.Context) error {
		kv, err := r.store.Get(ctx, r.key())
		revision = kv.Revision
		if errors.Is(err, store.ErrNotFound) {
			revision = 0
			return nil
		}
		return err
	})
	if err != nil {
		return err
	}
	return r.call(ctx, func(ctx context.Context) error {
		_, err := r.store.CompareAndSwap(ctx, r.key(), revision, value, lease)
		return err
	})
}

// list reads the registrations of all entries.
func (r *registration) list(ctx context.Context) error {
	return r.call(ctx, func(ctx context.Context) error {
		kvs, err := r.store.List(ctx, wire.RegistrationPrefix)
		if err != nil {
			return err
		}
		refs := make([]wire.EntryRef, 0, len(kvs))
		for _, kv := range kvs {
			ref, err := wire.ParseRegistration(kv.Key, kv.Value)
			if err != nil {
				r.log.Warn().Err(err).Msg("registration ignored")
				continue
			}
			refs = append(refs, ref)
		}
		r.listed(refs)
		return nil
	})
}

// remove ends the registration on a planned stop.
func (r *registration) remove(ctx context.Context) {
	if r.lease == 0 {
		return
	}
	if err := r.call(ctx, func(ctx context.Context) error { return r.store.Revoke(ctx, r.lease) }); err != nil {
		r.log.Info().Err(err).Msg("registration not removed; its lease ends it")
	}
	r.lease = 0
}

func (r *registration) key() string { return wire.RegistrationKey(r.self.ID) }

func (r *registration) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, r.timing.StoreTimeout.Of())
	defer cancel()
	return f(ctx)
}
