package leasemodel

// entryFaults emits the faults of entry e and their ends, and those of the
// caller's connection to it.
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
	if int(m.from.caller.entry) == e+1 {
		m.fault(CallerLeaves, "the caller's connection to entry %d ends", func(s *state) {
			m.disconnectCaller(s)
			s.entries[e].disconnectAge = 1
		}, e)
	}
	if int(m.from.caller.entry) == e+1 && en.task == queued && en.sequence == 0 {
		m.fault(UnreadEnds, "the caller's connection ends before entry %d reads the submission", func(s *state) {
			s.caller.entry = 0 // without the resend interval: the caller takes the submission as not delivered
			s.entries[e].disconnectAge, s.entries[e].endArrived = 1, true
		}, e)
	}
	if !en.paused {
		m.fault(EntryPauses, "entry %d is paused", func(s *state) {
			s.entries[e].paused, s.entries[e].pausedFor, s.entries[e].resumed = true, 0, false
		}, e)
		return
	}
	m.step("entry %d goes on", func(s *state) {
		en := &s.entries[e]
		if en.pausedFor > m.LongPause {
			en.settleLeft = m.Settle
		}
		en.paused, en.pausedFor, en.resumed = false, 0, true
	}, e)
}

// entryDies replaces entry e by a process that has no state yet and is down. Its
// numbers continue those of the old process.
func (m *machine) entryDies(s *state, e int) {
	if int(s.caller.entry) == e+1 {
		m.disconnectCaller(s)
	}
	old := s.entries[e]
	s.entries[e] = entry{incarnation: old.incarnation + 1, sequence: old.sequence}
	for a := range old.sessions {
		s.entries[e].sessions[a].number = old.sessions[a].number
	}
}

// disconnectCaller ends the caller's connection, which starts its resend interval.
func (m *machine) disconnectCaller(s *state) {
	s.caller.entry = 0
	if m.enforces(ResendInterval) {
		s.caller.resendLeft = m.Resend
	}
}

// agentFaults emits the faults of agent a and their ends, and those of its
// worker.
func (m *machine) agentFaults(a int) {
	ag := &m.from.agents[a]
	if m.from.busy(a) || m.from.ordersDown[a] || m.from.renewalsDown[a] || m.from.workers[a].down {
		m.workerFaults(a)
	}
	if !ag.up {
		m.step("a new process of agent %d starts", func(s *state) {
			s.agents[a].up, s.agents[a].adopting = true, m.enforces(Adoption)
			if !m.enforces(Adoption) {
				s.agents[a].life = s.workers[a].life
			}
		}, a)
		return
	}
	if !ag.paused && !m.from.busy(a) {
		return
	}
	m.fault(AgentDies, "agent %d dies", func(s *state) { s.agents[a] = agent{token: s.agents[a].token + 1, fence: s.agents[a].fence + 1} }, a)
	if !ag.paused {
		m.fault(AgentPauses, "agent %d is paused", func(s *state) { s.agents[a].paused, s.agents[a].resumed = true, false }, a)
		return
	}
	m.step("agent %d goes on", func(s *state) { s.agents[a].paused, s.agents[a].resumed = false, true }, a)
}

// workerFaults emits that worker a stops or resumes answering its agent.
func (m *machine) workerFaults(a int) {
	m.toggle(OrdersDown, &m.from.ordersDown[a], "worker %d leaves starts and stops unanswered", "worker %d answers starts and stops again",
		func(s *state) *bool { return &s.ordersDown[a] }, a)
	m.toggle(RenewalsDown, &m.from.renewalsDown[a], "worker %d leaves renewals unanswered", "worker %d answers renewals again",
		func(s *state) *bool { return &s.renewalsDown[a] }, a)
	m.lifeFaults(a)
}

// toggle emits the end of a failure that is present, or otherwise the failure. The
// function of returns its flag.
func (m *machine) toggle(k FaultKind, failed *bool, fails, works string, of func(*state) *bool, args ...int) {
	if *failed {
		m.step(works, func(s *state) { *of(s) = false }, args...)
		return
	}
	m.fault(k, fails, func(s *state) { *of(s) = true }, args...)
}

// linkFaults emits the faults of the connections between entry e and agent a, and
// their ends.
func (m *machine) linkFaults(e, a int) {
	if !m.from.involved(e, a) && !m.from.callsDown[e][a] && !m.from.heartbeatsDown[e][a] {
		return
	}
	task := func(s *state) *bool { return &s.callsDown[e][a] }
	beat := func(s *state) *bool { return &s.heartbeatsDown[e][a] }
	m.toggle(LinkDown, task(m.from), "calls of entry %d to agent %d fail", "calls of entry %d to agent %d succeed again", task, e, a)
	m.toggle(LinkDown, beat(m.from), "heartbeats between entry %d and agent %d fail", "heartbeats between entry %d and agent %d succeed again", beat, e, a)
	if !*task(m.from) && !*beat(m.from) {
		m.fault(LinkDown, "entry %d and agent %d are cut off from each other", func(s *state) { *task(s), *beat(s) = true, true }, e, a)
	}
	if m.from.entries[e].active() && !*beat(m.from) {
		m.fault(FormerHeard, "a heartbeat of a former process of agent %d arrives late at entry %d", func(s *state) { m.giveUp(&s.entries[e], a) }, a, e)
	}
	if m.from.agents[a].active() && m.renewsSession(m.from, e, a) && !*beat(m.from) {
		m.delayFault(RenewalDelayed, "the reply of entry %d that renews its session at agent %d is delayed", func(s *state) message {
			return message{kind: renewalMessage, entry: int8(e), agent: int8(a), number: s.agents[a].sessions[e].number, process: s.agents[a].token}
		}, e, a)
	}
}
