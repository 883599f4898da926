// Package gate decides whether an agent may start tasks. A task starts only
// while the agent's data centre is in service in the newest configuration it
// knows, and while that configuration was confirmed within a limit.
package gate

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// NoAge is the age of a confirmation that does not exist.
const NoAge time.Duration = -1

// Gate keeps an agent's freshest confirmation. It is not safe for concurrent
// use.
type Gate struct {
	limit     time.Duration
	confirmed time.Time // zero when never
}

// New returns a gate that is closed until the first confirmation, and then
// whenever the freshest one is older than limit.
func New(limit time.Duration) *Gate { return &Gate{limit: limit} }

// ConfirmedAt returns the moment at which the configuration was confirmed,
// given when a heartbeat was sent and the age in its reply. The delay of the
// messages counts as age, so the result is never too late. ok is false if the
// reply carries no confirmation.
func ConfirmedAt(sent time.Time, age time.Duration) (at time.Time, ok bool) {
	if age < 0 {
		return time.Time{}, false
	}
	return sent.Add(-age), true
}

// Confirm records a confirmation; an older one than the freshest is ignored.
func (g *Gate) Confirm(at time.Time) {
	if at.After(g.confirmed) {
		g.confirmed = at
	}
}

// Age returns the age of the freshest confirmation, or None.
func (g *Gate) Age(now time.Time) time.Duration {
	if g.confirmed.IsZero() {
		return NoAge
	}
	return max(0, now.Sub(g.confirmed))
}

// Expiry returns when the gate closes unless it is confirmed again; zero if it
// was never confirmed.
func (g *Gate) Expiry() time.Time {
	if g.confirmed.IsZero() {
		return time.Time{}
	}
	return g.confirmed.Add(g.limit)
}

// MayStart reports whether a task may start now, and otherwise why not:
// wire.ReasonUnconfirmed or wire.ReasonOutOfService.
func (g *Gate) MayStart(now time.Time, inService bool) (bool, wire.Reason) {
	age := g.Age(now)
	if age == NoAge || age >= g.limit {
		return false, wire.ReasonConfigUnconfirmed
	}
	if !inService {
		return false, wire.ReasonOutOfService
	}
	return true, ""
}
