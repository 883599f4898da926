package agent

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// milliPerCore is how many units of wire.Resources.MilliCPU make one core.
const milliPerCore = 1000

// Worker is a client for one life of the worker beside the agent, which runs
// leased tasks. Its methods must be safe for concurrent use. An error other than
// lease.ErrWorkerDown means that the order may have been carried out or may be
// carried out later. A call must return when its ctx ends; later calls then use
// another connection.
type Worker interface {
	Start(ctx context.Context, o lease.StartOrder) (lease.Answer, error)
	Stop(ctx context.Context, o lease.StopOrder) (lease.Answer, error)
	Renew(ctx context.Context, o lease.RenewOrder) (lease.RenewReply, error)
	// Close closes the connections to this life. It may be called more than
	// once and must not block.
	Close()
}

// life is the agent's state for one life of the worker: the time from one
// start of the worker's process to the end of that process. Agent.mu guards the
// fields.
type life struct {
	announced    lease.Announcement
	worker       Worker
	runs         *lease.RunTable
	attempts     map[lease.Run]*attempt // waiting for the removal of their runs from the table
	ctx          context.Context        // parent context of all orders to this life
	cancel       context.CancelFunc
	ended        bool // the worker's process has ended
	deregistered bool // the worker has removed its registration
	heldEnds     heldEnds

	// State of the renewal in progress.
	cancelWait    context.CancelFunc // cancels a renewal that waits at the worker; nil if none does
	waitCancelled bool               // cancelWait was called for this renewal
	nextImmediate bool               // the next renewal must not wait at the worker
	wake          chan struct{}      // capacity 1; ends a pause between renewals
}

// WorkerAnnounced applies an announcement of the worker beside the agent. The
// announcement is in effect when it returns: after that of a draining worker no
// leased task is ordered. Announcements of an older life, or of the same life
// with a lower or equal sequence, are ignored.
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

// WorkerLeft handles the removal of the worker's registration. That does not
// prove that the worker's process has ended, so its runs stay in the table until
// their end is proved.
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

// outdated reports whether the same or a newer announcement was applied before;
// the caller holds mu.
func (l *leasedExecutor) outdated(n lease.Announcement) bool {
	if !l.hasAnnouncement || n.Life.Born > l.lastAnnouncement.Life.Born {
		return false
	}
	return n.Life.Born < l.lastAnnouncement.Life.Born || n.Life == l.lastAnnouncement.Life && n.Sequence <= l.lastAnnouncement.Sequence
}

// replaceLife ends the present life, if any, and starts the life of the
// announcement; the caller holds mu.
func (l *leasedExecutor) replaceLife(n lease.Announcement) {
	if l.life != nil {
		l.endLife(l.life, "another_life_announced")
	}
	s := l.settings
	l.highestToken++ // orders to the earlier life must not be carried out in this one
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

// endLife removes all runs of a life that has ended and closes its connections;
// the caller holds mu.
func (l *leasedExecutor) endLife(life *life, cause string) {
	if life.ended {
		return
	}
	life.ended = true
	lost := life.runs.LifeEnded(!life.leaves())
	l.recordLifeEnd(life, cause, lost)
	l.notifyRemoved(life, lost)
	life.cancel()
	life.worker.Close()
	l.highestToken = max(l.highestToken, life.runs.Token())
	if l.life == life {
		l.life = nil
	}
	l.updateLeaving()
}

// leaves reports whether the worker has announced the end of its life, which is
// then no crash. The caller holds mu.
func (w *life) leaves() bool { return w.announced.Draining || w.deregistered }

// recordLifeEnd logs and counts the end of a life and the runs that were lost
// with it; the caller holds mu.
func (l *leasedExecutor) recordLifeEnd(life *life, cause string, lost []lease.RemovedRun) {
	l.agent.log.Warn().Str("worker", life.announced.Life.ID).Int64("born", life.announced.Life.Born).
		Str("cause", cause).Bool("planned", life.leaves()).Int("runs", len(lost)).Msg("worker_life_ended")
	for _, r := range lost {
		e := l.agent.log.Info().Str("caller_job", r.Run.Task.Job).Int("task", r.Run.Task.Index).Dur("survived_ms", r.Survived).
			Bool("suspect", r.Crash != wire.CrashNone && r.Crash != wire.CrashBystander)
		if at := life.attempts[r.Run]; at != nil {
			e = e.Str("job", at.job)
		}
		e.Msg("run_lost")
	}
	l.agent.metrics.runsLost.Inc(int64(len(lost)))
	if !life.leaves() {
		l.agent.metrics.workersCrashed.Inc(1)
	}
}

// updateLeaving makes the agent leave unless its worker is registered, adopted
// and not silent. A worker is adopted once its replies have shown that it runs
// nothing but what is in the table; see lease.RunTable.Adopted. The caller holds
// mu.
func (l *leasedExecutor) updateLeaving() {
	life := l.life
	ready := life != nil && !life.deregistered && life.runs.Adopted() && !life.runs.Silent(time.Now())
	if ready {
		l.applyDescription(life.announced)
	}
	l.agent.setLeavingLocked(leaveNotAdopted, !ready)
}

// applyDescription copies the worker's pool, rack, address, capacity and
// identifier into the agent's reference, which entries get with the next
// heartbeat. The caller holds mu.
func (l *leasedExecutor) applyDescription(n lease.Announcement) {
	a := l.agent
	before, self := a.self, &a.self // set field by field, because the fields that never change are read without mu
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
	a.dispatch(a.clock.Now())
}

// idle reports whether the worker is adopted, runs nothing, and has no ends that
// have to be acknowledged. The caller holds mu.
func (w *life) idle() bool { return w.runs.Empty() && w.runs.Adopted() && w.runs.HeldEndCount() == 0 }

// renewSoon cancels the waiting renewal, so that the next one is sent at once.
// With immediate set, that one does not wait at the worker. The caller holds mu.
func (w *life) renewSoon(immediate bool) {
	w.nextImmediate = w.nextImmediate || immediate
	if w.cancelWait != nil {
		w.waitCancelled = true
		w.cancelWait()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
