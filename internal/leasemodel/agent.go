package leasemodel

// agentSteps emits the steps that agent a and its worker can take now.
func (m *machine) agentSteps(a int) {
	s := m.from
	ag, w := &s.agents[a], &s.workers[a]
	if w.stopLeft > 0 {
		m.step("the run at worker %d ends", func(s *state) { s.workers[a].endRun() }, a)
	}
	if !ag.active() {
		return
	}
	if ag.adopting && s.executesOrders(a) && s.answersLists(a) {
		m.step("agent %d lists the runs of its worker and stops them", func(s *state) { m.adoptWorker(s, a) }, a)
	}
	for e := range entries {
		m.lapseSteps(a, e)
		m.reportSteps(a, e)
		m.renewDormant(a, e)
	}
	m.startSteps(a)
	m.otherStartStep(a)
	m.lifeSteps(a)
	if ag.run == stopping && s.executesOrders(a) {
		m.step("agent %d stops its run", func(s *state) { m.stopAtWorker(s, a) }, a)
	}
	if m.listProvesEnd(s, a) {
		m.step("agent %d learns from a list that its run has ended", func(s *state) { s.agents[a].removeRun() }, a)
	}
	if ag.resumed && s.answersLists(a) && m.extendsLease(s, a) && (!m.enforces(CheckBeforeExtend) || !m.hasLapsedSession(ag)) {
		m.step("agent %d extends the lease right after its pause", func(s *state) { m.renewLease(s, a) }, a)
	}
}

// lapseSteps emits that agent a notices the lapse of its session with entry e, or
// with an earlier process of entry e whose run it has. An agent may notice a lapse
// up to H/2 late. A session without a task stays open without renewals; a task
// that arrives in it waits for a renewal, and may be dropped at any time before.
func (m *machine) lapseSteps(a, e int) {
	ag := &m.from.agents[a]
	if session := &ag.sessions[e]; session.open && session.renewalAge >= m.Lapse && ag.lapseMatters(e) {
		m.step("agent %d notices that its session with entry %d has lapsed", func(s *state) { m.lapseSession(&s.agents[a], e) }, a, e)
	}
	if ag.orphanAge > m.Lapse && int(ag.owner.entry) == e+1 && ag.run < stopping {
		m.step("agent %d notices that its session with the former process of entry %d has lapsed", func(s *state) {
			s.agents[a].markStopping()
		}, a, e)
	}
}

// lapseSession closes the session with entry e, drops the accepted task of that
// entry and begins to stop its run.
func (m *machine) lapseSession(ag *agent, e int) {
	ag.sessions[e].open = false
	if int(ag.accepted.entry) == e+1 {
		ag.sessions[e].endedSequence = ag.accepted.sequence
		ag.accepted = owner{}
	}
	if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphanAge == 0 {
		ag.markStopping()
	}
}

// hasLapsedSession reports whether an open session, or that of a run of an earlier
// entry process, has lapsed and the agent has not acted on it yet.
func (m *machine) hasLapsedSession(ag *agent) bool {
	for e, session := range ag.sessions {
		if session.open && session.renewalAge >= m.Lapse && ag.hasRunOf(e) {
			return true
		}
	}
	return ag.orphanAge > m.Lapse && ag.run < stopping
}

// mustNoticeLapse reports whether the agent must notice a lapse before the next
// tick.
func (m *machine) mustNoticeLapse(ag *agent) bool {
	for e, session := range ag.sessions {
		if session.open && session.renewalAge >= m.Lapse+m.Check && ag.hasRunOf(e) {
			return true
		}
	}
	return ag.orphanAge > m.Lapse+m.Check && ag.run < stopping
}

// acceptSession handles the opening of a session by entry e. The new session
// fences all earlier ones.
func (m *machine) acceptSession(ag *agent, e int, number, incarnation int8) {
	old := &ag.sessions[e]
	if number <= old.number {
		return
	}
	next := agentSession{number: number, incarnation: incarnation, open: true}
	if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphanAge == 0 && ag.run < stopping {
		switch {
		case incarnation != old.incarnation:
			ag.orphanAge = old.renewalAge + 1
		case m.enforces(OpenKeepsLapse):
			next.renewalAge = old.renewalAge
		}
	}
	if int(ag.accepted.entry) == e+1 {
		ag.accepted = owner{}
	}
	*old = next
}

// acceptTask handles Agent.Run. An entry that waits for the answer learns of a
// refusal at once.
func (m *machine) acceptTask(s *state, e, a int, number, sequence int8) {
	ag, en := &s.agents[a], &s.entries[e]
	session := &ag.sessions[e]
	valid := session.open && session.number == number
	if m.enforces(CheckBeforeStart) && session.renewalAge >= m.Lapse && ag.hasRunOf(e) {
		valid = false
	}
	if valid && !ag.adopting && !ag.refused && sequence > session.cancelledUpTo && ag.run == noRun && ag.accepted.entry == 0 {
		ag.accepted = owner{int8(e + 1), sequence}
		return
	}
	if reachable(s, e, a) && en.task == sent && int(en.agent) == a && en.sessions[a].number == number && en.sequence == sequence {
		en.requeue()
		en.sequence-- // the message started nothing, so its sequence may be used again
		if !valid {
			en.sessions[a].open = false
		}
	}
}

// renewDormant emits that agent a exchanges a heartbeat with entry e at once,
// because a task has arrived in a session that was not renewed for longer than L.
func (m *machine) renewDormant(a, e int) {
	s := m.from
	ag := &s.agents[a]
	if int(ag.accepted.entry) == e+1 && ag.sessions[e].renewalAge >= m.Lapse && !s.heartbeatsDown[e][a] && m.renewsSession(s, e, a) {
		m.step("agent %d has its session with entry %d renewed for the task that waits", func(s *state) {
			m.renewSession(&s.agents[a], e, 0)
		}, a, e)
	}
}

// makeDormant lets L pass for the agent's session with entry e without a renewal,
// which happens while it has no task of the entry.
func (m *machine) makeDormant(ag *agent, e int) {
	ag.sessions[e].renewalAge = m.Lapse + m.Check
}

// startSteps emits the start order for the accepted task.
func (m *machine) startSteps(a int) {
	s := m.from
	ag := &s.agents[a]
	if ag.accepted.entry == 0 || ag.run != noRun || ag.adopting || ag.refused {
		return
	}
	if m.enforces(CheckBeforeStart) && ag.sessions[ag.accepted.entry-1].renewalAge >= m.Lapse {
		return
	}
	if m.LifeConnections && ag.life != s.workers[a].life {
		return // the order fails with the connection to the earlier process
	}
	if s.executesOrders(a) {
		m.step("agent %d starts the task for entry %d", func(s *state) {
			m.executeStart(s, a, m.orderStart(s, a))
		}, a, int(ag.accepted.entry)-1)
	}
	m.delayFault(StartDelayed, "agent %d orders the start of the task for entry %d; the worker leaves it unanswered", func(s *state) message {
		return m.orderStart(s, a)
	}, a, int(ag.accepted.entry)-1)
}

// otherStartStep emits the start of another task, which extends the lease of the run
// as long as the start order is valid. Before the run is to be stopped, renewals
// extend the lease further.
func (m *machine) otherStartStep(a int) {
	s := m.from
	ag, w := &s.agents[a], &s.workers[a]
	switch {
	case ag.run != stopping || ag.adopting || ag.refused || w.down || w.run == 0 || w.stopLeft > 0 || ag.life == w.life && w.leaseLeft >= m.Validity:
		return
	case m.enforces(StopBeforeStart) && ag.leaseLeft < m.Validity+m.Stop:
		return
	case m.enforces(CheckBeforeStart) && m.hasLapsedSession(ag), m.LifeConnections && ag.life != w.life:
		return
	}
	m.step("agent %d starts another task, which extends the lease of its run", func(s *state) {
		w, ag := &s.workers[a], &s.agents[a]
		ag.leaseLeft = max(ag.leaseLeft, m.Validity+m.Stop)
		if w.leaseLeft = m.Validity; ag.life == w.life {
			return
		}
		w.token, w.leaseLeft = max(w.token, ag.fence), m.LeaseMax
		if m.enforces(ClockBound) {
			m.endLife(s, a)
		}
	}, a)
}

// orderStart gives the accepted task the next run number and returns its start
// order.
func (m *machine) orderStart(s *state, a int) message {
	ag, w := &s.agents[a], &s.workers[a]
	w.highestOrdered++
	ag.owner, ag.accepted = ag.accepted, owner{}
	ag.run, ag.runNumber, ag.orderAge, ag.listed = ordered, w.highestOrdered, 0, false
	ag.leaseLeft = m.Lease + m.Stop
	return message{kind: startMessage, agent: int8(a), number: ag.runNumber, process: ag.fence, sequence: ag.life}
}

// executeStart is the worker's handling of a start order.
// The agent learns the result only if it still waits for it.
func (m *machine) executeStart(s *state, a int, o message) {
	w, ag, token, number, age := &s.workers[a], &s.agents[a], o.process, o.number, o.age
	mine := ag.active() && ag.fence == token && ag.runNumber == number && ag.run == ordered && age == 0
	later := w.life != o.sequence // its clock started anew, so that the deadline lies far ahead
	if m.refuses(w, &o) {
		if mine {
			ag.removeRun()
		}
		return
	}
	if token < w.token {
		s.violation = fencedStart
	}
	if w.run != 0 {
		s.violation = overlap
	}
	w.token = max(w.token, token)
	w.run, w.stopLeft, w.leaseLeft = number, 0, m.Lease
	switch {
	case later:
		w.leaseLeft = m.LeaseMax
	case m.enforces(OrderValidity):
		w.leaseLeft = max(1, m.Validity-age)
	}
	if mine {
		ag.run, ag.orderAge = running, 0
		if later && m.enforces(ClockBound) {
			m.endLife(s, a)
			return
		}
		ag.listed = true
	}
}

// markStopping marks the run as to be stopped.
func (ag *agent) markStopping() {
	if ag.run < stopping {
		ag.run = stopping
	}
}

// removeRun forgets the run, whose end is proved, and notes that the end is to be
// reported to the entry unless the entry's process was replaced.
func (ag *agent) removeRun() {
	if ag.orphanAge == 0 {
		ag.sessions[ag.owner.entry-1].endedSequence = ag.owner.sequence
	}
	ag.owner, ag.run, ag.runNumber, ag.orderAge, ag.orphanAge, ag.leaseLeft, ag.listed = owner{}, noRun, 0, 0, 0, 0, false
}

// stopAtWorker delivers a stop order and its acknowledgement.
func (m *machine) stopAtWorker(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	w.token = max(w.token, ag.fence)
	m.stopRun(w, ag.runNumber)
	ag.run = stopped
	if ag.life != w.life && m.enforces(ClockBound) {
		m.endLife(s, a)
	}
}

// stopRun makes the worker refuse later starts up to the run number and begins to
// stop an active run up to that number, which takes S.
func (m *machine) stopRun(w *worker, number int8) {
	w.refusedUpTo = max(w.refusedUpTo, number)
	if w.run != 0 && w.run <= number && w.stopLeft == 0 {
		w.stopLeft = m.Stop
	}
}

// endRun ends the active run.
func (w *worker) endRun() {
	w.refusedUpTo = max(w.refusedUpTo, w.run)
	w.run, w.leaseLeft, w.stopLeft = 0, 0, 0
}

// listProvesEnd reports whether the worker's list of runs proves that the agent's
// run is not active and will not start later.
func (m *machine) listProvesEnd(s *state, a int) bool {
	ag, w := &s.agents[a], &s.workers[a]
	if ag.run == stopped && !m.enforces(EndProved) {
		return true
	}
	if ag.run == noRun || ag.run == carriedOver || !s.answersLists(a) || w.run == ag.runNumber || ag.life != w.life && m.enforces(BirthInLists) {
		return false
	}
	return ag.run == stopped || w.refusedUpTo >= ag.runNumber || ag.orderAge > m.Validity
}

// reportSteps emits the report to entry e that its run has ended without a result.
func (m *machine) reportSteps(a, e int) {
	s := m.from
	outcome := s.agents[a].sessions[e].endedSequence
	if outcome == 0 || !reachable(s, e, a) {
		return
	}
	m.step("agent %d reports to entry %d that the task does not run", func(s *state) {
		s.agents[a].sessions[e].endedSequence = 0
		if en := &s.entries[e]; en.task == sent && int(en.agent) == a && en.sequence == outcome && en.token == s.agents[a].token {
			en.requeue()
		}
	}, a, e)
}

// adoptWorker stops a run that an earlier agent process started. The agent accepts
// tasks once no run is active.
func (m *machine) adoptWorker(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	w.token = max(w.token, ag.fence)
	if ag.life != 0 && ag.life != w.life && m.enforces(BirthInLists) {
		m.endLife(s, a)
		return
	}
	ag.life, ag.refused = w.life, false
	if w.run == 0 {
		ag.adopting = false
		if ag.run == carriedOver {
			ag.removeRun()
		}
		return
	}
	m.stopRun(w, w.run)
}

// extendsLease reports whether agent a extends the lease of its worker's run.
func (m *machine) extendsLease(s *state, a int) bool {
	ag, w := &s.agents[a], &s.workers[a]
	return ag.active() && !ag.adopting && !ag.refused && w.run != 0 && w.stopLeft == 0 && (!m.enforces(StopBeforeExtend) || ag.run != stopping)
}

// renewSession handles a reply that renews the session with entry e. The heartbeat
// that it answers was sent age ticks ago.
func (m *machine) renewSession(ag *agent, e int, age int8) {
	if !m.enforces(LapseFromSending) {
		age = 0
	}
	session := &ag.sessions[e]
	session.renewalAge = min(session.renewalAge, age)
}
