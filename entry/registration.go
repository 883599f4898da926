package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// listInterval is the interval at which the registrations are read. New entries
// are usually discovered sooner through peers; the list shows which entries are
// no longer registered.
const listInterval = 10 * time.Second

// registration keeps this entry registered in the store and reads the
// registrations of all entries.
type registration struct {
	registrar *store.Registrar
	store     store.Store
	timing    settings.Timing
	log       zerolog.Logger
	onListed  func([]wire.EntryRef)
	metrics   metrics
	wakeList  chan struct{} // wakes runListing
	stop      chan struct{} // closed by remove
	done      chan struct{} // closed when run has ended
}

func newRegistration(kv store.Store, t settings.Timing, self wire.EntryRef, log zerolog.Logger, m metrics, listed func([]wire.EntryRef)) (*registration, error) {
	r := &registration{
		store: kv, timing: t, log: log, metrics: m, onListed: listed, wakeList: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{}),
	}
	var err error
	r.registrar, err = store.NewEntryRegistrar(self, store.RegistrarOptions{
		Store: kv, TTL: t.LeaseTTL.AsDuration(), CallTimeout: t.StoreTimeout.AsDuration(),
		OnChange: func(err error) {
			switch {
			case err == nil:
				log.Info().Bool("registered", r.registrar.Registered()).Msg("registration changed")
				// Of two entries that start together, the one that registers
				// last finds the other in the list; the other discovers it
				// by its heartbeat.
				r.listSoon()
			case errors.Is(err, store.ErrLeaseExpired), errors.Is(err, store.ErrNotFound):
				m.registrationsExpired.Inc(1)
				log.Warn().Err(err).Msg("registration lost; registering again")
			case errors.Is(err, store.ErrReplaced):
				log.Error().Err(err).Msg("another process uses this entry's identifier")
			default:
				log.Debug().Err(err).Msg("registration not renewed")
			}
		},
	})
	return r, err
}

// run keeps the entry registered and reads the registrations until ctx ends or
// remove is called.
func (r *registration) run(ctx context.Context) {
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { r.registrar.Run(ctx) })
	wg.Go(func() { r.runListing(ctx) })
	select {
	case <-r.stop:
	case <-ctx.Done():
	}
	cancel()
	wg.Wait()
}

// listSoon makes runListing read the registrations at once. After an outage of the
// store its backoff may last up to Timing.LeaseTTL, and until then an entry that
// started meanwhile knows no other entry.
func (r *registration) listSoon() {
	select {
	case r.wakeList <- struct{}{}:
	default:
	}
}

// runListing reads the registrations of all entries every listInterval, and when
// wakeList is signalled.
func (r *registration) runListing(ctx context.Context) {
	failures := 0
	var reported store.Unusable
	for ctx.Err() == nil {
		// A large value that another writer left takes longer than the timeout of a call.
		timeout := r.timing.StoreTimeout.AsDuration()
		callCtx, cancel := store.WithStallTimeout(ctx, timeout, timeout)
		refs, unusable, err := store.Entries(callCtx, r.store)
		cancel()
		if err != nil {
			failures++
			wait.For(ctx, fullJitter(r.timing.LeaseTTL.AsDuration(), failures), r.wakeList)
			continue
		}
		r.metrics.registrationsUnusable.Update(float64(unusable.Count))
		if unusable.Count > 0 && (unusable.Count != reported.Count || unusable.Key != reported.Key) {
			r.log.Warn().Int("count", unusable.Count).Str("first", unusable.Key).Err(unusable.Reason).Msg("keys that register no entry ignored")
		}
		reported = unusable
		failures = 0
		r.onListed(refs)
		wait.For(ctx, listInterval, r.wakeList)
	}
}

// remove removes the registration on a planned stop and waits for run to end.
func (r *registration) remove(ctx context.Context) {
	close(r.stop)
	<-r.done
	if err := r.registrar.Deregister(ctx); err != nil {
		r.log.Info().Err(err).Msg("registration not removed; it expires with its lease")
	}
}
