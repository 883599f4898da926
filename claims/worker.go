package claims

import (
	"context"
	"errors"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// operation is one claim or release. Until done is closed, its fields are used
// only by the shard's worker.
type operation struct {
	claim          Claim
	release        bool
	created        time.Time
	done           chan struct{}
	attempts       int
	outcomeUnknown bool // a write of this operation had an unknown outcome
	resolved       bool // owner, won and err are the result
	owner          Claim
	won            bool
	err            error

	// abandoned is set, under Claimer.mu, when the caller stops waiting.
	abandoned bool
}

func newOperation(c Claim, release bool) *operation {
	return &operation{claim: c, release: release, created: time.Now(), done: make(chan struct{})}
}

// failure returns the error for an operation that ends without a result, according
// to whether it may have taken effect.
func (op *operation) failure(cause error) error {
	if op.release || op.outcomeUnknown {
		return outcomeUnknown(cause)
	}
	return notClaimed(cause)
}

// observeRevision records that the shard was read at a revision and returns the
// highest known revision of the shard.
func (c *Claimer) observeRevision(shard string, revision uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[shard] = max(c.revisions[shard], revision)
	return c.revisions[shard]
}

// setRevision records the revision of a successful write. It may be lower than the
// highest known revision if the store was restored from a backup.
func (c *Claimer) setRevision(shard string, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revisions[shard] = revision
}

// runWorker executes the operations of one shard until none is left.
func (c *Claimer) runWorker(shard string) {
	var ops []*operation
	failures := 0
	for !c.stopIfIdle(shard, len(ops)) {
		// Operations that arrive during the wait join those in progress. The
		// wait fails only if the Claimer is closed.
		_ = c.budget.WaitN(c.ctx, callsPerAttempt)
		if ops = c.takeQueued(shard, ops); len(ops) == 0 {
			continue // the callers stopped waiting and dequeued their operations
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

// attempt reads the shard, applies the operations and writes the shard once. It
// returns the operations that are not finished.
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

// batch is a shard as read from the store, with the changes of one write.
type batch struct {
	content *Shard
	changed map[string]bool // ids of claims that differ from the stored shard
	stale   bool            // the read revision is lower than the highest known one
}

// isConclusive reports whether the shard as read proves that the operation's job
// does not own the key. An earlier write of the operation with unknown outcome
// expected a revision that this Claimer had read. If the shard is at a later
// revision, that write can no longer take effect; a read of an earlier revision
// is stale.
func (b *batch) isConclusive(op *operation) bool {
	return !b.stale && !b.changed[op.claim.id()]
}

// apply applies one operation to the shard. The operation is resolved if its
// result follows from the shard as read; otherwise it is resolved by a successful
// write of the batch. After a stale read the shard is written even if it is
// unchanged, because only a successful write proves that the content is current.
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

// dropAbandoned fails the claims whose caller stopped waiting and of which no write
// has an unknown outcome. It returns the other operations.
func (c *Claimer) dropAbandoned(ops []*operation) []*operation {
	return c.failMatching(ops, context.Canceled, func(op *operation) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return op.abandoned && !op.release && !op.outcomeUnknown
	})
}

// finishResolved finishes the resolved operations. It returns the others, and
// releases of abandoned claims that took effect. The releases are not part of the
// current batch.
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

// failExhausted fails the operations that must not be attempted again after err,
// and returns the others. Releases, and operations of which a write has an unknown
// outcome, are attempted until the claim would have expired.
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

// failMatching fails the operations for which fails returns true, and returns the
// others.
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
	if shift := failures - 1; shift < 7 { // minBackoff<<7 exceeds maxBackoff
		limit = min(maxBackoff, minBackoff<<shift)
	}
	wait.For(c.ctx, c.options.Jitter(limit), nil)
}
