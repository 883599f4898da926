package store

import (
	"context"
	"errors"
	"fmt"
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
// which these are all. With wait set the store waits for the first one. It calls
// ReportProgress when parts of the reply arrive. The error is ErrHistoryDiscarded or
// ErrUnusable if the keys have to be listed again.
type Poll func(ctx context.Context, after uint64, wait bool) (events []Event, at uint64, err error)

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

// errBusy means that another call was receiving events until the context ended.
var errBusy = fmt.Errorf("%w: %w by another call", ErrUnavailable, ErrStalled)

// errRevision means that an answer has a revision that is lower than an earlier one, or
// none. It must not confirm the copy.
var errRevision = fmt.Errorf("%w: %w: revision out of range", ErrUnavailable, ErrUnusable)

// Read makes the copy current and calls use, which may read it. The error is that
// of the store, or matches ErrStalled if ctx ends while another call receives events.
func (f *Follower) Read(ctx context.Context, use func()) error {
	if !f.lock(ctx) {
		return errBusy
	}
	defer f.unlock()
	err := f.refresh(ctx)
	if err == nil {
		use()
	}
	return err
}

// listAgain reports whether the keys have to be listed after the error of a poll.
// Many changes of large values can exceed the limit on a reply although the values
// themselves do not.
func listAgain(err error) bool {
	return errors.Is(err, ErrHistoryDiscarded) || errors.Is(err, ErrUnusable)
}

func (f *Follower) refresh(ctx context.Context) error {
	if f.At() > 0 {
		events, at, err := f.poll(ctx, f.At(), false)
		if err == nil && at < f.At() {
			err = errRevision
		}
		if !listAgain(err) {
			f.Apply(events, at)
			return err
		}
	}
	items, at, err := f.scan(ctx)
	if err == nil && at == 0 {
		err = errRevision
	}
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
			return errBusy
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
		known := at
		received := func() { locked = locked || f.lock(ctx) }
		events, at, err := f.poll(NotifyProgress(ctx, received), at, true)
		if err == nil && locked {
			f.Apply(events, at)
		}
		if locked {
			f.unlock()
		}
		if err == nil && at < known {
			return errRevision // the caller waits before the next watch
		}
		if listAgain(err) {
			return f.Read(ctx, use)
		}
		if err != nil {
			return err
		}
	}
}
