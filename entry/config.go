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
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/store"
)

const (
	// WatchTimeout bounds one watch of the configuration, because a watch can
	// stop reporting changes without an error.
	WatchTimeout = 30 * time.Second
	// backoffBase is half of the upper bound of the wait after a first failure.
	backoffBase = 100 * time.Millisecond
	// writeBackJitter bounds the random delay before the configuration is written
	// back to a restored store, so that usually only one entry writes.
	writeBackJitter = 200 * time.Millisecond
)

// configuration holds the newest valid configuration document and keeps it
// consistent with the store. It is safe for concurrent use.
type configuration struct {
	store        store.Store
	timing       settings.Timing
	clock        *clock.Clock
	log          zerolog.Logger
	metrics      metrics
	confirmation *confirmation
	onChange     func(*config.View) // called in ascending order of generations
	relay        *relay
	// overtakenWait returns the time in which a document that a peer has is fetched.
	overtakenWait func() time.Duration

	current atomic.Pointer[config.View]
	// transfer holds a value during a read of the document from the store or a
	// peer, so that two copies of a large document do not share the link.
	transfer chan struct{}

	mu       sync.Mutex
	raw      []byte // document of current
	content  config.HashedContent
	revision uint64 // of config.Key, as last read from the store
	// overtaken is told the generations of agents.
	overtaken config.Overtaken
}

// view returns the configuration in force; nil if there is none.
func (c *configuration) view() *config.View { return c.current.Load() }

// generation returns the generation in force; 0 if there is none.
func (c *configuration) generation() uint64 {
	if v := c.view(); v != nil {
		return v.Generation()
	}
	return 0
}

// document returns the configuration in force as JSON and its generation.
func (c *configuration) document() (uint64, []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation(), c.raw
}

// predecessor is document, with generation 0 if agents follow a higher generation that
// no peer has handed over: the next read then gets the store's revision as its
// generation, which is higher if the store answered after that generation existed.
func (c *configuration) predecessor() (uint64, []byte) {
	generation, raw := c.document()
	if generation > 0 && c.isOvertaken(generation) {
		return 0, raw
	}
	return generation, raw
}

func (c *configuration) isOvertaken(generation uint64) bool {
	wait := c.overtakenWait()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.overtaken.Renew(c.clock.Now(), generation, wait) {
		return false
	}
	c.metrics.configRenewals.Inc(1)
	c.log.Warn().Uint64("generation", generation).Msg("agents have a higher generation that no peer has; the next read gets a new one")
	return true
}

// recordPeerGeneration records a generation that a peer has, which is above that in force.
func (c *configuration) recordPeerGeneration(generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overtaken.HeldByPeer(c.clock.Now(), generation)
}

// recordAgentGeneration records the generation that an agent has, unless another entry
// confirms it there. That entry has it, also if it cannot be reached from here: two entries
// that are cut off from each other would otherwise renew in turns. Agents that only this
// entry reaches are not confirmed.
func (c *configuration) recordAgentGeneration(generation uint64, confirmedAgo time.Duration) {
	if confirmedAgo > 0 && confirmedAgo <= c.timing.IdleInterval()+c.timing.CallTimeout.AsDuration() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overtaken.Report(c.clock.Now(), generation)
}

// applyDocument puts the document in force if it is valid and newer than the one
// in force. It returns an error only for an invalid document.
func (c *configuration) applyDocument(raw []byte, source string) error {
	doc, err := c.parse(raw, source)
	if err != nil {
		return err
	}
	c.apply(doc, raw, source)
	return nil
}

// parse parses a document and reports an invalid one.
func (c *configuration) parse(raw []byte, source string) (*config.Document, error) {
	doc, err := config.Parse(raw)
	if err != nil {
		c.metrics.configInvalid.Inc(1)
		c.log.Error().Str("source", source).Err(err).Msg("configuration rejected")
	}
	return doc, err
}

// apply puts the document, whose encoded form is raw, in force if it is newer
// than the one in force.
func (c *configuration) apply(doc *config.Document, raw []byte, source string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var inForce *config.Document
	if v := c.view(); v != nil {
		inForce = v.Document()
	}
	if doc.Diverges(inForce) {
		c.metrics.configDivergences.Inc(1)
		c.log.Error().Uint64("generation", doc.Generation).Str("source", source).
			Msg("received a different configuration of the generation in force; keeping the one in force")
	}
	if !doc.Supersedes(inForce) {
		return
	}
	v := config.NewView(doc)
	c.raw = raw
	c.current.Store(v)
	c.log.Info().Uint64("generation", doc.Generation).Str("source", source).Msg("configuration in force")
	c.onChange(v)
}

// run reads the configuration at the interval Timing.ConfigRead until ctx ends.
func (c *configuration) run(ctx context.Context) {
	failures := 0
	interval := c.timing.ConfigRead.AsDuration()
	for ctx.Err() == nil {
		next, sent := interval, c.clock.Now()
		if err := c.readStore(ctx); err != nil {
			// The interval counts from the sending of the read. Reads that end at
			// the timeout would otherwise be twice as far apart as others, and a
			// change would take effect late after an outage.
			failures++
			next = max(interval-c.clock.Since(sent), backoffBase)
			if !c.confirmation.storeAnswers() {
				next = fullJitter(next, failures)
			}
		} else {
			failures = 0
		}
		wait.For(ctx, next, nil)
	}
}

// readStore reads the configuration from the store. A read confirms that the
// configuration in force was the newest when the read was sent. A change of the
// revision and a stale answer look alike, so a conflict is followed by a second
// read at once, which tells them apart.
//
// If the store does not answer or refuses the call, agents read it: that shows changes,
// and that the store answers somebody. While reads fail the agents are asked at once.
func (c *configuration) readStore(ctx context.Context) error {
	sent := c.clock.Now()
	relayCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var relayed <-chan relayResult
	if c.confirmation.storeFailed() {
		relayed = c.relay.start(relayCtx)
	}
	outcome, err := c.readOnce(ctx)
	if errors.Is(err, store.ErrConflict) {
		outcome, err = c.readOnce(ctx)
	}
	failure := store.FailureOf(outcome)
	switch {
	case failure == store.FailureNone:
		c.confirmation.recordStoreAnswer()
	case ctx.Err() != nil: // does not count as a failure of the store
	case failure == store.FailureUnreachable, failure == store.FailureRefused:
		if relayed == nil {
			relayed = c.relay.start(relayCtx)
		}
		c.confirmation.recordStoreFailure(sent, outcome, (<-relayed).answers)
	default: // the store answered, though not with what can be used
		c.confirmation.recordStoreFailure(sent, outcome, true)
	}
	if errors.Is(err, store.ErrConflict) {
		c.metrics.staleReads.Inc(1)
		c.log.Warn().Msg("stale read of the store; it does not confirm the configuration")
		return nil
	}
	return err
}

// readOnce reads the configuration. Unless reads of the store are linearizable,
// it verifies at the same time that the key still has the revision seen last. It
// returns store.ErrConflict if the read returned the configuration in force but
// the key has another revision than the one seen last, so that the read may be
// stale. outcome is the error that tells whether the store answered.
func (c *configuration) readOnce(ctx context.Context) (outcome, err error) {
	sent, known := c.clock.Now(), c.generation()
	c.mu.Lock()
	seen := c.revision
	c.mu.Unlock()
	verified := make(chan error, 1)
	linearizable := c.store.Linearizable()
	if !linearizable {
		go func() { verified <- c.verifyRevision(ctx, seen) }()
	}
	kv, err := c.getDocument(ctx)
	missing := errors.Is(err, store.ErrNotFound)
	if missing {
		err = nil
	}
	if linearizable {
		verified <- err
	}
	confirms := err == nil && c.handleStoredValue(ctx, kv, missing, known) && c.view() != nil
	verifyErr := <-verified
	conflict := errors.Is(verifyErr, store.ErrConflict)
	switch {
	case err != nil:
		return verifyErr, err
	case verifyErr != nil && !conflict:
		return verifyErr, verifyErr
	case !confirms:
		return verifyErr, nil // the read does not confirm the configuration in force
	case conflict, !linearizable && kv.Revision != seen:
		return verifyErr, store.ErrConflict
	}
	c.confirmation.recordConfirmingRead(sent)
	return verifyErr, nil
}

// getDocument reads config.Key. The read may take longer than the timeout of a
// store call while parts of the document keep arriving.
func (c *configuration) getDocument(ctx context.Context) (store.KV, error) {
	select {
	case c.transfer <- struct{}{}:
	case <-ctx.Done():
		return store.KV{}, ctx.Err()
	}
	defer func() { <-c.transfer }()
	ctx, cancel := store.WithStallTimeout(ctx, c.timing.StoreTimeout.AsDuration(), c.timing.StoreTimeout.AsDuration())
	defer cancel()
	return c.store.Get(ctx, config.Key)
}

// verifyRevision checks that config.Key has the revision. Where reads are not
// linearizable, only its answer shows that the store is reachable, because old
// states can be read during an outage.
func (c *configuration) verifyRevision(ctx context.Context, revision uint64) error {
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration())
	defer cancel()
	return c.store.Verify(callCtx, config.Key, revision)
}

// handleStoredValue handles a value read from the store and reports whether it
// confirms the configuration in force. A newer document is applied. known is the
// generation that was in force when the call was sent. A lower generation, or a
// missing key, means that the store was restored or the answer is stale: the
// document in force is written back, and only that write confirms it.
func (c *configuration) handleStoredValue(ctx context.Context, kv store.KV, missing bool, known uint64) bool {
	c.mu.Lock()
	c.revision = kv.Revision
	unchanged := !missing && len(c.raw) > 0 && bytes.Equal(kv.Value, c.raw)
	c.mu.Unlock()
	if unchanged {
		// Parsing a document of 1 MB at every read took half a core. Revisions are
		// not compared, because a restored store assigns them again.
		return true
	}
	if missing {
		if known > 0 {
			c.writeBack(ctx, 0)
		}
		return false
	}
	doc, err := c.parse(kv.Value, "store")
	if err != nil {
		return false
	}
	if doc.Generation < known {
		c.writeBack(ctx, kv.Revision)
		return false
	}
	c.apply(doc, kv.Value, "store")
	return doc.Generation >= c.generation()
}

// writeBack replaces an older configuration in the store by the one in force. The
// next read shows the result of a conflict or an unknown outcome.
func (c *configuration) writeBack(ctx context.Context, revision uint64) {
	generation, raw := c.document()
	c.metrics.generationRegressions.Inc(1)
	c.log.Error().Uint64("generation", generation).Msg("the store holds an older configuration or none; writing back the one in force")
	wait.For(ctx, rand.N(writeBackJitter), nil)
	callCtx, cancel := context.WithTimeout(ctx, c.timing.StoreTimeout.AsDuration())
	defer cancel()
	sent := c.clock.Now()
	_, err := c.store.CompareAndSwap(callCtx, config.Key, revision, raw, 0)
	if err == nil && generation == c.generation() {
		c.confirmation.recordConfirmingRead(sent)
	}
}

// watch waits for changes in the store until ctx ends, so that most of them take
// effect without waiting for the next read.
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
		switch {
		case err == nil && c.handleStoredValue(ctx, kv, false, known):
			failures = 0
		case err == nil || !ended:
			// A document that is older than the one in force, or invalid, counts
			// as a failure: the change that corrects it usually follows soon.
			failures++
			wait.For(ctx, fullJitter(c.timing.ConfigRead.AsDuration(), failures), nil)
		}
	}
}

// fullJitter returns a random wait below a bound that doubles with each failure,
// up to most. The randomness spreads processes that failed at the same time.
func fullJitter(most time.Duration, failures int) time.Duration {
	limit := min(most, backoffBase<<min(failures, 16))
	return rand.N(max(limit, 1))
}
