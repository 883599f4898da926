package agent

import (
	"context"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

const (
	// milliPerCore is how many units of wire.Resources.MilliCPU make one core.
	milliPerCore = 1000
	// maxRejectionLines limits the log lines a minute about announcements that are
	// rejected.
	maxRejectionLines = 10
)

// Worker is a client for one life of the worker beside the agent, which runs
// leased tasks. Its methods must be safe for concurrent use. An error other than
// lease.ErrWorkerDown and lease.ErrNotSent means that the order may have been carried
// out or may be carried out later. A start or an extension of the lease whose order
// states a birth must reach no process of another birth; Renew then returns the list
// of that process. A call must return when its ctx ends; later calls then use
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
	announced    lease.Announcement // of this life if described returns true, otherwise of another one
	worker       Worker
	runs         *lease.RunTable
	attempts     map[lease.Run]*attempt // waiting for the removal of their runs from the table
	ctx          context.Context        // parent context of all orders to this life
	cancel       context.CancelFunc
	ended        bool   // the worker's process has ended, or none of its runs goes on
	endCause     string // what showed that; empty before
	deregistered bool   // the worker has removed its registration
	heldEnds     heldEnds
	orderTimeout lease.OrderTimeout
	refusedSince time.Time // when the first connection since the newest list was refused; zero otherwise

	// State of the renewal in progress.
	cancelWait    context.CancelFunc // cancels a renewal that waits at the worker; nil if none does
	waitCancelled bool               // cancelWait was called for this renewal
	nextImmediate bool               // the next renewal must not wait at the worker
	wake          chan struct{}      // capacity 1; ends a pause between renewals
}

// described reports whether the announcement describes this life: the worker has
// stated the birth of its process in a list, and the announcement has the same.
// The caller holds mu.
func (w *life) described() bool {
	return w.runs.Listed() && sameLife(w.announced.Life, w.runs.Life())
}

// sameLife reports whether both may be the same life. A birth of 0 is unknown.
func sameLife(x, y lease.Life) bool {
	return x.ID == y.ID && (x.Born == y.Born || x.Born == 0 || y.Born == 0)
}

// WorkerAnnounced applies an announcement of the worker beside the agent. It is in
// effect when WorkerAnnounced returns: after that of a draining worker no leased
// task is ordered there. An announcement of another life than the present one
// proves nothing, because it may have been under way for long; it makes the agent
// ask the worker. Announcements of a life with a sequence that is not above that of
// an earlier one are ignored.
func (a *Agent) WorkerAnnounced(n lease.Announcement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.leased
	if l == nil || !l.announcements.add(n) {
		return
	}
	life := l.life
	switch {
	case life == nil:
		l.begin(l.newLife(n))
	case sameLife(life.runs.Life(), n.Life):
		if life.announced.Address != n.Address {
			life.worker.Close()
			life.worker = a.options.Connect(n)
		}
		life.announced, life.deregistered = n, false
		if !life.runs.Listed() { // asked at once, so that it carries out no late orders to the former life
			life.renewSoon(true)
		}
		l.updateLeaving()
	case life.announced.Life.ID == n.Life.ID && life.announced.Address == n.Address:
		if n.Draining { // no task may be ordered there if this is the present life
			life.runs.Doubt()
			l.updateLeaving()
		}
		life.renewSoon(true)
	case !l.verifying:
		l.verifying = true
		go l.verifyAnnounced(life, n)
	}
}

// AnnouncementRejected counts and logs an announcement under the identifier that names
// no worker to use. It writes at most maxRejectionLines lines a minute.
func (a *Agent) AnnouncementRejected(id string, err error) {
	a.metrics.announcementsRejected.Inc(1)
	a.rejected.Warn().Str("worker", id).Err(err).Msg("announcement_rejected")
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

// newLife returns a life of which nothing is known but an announcement; the caller
// holds mu.
func (l *leasedExecutor) newLife(n lease.Announcement) *life {
	s := l.settings
	l.highestToken++ // orders to earlier lives must not be carried out in this one
	return l.lifeWith(n, lease.NewRunTable(lease.Options{
		ID: n.Life.ID, Token: l.highestToken, Lease: s.Lease.AsDuration(), Validity: s.OrderValidity.AsDuration(), StopTime: s.StopTime.AsDuration(),
		Renew: s.Renew.AsDuration(), StallAfter: s.StallAfter.AsDuration(),
	}))
}

// lifeWith returns a life with a table; the caller holds mu.
func (l *leasedExecutor) lifeWith(n lease.Announcement, runs *lease.RunTable) *life {
	life := &life{
		announced: n, worker: l.agent.options.Connect(n), runs: runs, attempts: map[lease.Run]*attempt{},
		wake: make(chan struct{}, 1), nextImmediate: true, heldEnds: newHeldEnds(),
		orderTimeout: lease.NewOrderTimeout(l.settings.OrderTimeout.AsDuration()),
	}
	life.ctx, life.cancel = context.WithCancel(context.Background())
	return life
}

// begin makes a life the present one; the caller holds mu.
func (l *leasedExecutor) begin(life *life) {
	l.life = life
	n := life.announced
	l.agent.log.Info().Str("worker", n.Life.ID).Int64("announced_born", n.Life.Born).Str("pool", n.Pool).
		Str("address", n.Address).Msg("worker_life_began")
	l.updateLeaving()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// endLife ends a life whose identifier the worker does not use any more, so that
// no order to it can be carried out later, and begins the life that was announced
// as next; nil means the one that was announced last, if there is one, otherwise
// the next announcement begins it. The announcements of the ended life are
// forgotten: with two such lives kept, the agent would ask both in turns, without a
// pause, until the life that answers has announced itself. The caller holds mu.
func (l *leasedExecutor) endLife(life *life, cause string, next *lease.Announcement) {
	if life.ended {
		return
	}
	lost := life.runs.LifeEnded(!life.leaves())
	l.retire(life, cause, lost)
	l.announcements.forget(life.announced.Life.ID)
	if next == nil {
		next = l.announcements.latest()
	}
	if next != nil {
		l.begin(l.newLife(*next))
		return
	}
	l.life = nil
	l.updateLeaving()
}

// endAnsweredByAnother ends a life when the worker answered that it has another
// identifier. Announcements of that one may have come before. The caller holds mu.
func (l *leasedExecutor) endAnsweredByAnother(life *life) {
	l.endLife(life, "another_life_answered", nil)
}

// replaceLife ends a life after which the worker may start again, or has, under
// the same identifier, and begins the next one, of which n is known. Runs whose start
// orders the next life may carry out wait for its first list. The caller holds mu.
func (l *leasedExecutor) replaceLife(life *life, cause string, n lease.Announcement) {
	if life.ended {
		return
	}
	l.highestToken = max(l.highestToken, life.runs.Token()) + 1
	runs, lost := life.runs.LifeReplaced(!life.leaves(), l.highestToken)
	next := l.lifeWith(n, runs)
	l.retire(life, cause, lost)
	for run, at := range life.attempts {
		at.life, next.attempts[run] = next, at
	}
	l.reportSuspects(next)
	l.begin(next)
}

// retire ends the orders to a life and reports the runs that were lost with it;
// the caller holds mu.
func (l *leasedExecutor) retire(life *life, cause string, lost []lease.RemovedRun) {
	life.ended, life.endCause = true, cause
	l.recordLifeEnd(life, cause, lost)
	for _, r := range lost {
		if r.Crash == wire.CrashSuspect || r.Crash == wire.CrashUnconfirmed {
			l.addSuspect(life, lease.Suspect{Run: r.Run, Crash: r.Crash, Born: life.runs.Life().Born})
		}
	}
	l.notifyRemoved(life, lost)
	life.cancel()
	life.worker.Close()
	l.highestToken = max(l.highestToken, life.runs.Token())
}

// leaves reports whether the worker has announced the end of its life, which is
// then no crash. The caller holds mu.
func (w *life) leaves() bool { return w.announced.Draining || w.deregistered }

// recordLifeEnd logs and counts the end of a life and the runs that were lost
// with it; the caller holds mu.
func (l *leasedExecutor) recordLifeEnd(life *life, cause string, lost []lease.RemovedRun) {
	ended, carriedOver := life.runs.Life(), len(life.attempts)-len(lost)
	now := time.Now()
	latest, clock := life.runs.LeaseEnd(now)
	e := l.agent.log.Warn().Str("worker", ended.ID).Int64("born", ended.Born).Str("cause", cause).Bool("planned", life.leaves()).
		Int("runs", len(lost)).Int("carried_over", carriedOver).Int64("lease_end_ms", latest.Milliseconds()).Int64("clock_past_ms", clock.Milliseconds())
	if !life.refusedSince.IsZero() {
		e = e.Dur("refused_for_ms", now.Sub(life.refusedSince))
	}
	e.Msg("worker_life_ended")
	l.agent.metrics.runsCarriedOver.Inc(int64(max(0, carriedOver)))
	for _, r := range lost {
		e := l.agent.log.Info().Str("caller_job", r.Run.Task.Job).Int("task", r.Run.Task.Index).Dur("survived_ms", r.Survived).
			Bool("suspect", r.Crash != wire.CrashNone && r.Crash != wire.CrashBystander)
		if at := life.attempts[r.Run]; at != nil {
			e = e.Str("job", at.job)
		}
		e.Msg("run_lost")
	}
	l.agent.metrics.runsLost.Inc(int64(len(lost)))
	if life.runs.Listed() && !life.leaves() {
		l.agent.metrics.workersCrashed.Inc(1)
	}
}

// describe looks for an announcement of the life that has answered, unless the one
// that is in force is of that life. firstList is set for the first answer. The
// caller holds mu.
func (l *leasedExecutor) describe(life *life, firstList bool) {
	answered := life.runs.Life()
	if n, ok := l.announcements.of(answered); ok && !life.described() {
		life.announced, life.deregistered = n, false
	}
	if firstList {
		l.agent.log.Info().Str("worker", answered.ID).Int64("born", answered.Born).Bool("described", life.described()).Msg("worker_answered")
	}
}

// updateLeaving makes the agent leave unless its worker is registered, adopted,
// neither silent nor draining, and not held by an unanswered stop, see
// lease.RunTable.HoldsStarts. A worker is adopted once its replies have shown that
// it runs nothing but what is in the table, see lease.RunTable.Adopted, and an
// announcement describes it. The caller holds mu.
func (l *leasedExecutor) updateLeaving() {
	life := l.life
	now := time.Now()
	ready := life != nil && !life.deregistered && life.described() && life.runs.Adopted() && !life.runs.Silent(now) && !life.runs.HoldsStarts(now)
	if ready {
		l.applyDescription(life.announced)
	}
	l.agent.setLeavingLocked(leaveDraining, life != nil && life.announced.Draining)
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
