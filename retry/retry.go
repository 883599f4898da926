// Package retry limits the retries that a process sends to a fraction of the
// requests that it serves (a retry budget).
//
// Without a limit, an outage multiplies the load on the remaining upstreams:
// every failed task is sent again, and the retries fail too. A Budget gains a
// fraction of a token for every request and spends one token for every retry, so
// over any period
//
//	retries <= Share × requests + PerSecond × seconds + Burst
//
// # Use
//
// The caller calls RecordRequest for each task that it sends for the first time,
// and Allow before each task that it sends again. If Allow returns false, the
// failure is returned to the client that made the request. One Budget is used for
// all upstreams of a process; with a separate budget for each, retries could fail
// at one upstream after the other.
//
// A Budget reads no clock and takes no lock; the caller serialises its calls.
package retry

import "time"

// Defaults of Options.
const (
	// DefaultShare is the number of retries per request. With 0.1, retries add
	// a tenth to the load when every request fails.
	DefaultShare = 0.1
	// DefaultPerSecond is the number of retries per second that are allowed
	// without any requests, so that a service with only a few requests per
	// minute can retry at all.
	DefaultPerSecond = 0.5
	// DefaultBurst is the number of retries that can be sent at once. It is
	// enough for the tasks of one job (usually of up to 20 tasks) that ran at a
	// lost agent with 8 slots.
	DefaultBurst = 10
)

// Options configures a Budget. A zero field takes its default; a negative one
// means 0.
type Options struct {
	Share     float64 // tokens added per request
	PerSecond float64 // tokens added per second
	Burst     float64 // maximum number of tokens; the budget starts full
}

// Budget is a token bucket; each retry takes one token.
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

// Allow reports whether one retry may be sent now. If so, it takes a token.
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

// refill adds the tokens for the time since the last call. A clock that went
// backwards adds none.
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
