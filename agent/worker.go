package agent

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/lease"
)

// milliPerCore is the unit of wire.Resources.MilliCPU.
const milliPerCore = 1000

// Worker is one life of the machine beside the agent, which runs leased tasks.
// The calls are safe for concurrent use. An error other than lease.ErrDown
// means that the order may have been carried out or may be carried out later.
// A call ends with its ctx, and later calls use another connection then.
type Worker interface {
	Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error)
	Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error)
	Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error)
	// Close ends the connections to this life. It may be called more than
	// once, and does not wait.
	Close()
}

// life is one life of the worker, as the agent serves it. The agent's lock
// covers it.
type life struct {
	announced    lease.Announcement
	worker       Worker
	runs         *lease.RunTable
	attempts     map[lease.Run]*attempt // for the end of each run
	ctx          context.Context        // of its orders
	cancel       context.CancelFunc
	ended        bool // it has ended
	deregistered bool // the registry says that the worker left
	heldEnds     heldEnds

	// Of the renewal that is out.
	cancelWait    context.CancelFunc // ends its wait; nil while it does not wait
	waitCancelled bool               // its wait was ended
	nextImmediate bool               // the next renewal does not wait
	wake          chan struct{}      // capacity 1; ends the pause after a failure
}

// WorkerAnnounced takes over what the worker beside the agent says of itself.
// It returns when the agent acts on it: after the announcement of a draining
// worker no leased task is ordered here. Announcements of an older life, or with
// an older sequence of the same life, are ignored.
func (a *Agent) WorkerAnnounced(n lease.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.leased
	if l == nil || l.outdated(n) {
		return
	}
	l.lastAnnouncement, l.hasAnnouncement = n, true
	if l.life == nil || l.life.announced.Life != n.Life {
		l.replaceLife(n)
	} else if l.life.announced.Address != n.Address {
		l.life.worker.Close()
		l.life.worker = a.options.Connect(n)
	}
	l.life.announced, l.life.deregistered = n, false
	a.setLeavingLocked(leaveDraining, n.Draining)
	l.updateLeaving()
}

// WorkerLeft handles the announced end of a worker. It is no proof that the
// worker's process has ended, so the runs stay until there is one.
func (a *Agent) WorkerLeft(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.leased
	if l == nil || l.life == nil || l.life.announced.Life.ID != id {
		return
	}
	a.log.Info().Str("worker", id).Msg("worker_left")
	l.life.deregistered = true
	l.life.renewSoon(true)
	l.updateLeaving()
}

// outdated reports whether a newer announcement was taken over; the caller
// holds mu.
func (l *leasedExecutor) outdated(n lease.Announcement) bool {
	if !l.hasAnnouncement || n.Life.Born > l.lastAnnouncement.Life.Born {
		return false
	}
	return n.Life.Born < l.lastAnnouncement.Life.Born || n.Life == l.lastAnnouncement.Life && n.Sequence <= l.lastAnnouncement.Sequence
}

// replaceLife ends the present life and begins that of the announcement; the
// caller holds mu.
func (l *leasedExecutor) replaceLife(n lease.Announcement) {
	if l.life != nil {
		l.endLife(l.life, "another_life_announced")
	}
	s := l.settings
	l.highestToken++ // orders of the life before are not to be carried out in this one
	l.life = &life{
		announced: n, worker: l.agent.options.Connect(n), attempts: map[lease.Run]*attempt{},
		wake: make(chan struct{}, 1), nextImmediate: true, heldEnds: newHeldEnds(),
		runs: lease.NewRunTable(lease.Options{
			Life: n.Life, Token: l.highestToken, Lease: s.Lease.AsDuration(), Validity: s.OrderValidity.AsDuration(), StopTime: s.StopTime.AsDuration(),
			Renew: s.Renew.AsDuration(), StallAfter: s.StallAfter.AsDuration(),
		}),
	}
	l.life.ctx, l.life.cancel = context.WithCancel(context.Background())
	l.agent.log.Info().Str("worker", n.Life.ID).Int64("born", n.Life.Born).Str("pool", n.Pool).
		Str("address", n.Address).Msg("worker_announced")
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// endLife takes out all runs of a life that has ended; the caller holds mu.
func (l *leasedExecutor) endLife(f *life, cause string) {
	if f.ended {
		return
	}
	f.ended = true
	l.notifyRemoved(f, f.runs.LifeEnded())
	f.cancel()
	f.worker.Close()
	l.highestToken = max(l.highestToken, f.runs.Token())
	if l.life == f {
		l.life = nil
	}
	l.agent.log.Warn().Str("worker", f.announced.Life.ID).Int64("born", f.announced.Life.Born).
		Str("cause", cause).Msg("worker_life_ended")
	l.updateLeaving()
}

// updateLeaving makes the agent leave or return as its worker's state demands; the
// caller holds mu.
func (l *leasedExecutor) updateLeaving() {
	f := l.life
	ready := f != nil && !f.deregistered && f.runs.Adopted() && !f.runs.Silent(time.Now())
	if ready {
		l.applyDescription(f.announced)
	}
	l.agent.setLeavingLocked(leaveNotAdopted, !ready)
}

// applyDescription takes the worker's description into the agent's own; entries get it
// with the next heartbeat. The caller holds mu.
func (l *leasedExecutor) applyDescription(n lease.Announcement) {
	a := l.agent
	before, self := a.self, &a.self // written by field, because others are read without the lock
	self.Pool, self.Rack, self.Upstream, self.Capacity = n.Pool, n.Rack, n.Address, n.Capacity
	self.Slots = int(n.Capacity.MilliCPU / milliPerCore)
	if n.Life.ID != "" {
		self.Worker = n.Life.ID
	}
	if *self == before {
		return
	}
	a.free = a.free.Plus(self.Capacity.Minus(before.Capacity))
	a.loadSequence++
	a.log.Info().Str("worker", self.Worker).Str("pool", self.Pool).Int64("milli_cpu", self.Capacity.MilliCPU).
		Int64("memory_mb", self.Capacity.MemoryMB).Msg("worker_adopted")
	a.entries.requestHeartbeats()
	a.dispatch(time.Now())
}

// idle reports whether the life has nothing to do but to wait for a start: no
// run is there and no end has to be acknowledged. The caller holds mu.
func (f *life) idle() bool { return f.runs.Empty() && f.runs.Adopted() && f.runs.HeldEndCount() == 0 }

// renewSoon ends the wait of the renewal that is out, so that the next is sent at
// once; an immediate one does not wait itself. The caller holds mu.
func (f *life) renewSoon(immediate bool) {
	f.nextImmediate = f.nextImmediate || immediate
	if f.cancelWait != nil {
		f.waitCancelled = true
		f.cancelWait()
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
