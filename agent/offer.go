package agent

import (
	"time"

	"chicorytray.example/chicorytray/balance"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// reservationTTL is how long a slot stays reserved for the entry to which it was
// offered. It is many times a round trip between data centres; after a lost
// offer the slot is unused for this long.
const reservationTTL = 50 * time.Millisecond

// reservation reserves one free slot for the entry to which it was offered.
type reservation struct {
	owner     ledger.Owner
	expiresAt time.Time
}

// offerFreeSlots offers free slots to entries that announced a backlog, each in
// the order of mostUrgent, and reserves them. An entry that cannot be sent an offer
// now is passed over. If the next one is user, the entry whose task just ended, it is
// passed over as well and as many slots as it has waiting tasks are left, because the
// reply to that task shows them. The caller holds mu.
func (a *Agent) offerFreeSlots(user ledger.Owner, now time.Time) {
	if len(a.queue) > 0 || len(a.leaving) > 0 || len(a.backlogs) == 0 {
		return
	}
	if ok, _ := a.mayStart(now); !ok {
		return
	}
	passed, left := map[ledger.Owner]bool{}, 0 // left is the number of slots left to user
	for a.runningTasks+a.reservedForOthers(ledger.Owner{}, now)+left < a.self.Slots && a.roomToOffer(now, left) {
		best, ok := a.mostUrgent(passed)
		if !ok {
			return
		}
		if tasks := a.backlogs[best].Tasks; best == user && tasks > 0 {
			passed[best], left = true, min(tasks, a.self.Slots)
			continue
		}
		a.reservations = append(a.reservations, reservation{best, now.Add(reservationTTL)})
		a.loadSequence++
		req := wire.OfferRequest{Agent: a.self.ID, Incarnation: a.self.Incarnation, Load: a.loadFor(best)}
		if !a.entries.sendOffer(best, req) {
			a.releaseReservation(best)
			passed[best] = true
			continue
		}
		time.AfterFunc(reservationTTL, a.reservationExpired)
	}
}

// maxSlack bounds the times of a backlog, so that amounts which no entry sends cannot
// overflow. No job has a longer deadline.
const maxSlack = 24 * time.Hour

// announcedBacklog is the backlog that an entry announced last, with its times by this
// agent's clock.
type announcedBacklog struct {
	wire.Backlog
	lateAt, waitingSince time.Time
}

// withTimes returns the backlog that an entry announced with the times that follow from
// its arrival now; before is the one that it replaces, if any. Entries of earlier
// versions announce no times; for them the time at which the agent learnt of the
// backlog stands for both. With the time of the last message, such an entry would get
// nothing while tasks of others are late.
func (before announcedBacklog) withTimes(b wire.Backlog, now time.Time) announcedBacklog {
	switch {
	case b.Slack != 0 || b.Waited != 0:
		slack := min(max(b.Slack, -maxSlack), maxSlack)
		waited := min(max(b.Waited, 0), maxSlack)
		return announcedBacklog{b, now.Add(slack), now.Add(-waited)}
	case before.Tasks > 0:
		return announcedBacklog{b, before.lateAt, before.waitingSince}
	default:
		return announcedBacklog{b, now, now}
	}
}

// offerOrder returns the order of backlogs with the name used in the settings.
func offerOrder(sharing string) balance.Order {
	if sharing == settings.SharingSlack {
		return balance.BySlack
	}
	return balance.ByTasks
}

// mostUrgent returns the entry to which the next slot is offered: the one whose
// backlog is the first in the order of the setting. Entries in except are left out.
// The caller holds mu.
func (a *Agent) mostUrgent(except map[ledger.Owner]bool) (best ledger.Owner, found bool) {
	held := map[ledger.Owner]int{}
	for _, t := range a.tasks {
		held[t.owner]++
	}
	for _, r := range a.reservations {
		held[r.owner]++
	}
	var first balance.Backlog
	for owner, b := range a.backlogs {
		if except[owner] {
			continue
		}
		this := balance.Backlog{
			Entry: owner.Entry, Urgency: b.Urgency, LateAt: b.lateAt, WaitingSince: b.waitingSince, Held: held[owner],
		}
		if !found || a.offerOrder(this, first) < 0 {
			best, first, found = owner, this, true
		}
	}
	return best, found
}

// reservedForOthers returns the number of slots that are reserved for other
// entries than owner, and drops expired reservations; the caller holds mu.
func (a *Agent) reservedForOthers(owner ledger.Owner, now time.Time) int {
	kept, others := a.reservations[:0], 0
	for _, r := range a.reservations {
		if !now.Before(r.expiresAt) {
			continue
		}
		kept = append(kept, r)
		if r.owner != owner {
			others++
		}
	}
	a.reservations = kept
	return others
}

// freeFor returns the resources that one entry may use. At a worker of leased
// tasks, each reserved slot also reserves the resources that the last task
// needed, because resources run out before slots. The caller holds mu.
func (a *Agent) freeFor(owner ledger.Owner, now time.Time) wire.Resources {
	if a.leased == nil {
		return a.free
	}
	return nonNegative(a.free.Minus(a.lastNeedsTimes(a.reservedForOthers(owner, now))))
}

// lastNeedsTimes returns n times the resources that the last task needed; the caller
// holds mu.
func (a *Agent) lastNeedsTimes(n int) wire.Resources {
	t := a.lastNeeds
	return wire.Resources{Accelerators: n * t.Accelerators, MemoryMB: int64(n) * t.MemoryMB, MilliCPU: int64(n) * t.MilliCPU}
}

// nonNegative returns r with negative amounts replaced by 0. They occur when a
// worker announces less capacity than its runs use.
func nonNegative(r wire.Resources) wire.Resources {
	return wire.Resources{Accelerators: max(0, r.Accelerators), MemoryMB: max(0, r.MemoryMB), MilliCPU: max(0, r.MilliCPU)}
}

// roomToOffer reports whether a task with the needs of the last one would fit beside
// as many as are left; the caller holds mu.
func (a *Agent) roomToOffer(now time.Time, left int) bool {
	return a.leased == nil || a.lastNeedsTimes(left+1).Fits(a.freeFor(ledger.Owner{}, now))
}

// releaseReservation removes one reservation of the entry, because its task has
// arrived or it declined the offer; the caller holds mu.
func (a *Agent) releaseReservation(owner ledger.Owner) {
	for i, r := range a.reservations {
		if r.owner == owner {
			a.reservations = append(a.reservations[:i], a.reservations[i+1:]...)
			return
		}
	}
}

// handleOfferReply handles the reply to an offer. An entry that declined gets no
// further offer until it announces a backlog again.
func (a *Agent) handleOfferReply(owner ledger.Owner, used bool) {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if used {
		a.metrics.offersUsed.Inc(1)
	} else {
		delete(a.backlogs, owner)
		a.releaseReservation(owner)
		a.loadSequence++
	}
	a.dispatch(now)
	a.offerFreeSlots(ledger.Owner{}, now)
}

// reservationExpired uses a slot whose reservation may have expired: it starts a
// queued task or offers the slot again.
func (a *Agent) reservationExpired() {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch(now)
	a.offerFreeSlots(ledger.Owner{}, now)
}
