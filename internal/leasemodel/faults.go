package leasemodel

// entryFaults are the faults of an entry and their ends, and those of the
// caller's connection.
func (m *machine) entryFaults(e int) {
	en := &m.from.entries[e]
	if !en.up {
		m.step("a new process of entry %d starts", func(s *state) { s.entries[e].up = true }, e)
		return
	}
	if !en.paused && !en.job && !m.from.involved(e, 0) && !m.from.involved(e, 1) {
		return
	}
	m.fault(EntryDies, "entry %d dies", func(s *state) { m.entryDies(s, e) }, e)
	if int(m.from.caller.at) == e+1 {
		m.fault(CallerLeaves, "the caller's connection to entry %d ends", func(s *state) {
			m.callerLeft(s)
			s.entries[e].gone = 1
		}, e)
	}
	if !en.paused {
		m.fault(EntryPauses, "entry %d is paused", func(s *state) {
			s.entries[e].paused, s.entries[e].pause, s.entries[e].woke = true, 0, false
		}, e)
		return
	}
	m.step("entry %d goes on", func(s *state) {
		en := &s.entries[e]
		if en.pause > m.LongPause {
			en.settle = m.Settle
		}
		en.paused, en.pause, en.woke = false, 0, true
	}, e)
}

// entryDies leaves the slot to a process that knows nothing.
func (m *machine) entryDies(s *state, e int) {
	if int(s.caller.at) == e+1 {
		m.callerLeft(s)
	}
	old := s.entries[e]
	s.entries[e] = entry{incarnation: old.incarnation + 1, sequence: old.sequence}
	for a := range old.sessions {
		s.entries[e].sessions[a].number = old.sessions[a].number
	}
}

// callerLeft starts the resend interval.
func (m *machine) callerLeft(s *state) {
	s.caller.at = 0
	if m.on(ResendInterval) {
		s.caller.wait = m.Resend
	}
}

// agentFaults are the faults of an agent and of the path to its worker.
func (m *machine) agentFaults(a int) {
	ag := &m.from.agents[a]
	if m.from.busy(a) || m.from.orders[a] || m.from.renewals[a] {
		m.workerFaults(a)
	}
	if !ag.up {
		m.step("a new process of agent %d starts", func(s *state) {
			s.agents[a].up, s.agents[a].adopting = true, m.on(Adoption)
		}, a)
		return
	}
	if !ag.paused && !m.from.busy(a) {
		return
	}
	m.fault(AgentDies, "agent %d dies", func(s *state) { s.agents[a] = agent{token: s.agents[a].token + 1} }, a)
	if !ag.paused {
		m.fault(AgentPauses, "agent %d is paused", func(s *state) { s.agents[a].paused, s.agents[a].woke = true, false }, a)
		return
	}
	m.step("agent %d goes on", func(s *state) { s.agents[a].paused, s.agents[a].woke = false, true }, a)
}

// workerFaults are the orders that a worker leaves unanswered.
func (m *machine) workerFaults(a int) {
	m.toggle(OrdersDown, &m.from.orders[a], "worker %d leaves starts and stops unanswered", "worker %d answers starts and stops again",
		func(s *state) *bool { return &s.orders[a] }, a)
	m.toggle(RenewalsDown, &m.from.renewals[a], "worker %d leaves renewals unanswered", "worker %d answers renewals again",
		func(s *state) *bool { return &s.renewals[a] }, a)
}

// toggle emits the failure of something that works and the end of a failure.
func (m *machine) toggle(k Kind, failed *bool, fails, works string, of func(*state) *bool, args ...int) {
	if *failed {
		m.step(works, func(s *state) { *of(s) = false }, args...)
		return
	}
	m.fault(k, fails, func(s *state) { *of(s) = true }, args...)
}

// links are the faults of the connections between an entry and an agent.
func (m *machine) links(e, a int) {
	if !m.from.involved(e, a) && !m.from.taskLink[e][a] && !m.from.beatLink[e][a] {
		return
	}
	task := func(s *state) *bool { return &s.taskLink[e][a] }
	beat := func(s *state) *bool { return &s.beatLink[e][a] }
	m.toggle(LinkDown, task(m.from), "calls of entry %d to agent %d fail", "calls of entry %d to agent %d succeed again", task, e, a)
	m.toggle(LinkDown, beat(m.from), "heartbeats between entry %d and agent %d fail", "heartbeats between entry %d and agent %d succeed again", beat, e, a)
	if !*task(m.from) && !*beat(m.from) {
		m.fault(LinkDown, "entry %d and agent %d are cut off from each other", func(s *state) { *task(s), *beat(s) = true, true }, e, a)
	}
	if m.from.agents[a].active() && m.renews(m.from, e, a) && !*beat(m.from) {
		m.hold(RenewalHeld, "the reply of entry %d that renews its session at agent %d is delayed", func(s *state) message {
			return message{kind: renewalMessage, e: int8(e), a: int8(a), number: s.agents[a].sessions[e].number, process: s.agents[a].token}
		}, e, a)
	}
}
