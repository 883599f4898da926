package agent

import (
	"time"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// reserveFor is how long a slot is kept for an entry that was offered it. It
// covers a round trip between data centres many times over; a lost offer costs
// the slot that long.
const reserveFor = 50 * time.Millisecond

// reservation keeps one free slot for the entry that was offered it.
type reservation struct {
	owner ledger.Owner
	until time.Time
}

// offer gives free slots to entries that announced backlog: to the most urgent
// one, among equals to the one that has the fewest tasks here. If that is the
// entry whose task just ended, its reply shows the free slot and no message is
// needed. The caller holds mu.
func (a *Agent) offer(user ledger.Owner, now time.Time) {
	if len(a.queue) > 0 || len(a.leaving) > 0 || len(a.backlogs) == 0 {
		return
	}
	if ok, _ := a.may(now); !ok {
		return
	}
	for a.busy+a.reservedForOthers(ledger.Owner{}, now) < a.self.Slots && a.roomToOffer(now) {
		best, ok := a.mostUrgent()
		if !ok || best == user && a.backlogs[best].Tasks > 0 {
			return
		}
		a.reserved = append(a.reserved, reservation{best, now.Add(reserveFor)})
		a.sequence++
		req := wire.OfferRequest{Agent: a.self.ID, Incarnation: a.self.Incarnation, Load: a.loadFor(best)}
		if !a.entries.offer(best, req) {
			a.release(best)
			return
		}
		time.AfterFunc(reserveFor, a.reservationEnded)
	}
}

// mostUrgent returns the entry to offer a slot to; the caller holds mu.
func (a *Agent) mostUrgent() (best ledger.Owner, found bool) {
	held := map[ledger.Owner]int{}
	for _, t := range a.tasks {
		held[t.owner]++
	}
	for _, r := range a.reserved {
		held[r.owner]++
	}
	for owner, b := range a.backlogs {
		c := a.backlogs[best]
		switch {
		case !found, b.Urgency < c.Urgency:
		case b.Urgency > c.Urgency, held[owner] > held[best]:
			continue
		case held[owner] == held[best] && owner.Entry >= best.Entry:
			continue
		}
		best, found = owner, true
	}
	return best, found
}

// reservedForOthers counts the slots kept for other entries; the caller holds
// mu.
func (a *Agent) reservedForOthers(owner ledger.Owner, now time.Time) int {
	kept, others := a.reserved[:0], 0
	for _, r := range a.reserved {
		if !now.Before(r.until) {
			continue
		}
		kept = append(kept, r)
		if r.owner != owner {
			others++
		}
	}
	a.reserved = kept
	return others
}

// freeFor returns the resources that one entry may use. A slot of a worker of
// leased tasks is reserved with what the last task needed, because resources
// run out before slots. The caller holds mu.
func (a *Agent) freeFor(owner ledger.Owner, now time.Time) wire.Resources {
	if a.leased == nil {
		return a.free
	}
	n := a.reservedForOthers(owner, now)
	t := a.typical
	reserved := wire.Resources{Accelerators: n * t.Accelerators, MemoryMB: int64(n) * t.MemoryMB, MilliCPU: int64(n) * t.MilliCPU}
	return notNegative(a.free.Minus(reserved))
}

// notNegative is what r has to give. A worker that announces less capacity than
// its runs use has none.
func notNegative(r wire.Resources) wire.Resources {
	return wire.Resources{Accelerators: max(0, r.Accelerators), MemoryMB: max(0, r.MemoryMB), MilliCPU: max(0, r.MilliCPU)}
}

// roomToOffer reports whether a task like the last one would fit; the caller
// holds mu.
func (a *Agent) roomToOffer(now time.Time) bool {
	return a.leased == nil || a.typical.Fits(a.freeFor(ledger.Owner{}, now))
}

// release ends one reservation of the entry, because its task arrived or it
// had no use for the slot; the caller holds mu.
func (a *Agent) release(owner ledger.Owner) {
	for i, r := range a.reserved {
		if r.owner == owner {
			a.reserved = append(a.reserved[:i], a.reserved[i+1:]...)
			return
		}
	}
}

// offered handles the answer to an offer. An entry that had no use for it is
// offered nothing until it announces backlog again.
func (a *Agent) offered(owner ledger.Owner, used bool) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if used {
		a.metrics.offersUsed.Inc(1)
	} else {
		delete(a.backlogs, owner)
		a.release(owner)
		a.sequence++
	}
	a.dispatch(now)
	a.offer(ledger.Owner{}, now)
}

// reservationEnded puts a slot to use whose offer was not taken up in time.
func (a *Agent) reservationEnded() {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dispatch(now)
	a.offer(ledger.Owner{}, now)
}
