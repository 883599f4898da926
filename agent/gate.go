package agent

import (
	"slices"
	"time"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

// mayStart reports whether the gate permits a start now, and otherwise why not;
// the caller holds mu.
func (a *Agent) mayStart(now time.Time) (bool, wire.Reason) {
	return a.gate.MayStart(now, slices.Contains(a.config.InService, a.self.DataCentre))
}

// refusalReason returns why a new task is refused, or "" if it may be queued or
// started; the caller holds mu.
func (a *Agent) refusalReason(t *task, now time.Time) wire.Reason {
	switch {
	case len(a.leaving) > 0:
		return wire.ReasonAgentLeaving
	case !t.task.Needs.Fits(a.self.Capacity):
		return wire.ReasonResourcesDoNotFit
	case !now.Before(t.deadline):
		return wire.ReasonDeadline
	case t.onProbation() && a.hasProbation():
		return wire.ReasonProbation
	}
	ok, reason := a.mayStart(now)
	switch {
	case ok:
	case reason == wire.ReasonConfigUnconfirmed:
		// The task waits for a confirmation in the reply to a heartbeat;
		// checkGate returns it if none arrives.
		a.entries.requestHeartbeats()
	default:
		return reason
	}
	if a.runningTasks+a.reservedForOthers(t.owner, now)+len(a.queue) >= a.self.Slots+a.settings.QueueLimit {
		return wire.ReasonAgentBusy
	}
	if a.leased != nil && !t.task.Needs.Fits(a.freeFor(t.owner, now)) && len(a.queue) >= a.settings.QueueLimit {
		return wire.ReasonAgentBusy // the worker runs out of resources before slots
	}
	return ""
}

// checkGate returns the queued tasks when the gate has been without a recent
// confirmation for one heartbeat interval, so that their entries can place them
// elsewhere; the caller holds mu.
func (a *Agent) checkGate(now time.Time) {
	if ok, reason := a.mayStart(now); ok || reason != wire.ReasonConfigUnconfirmed {
		a.gateClosedSince = time.Time{}
		return
	}
	if a.gateClosedSince.IsZero() {
		a.gateClosedSince = now
		e := a.log.Warn()
		if age := a.gate.Age(now); age != gate.NoAge {
			e = e.Dur("age_ms", age)
		}
		e.Msg("gate_closed")
		a.entries.requestHeartbeats()
	}
	if now.Sub(a.gateClosedSince) >= a.timing.Heartbeat.AsDuration() {
		a.returnQueued(wire.ReasonConfigUnconfirmed)
	}
}

// applyConfig replaces the configuration if c has a higher generation; the
// caller holds mu.
func (a *Agent) applyConfig(c wire.AgentConfig, now time.Time) {
	if c.Generation <= a.config.Generation {
		return
	}
	a.config, a.confirmedAt = c, time.Time{}
	a.log.Info().Uint64("generation", c.Generation).Strs("in_service", c.InService).Msg("configuration_applied")
	if !slices.Contains(c.InService, a.self.DataCentre) {
		a.returnQueued(wire.ReasonOutOfService)
	}
	a.dispatch(now)
}

// applyConfirmation records the confirmation in the reply to a heartbeat that
// was sent at the given time. A reply with another generation than the agent's
// confirms nothing, because the entry has read a different configuration. The
// caller holds mu.
func (a *Agent) applyConfirmation(sent time.Time, r *wire.HeartbeatReply) {
	if at, ok := gate.ConfirmedAt(sent, r.ReadAge); ok && at.After(a.storeReadAt) {
		a.storeReadAt = at
	}
	if at, ok := gate.ConfirmedAt(sent, r.ConfirmAge); ok && r.Generation == a.config.Generation {
		a.gate.Confirm(at)
		a.confirmedAt = a.clock.Now()
	}
}

// returnQueued refuses all queued tasks; the caller holds mu.
func (a *Agent) returnQueued(reason wire.Reason) {
	for _, t := range slices.Clone(a.queue) {
		if a.ledger.Withdraw(t.session, t.key) {
			a.metrics.countRefusal(reason)
			a.complete(t, notRun(reason, ""))
		}
	}
}

// setLeaving adds or removes a reason for leaving. Heartbeats are sent at once
// to tell the entries.
func (a *Agent) setLeaving(reason leaveReason, yes bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setLeavingLocked(reason, yes)
}

// setLeavingLocked does the work of setLeaving; the caller holds mu.
func (a *Agent) setLeavingLocked(reason leaveReason, yes bool) {
	if a.leaving[reason] == yes {
		return
	}
	a.log.Info().Str("reason", string(reason)).Bool("leaving", yes).Msg("leaving_changed")
	if yes {
		a.leaving[reason] = true
		a.returnQueued(wire.ReasonAgentLeaving)
	} else {
		delete(a.leaving, reason)
	}
	a.entries.requestHeartbeats()
}

// setBacklog records how many tasks wait at an entry, how urgent they are and when the
// first is late; the caller holds mu.
func (a *Agent) setBacklog(owner ledger.Owner, b wire.Backlog) {
	if b.Tasks == 0 {
		delete(a.backlogs, owner)
		return
	}
	now := a.clock.Now()
	a.backlogs[owner] = a.backlogs[owner].withTimes(b, now)
	a.noteInterest(owner, now)
}
