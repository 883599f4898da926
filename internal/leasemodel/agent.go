package leasemodel

// agentSteps are the steps that agent a may take now.
func (m *machine) agentSteps(a int) {
	s := m.from
	ag, w := &s.agents[a], &s.workers[a]
	if w.ending > 0 {
		m.step("the run at worker %d ends", func(s *state) { s.workers[a].end() }, a)
	}
	if !ag.active() {
		return
	}
	if ag.adopting && !s.orders[a] && !s.renewals[a] {
		m.step("agent %d lists the runs of its worker and stops them", func(s *state) { m.adopt(s, a) }, a)
	}
	for e := range entries {
		m.lapseSteps(a, e)
		m.report(a, e)
	}
	m.start(a)
	if ag.run == stopping && !s.orders[a] {
		m.step("agent %d stops its run", func(s *state) { m.stopAtWorker(s, a) }, a)
	}
	if m.provedEnded(s, a) {
		m.step("agent %d learns from a list that its run has ended", func(s *state) { s.agents[a].settle() }, a)
	}
	if ag.woke && !s.renewals[a] && m.extends(s, a) && (!m.on(CheckBeforeExtend) || !m.lapsed(ag)) {
		m.step("agent %d extends the lease right after its pause", func(s *state) { m.extend(&s.workers[a]) }, a)
	}
}

// lapseSteps ends session e of agent a, or the run of an earlier process of
// entry e, once it has lapsed. An agent may notice it up to H/2 late.
func (m *machine) lapseSteps(a, e int) {
	ag := &m.from.agents[a]
	if session := &ag.sessions[e]; session.open && session.age >= m.Lapse {
		m.step("agent %d notices that its session with entry %d has lapsed", func(s *state) { m.lapse(&s.agents[a], e) }, a, e)
	}
	if ag.orphan > m.Lapse && int(ag.owner.entry) == e+1 && ag.run < stopping {
		m.step("agent %d notices that its session with the former process of entry %d has lapsed", func(s *state) {
			s.agents[a].stop()
		}, a, e)
	}
}

func (m *machine) lapse(ag *agent, e int) {
	ag.sessions[e].open = false
	if int(ag.waits.entry) == e+1 {
		ag.sessions[e].outcome = ag.waits.sequence
		ag.waits = owner{}
	}
	if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphan == 0 {
		ag.stop()
	}
}

// lapsed reports whether a session that matters has lapsed, noticed or not.
func (m *machine) lapsed(ag *agent) bool {
	for _, session := range ag.sessions {
		if session.open && session.age >= m.Lapse {
			return true
		}
	}
	return ag.orphan > m.Lapse && ag.run < stopping
}

// overdue reports whether agent a must notice a lapse before time goes on.
func (m *machine) overdue(ag *agent) bool {
	for _, session := range ag.sessions {
		if session.open && session.age >= m.Lapse+m.Check {
			return true
		}
	}
	return ag.orphan > m.Lapse+m.Check && ag.run < stopping
}

// agentOpens handles the opening of a session: it fences the earlier ones.
func (m *machine) agentOpens(ag *agent, e int, number, incarnation int8) {
	old := &ag.sessions[e]
	if number <= old.number {
		return
	}
	next := agentSession{number: number, incarnation: incarnation, open: true}
	if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphan == 0 && ag.run < stopping {
		switch {
		case incarnation != old.incarnation:
			ag.orphan = old.age + 1
		case m.on(OpenKeepsLapse):
			next.age = old.age
		}
	}
	if int(ag.waits.entry) == e+1 {
		ag.waits = owner{}
	}
	*old = next
}

// accept handles Agent.Run. The entry learns of a refusal at once.
func (m *machine) accept(s *state, e, a int, number, sequence int8) {
	ag, en := &s.agents[a], &s.entries[e]
	session := &ag.sessions[e]
	valid := session.open && session.number == number
	if m.on(CheckBeforeStart) && session.age >= m.Lapse {
		valid = false
	}
	if valid && !ag.adopting && sequence > session.cancelled && ag.run == noRun && ag.waits.entry == 0 {
		ag.waits = owner{int8(e + 1), sequence}
		return
	}
	if reachable(s, e, a) && en.task == sent && int(en.at) == a && en.sessions[a].number == number && en.sequence == sequence {
		en.requeue()
		en.sequence-- // proved not run, so a new message may use it again
		if !valid {
			en.sessions[a].open = false
		}
	}
}

// start orders the accepted task from the worker.
func (m *machine) start(a int) {
	s := m.from
	ag := &s.agents[a]
	if ag.waits.entry == 0 || ag.run != noRun || ag.adopting {
		return
	}
	if m.on(CheckBeforeStart) && ag.sessions[ag.waits.entry-1].age >= m.Lapse {
		return
	}
	if !s.orders[a] {
		m.step("agent %d starts the task for entry %d", func(s *state) {
			m.order(s, a)
			m.carryOut(s, a, s.agents[a].token, s.agents[a].number, 0)
		}, a, int(ag.waits.entry)-1)
	}
	m.hold(StartHeld, "agent %d orders the start of the task for entry %d; the worker leaves it unanswered", func(s *state) message {
		m.order(s, a)
		return message{kind: startMessage, a: int8(a), number: s.agents[a].number, process: s.agents[a].token}
	}, a, int(ag.waits.entry)-1)
}

func (m *machine) order(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	w.issued++
	ag.owner, ag.waits = ag.waits, owner{}
	ag.run, ag.number, ag.ordered = ordered, w.issued, 0
}

// carryOut is the worker's handling of a start order of the given age.
func (m *machine) carryOut(s *state, a int, token, number, age int8) {
	w, ag := &s.workers[a], &s.agents[a]
	mine := ag.active() && ag.token == token && ag.number == number && ag.run == ordered && age == 0
	refused := m.on(FencingTokens) && token < w.token || m.on(RunNumbers) && number <= w.voided ||
		m.on(OrderValidity) && age > m.Validity
	if refused {
		if mine {
			ag.settle()
		}
		return
	}
	if token < w.token {
		s.breach = fencedStart
	}
	if w.run != 0 {
		s.breach = overlap
	}
	w.token = max(w.token, token)
	w.run, w.ending, w.lease = number, 0, m.Lease
	if m.on(OrderValidity) {
		w.lease = max(1, m.Validity-age)
	}
	if mine {
		ag.run, ag.ordered = running, 0
	}
}

// stop marks the run as to be stopped.
func (ag *agent) stop() {
	if ag.run < stopping {
		ag.run = stopping
	}
}

// settle removes the run, whose end is proved, from the table.
func (ag *agent) settle() {
	if ag.orphan == 0 {
		ag.sessions[ag.owner.entry-1].outcome = ag.owner.sequence
	}
	ag.owner, ag.run, ag.number, ag.ordered, ag.orphan = owner{}, noRun, 0, 0, 0
}

func (m *machine) stopAtWorker(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	w.token = max(w.token, ag.token)
	m.stopRun(w, ag.number)
	ag.run = stopped
}

// stopRun ends a run within S and voids its start.
func (m *machine) stopRun(w *worker, number int8) {
	w.voided = max(w.voided, number)
	if w.run != 0 && w.run <= number && w.ending == 0 {
		w.ending = m.Stop
	}
}

func (w *worker) end() {
	w.voided = max(w.voided, w.run)
	w.run, w.lease, w.ending = 0, 0, 0
}

// provedEnded reports whether a list of the worker proves that no part of the
// run runs or will run.
func (m *machine) provedEnded(s *state, a int) bool {
	ag, w := &s.agents[a], &s.workers[a]
	if ag.run == stopped && !m.on(EndProved) {
		return true
	}
	if ag.run == noRun || s.renewals[a] || w.run == ag.number {
		return false
	}
	return ag.run == stopped || w.voided >= ag.number || ag.ordered > m.Validity
}

// report tells the entry that its run has ended without a result.
func (m *machine) report(a, e int) {
	s := m.from
	outcome := s.agents[a].sessions[e].outcome
	if outcome == 0 || !reachable(s, e, a) {
		return
	}
	m.step("agent %d reports to entry %d that the task does not run", func(s *state) {
		s.agents[a].sessions[e].outcome = 0
		if en := &s.entries[e]; en.task == sent && int(en.at) == a && en.sequence == outcome && en.token == s.agents[a].token {
			en.requeue()
		}
	}, a, e)
}

// adopt stops what runs at the worker, and serves once nothing runs.
func (m *machine) adopt(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	w.token = max(w.token, ag.token)
	if w.run == 0 {
		ag.adopting = false
		return
	}
	m.stopRun(w, w.run)
}

// extends reports whether agent a extends the lease of its worker's runs.
func (m *machine) extends(s *state, a int) bool {
	ag, w := &s.agents[a], &s.workers[a]
	return ag.active() && !ag.adopting && w.run != 0 && w.ending == 0 && (!m.on(StopBeforeExtend) || ag.run != stopping)
}

func (m *machine) extend(w *worker) { w.lease = m.Lease }

// renewed handles a reply that renews the session with entry e and whose
// heartbeat was sent age ticks ago.
func (m *machine) renewed(ag *agent, e int, age int8) {
	if !m.on(LapseFromSending) {
		age = 0
	}
	session := &ag.sessions[e]
	session.age = min(session.age, age)
}
