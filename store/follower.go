package store

import (
	"context"
	"errors"
)

// ErrHistoryDiscarded means that the store no longer has the changes after the
// revision from which a poll was to continue.
var ErrHistoryDiscarded = errors.New("store: the history of the watch was discarded")

// Follower keeps a Mirror current by the store's events, so that a value is
// transferred once for each change. It is safe for concurrent use.
type Follower struct {
	Mirror // guarded by busy

	scan func(context.Context) (items []KV, at uint64, err error)
	poll Poll
	// busy holds one value while a read of the keys is in progress or a watch
	// receives events.
	busy chan struct{}
}

// Poll returns the changes of the keys after a revision, and the revision up to
// which these are all. With wait set the store waits for the first one. received is
// called when the reply begins to arrive, unless it is nil. The error is
// ErrHistoryDiscarded if the keys have to be listed again.
type Poll func(ctx context.Context, after uint64, wait bool, received func()) (events []Event, at uint64, err error)

// NewFollower returns a Follower with an empty Mirror. scan lists all keys and
// returns the revision as of which the first page was read.
func NewFollower(scan func(context.Context) ([]KV, uint64, error), poll Poll) *Follower {
	return &Follower{scan: scan, poll: poll, busy: make(chan struct{}, 1)}
}

// lock reserves the copy, unless ctx ends first.
func (f *Follower) lock(ctx context.Context) bool {
	select {
	case f.busy <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) unlock() { <-f.busy }

// Read makes the copy current and calls use, which may read it. The error is that
// of the store, or ErrUnavailable if ctx ends first.
func (f *Follower) Read(ctx context.Context, use func()) error {
	if !f.lock(ctx) {
		return ErrUnavailable
	}
	defer f.unlock()
	err := f.refresh(ctx)
	if err == nil {
		use()
	}
	return err
}

func (f *Follower) refresh(ctx context.Context) error {
	if f.At() > 0 {
		events, at, err := f.poll(ctx, f.At(), false, nil)
		if !errors.Is(err, ErrHistoryDiscarded) {
			f.Apply(events, at)
			return err
		}
	}
	items, at, err := f.scan(ctx)
	if err == nil {
		f.Reset(items, at)
	}
	return err
}

// Await waits for a change of the copy after the revision and calls use like Read,
// which it does at once if the revision is 0 or nothing was read yet.
func (f *Follower) Await(ctx context.Context, after uint64, use func()) error {
	for {
		if !f.lock(ctx) {
			return ErrUnavailable
		}
		at := f.At()
		if at > 0 && f.ChangedAt() > after {
			use()
			f.unlock()
			return nil
		}
		f.unlock()
		if at == 0 || after == 0 {
			return f.Read(ctx, use)
		}
		locked := false
		events, at, err := f.poll(ctx, at, true, func() { locked = f.lock(ctx) })
		if err == nil && locked {
			f.Apply(events, at)
		}
		if locked {
			f.unlock()
		}
		if errors.Is(err, ErrHistoryDiscarded) {
			return f.Read(ctx, use)
		}
		if err != nil {
			return err
		}
	}
}
