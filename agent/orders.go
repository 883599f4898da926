package agent

import (
	"context"
	"errors"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
)

const (
	// idleRenewWait is how long a renewal waits at the worker while nothing
	// runs, so that an idle worker costs half a renewal a second.
	idleRenewWait = 2 * time.Second
	// lateEndPercent is the share of its expected duration within which a run should
	// end. The objective of the users' shortest jobs leaves 160 % and 60 ms, in which an
	// unanswered renewal has to be noticed as well.
	lateEndPercent = 160
	// minRenewWait bounds the rate of renewals that are answered without an end.
	minRenewWait = 40 * time.Millisecond
	// minStopPause is the first pause between two stop orders for one run; it
	// doubles up to the order timeout of the settings.
	minStopPause = 5 * time.Millisecond
	// maxSilentRetryDelay bounds the pause between renewals that fail while the
	// table is empty.
	maxSilentRetryDelay = time.Second
	// downRetryDelay is the pause between looks at a worker that refuses connections,
	// for lease.MaxOrderDelay. The next life carries out late orders to the former one
	// until the first look at it, whose token is higher.
	downRetryDelay = 20 * time.Millisecond
)

// sendStart sends the start order of an attempt once, unless its task was
// cancelled before, and applies the answer. The run may meanwhile have been carried
// over to the worker's next life.
func (l *leasedExecutor) sendStart(at *attempt) {
	life, o := l.startNeeded(at), at.order
	if life == nil {
		return
	}
	worker, timeout := l.workerOf(life)
	sent := time.Now()
	// The end of the life does not end the order: a refused connection still proves
	// that it was not carried out.
	ctx, cancel := context.WithTimeout(at.processCtx, timeout)
	defer cancel()
	answer, err := worker.Start(ctx, o)
	now := time.Now()
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	life.recordAnswer(now, sent, timeout, err)
	holder := at.life
	switch {
	case errors.Is(err, lease.ErrWorkerDown):
		// The order reached no process, so its run has no part in the worker's end.
		l.notifyRemoved(holder, holder.runs.StartUnsent(o.Run))
		l.connectionRefused(life)
		life.renewSoon(true)
	case errors.Is(err, lease.ErrNotSent):
		l.notifyRemoved(holder, holder.runs.StartUnsent(o.Run))
		life.renewSoon(true) // another life may have answered
	case err != nil:
		l.agent.metrics.ordersUnanswered.Inc(1)
		holder.runs.StartUnanswered(o.Run)
		l.reportSuspects(holder)
		life.renewSoon(true)
	default:
		holder.runs.CountSuspension(l.agent.clock.Suspended())
		l.notifyRemoved(holder, holder.runs.StartAnswered(now, o, answer))
		l.reportSuspects(holder)
		if answer.Refusal == lease.RefusedOtherLife {
			l.endAnsweredByAnother(life)
		} else if life.runs.Doubted() {
			life.renewSoon(true)
			l.updateLeaving()
		}
	}
}

// startNeeded returns the life to which the start order still has to be sent. If
// there is none, it removes the run from the table and returns nil.
func (l *leasedExecutor) startNeeded(at *attempt) *life {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	life, run := at.life, at.order.Run
	if life.ended {
		return nil
	}
	if !life.runs.StartPending(run) {
		l.notifyRemoved(life, life.runs.StartUnsent(run))
		return nil
	}
	return life
}

// connectionRefused handles a refused connection to the worker. That alone does not
// prove that its process has ended; see lease.RunTable.Over. The caller holds mu.
func (l *leasedExecutor) connectionRefused(life *life) {
	if life.ended {
		return
	}
	if life.refusedSince.IsZero() {
		life.refusedSince = time.Now()
	}
	life.runs.ConnectionRefused()
	l.checkExpiry(life, time.Now())
	l.updateLeaving()
}

// checkExpiry ends the life if connections were refused until the worker's lease has
// certainly expired, and otherwise removes the runs that have ended with it. A crash
// that is only probable is reported at once: if it was one, its suspects must crash no
// other worker meanwhile. The caller holds mu.
func (l *leasedExecutor) checkExpiry(life *life, now time.Time) {
	if life.runs.Over(now) {
		l.replaceLife(life, "connection_refused", life.announced)
		return
	}
	if life.runs.ProbablyOver(!life.leaves()) {
		l.reportSuspects(life)
	}
	l.expireLease(life, now)
}

// workerOf returns the client for the life's present address, and how long to wait
// for the answer to an order.
func (l *leasedExecutor) workerOf(life *life) (Worker, time.Duration) {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	return life.worker, life.orderTimeout.Value()
}

// recordAnswer records the answer to an order, that it was given up after the
// timeout, or that its connection broke; the caller holds mu.
func (w *life) recordAnswer(now, sent time.Time, timeout time.Duration, err error) {
	switch {
	case errors.Is(err, lease.ErrConnectionBroken):
		w.runs.ConnectionBroke()
	case err == nil:
		w.orderTimeout.Answered(now.Sub(sent))
	case now.Sub(sent) >= timeout:
		w.orderTimeout.Unanswered(now, sent)
	}
}

// stopRun sends stop orders for a run, with backoff, until one is answered or the
// run no longer has to be stopped.
func (l *leasedExecutor) stopRun(life *life, run lease.Run) {
	maxPause := l.settings.OrderTimeout.AsDuration()
	for pause := minStopPause; ; pause = min(2*pause, maxPause) {
		l.agent.mu.Lock()
		o, needed := life.runs.PendingStop(run)
		needed = needed && !life.ended
		l.agent.mu.Unlock()
		if !needed || l.sendStop(life, o) || !wait.For(life.ctx, pause, nil) {
			return
		}
	}
}

// sendStop sends one stop order and reports whether no other is needed.
func (l *leasedExecutor) sendStop(life *life, o lease.StopOrder) bool {
	worker, timeout := l.workerOf(life)
	sent := time.Now()
	ctx, cancel := context.WithTimeout(life.ctx, timeout)
	defer cancel()
	answer, err := worker.Stop(ctx, o)
	now := time.Now()
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	life.recordAnswer(now, sent, timeout, err)
	life.runs.CountSuspension(l.agent.clock.Suspended())
	switch {
	case life.ended:
	case errors.Is(err, lease.ErrWorkerDown):
		l.connectionRefused(life)
		life.renewSoon(true)
		return false
	case err != nil:
		l.agent.metrics.ordersUnanswered.Inc(1)
		l.updateLeaving()
		return false
	case answer.Refusal == lease.RefusedOtherLife:
		l.endAnsweredByAnother(life)
	case !life.runs.StopAnswered(now, o, answer):
		return false
	default:
		l.updateLeaving()
		if !life.runs.Began(o.Run) {
			life.renewSoon(true) // the reply to a renewal has to prove that the start was not and will not be carried out
		}
	}
	return true
}

// run serves the lives of the worker, one after the other, until ctx ends.
func (l *leasedExecutor) run(ctx context.Context) {
	for {
		l.agent.mu.Lock()
		life := l.life
		l.agent.mu.Unlock()
		if life != nil {
			l.serveLife(ctx, life)
		}
		select {
		case <-ctx.Done():
			l.disconnect()
			return
		case <-l.wake:
		}
	}
}

// disconnect closes the connections to the present life, if any.
func (l *leasedExecutor) disconnect() {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	if l.life != nil {
		l.life.worker.Close()
	}
}

// serveLife sends renewals to one life until it has ended or ctx ends.
func (l *leasedExecutor) serveLife(ctx context.Context, life *life) {
	stop := context.AfterFunc(ctx, life.cancel)
	defer stop()
	for failures := 0; life.ctx.Err() == nil; {
		began := time.Now()
		if l.renew(life, failures > 0) {
			failures = 0
			if !l.paceRenewals(life, began) {
				return
			}
			continue
		}
		failures++
		// The first retry is sent at once, because the lease is running out.
		if failures > 1 && !wait.For(life.ctx, l.retryDelay(life, failures), life.wake) {
			return
		}
	}
}

// retryDelay returns the pause before the next renewal after the given number of
// consecutive failures.
func (l *leasedExecutor) retryDelay(life *life, failures int) time.Duration {
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	pause := life.orderTimeout.Value() / 4
	if !life.refusedSince.IsZero() && time.Since(life.refusedSince) < lease.MaxOrderDelay {
		return min(pause, downRetryDelay)
	}
	if life.runs.Empty() {
		return min(maxSilentRetryDelay, pause<<min(failures, 10))
	}
	return pause
}

// renew sends one renewal and applies the reply. It reports whether the next one
// may be sent without a pause.
func (l *leasedExecutor) renew(life *life, retry bool) bool {
	ctx, cancel := context.WithCancel(life.ctx)
	defer cancel()
	l.agent.mu.Lock()
	// Sessions that expired during a pause of this process are handled first,
	// because the renewal would otherwise extend the lease of their runs.
	l.agent.expireSessions(l.agent.clock.Now())
	life.runs.CountSuspension(l.agent.clock.Suspended())
	n := life.runs.Renew(time.Now(), l.renewWait(life, retry))
	life.nextImmediate, life.waitCancelled = false, false
	select {
	case <-life.wake: // this renewal serves the request
	default:
	}
	if n.Wait > 0 {
		life.cancelWait = cancel
	}
	worker, timeout := life.worker, life.orderTimeout.Value()
	l.agent.mu.Unlock()
	sent := time.Now().Add(n.Wait) // the worker may have answered before
	ctx, end := context.WithTimeout(ctx, n.Wait+timeout)
	defer end()
	reply, err := worker.Renew(ctx, n.RenewOrder)
	now := time.Now()
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	life.cancelWait = nil
	if n.Wait == 0 || err != nil || now.After(sent) {
		life.recordAnswer(now, sent, timeout, err)
	}
	switch {
	case life.ended:
		return false
	case errors.Is(err, lease.ErrWorkerDown):
		l.connectionRefused(life)
		return false
	case err != nil:
		l.checkExpiry(life, now)
		l.updateLeaving()
		return life.waitCancelled
	case reply.Refusal == lease.RefusedOtherLife:
		l.endAnsweredByAnother(life)
		return false
	case life.runs.OtherLife(reply):
		l.replaceLife(life, "another_life_answered", life.announced)
		return false
	}
	l.applyRenewReply(life, now, n, reply)
	return reply.Refusal == "" || reply.Refusal == lease.RefusedTokenTooLow
}

// renewWait returns how long the next renewal may wait at the worker; the caller
// holds mu.
func (l *leasedExecutor) renewWait(life *life, retry bool) time.Duration {
	switch {
	case retry || life.nextImmediate || life.runs.Silent(time.Now()):
		return 0
	case life.idle():
		return idleRenewWait
	case life.orderTimeout.Lossy():
		// While nothing is answered the agent sees no ends, so a lost renewal
		// must be found soon.
		return min(l.settings.Renew.AsDuration(), 2*life.orderTimeout.Value())
	}
	return l.waitForEnd(l.settings.Renew.AsDuration())
}

// waitForEnd returns limit, or less if a short run should have ended before. The worker
// answers a renewal at the end of a run, so one that it has not answered then is
// probably lost, and the agent sees no end before the next one. A run that takes longer
// costs at most one renewal more. The caller holds mu.
func (l *leasedExecutor) waitForEnd(limit time.Duration) time.Duration {
	now, wait := l.agent.clock.Now(), limit
	for _, t := range l.agent.tasks {
		expected := t.task.Expected * lateEndPercent / 100
		if t.startedAt.IsZero() || expected <= 0 || expected > limit {
			continue
		}
		if left := t.startedAt.Add(expected).Sub(now); left > 0 {
			wait = min(wait, max(left, minRenewWait))
		}
	}
	return wait
}

// applyRenewReply applies the reply to a renewal, which lists the active and the
// ended runs; the caller holds mu.
func (l *leasedExecutor) applyRenewReply(life *life, now time.Time, n lease.Renewal, reply lease.RenewReply) {
	listed := life.runs.Listed()
	life.refusedSince = time.Time{}
	removed, stop := life.runs.RenewalAnswered(now, n, reply)
	if reply.Refusal == "" {
		l.refuteCrashes(lease.Life{ID: life.runs.Life().ID, Born: reply.Born}, n.SentAt())
	}
	l.describe(life, !listed && life.runs.Listed())
	l.notifyRemoved(life, removed)
	l.expireLease(life, now)
	for _, run := range stop {
		l.recordUnknownRun(life, run)
		go l.stopRun(life, run)
	}
	l.reportStalled(life)
	l.updateLeaving()
}

// recordUnknownRun logs and counts a listed run that is not in the table. Either
// another agent process ordered it, or this one removed it on a proof that was wrong;
// removed_as then is the outcome with which it was removed. The caller holds mu.
func (l *leasedExecutor) recordUnknownRun(life *life, run lease.Run) {
	if known, ok := life.runs.RunOf(run.Task); ok && known == run {
		return
	}
	removedAs, _ := life.runs.RemovedAs(run)
	l.agent.metrics.runsUnknown.Inc(1)
	l.agent.log.Warn().Str("worker", life.runs.Life().ID).Str("caller_job", run.Task.Job).Int("task", run.Task.Index).
		Uint64("run", run.Number).Str("removed_as", string(removedAs)).Msg("unknown_run_stopped")
}
