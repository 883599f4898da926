package claims

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"

	"chicorytray.example/chicorytray/store"
)

// Defaults of Options and bounds of a Claimer.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultCallTimeout = time.Second
	// DefaultMaxAttempts bounds the writes that one claim takes part in. With
	// n entries writing one shard at a time, a write loses to others about
	// n-1 times at worst; jitter makes that rare.
	DefaultMaxAttempts = 8
	// DefaultMaxCallsPerSecond leaves 20 of a process's 50 calls a second to
	// the reads of the configuration, without which no task starts.
	DefaultMaxCallsPerSecond = 30.0
	// callsPerAttempt are a read and a write.
	callsPerAttempt = 2
	// maxPending bounds the claims waiting for one shard. It is about the
	// number of claims that fit a fifth of a shard.
	maxPending = 1000
	// Bounds of the wait before another attempt.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Errors of a Claimer.
var (
	// ErrNotClaimed means that the claim provably did not and will not take
	// effect. The cause says why.
	ErrNotClaimed = merry.Sentinel("claims: not claimed")
	// ErrOutcomeUnknown means that the claim, or the release, may have taken
	// effect. The caller does not own the key and must start nothing. The
	// Claimer goes on in the background to remove the claim.
	ErrOutcomeUnknown = merry.Sentinel("claims: it is unknown whether the claim took effect")
	// ErrClosed is the cause of errors after Close.
	ErrClosed = merry.Sentinel("claims: closed")
	// ErrContention is the cause when other entries changed the shard before
	// every attempt.
	ErrContention = merry.Sentinel("claims: too many conflicting writes")
	// ErrOverloaded is the cause when too many claims wait for the shard.
	ErrOverloaded = merry.Sentinel("claims: too many claims are waiting")
)

// Options of a Claimer.
type Options struct {
	Store store.Store
	// Retention of a claim. 0 means DefaultRetention.
	Retention time.Duration
	// CallTimeout of one call of the store. 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxAttempts of a claim before it fails with ErrContention. 0 means
	// DefaultMaxAttempts.
	MaxAttempts int
	// MaxCallsPerSecond of the store; at least 2. Claims above it wait, and
	// join the next batch of their shard. 0 means DefaultMaxCallsPerSecond.
	MaxCallsPerSecond float64
	// Jitter returns a random duration below its argument; nil uses a random
	// source.
	Jitter func(time.Duration) time.Duration
}

// Claimer makes claims in the store. It is safe for concurrent use. Claims
// that arrive while a write of their shard is in flight go into the next one.
type Claimer struct {
	options Options
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc
	workers sync.WaitGroup
	budget  *rate.Limiter

	mu         sync.Mutex
	closed     bool
	queues     map[string][]*operation // by shard; present while a worker runs
	inProgress map[string]int          // number of operations a shard's worker has taken
	revisions  map[string]uint64       // highest revision known, by shard
}

// New returns a Claimer. Close ends it.
func New(o Options) *Claimer {
	if o.Retention == 0 {
		o.Retention = DefaultRetention
	}
	if o.CallTimeout == 0 {
		o.CallTimeout = DefaultCallTimeout
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = DefaultMaxAttempts
	}
	if o.MaxCallsPerSecond == 0 {
		o.MaxCallsPerSecond = DefaultMaxCallsPerSecond
	}
	if o.Jitter == nil {
		o.Jitter = rand.N[time.Duration]
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Claimer{
		options: o, ctx: ctx, cancel: cancel,
		budget: rate.NewLimiter(rate.Limit(o.MaxCallsPerSecond), max(callsPerAttempt, int(o.MaxCallsPerSecond))),
		queues: map[string][]*operation{}, inProgress: map[string]int{}, revisions: map[string]uint64{},
	}
}

// Claim claims a key for a job and returns the owner and whether it is this
// job. After an error the job does not own the key: ErrNotClaimed says that
// the claim did not take effect, ErrUnsettled that this is unknown. A claim
// whose ctx ends is withdrawn.
func (c *Claimer) Claim(ctx context.Context, claim Claim) (owner Claim, won bool, err error) {
	if err := claim.validate(); err != nil {
		return Claim{}, false, notClaimed(err)
	}
	op := newOperation(claim, false)
	if err := c.execute(ctx, op); err != nil {
		return Claim{}, false, err
	}
	return op.owner, op.won, nil
}

// Release gives up a claim that the job won, so that the key can be claimed
// again. The job must have started nothing. The release goes on in the
// background when ctx ends, even if it had ended before the call; Release then
// returns ErrUnsettled.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if err := claim.validate(); err != nil {
		return err
	}
	return c.execute(ctx, newOperation(claim, true))
}

// Close ends the Claimer and waits for its goroutines. Claims in progress fail.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.workers.Wait()
}

// execute queues an operation and waits for its end.
func (c *Claimer) execute(ctx context.Context, op *operation) error {
	if ctx.Err() != nil && !op.release {
		return notClaimed(ctx.Err())
	}
	if err := c.enqueue(op); err != nil {
		return op.failure(err)
	}
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-op.done:
		return op.err
	default:
	}
	if !op.release && c.dequeue(op) {
		return notClaimed(ctx.Err())
	}
	op.abandoned = true
	return outcomeUnknown(ctx.Err())
}

// enqueue adds the operation to its shard and starts a worker if none runs.
func (c *Claimer) enqueue(op *operation) error {
	shard := op.claim.ShardKey()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return ErrClosed
	}
	queue, running := c.queues[shard]
	if !op.release && len(queue)+c.inProgress[shard] >= maxPending {
		return ErrOverloaded
	}
	c.queues[shard] = append(queue, op)
	if !running {
		c.workers.Go(func() { c.runWorker(shard) })
	}
	return nil
}

// dequeue removes an operation that no worker has taken; the caller holds the
// lock.
func (c *Claimer) dequeue(op *operation) bool {
	shard := op.claim.ShardKey()
	for i, queued := range c.queues[shard] {
		if queued == op {
			c.queues[shard] = append(c.queues[shard][:i:i], c.queues[shard][i+1:]...)
			return true
		}
	}
	return false
}

// stopIfIdle ends the shard's worker if nothing is in progress or queued, and reports
// whether it did.
func (c *Claimer) stopIfIdle(shard string, inProgress int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inProgress+len(c.queues[shard]) > 0 {
		return false
	}
	delete(c.queues, shard)
	delete(c.inProgress, shard)
	return true
}

// takeQueued returns the operations in progress with those that were queued since.
func (c *Claimer) takeQueued(shard string, inProgress []*operation) []*operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := slices.Concat(inProgress, c.queues[shard])
	c.queues[shard] = nil
	c.inProgress[shard] = len(taken)
	return taken
}

// finish ends an operation. A claim that took effect after its caller stopped
// waiting becomes a release, which is returned.
func (c *Claimer) finish(op *operation, err error) *operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	op.err = err
	close(op.done)
	if op.abandoned && !op.release && err == nil && op.won {
		return newOperation(op.claim, true)
	}
	return nil
}

func notClaimed(cause error) error {
	return merry.Wrap(ErrNotClaimed, merry.WithCause(cause), merry.NoCaptureStack())
}

func outcomeUnknown(cause error) error {
	return merry.Wrap(ErrOutcomeUnknown, merry.WithCause(cause), merry.NoCaptureStack())
}
