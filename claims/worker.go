package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// operation is one claim or release. Its fields are used by the shard's worker
// only, until done is closed.
type operation struct {
	claim          Claim
	release        bool
	created        time.Time
	done           chan struct{}
	attempts       int
	outcomeUnknown bool // a write of this operation had an unknown outcome
	resolved       bool // to be finished with the values below
	owner          Claim
	won            bool
	err            error

	// abandoned is set under the Claimer's lock when the caller stopped waiting.
	abandoned bool
}

func newOperation(c Claim, release bool) *operation {
	return &operation{claim: c, release: release, created: time.Now(), done: make(chan struct{})}
}

// failure returns the error that says what is known about the operation.
func (op *operation) failure(cause error) error {
	if op.release || op.outcomeUnknown {
		return outcomeUnknown(cause)
	}
	return notClaimed(cause)
}

// observeRevision returns the highest revision of the shard that this Claimer knows of,
// with a read at the given revision included.
func (c *Claimer) observeRevision(shard string, revision uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[shard] = max(c.revisions[shard], revision)
	return c.revisions[shard]
}

// setRevision records the revision of a successful write. It may be lower than one
// seen before, when the store was restored from a backup.
func (c *Claimer) setRevision(shard string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[shard] = revision
}

// runWorker carries out the operations of one shard until none is left.
func (c *Claimer) runWorker(shard string) {
	var ops []*operation
	failures := 0
	for !c.stopIfIdle(shard, len(ops)) {
		// Operations that arrive during the wait join those in progress. The
		// wait fails only when the Claimer is closed.
		_ = c.budget.WaitN(c.ctx, callsPerAttempt)
		if ops = c.takeQueued(shard, ops); len(ops) == 0 {
			continue // their callers stopped waiting
		}
		if c.ctx.Err() != nil {
			ops = c.failMatching(ops, ErrClosed, func(*operation) bool { return true })
			continue
		}
		var err error
		if ops, err = c.attempt(shard, ops); err == nil {
			failures = 0
			continue
		}
		ops = c.failExhausted(ops, err)
		if len(ops) > 0 {
			failures++
			c.backOff(failures)
		}
	}
}

// attempt reads the shard, applies the operations and writes it once. It
// returns the operations that are still to be done.
func (c *Claimer) attempt(shard string, ops []*operation) ([]*operation, error) {
	kv, content, err := c.read(shard)
	if err != nil {
		return ops, err
	}
	content.Expire(time.Now())
	ops = c.dropAbandoned(ops)
	b := batch{
		content: content, changed: map[string]bool{},
		stale: kv.Revision < c.observeRevision(shard, kv.Revision),
	}
	for _, op := range ops {
		b.apply(op, c.options.Retention)
	}
	ops, releases := c.finishResolved(ops)
	if len(ops) == 0 {
		return releases, nil
	}
	data, err := content.Encode()
	if err != nil {
		return append(ops, releases...), err
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.options.CallTimeout)
	defer cancel()
	written, err := c.options.Store.CompareAndSwap(ctx, shard, kv.Revision, data, 0)
	if err == nil {
		c.setRevision(shard, written.Revision)
	}
	for _, op := range ops {
		op.attempts++
		op.resolved = err == nil
		if err != nil && !notWritten(err) {
			op.outcomeUnknown = true
		}
	}
	ops, more := c.finishResolved(ops)
	return slices.Concat(ops, releases, more), err
}

// notWritten reports whether a write that failed with err did not take effect.
func notWritten(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrTooLarge)
}

func (c *Claimer) read(shard string) (store.KV, *Shard, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.options.CallTimeout)
	defer cancel()
	kv, err := c.options.Store.Get(ctx, shard)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return store.KV{}, nil, err
	}
	content, err := DecodeShard(kv.Value)
	return kv, content, err
}

// batch is a shard as read, with the changes of one write.
type batch struct {
	content *Shard
	changed map[string]bool // ids of claims that differ from the stored ones
	stale   bool            // the read is older than what this Claimer saw before
}

// isConclusive reports whether the shard as read can decide that the operation's
// job does not own the key. A doubtful write of the operation expected a
// revision that this Claimer had read. It cannot take effect at a later one,
// and at an earlier one the read is stale.
func (b *batch) isConclusive(op *operation) bool {
	return !b.stale && !b.changed[op.claim.id()]
}

// apply changes the shard for one operation. The operation is resolved if the
// shard as read decides it; otherwise it is decided once the batch is written.
// After a stale read the shard is written even without a change: the new
// revision then decides.
func (b *batch) apply(op *operation, retention time.Duration) {
	op.resolved, op.err = false, nil
	id := op.claim.id()
	if op.release {
		op.resolved = b.isConclusive(op)
		if b.content.Release(op.claim) {
			b.changed[id], op.resolved = true, false
		}
		return
	}
	owner, ok := b.content.Owner(op.claim)
	if ok {
		op.owner, op.won = owner, owner.Job == op.claim.Job
		op.resolved = op.won && !b.changed[id] || b.isConclusive(op)
		return
	}
	op.owner, op.won, op.err = b.content.Claim(time.Now(), retention, op.claim)
	if op.err != nil {
		op.err = notClaimed(op.err)
		op.resolved = b.isConclusive(op) && !op.outcomeUnknown
		return
	}
	b.changed[id] = true
}

// dropAbandoned ends the claims that no caller waits for and that were never
// written, and returns the other operations.
func (c *Claimer) dropAbandoned(ops []*operation) []*operation {
	return c.failMatching(ops, context.Canceled, func(op *operation) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return op.abandoned && !op.release && !op.outcomeUnknown
	})
}

// finishResolved finishes the resolved operations. It returns the others, and
// the releases that follow from abandoned claims; those are not yet part of
// any batch.
func (c *Claimer) finishResolved(ops []*operation) (unresolved, releases []*operation) {
	for _, op := range ops {
		if !op.resolved {
			unresolved = append(unresolved, op)
			continue
		}
		if release := c.finish(op, op.err); release != nil {
			releases = append(releases, release)
		}
	}
	return unresolved, releases
}

// failExhausted fails the operations that should not be attempted again after err,
// and returns the others. Releases and doubtful operations are attempted until
// the claim would have expired.
func (c *Claimer) failExhausted(ops []*operation, err error) []*operation {
	cause := err
	conflict := errors.Is(err, store.ErrConflict)
	if conflict {
		cause = ErrContention
	}
	return c.failMatching(ops, cause, func(op *operation) bool {
		switch {
		case time.Since(op.created) > c.options.Retention+MaxClockSkew:
			return true
		case op.release || op.outcomeUnknown:
			return false
		}
		return !conflict || op.attempts >= c.options.MaxAttempts
	})
}

// failMatching fails the chosen operations and returns the others.
func (c *Claimer) failMatching(ops []*operation, cause error, fails func(*operation) bool) []*operation {
	var remaining []*operation
	for _, op := range ops {
		switch {
		case !fails(op):
			remaining = append(remaining, op)
		default:
			c.finish(op, op.failure(cause))
		}
	}
	return remaining
}

// backOff waits before another attempt, with exponential backoff and full jitter.
func (c *Claimer) backOff(failures int) {
	limit := maxBackoff
	if shift := failures - 1; shift < 7 { // minWait<<7 exceeds maxWait
		limit = min(maxBackoff, minBackoff<<shift)
	}
	wait.For(c.ctx, c.options.Jitter(limit), nil)
}
