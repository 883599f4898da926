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
	// DefaultMaxAttempts is the maximum number of writes in which a claim is
	// included. If n entries write one shard at the same time, a write
	// conflicts with others about n-1 times at worst; jitter makes that rare.
	DefaultMaxAttempts = 8
	// DefaultMaxCallsPerSecond leaves 20 of a process's 50 calls per second
	// to the store for reads of the configuration, without which no task
	// starts.
	DefaultMaxCallsPerSecond = 30.0
	// callsPerAttempt is the number of store calls of an attempt: one read and
	// one write.
	callsPerAttempt = 2
	// maxPending is the maximum number of claims waiting for one shard, about
	// as many as fit in a fifth of a shard.
	maxPending = 1000
	// minBackoff and maxBackoff bound the limit of the random wait before
	// another attempt.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
)

// Errors of a Claimer.
var (
	// ErrNotClaimed means that the claim provably did not and will not take
	// effect. Its cause is the reason.
	ErrNotClaimed = merry.Sentinel("claims: claim did not take effect")
	// ErrOutcomeUnknown means that the claim, or the release, may have taken
	// effect. The caller does not own the key and must not start the job. The
	// Claimer continues in the background to remove the claim.
	ErrOutcomeUnknown = merry.Sentinel("claims: it is unknown whether the claim took effect")
	// ErrClosed is the cause of errors after Close.
	ErrClosed = merry.Sentinel("claims: claimer is closed")
	// ErrContention is the cause if every attempt to write the shard conflicted
	// with a write of another entry.
	ErrContention = merry.Sentinel("claims: too many conflicting writes of the shard")
	// ErrOverloaded is the cause if too many claims are waiting for the shard.
	ErrOverloaded = merry.Sentinel("claims: too many claims are waiting for the shard")
)

// Options configures a Claimer.
type Options struct {
	Store store.Store
	// Retention is how long a claim is kept. 0 means DefaultRetention.
	Retention time.Duration
	// CallTimeout is the timeout of one call to the store. 0 means
	// DefaultCallTimeout.
	CallTimeout time.Duration
	// MaxAttempts is the number of writes after which a claim fails with
	// ErrContention if the last one conflicts. It does not apply while the
	// outcome of an earlier write is unknown. 0 means DefaultMaxAttempts.
	MaxAttempts int
	// MaxCallsPerSecond limits the calls to the store; it must be at least 2.
	// Claims above the limit wait and join the next batch of their shard. 0
	// means DefaultMaxCallsPerSecond.
	MaxCallsPerSecond float64
	// Jitter returns a random duration below its argument; nil uses
	// math/rand/v2.
	Jitter func(time.Duration) time.Duration
}

// Claimer makes claims in the store. It is safe for concurrent use. Claims for a
// shard that arrive while a write of the shard is in flight are batched into the
// next write. One worker goroutine per shard runs while there are operations.
type Claimer struct {
	options Options
	ctx     context.Context // cancelled by Close
	cancel  context.CancelFunc
	workers sync.WaitGroup
	budget  *rate.Limiter

	mu         sync.Mutex
	closed     bool
	queues     map[string][]*operation // by shard; an entry exists while its worker runs
	inProgress map[string]int          // number of operations taken by the shard's worker
	revisions  map[string]uint64       // highest revision read since the last write, by shard
}

// New returns a Claimer. The caller must close it.
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

// Claim claims a key for a job. It returns the claim that owns the key, and
// whether that is the claim of this job. After an error the job does not own the
// key: ErrNotClaimed means that the claim did not take effect, ErrOutcomeUnknown
// that this is unknown. If ctx ends, the claim is withdrawn.
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

// Release removes a claim that the job won, so that the key can be claimed again.
// No task of the job may have started. If ctx ends, even before the call, Release
// returns ErrOutcomeUnknown and the release continues in the background.
func (c *Claimer) Release(ctx context.Context, claim Claim) error {
	if err := claim.validate(); err != nil {
		return err
	}
	return c.execute(ctx, newOperation(claim, true))
}

// Close stops the Claimer and waits for its goroutines. Claims in progress fail.
func (c *Claimer) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.workers.Wait()
}

// execute queues an operation and waits until it is done or ctx ends.
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

// dequeue removes an operation from the queue of its shard. It returns false if a
// worker has already taken the operation. The caller holds c.mu.
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

// stopIfIdle reports whether no operation of the shard is in progress or queued.
// If so, the worker must end, and its state is removed.
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

// takeQueued removes the operations from the shard's queue and returns them after
// those in progress.
func (c *Claimer) takeQueued(shard string, inProgress []*operation) []*operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := slices.Concat(inProgress, c.queues[shard])
	c.queues[shard] = nil
	c.inProgress[shard] = len(taken)
	return taken
}

// finish completes an operation with err. If it is a claim that took effect after
// its caller stopped waiting, finish returns a release of the claim.
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
