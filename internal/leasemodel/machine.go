package leasemodel

// machine produces the successors of one state.
type machine struct {
	*Config
	from *state
	emit func(next *state, format string, args ...int)
}

// step emits the state that change makes of the current one.
func (m *machine) step(format string, change func(*state), args ...int) {
	next := *m.from
	change(&next)
	next.check()
	m.canonical(&next)
	m.emit(&next, format, args...)
}

// fault emits a step that costs a fault, if one is left.
func (m *machine) fault(k Kind, format string, change func(*state), args ...int) {
	if m.from.faults == 0 || !m.may(k) {
		return
	}
	m.step(format, func(s *state) {
		s.faults--
		change(s)
	}, args...)
}

// hold emits a fault that delays a message.
func (m *machine) hold(k Kind, format string, change func(*state) message, args ...int) {
	if m.room() {
		m.fault(k, format, func(s *state) { s.hold(change(s)) }, args...)
	}
}

// room reports whether one more message can be delayed.
func (m *machine) room() bool { return m.from.held[holds-1].kind == noMessage }

func (m *machine) successors() {
	if m.from.breach != none {
		return
	}
	if !m.urgent() {
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
			m.links(e, a)
		}
	}
	for i := range m.from.held {
		m.deliver(i)
	}
}

// urgent reports whether something must happen before time goes on.
func (m *machine) urgent() bool {
	s := m.from
	for e := range s.entries {
		if s.entries[e].active() && s.entries[e].gone > m.Notice {
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
		if ag.active() && (m.overdue(ag) || ag.run == stopping && !s.orders[a]) {
			return true
		}
	}
	return false
}

// tick lets one unit of time pass. Heartbeats and renewals that meet no fault
// are exchanged in it.
func (m *machine) tick(s *state) {
	down(&s.caller.wait)
	for i := range s.held {
		if s.held[i].kind != noMessage {
			up(&s.held[i].age, max(m.Lapse+m.Check, m.Validity)+1)
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
			if s.agents[a].active() && !s.beatLink[e][a] && m.renews(s, e, a) {
				m.renewed(&s.agents[a], e, 0)
			}
		}
		if !s.renewals[a] && m.extends(s, a) {
			m.extend(&s.workers[a])
		}
		if w := &s.workers[a]; m.on(WorkerLease) && w.run != 0 && w.lease == 0 {
			m.stopRun(w, w.run)
		}
	}
}

func (m *machine) tickEntry(e *entry) {
	e.woke = false
	down(&e.wait)
	down(&e.settle)
	if e.gone > 0 {
		up(&e.gone, m.Notice+1)
	}
	if e.paused {
		up(&e.pause, m.LongPause+1)
	}
	for a := range e.sessions {
		if session := &e.sessions[a]; session.cancel > 0 {
			up(&session.cancelAge, m.Ping)
		}
	}
}

func (m *machine) tickAgent(ag *agent) {
	ag.woke = false
	limit := m.Lapse + m.Check
	for e := range ag.sessions {
		if session := &ag.sessions[e]; session.open {
			up(&session.age, limit)
		} else {
			session.age = 0
		}
	}
	if ag.run == ordered || ag.run == stopping {
		up(&ag.ordered, m.Validity+1)
	}
	if ag.orphan > 0 {
		up(&ag.orphan, limit+1)
	}
}

func (m *machine) tickWorker(w *worker) {
	switch {
	case w.run == 0:
	case w.ending > 0:
		if down(&w.ending); w.ending == 0 {
			w.end()
		}
	case m.on(WorkerLease):
		down(&w.lease)
	}
}

func down(v *int8) {
	if *v > 0 {
		*v--
	}
}

func up(v *int8, limit int8) {
	if *v < limit {
		*v++
	}
}

// deliver delivers a delayed message.
func (m *machine) deliver(i int) {
	msg := m.from.held[i]
	e, a := int(msg.e), int(msg.a)
	ag := &m.from.agents[a]
	switch msg.kind {
	case runMessage:
		if ag.active() {
			m.step("the task sent by entry %d reaches agent %d", func(s *state) {
				s.drop(i)
				m.accept(s, e, a, msg.number, msg.sequence)
			}, e, a)
		}
	case openMessage:
		if ag.active() {
			m.step("the opening of session %d by entry %d reaches agent %d", func(s *state) {
				s.drop(i)
				m.agentOpens(&s.agents[a], e, msg.number, msg.process)
			}, int(msg.number), e, a)
		}
	case renewalMessage:
		if session := &ag.sessions[e]; ag.active() && ag.token == msg.process && session.open && session.number == msg.number {
			m.step("the delayed reply of entry %d renews its session at agent %d", func(s *state) {
				s.drop(i)
				m.renewed(&s.agents[a], e, msg.age)
			}, e, a)
		}
	case startMessage:
		m.step("worker %d carries out the order to start run %d, %d ticks late", func(s *state) {
			s.drop(i)
			m.carryOut(s, a, msg.process, msg.number, msg.age)
		}, a, int(msg.number), int(msg.age))
	}
}
