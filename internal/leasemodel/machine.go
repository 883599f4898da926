package leasemodel

// machine generates the successors of one state.
type machine struct {
	*Config
	from *state
	emit func(next *state, format string, args ...int)
}

// step emits the state that results when change is applied to the current one.
func (m *machine) step(format string, change func(*state), args ...int) {
	next := *m.from
	change(&next)
	next.checkOverlap()
	m.canonical(&next)
	m.emit(&next, format, args...)
}

// fault emits a step that is a fault, if the kind is allowed and one is left.
func (m *machine) fault(k FaultKind, format string, change func(*state), args ...int) {
	if m.from.faultsLeft == 0 || !m.allows(k) {
		return
	}
	m.step(format, func(s *state) {
		s.faultsLeft--
		change(s)
	}, args...)
}

// delayFault emits a fault that delays the message that change returns.
func (m *machine) delayFault(k FaultKind, format string, change func(*state) message, args ...int) {
	if m.canDelay() {
		m.fault(k, format, func(s *state) { s.delay(change(s)) }, args...)
	}
}

// canDelay reports whether there is room for one more delayed message.
func (m *machine) canDelay() bool { return m.from.delayed[maxDelayed-1].kind == noMessage }

// successors emits every possible next state. A state with a violation has none.
func (m *machine) successors() {
	if m.from.violation != noViolation {
		return
	}
	if !m.hasUrgentStep() {
		m.step("time goes on", m.tick)
	}
	m.callerSteps()
	for e := range entries {
		m.entrySteps(e)
		m.entryFaults(e)
	}
	for a := range agents {
		m.agentSteps(a)
		m.agentFaults(a)
		for e := range entries {
			m.linkFaults(e, a)
		}
	}
	for i := range m.from.delayed {
		m.deliverDelayed(i)
	}
}

// hasUrgentStep reports whether a process must act before the next tick.
func (m *machine) hasUrgentStep() bool {
	s := m.from
	for e := range s.entries {
		if s.entries[e].active() && s.entries[e].disconnectAge > m.Notice {
			return true
		}
		for a := range s.agents {
			if session := &s.entries[e].sessions[a]; session.open && session.cancel > 0 && reachable(s, e, a) {
				return true
			}
		}
	}
	for a := range s.agents {
		ag := &s.agents[a]
		if ag.active() && (m.mustNoticeLapse(ag) || ag.run == stopping && s.executesOrders(a) || s.mustAdopt(a)) {
			return true
		}
	}
	return false
}

// tick lets one tick pass. All heartbeats and renewals that no fault prevents are
// exchanged in it.
func (m *machine) tick(s *state) {
	decrement(&s.caller.resendLeft)
	for i := range s.delayed {
		if s.delayed[i].kind != noMessage {
			incrementUpTo(&s.delayed[i].age, max(m.Lapse+m.Check, m.Validity)+1)
		}
	}
	for e := range s.entries {
		m.tickEntry(&s.entries[e])
	}
	for a := range s.agents {
		m.tickWorker(&s.workers[a])
		m.tickAgent(&s.agents[a])
	}
	for a := range s.agents {
		for e := range s.entries {
			if s.agents[a].active() && !s.heartbeatsDown[e][a] && m.renewsSession(s, e, a) {
				m.renewSession(&s.agents[a], e, 0)
			}
		}
		m.renewLease(s, a)
		if w := &s.workers[a]; m.enforces(WorkerLease) && w.run != 0 && w.leaseLeft == 0 {
			m.stopRun(w, w.run)
		}
	}
}

func (m *machine) tickEntry(e *entry) {
	e.resumed = false
	if e.paused && !m.enforces(CountsSuspension) {
		return
	}
	decrement(&e.reconcileLeft)
	decrement(&e.settleLeft)
	if e.disconnectAge > 0 {
		incrementUpTo(&e.disconnectAge, m.Notice+1)
	}
	if e.paused {
		incrementUpTo(&e.pausedFor, m.LongPause+1)
	}
	for a := range e.sessions {
		if session := &e.sessions[a]; session.cancel > 0 {
			incrementUpTo(&session.cancelAge, m.Ping)
		}
	}
}

func (m *machine) tickAgent(ag *agent) {
	ag.resumed = false
	if ag.paused && !m.enforces(CountsSuspension) {
		return
	}
	decrement(&ag.leaseLeft)
	limit := m.Lapse + m.Check
	for e := range ag.sessions {
		if session := &ag.sessions[e]; session.open {
			incrementUpTo(&session.renewalAge, limit)
		} else {
			session.renewalAge = 0
		}
	}
	if ag.run == ordered || ag.run == stopping {
		incrementUpTo(&ag.orderAge, m.Validity+1)
	}
	if ag.orphanAge > 0 {
		incrementUpTo(&ag.orphanAge, limit+1)
	}
}

func (m *machine) tickWorker(w *worker) {
	switch {
	case w.run == 0:
	case w.stopLeft > 0:
		if decrement(&w.stopLeft); w.stopLeft == 0 {
			w.endRun()
		}
	case m.enforces(WorkerLease):
		decrement(&w.leaseLeft)
	}
}

func decrement(v *int8) {
	if *v > 0 {
		*v--
	}
}

func incrementUpTo(v *int8, limit int8) {
	if *v < limit {
		*v++
	}
}

// deliverDelayed emits the arrival of the delayed message at index i, if its
// receiver would act on it.
func (m *machine) deliverDelayed(i int) {
	msg := m.from.delayed[i]
	e, a := int(msg.entry), int(msg.agent)
	ag := &m.from.agents[a]
	switch msg.kind {
	case runMessage:
		if ag.active() {
			m.step("the task sent by entry %d reaches agent %d", func(s *state) {
				s.removeDelayed(i)
				m.acceptTask(s, e, a, msg.number, msg.sequence)
			}, e, a)
			if !ag.lapseMatters(e) {
				m.step("the task sent by entry %d reaches agent %d, whose session is dormant", func(s *state) {
					s.removeDelayed(i)
					m.makeDormant(&s.agents[a], e)
					m.acceptTask(s, e, a, msg.number, msg.sequence)
				}, e, a)
			}
		}
	case openMessage:
		if ag.active() {
			m.step("the opening of session %d by entry %d reaches agent %d", func(s *state) {
				s.removeDelayed(i)
				m.acceptSession(&s.agents[a], e, msg.number, msg.process)
			}, int(msg.number), e, a)
		}
	case renewalMessage:
		if session := &ag.sessions[e]; ag.active() && ag.token == msg.process && session.open && session.number == msg.number {
			m.step("the delayed reply of entry %d renews its session at agent %d", func(s *state) {
				s.removeDelayed(i)
				m.renewSession(&s.agents[a], e, msg.age)
			}, e, a)
		}
	case startMessage:
		if m.from.workers[a].down || m.LookFirst && m.from.looksFirst(a, &msg) {
			return
		}
		m.step("worker %d carries out the order to start run %d, %d ticks late", func(s *state) {
			s.removeDelayed(i)
			m.executeStart(s, a, msg)
		}, a, int(msg.number), int(msg.age))
	}
}
