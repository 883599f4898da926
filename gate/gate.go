// Package gate decides whether an agent may start tasks. A task may start only
// while the agent's data centre is in service according to the newest
// configuration that the agent knows, and while that configuration was confirmed
// as current within a time limit.
package gate

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// NoAge is the age of a confirmation, or of a read, that does not exist.
const NoAge time.Duration = -1

// Gate holds the time of an agent's most recent confirmation. The gate is open
// while that confirmation is younger than a limit. It is not safe for concurrent
// use.
type Gate struct {
	limit     time.Duration
	confirmed time.Time // zero if never
}

// New returns a gate that is closed until the first confirmation, and afterwards
// whenever the age of the most recent one has reached the limit.
func New(limit time.Duration) *Gate { return &Gate{limit: limit} }

// ConfirmedAt returns the time at which the configuration was confirmed, given the
// time at which a heartbeat was sent and the confirmation age in its reply. The
// delay of the messages counts as age, so the result is never too late. ok is
// false if age is negative, such as NoAge: the reply has no confirmation.
func ConfirmedAt(sent time.Time, age time.Duration) (at time.Time, ok bool) {
	if age < 0 {
		return time.Time{}, false
	}
	return sent.Add(-age), true
}

// Confirm records a confirmation at the given time. It is ignored if it is older
// than the most recent one.
func (g *Gate) Confirm(at time.Time) {
	if at.After(g.confirmed) {
		g.confirmed = at
	}
}

// Age returns the age of the most recent confirmation, or NoAge.
func (g *Gate) Age(now time.Time) time.Duration {
	if g.confirmed.IsZero() {
		return NoAge
	}
	return max(0, now.Sub(g.confirmed))
}

// Expiry returns the time at which the gate closes unless there is another
// confirmation. It is zero if there was none.
func (g *Gate) Expiry() time.Time {
	if g.confirmed.IsZero() {
		return time.Time{}
	}
	return g.confirmed.Add(g.limit)
}

// MayStart reports whether a task may start now. If not, it returns the reason,
// wire.ReasonConfigUnconfirmed or wire.ReasonOutOfService.
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
