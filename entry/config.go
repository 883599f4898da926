package entry

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

const (
	// WatchTimeout ends a watch that returned nothing, because a watch can go
	// silent.
	WatchTimeout = 30 * time.Second
	// backoffBase is half of the first bound of the wait after a failure.
	backoffBase = 100 * time.Millisecond
	// writeBackJitter spreads the entries that found a restored store, so
	// that usually one of them writes.
	writeBackJitter = 200 * time.Millisecond
)

// configuration holds the newest valid document and keeps it in line with the
// store. It is safe for concurrent use.
type configuration struct {
	store        store.Store
	timing       settings.Timing
	log          zerolog.Logger
	metrics      metrics
	confirmation *confirmation
	onChange     func(*config.View) // called in the order of generations

	current atomic.Pointer[config.View]

	mu       sync.Mutex
	raw      []byte // of current
	revision uint64 // of the store's key, as last seen
}

// view returns the configuration in force; nil when there is none.
func (c *configuration) view() *config.View { return c.current.Load() }

// generation returns the generation in force; 0 when there is none.
func (c *configuration) generation() uint64 {
	if v := c.view(); v != nil {
		return v.Generation()
	}
	return 0
}

// document returns the configuration in force as JSON.
func (c *configuration) document() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation(), c.raw
}

// applyDocument puts a document in force if it is valid and newer. It returns an error
// for an invalid one.
func (c *configuration) applyDocument(raw []byte, source string) error {
	doc, err := config.Parse(raw)
	if err != nil {
		c.metrics.configInvalid.Inc(1)
		c.log.Error().Str("source", source).Err(err).Msg("configuration rejected")
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var inForce *config.Document
	if v := c.view(); v != nil {
		inForce = v.Document()
	}
	if doc.Diverges(inForce) {
		c.metrics.configDivergences.Inc(1)
		c.log.Error().Uint64("generation", doc.Generation).Str("source", source).
			Msg("two configurations have the same generation; the one in force stays")
	}
	if !doc.Supersedes(inForce) {
		return nil
	}
	v := config.NewView(doc)
	c.raw = raw
	c.current.Store(v)
	c.log.Info().Uint64("generation", doc.Generation).Str("source", source).Msg("configuration in force")
	c.onChange(v)
	return nil
}

// run reads the key at the interval of the settings until ctx ends.
func (c *configuration) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		next := c.timing.ConfigRead.AsDuration()
		if err := c.readStore(ctx); err != nil {
			// The wait never exceeds the interval: a change made after an
			// outage must be seen in time.
			failures++
			next = fullJitter(c.timing.ConfigRead.AsDuration(), failures)
		} else {
			failures = 0
		}
		wait.For(ctx, next, nil)
	}
}

// readStore gets the key. A readStore that confirms the configuration does so as of the
// moment at which it was sent. A change and a stale answer look alike at first;
// a second readStore at once tells them apart.
func (c *configuration) readStore(ctx context.Context) error {
	err := c.readOnce(ctx)
	if errors.Is(err, store.ErrConflict) {
		err = c.readOnce(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		c.metrics.staleReads.Inc(1)
		c.log.Warn().Msg("a read of the store is older than its state; it confirms nothing")
		return nil
	}
	return err
}

// readOnce gets the key and, where the store may answer with an older state,
// verifies meanwhile the revision that was seen last. It returns
// store.ErrConflict when the answer is what is in force here, but the store has
// another revision than the one seen last.
func (c *configuration) readOnce(ctx context.Context) error {
	sent, known := time.Now(), c.generation()
	c.mu.Lock()
	seen := c.revision
	c.mu.Unlock()
	verified := make(chan error, 1)
	linearizable := c.store.Linearizable()
	if !linearizable {
		go func() { verified <- c.verifyRevision(ctx, sent, seen) }()
	}
	kv, err := c.getDocument(ctx)
	missing := errors.Is(err, store.ErrNotFound)
	if missing {
		err = nil
	}
	if linearizable {
		c.recordStoreOutcome(ctx, sent, err)
		verified <- err
	}
	holds := err == nil && c.handleStoredValue(ctx, kv, missing, known) && c.view() != nil
	verifyErr := <-verified
	conflict := errors.Is(verifyErr, store.ErrConflict)
	switch {
	case err != nil:
		return err
	case verifyErr != nil && !conflict:
		return verifyErr
	case !holds:
		return nil // nothing to confirm
	case conflict, !linearizable && kv.Revision != seen:
		return store.ErrConflict
	}
	c.confirmation.recordConfirmingRead(sent)
	return nil
}

// getDocument reads the key within the timeout of a store call.
func (c *configuration) getDocument(ctx context.Context) (store.KV, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration())
	defer cancel()
	return c.store.Get(ctx, config.Key)
}

// verifyRevision checks that the key has the revision. Its answer alone shows that the
// store is reachable: old states can be read while the store is out.
func (c *configuration) verifyRevision(ctx context.Context, sent time.Time, revision uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration())
	defer cancel()
	err := c.store.Verify(callCtx, config.Key, revision)
	c.recordStoreOutcome(ctx, sent, err)
	return err
}

// recordStoreOutcome records whether the store answered a call that was sent then.
func (c *configuration) recordStoreOutcome(ctx context.Context, sent time.Time, err error) {
	switch {
	case err == nil, errors.Is(err, store.ErrConflict):
		c.confirmation.recordStoreAnswer()
	case ctx.Err() == nil:
		c.confirmation.recordStoreFailure(sent, err)
	}
}

// handleStoredValue handles what the store holds and reports whether that confirms the
// configuration in force. A newer document is applied. A generation below
// known, the one in force when the call was sent, means a restored store or a
// stale answer: the document in force is written back, and only that write
// confirms it.
func (c *configuration) handleStoredValue(ctx context.Context, kv store.KV, missing bool, known uint64) bool {
	c.mu.Lock()
	c.revision = kv.Revision
	unchanged := !missing && len(c.raw) > 0 && bytes.Equal(kv.Value, c.raw)
	c.mu.Unlock()
	if unchanged {
		// Parsing the document at every read took half a core at 1 MB.
		// Revisions are not compared, because a restored store repeats them.
		return true
	}
	if missing {
		if known > 0 {
			c.writeBack(ctx, 0)
		}
		return false
	}
	doc, err := config.Parse(kv.Value)
	if err == nil && doc.Generation < known {
		c.writeBack(ctx, kv.Revision)
		return false
	}
	return c.applyDocument(kv.Value, "store") == nil && doc.Generation >= c.generation()
}

// writeBack stores the configuration in force over an older one. A conflict or
// an unknown outcome is settled by the next read.
func (c *configuration) writeBack(ctx context.Context, revision uint64) {
	generation, raw := c.document()
	c.metrics.generationRegressions.Inc(1)
	c.log.Error().Uint64("generation", generation).Msg("the store holds an older configuration; writing back")
	wait.For(ctx, rand.N(writeBackJitter), nil)
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration())
	defer cancel()
	sent := time.Now()
	_, err := c.store.CompareAndSwap(callCtx, config.Key, revision, raw, 0)
	if err == nil && generation == c.generation() {
		c.confirmation.recordConfirmingRead(sent)
	}
}

// watch waits for changes until ctx ends, so that most are seen at once.
func (c *configuration) watch(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.revision
		c.mu.Unlock()
		known := c.generation()
		callCtx, cancel := context.WithTimeout(ctx, WatchTimeout)
		kv, err := c.store.Watch(callCtx, config.Key, after)
		ended := callCtx.Err() != nil
		cancel()
		if err == nil {
			failures = 0
			if !c.handleStoredValue(ctx, kv, false, known) {
				wait.For(ctx, c.timing.ConfigRead.AsDuration(), nil)
			}
			continue
		}
		if !ended {
			failures++
			wait.For(ctx, fullJitter(c.timing.ConfigRead.AsDuration(), failures), nil)
		}
	}
}

// fullJitter returns a random wait below a bound that doubles with each
// failure, so that processes that failed together do not return together.
func fullJitter(most time.Duration, failures int) time.Duration {
	limit := min(most, backoffBase<<min(failures, 16))
	return rand.N(max(limit, 1))
}
