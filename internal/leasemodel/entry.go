package leasemodel

// reachable reports whether a call from entry e to agent a is answered.
func reachable(s *state, e, a int) bool {
	return s.entries[e].active() && s.agents[a].active() && !s.taskLink[e][a]
}

// entrySteps are the steps that an entry may take now.
func (m *machine) entrySteps(e int) {
	en := &m.from.entries[e]
	if !en.active() {
		return
	}
	if en.gone > 0 {
		m.step("entry %d handles the end of the caller's connection", func(s *state) { m.handleGone(&s.entries[e]) }, e)
	}
	if en.task == waiting && en.wait == 0 {
		m.step("entry %d counts the run at agent %d as interrupted after the reconcile time", func(s *state) {
			s.entries[e].requeue()
		}, e, int(en.at))
	}
	for a := range agents {
		m.sessionSteps(e, a)
		m.send(e, a)
	}
}

func (e *entry) requeue() { e.task, e.at, e.token, e.wait = queued, 0, 0, 0 }

func (m *machine) handleGone(e *entry) {
	e.gone = 0
	if !m.on(CancelOnLeave) {
		return
	}
	if e.task == sent || e.task == waiting {
		e.sessions[e.at].cancel, e.sessions[e.at].cancelAge = e.sequence, 0
	}
	e.requeue()
	e.task, e.job = noTask, false
}

// sessionSteps are doubt, reopening, cancellation and, right after a pause,
// the answer to a heartbeat that waited in the entry's socket.
func (m *machine) sessionSteps(e, a int) {
	s := m.from
	if !s.involved(e, a) {
		return
	}
	en, session := &s.entries[e], &s.entries[e].sessions[a]
	if session.open && m.doubtful(e, a) {
		m.step("entry %d doubts its session with agent %d", func(s *state) { m.doubt(&s.entries[e], a) }, e, a)
	}
	if !session.open && reachable(s, e, a) {
		m.step("entry %d opens a session with agent %d", func(s *state) { m.open(s, e, a, true) }, e, a)
		m.fault(OpenUnheard, "entry %d opens a session with agent %d; the reply is lost", func(s *state) { m.open(s, e, a, false) }, e, a)
		m.holdOpen(e, a)
	}
	if session.open && session.cancel > 0 && reachable(s, e, a) {
		m.step("entry %d cancels the task at agent %d", func(s *state) { m.cancel(s, e, a) }, e, a)
	}
	// The task stays sent until its agent reports that it does not run.
	if session.open && session.cancel == 0 && en.task == sent && int(en.at) == a {
		m.fault(Restart, "entry %d decides to restart the task of agent %d elsewhere", func(s *state) {
			en := &s.entries[e]
			en.sessions[a].cancel, en.sessions[a].cancelAge = en.sequence, 0
		}, e, a)
	}
	if en.woke && s.agents[a].active() && !s.beatLink[e][a] && m.renews(s, e, a) {
		m.step("entry %d answers a new heartbeat of agent %d right after its pause", func(s *state) {
			m.renewed(&s.agents[a], e, 0)
		}, e, a)
	}
}

// doubtful reports whether entry e may come to doubt its session with agent a:
// a connection broke, a call or heartbeat is late, or the agent has lost it.
func (m *machine) doubtful(e, a int) bool {
	s := m.from
	session, held := &s.entries[e].sessions[a], &s.agents[a].sessions[e]
	return s.taskLink[e][a] || s.beatLink[e][a] || !s.agents[a].active() || s.agents[a].token != session.token ||
		!held.open || held.number != session.number || s.isHeld(runMessage, e, a)
}

func (m *machine) doubt(e *entry, a int) {
	e.sessions[a].open = false
	if e.task == sent && int(e.at) == a {
		e.task = waiting
		if m.on(ReconcileTime) {
			e.wait = m.Reconcile
		}
	}
}

// holdOpen delays the opening message; the entry gives up waiting for the
// reply.
func (m *machine) holdOpen(e, a int) {
	m.hold(OpenHeld, "entry %d opens a session with agent %d; the message is delayed", func(s *state) message {
		en := &s.entries[e]
		en.sessions[a].number++
		return message{kind: openMessage, e: int8(e), a: int8(a), number: en.sessions[a].number, process: en.incarnation}
	}, e, a)
}

// open opens the next session; the entry learns what became of its task if it
// hears the reply.
func (m *machine) open(s *state, e, a int, heard bool) {
	en, ag := &s.entries[e], &s.agents[a]
	session := &en.sessions[a]
	session.number++
	m.agentOpens(ag, e, session.number, en.incarnation)
	if !heard {
		return
	}
	session.open = true
	session.token = ag.token
	mine := en.task == waiting && int(en.at) == a && en.token == ag.token
	listed := ag.run != noRun && int(ag.owner.entry) == e+1 && ag.orphan == 0
	wanted := listed && mine && ag.owner.sequence == en.sequence
	session.cancel, session.cancelAge = 0, 0
	if listed && !wanted {
		session.cancel = ag.owner.sequence
	}
	if mine {
		if wanted {
			en.task, en.wait = sent, 0
		} else {
			en.requeue()
		}
	}
}

// send sends the queued task to agent a. The first start goes to agent 0,
// since the agents are alike.
func (m *machine) send(e, a int) {
	s := m.from
	en := &s.entries[e]
	first := a > 0 && s.workers[0].issued == 0 && s.workers[1].issued == 0
	if en.task != queued || !en.sessions[a].open || s.taskLink[e][a] || !s.agents[a].up || first ||
		m.on(Settling) && en.settle > 0 {
		return
	}
	if reachable(s, e, a) {
		m.step("entry %d sends the task to agent %d", func(s *state) {
			s.entries[e].sentTo(a)
			m.accept(s, e, a, s.entries[e].sessions[a].number, s.entries[e].sequence)
		}, e, a)
	}
	held := func(s *state) message {
		en := &s.entries[e]
		en.sentTo(a)
		return message{kind: runMessage, e: int8(e), a: int8(a), number: en.sessions[a].number, process: en.sessions[a].token, sequence: en.sequence}
	}
	if s.agents[a].paused && m.room() {
		m.step("entry %d sends the task to agent %d, which is paused", func(s *state) { s.hold(held(s)) }, e, a)
		return
	}
	m.hold(RunHeld, "entry %d sends the task to agent %d; the message is delayed", held, e, a)
}

func (e *entry) sentTo(a int) {
	e.task, e.at, e.token = sent, int8(a), e.sessions[a].token
	e.sequence++
}

// cancel delivers a cancellation; its reply is not lost, since the entry would
// only repeat it.
func (m *machine) cancel(s *state, e, a int) {
	session := &s.entries[e].sessions[a]
	ag := &s.agents[a]
	if held := &ag.sessions[e]; ag.token == session.token && held.open && held.number == session.number {
		if m.on(CancelBeforeRun) {
			held.cancelled = max(held.cancelled, session.cancel)
		}
		if int(ag.waits.entry) == e+1 && ag.waits.sequence <= session.cancel {
			ag.waits = owner{}
		}
		if ag.run != noRun && int(ag.owner.entry) == e+1 && ag.owner.sequence <= session.cancel && ag.orphan == 0 {
			ag.stop()
		}
		session.cancel, session.cancelAge = 0, 0
		return
	}
	m.doubt(&s.entries[e], a) // refused as fenced
}

// renews reports whether entry e renews the session in its reply to a
// heartbeat of agent a.
func (m *machine) renews(s *state, e, a int) bool {
	en, ag := &s.entries[e], &s.agents[a]
	session, held := &en.sessions[a], &ag.sessions[e]
	if !en.active() || session.token != ag.token || session.number != held.number || !held.open || held.incarnation != en.incarnation {
		return false
	}
	if m.on(NoRenewalInDoubt) && !session.open || m.on(SettleBeforeRenew) && en.settle > 0 {
		return false
	}
	if session.cancel == 0 {
		return true
	}
	return !m.on(CancelBeforeRenew) && session.cancelAge < m.Ping
}

// callerSteps lets the caller resend its job to any entry.
func (m *machine) callerSteps() {
	c := &m.from.caller
	if c.at != 0 || c.wait > 0 {
		return
	}
	for e := range entries {
		if !m.from.entries[e].active() {
			continue
		}
		m.step("the caller resends to entry %d", func(s *state) {
			s.caller.at = int8(e + 1)
			en := &s.entries[e]
			if en.job { // joins the job that the entry still has
				en.gone = 0
				return
			}
			en.job, en.task = true, queued
		}, e)
	}
}
