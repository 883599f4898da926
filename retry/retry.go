// Package retry limits how many retries a process sends, as a share of the
// requests it serves.
//
// Without a limit, an outage multiplies the load on the upstreams that are
// left: every failed task is sent again, and the retries fail too. A Budget
// earns a fraction of a retry for every request and spends a whole one for
// every retry, so over any period
//
//	retries <= Share × requests + PerSecond × seconds + Burst
//
// # Use
//
// The caller calls Request for each task that it sends for the first time, and
// Allow before each task that it sends again. When Allow returns false, the
// failure goes to whoever made the request. One Budget serves all upstreams of a
// process: a budget for each would let every one of them fail in turn.
//
// A Budget reads no clock and takes no lock; the caller serialises its calls.
package retry

import "time"

// Defaults of Options.
const (
	// DefaultShare of retries among requests. At 10 % the load of a full
	// outage grows by a tenth.
	DefaultShare = 0.1
	// DefaultPerSecond lets a service with a few requests a minute retry at all.
	DefaultPerSecond = 0.5
	// DefaultBurst covers the tasks of one job (up to 20 in common load) at
	// a lost agent with 8 slots.
	DefaultBurst = 10
)

// Options of a Budget. A zero field takes its default; a negative one means 0.
type Options struct {
	Share     float64 // retries earned by one request
	PerSecond float64 // retries earned by one second
	Burst     float64 // retries that can be saved up; the budget starts full
}

// Budget holds the retries that may be sent now.
type Budget struct {
	options Options
	tokens  float64
	last    time.Time
}

// New returns a full budget.
func New(o Options) *Budget {
	o.Share = withDefault(o.Share, DefaultShare)
	o.PerSecond = withDefault(o.PerSecond, DefaultPerSecond)
	o.Burst = withDefault(o.Burst, DefaultBurst)
	return &Budget{options: o, tokens: o.Burst}
}

func withDefault(v, def float64) float64 {
	if v == 0 {
		return def
	}
	return max(v, 0)
}

// RecordRequest records one request that is not itself a retry.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.addTokens(b.options.Share)
}

// Allow reports whether one retry may be sent now, and spends it.
func (b *Budget) Allow(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Available returns the number of retries that may be sent now.
func (b *Budget) Available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// refill earns retries for the time since the last call. A clock that went
// backwards earns nothing.
func (b *Budget) refill(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.addTokens(elapsed.Seconds() * b.options.PerSecond)
		b.last = now
	}
}

func (b *Budget) addTokens(n float64) { b.tokens = min(b.tokens+n, b.options.Burst) }
