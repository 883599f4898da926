package leasemodel

// reachable reports whether a call from entry e to agent a is answered.
func reachable(s *state, e, a int) bool {
	return s.entries[e].active() && s.agents[a].active() && !s.callsDown[e][a]
}

// entrySteps emits the steps that entry e can take now.
func (m *machine) entrySteps(e int) {
	en := &m.from.entries[e]
	if !en.active() {
		return
	}
	if en.disconnectAge > 0 {
		m.step("entry %d handles the end of the caller's connection", func(s *state) { m.handleDisconnect(&s.entries[e]) }, e)
	}
	if en.task == reconciling && en.reconcileLeft == 0 {
		m.step("entry %d counts the run at agent %d as interrupted after the reconcile time", func(s *state) {
			s.entries[e].requeue()
		}, e, int(en.agent))
	}
	for a := range agents {
		m.sessionSteps(e, a)
		m.sendSteps(e, a)
	}
}

// requeue makes the task startable again, at any agent.
func (e *entry) requeue() { e.task, e.agent, e.token, e.reconcileLeft = queued, 0, 0, 0 }

// handleDisconnect ends the caller's job and cancels its task, by the rule
// CancelOnLeave.
func (m *machine) handleDisconnect(e *entry) {
	e.disconnectAge, e.endArrived = 0, false
	if !m.enforces(CancelOnLeave) {
		return
	}
	if e.task == sent || e.task == reconciling {
		e.sessions[e.agent].cancel, e.sessions[e.agent].cancelAge = e.sequence, 0
	}
	e.requeue()
	e.task, e.job = noTask, false
}

// sessionSteps emits the steps of entry e in its session with agent a: doubt,
// reopening, cancellation and, right after a pause, the answer to a heartbeat
// that waited in the entry's socket.
func (m *machine) sessionSteps(e, a int) {
	s := m.from
	if !s.involved(e, a) {
		return
	}
	en, session := &s.entries[e], &s.entries[e].sessions[a]
	if session.open && m.mayBeInDoubt(e, a) {
		m.step("entry %d doubts its session with agent %d", func(s *state) { m.markInDoubt(&s.entries[e], a) }, e, a)
	}
	if !session.open && reachable(s, e, a) {
		m.step("entry %d opens a session with agent %d", func(s *state) { m.openSession(s, e, a, true) }, e, a)
		m.fault(OpenReplyLost, "entry %d opens a session with agent %d; the reply is lost", func(s *state) { m.openSession(s, e, a, false) }, e, a)
		m.delayOpen(e, a)
	}
	if session.open && session.cancel > 0 && reachable(s, e, a) {
		m.step("entry %d cancels the task at agent %d", func(s *state) { m.deliverCancel(s, e, a) }, e, a)
	}
	// The task remains in phase sent until its agent reports that it does not run.
	if session.open && session.cancel == 0 && en.task == sent && int(en.agent) == a {
		m.fault(TaskRestarted, "entry %d decides to restart the task of agent %d elsewhere", func(s *state) {
			en := &s.entries[e]
			en.sessions[a].cancel, en.sessions[a].cancelAge = en.sequence, 0
		}, e, a)
	}
	if en.resumed && s.agents[a].active() && !s.heartbeatsDown[e][a] && m.renewsSession(s, e, a) {
		m.step("entry %d answers a new heartbeat of agent %d right after its pause", func(s *state) {
			m.renewSession(&s.agents[a], e, 0)
		}, e, a)
	}
}

// mayBeInDoubt reports whether entry e has a reason to put its session with agent
// a in doubt: a connection broke, a call or heartbeat is late, or the agent no
// longer has the session.
func (m *machine) mayBeInDoubt(e, a int) bool {
	s := m.from
	session, agentView := &s.entries[e].sessions[a], &s.agents[a].sessions[e]
	return s.callsDown[e][a] || s.heartbeatsDown[e][a] || !s.agents[a].active() || s.agents[a].token != session.token ||
		!agentView.open || agentView.number != session.number || s.isDelayed(runMessage, e, a)
}

// markInDoubt closes the session with agent a at entry e. A task that was sent in
// it waits for the reconcile time.
func (m *machine) markInDoubt(e *entry, a int) {
	e.sessions[a].open = false
	if e.task == sent && int(e.agent) == a {
		e.task = reconciling
		if m.enforces(ReconcileTime) {
			e.reconcileLeft = m.Reconcile
		}
	}
}

// giveUp closes the session with agent a at entry e, which takes the agent for replaced:
// whatever the next session lists, a task that was sent waits for the reconcile time.
func (m *machine) giveUp(e *entry, a int) {
	m.markInDoubt(e, a)
	if e.task == reconciling && int(e.agent) == a {
		e.token = 0
	}
}

// delayOpen emits a fault that delays the opening message. The entry gets no
// reply, and the session stays closed there.
func (m *machine) delayOpen(e, a int) {
	m.delayFault(OpenDelayed, "entry %d opens a session with agent %d; the message is delayed", func(s *state) message {
		en := &s.entries[e]
		en.sessions[a].number++
		return message{kind: openMessage, entry: int8(e), agent: int8(a), number: en.sessions[a].number, process: en.incarnation}
	}, e, a)
}

// openSession opens the next session. If the reply arrives (heard), it tells the
// entry whether its task is still at the agent.
func (m *machine) openSession(s *state, e, a int, heard bool) {
	en, ag := &s.entries[e], &s.agents[a]
	session := &en.sessions[a]
	session.number++
	m.acceptSession(ag, e, session.number, en.incarnation)
	if !heard {
		return
	}
	session.open = true
	session.token = ag.token
	mine := en.task == reconciling && int(en.agent) == a && en.token == ag.token
	listed := ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphanAge == 0
	wanted := listed && mine && ag.owner.sequence == en.sequence
	session.cancel, session.cancelAge = 0, 0
	if listed && !wanted && m.enforces(CancelUntracked) {
		session.cancel = ag.owner.sequence
	}
	if mine {
		if wanted {
			en.task, en.reconcileLeft = sent, 0
		} else {
			en.requeue()
		}
	}
}

// sendSteps emits the sending of the queued task from entry e to agent a. The
// first start goes to agent 0: the agents are alike, so that the other choice
// would only repeat the search with the agents exchanged.
func (m *machine) sendSteps(e, a int) {
	s := m.from
	en := &s.entries[e]
	first := a > 0 && s.workers[0].highestOrdered == 0 && s.workers[1].highestOrdered == 0
	if en.task != queued || !en.sessions[a].open || s.callsDown[e][a] || !s.agents[a].up || first ||
		m.enforces(Settling) && en.settleLeft > 0 || m.enforces(CheckCaller) && en.endArrived {
		return
	}
	if reachable(s, e, a) {
		m.step("entry %d sends the task to agent %d", func(s *state) {
			s.entries[e].markSent(a)
			m.acceptTask(s, e, a, s.entries[e].sessions[a].number, s.entries[e].sequence)
		}, e, a)
		if !s.involved(e, a) {
			m.step("entry %d sends the task to agent %d, whose session is dormant", func(s *state) {
				s.entries[e].markSent(a)
				m.makeDormant(&s.agents[a], e)
				m.acceptTask(s, e, a, s.entries[e].sessions[a].number, s.entries[e].sequence)
			}, e, a)
		}
	}
	delayed := func(s *state) message {
		en := &s.entries[e]
		en.markSent(a)
		return message{kind: runMessage, entry: int8(e), agent: int8(a), number: en.sessions[a].number, process: en.sessions[a].token, sequence: en.sequence}
	}
	if s.agents[a].paused && m.canDelay() {
		m.step("entry %d sends the task to agent %d, which is paused", func(s *state) { s.delay(delayed(s)) }, e, a)
		return
	}
	m.delayFault(RunDelayed, "entry %d sends the task to agent %d; the message is delayed", delayed, e, a)
}

// markSent records that the task is sent to agent a in a new message.
func (e *entry) markSent(a int) {
	e.task, e.agent, e.token = sent, int8(a), e.sessions[a].token
	e.sequence++
}

// deliverCancel delivers a cancellation and its reply. The model does not lose
// the reply, because the entry would only repeat the cancellation.
func (m *machine) deliverCancel(s *state, e, a int) {
	session := &s.entries[e].sessions[a]
	ag := &s.agents[a]
	if agentView := &ag.sessions[e]; ag.token == session.token && agentView.open && agentView.number == session.number {
		if m.enforces(CancelBeforeRun) {
			agentView.cancelledUpTo = max(agentView.cancelledUpTo, session.cancel)
		}
		if int(ag.accepted.entry) == e+1 && ag.accepted.sequence <= session.cancel {
			ag.accepted = owner{}
		}
		if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.owner.sequence <= session.cancel && ag.orphanAge == 0 {
			ag.markStopping()
		}
		session.cancel, session.cancelAge = 0, 0
		return
	}
	m.markInDoubt(&s.entries[e], a) // the agent refused it: it no longer has the session
}

// renewsSession reports whether entry e renews the session in its reply to a
// heartbeat of agent a.
func (m *machine) renewsSession(s *state, e, a int) bool {
	en, ag := &s.entries[e], &s.agents[a]
	session, agentView := &en.sessions[a], &ag.sessions[e]
	if !en.active() || session.token != ag.token || session.number != agentView.number || !agentView.open || agentView.incarnation != en.incarnation {
		return false
	}
	if m.enforces(NoRenewalInDoubt) && !session.open || m.enforces(SettleBeforeRenew) && en.settleLeft > 0 {
		return false
	}
	if session.cancel == 0 {
		return true
	}
	return !m.enforces(CancelBeforeRenew) && session.cancelAge < m.Ping
}

// callerSteps emits the caller's resending of its job to each active entry.
func (m *machine) callerSteps() {
	c := &m.from.caller
	if c.entry != 0 || c.resendLeft > 0 {
		return
	}
	for e := range entries {
		if !m.from.entries[e].active() {
			continue
		}
		m.step("the caller resends to entry %d", func(s *state) {
			s.caller.entry = int8(e + 1)
			en := &s.entries[e]
			if en.job { // joins the job that the entry still has
				en.disconnectAge, en.endArrived = 0, false
				return
			}
			en.job, en.task = true, queued
		}, e)
	}
}
