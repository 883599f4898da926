// Package wait provides timed waits and tickers.
//
// It uses time.AfterFunc instead of the channels of time.Timer and time.Ticker,
// because Go 1.26.8 with the race detector sometimes crashes in testing/synctest
// when a goroutine selects on the channel of a timer that has already expired
// (SIGSEGV in runtime.(*timer).maybeRunChan).
package wait

import (
	"context"
	"sync"
	"time"
)

// For waits until d has passed, wake receives a value or ctx ends, and returns
// false if ctx ended. A nil wake is ignored. If d is not positive, For returns at
// once.
func For(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	over := make(chan struct{})
	t := time.AfterFunc(d, func() { close(over) })
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-over:
	case <-wake:
	}
	return true
}

// Ticker sends on C at an interval. C holds one tick; further ticks are dropped
// until it is received.
type Ticker struct {
	C chan struct{}

	mu       sync.Mutex
	interval time.Duration
	timer    *time.Timer
	stopped  bool
}

// NewTicker returns a ticker that runs until Stop is called. The first tick comes
// after one interval.
func NewTicker(interval time.Duration) *Ticker {
	t := &Ticker{C: make(chan struct{}, 1), interval: interval}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, t.tick)
	return t
}

func (t *Ticker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	t.timer.Reset(t.interval)
	select {
	case t.C <- struct{}{}:
	default:
	}
}

// Stop ends the ticker. It does not close C, which may still hold one tick.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
