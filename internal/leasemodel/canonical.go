package leasemodel

import "math/bits"

// canonical converts equivalent states to one form: numbers of which only the
// order matters are replaced by their ranks, and values without any further
// effect are removed. Otherwise sessions that are reopened again and again would
// make the number of states infinite.
func (m *machine) canonical(s *state) {
	for i := maxDelayed - 1; i >= 0; i-- {
		if s.delayed[i].kind != noMessage && m.hasNoEffect(s, &s.delayed[i]) {
			s.removeDelayed(i)
		}
	}
	for e := range s.entries {
		for a := range s.agents {
			session := &s.agents[a].sessions[e]
			if en := &s.entries[e]; session.endedSequence != en.sequence || en.task != sent || int(en.agent) != a {
				session.endedSequence = 0
			}
			if !s.isDelayed(runMessage, e, a) {
				session.cancelledUpTo = 0
				if !s.agents[a].lapseMatters(e) {
					session.renewalAge = 0
				}
			}
			if !s.involved(e, a) && !s.isDelayed(openMessage, e, a) && !s.isDelayed(renewalMessage, e, a) {
				s.resetSession(e, a)
			}
			m.rankSessions(s, e, a)
		}
		m.rankSequences(s, e)
	}
	for a := range s.agents {
		if ag := &s.agents[a]; s.faultsLeft == 0 && ag.life == s.workers[a].life && !ag.refused && s.answersLists(a) && !s.ordersDown[a] {
			// No fault is left that could end the life or let the lease end unrenewed, and
			// no start of another task can extend it beyond a stop.
			ag.leaseLeft, ag.listed = 0, false
		}
		m.rankRuns(s, a)
		m.rankLives(s, a)
	}
}

// lapseMatters reports whether a lapse of the session with entry e would drop an
// accepted task or stop a run at the agent.
func (ag *agent) lapseMatters(e int) bool {
	return int(ag.accepted.entry) == e+1 || ag.hasRunOf(e)
}

// hasRunOf reports whether a lapse of the session with entry e would stop a run at
// the agent.
func (ag *agent) hasRunOf(e int) bool {
	return ag.run != noRun && ag.run < stopping && int(ag.owner.entry) == e+1 && ag.orphanAge == 0
}

// resetSession gives entry e and agent a a working connection and a new session.
// It is called for pairs without a task, run or message in common, which would
// soon get these anyway.
func (s *state) resetSession(e, a int) {
	en, ag := &s.entries[e], &s.agents[a]
	s.callsDown[e][a], s.heartbeatsDown[e][a] = false, false
	en.sessions[a] = entrySession{number: 1, open: en.up && ag.up, token: ag.token}
	ag.sessions[e] = agentSession{number: 1, incarnation: en.incarnation, open: en.up && ag.up}
}

// hasNoEffect reports whether the arrival of a delayed message would change
// nothing.
func (m *machine) hasNoEffect(s *state, msg *message) bool {
	ag, w := &s.agents[msg.agent], &s.workers[msg.agent]
	session := &ag.sessions[msg.entry]
	switch msg.kind {
	case openMessage:
		return msg.number <= session.number
	case renewalMessage:
		return msg.process != ag.token || msg.number < session.number
	case runMessage:
		return msg.number < session.number && msg.number < s.entries[msg.entry].sessions[msg.agent].number
	case startMessage:
		return m.refuses(w, msg) && (!m.VoidRevive || msg.sequence != w.life || s.faultsLeft == 0 || !m.allows(WorkerRestarts))
	}
	return false
}

// ranks collects pointers to all numbers of one kind in a state. 0 means that
// there is no number, and is left as it is.
type ranks struct {
	values [16]*int8
	n      int
}

func (r *ranks) add(v *int8) {
	if *v != 0 {
		r.values[r.n] = v
		r.n++
	}
}

// compress replaces the numbers by their ranks, beginning with 1. They are below
// 64, because those of the preceding state were compressed.
func (r *ranks) compress() {
	var set uint64
	for _, v := range r.values[:r.n] {
		set |= 1 << *v
	}
	if (set+2)&(set+1) == 0 {
		return // the numbers are their ranks: the bits from 1 are set without a gap
	}
	for _, v := range r.values[:r.n] {
		*v = int8(1 + bits.OnesCount64(set&(1<<*v-1)))
	}
}

// rankSessions compresses the session numbers of entry e and agent a.
func (m *machine) rankSessions(s *state, e, a int) {
	var r ranks
	r.add(&s.entries[e].sessions[a].number)
	r.add(&s.agents[a].sessions[e].number)
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if msg := &s.delayed[i]; msg.kind != startMessage && int(msg.entry) == e && int(msg.agent) == a {
			r.add(&msg.number)
		}
	}
	r.compress()
}

// rankSequences compresses the sequences of the task messages of entry e.
func (m *machine) rankSequences(s *state, e int) {
	var r ranks
	r.add(&s.entries[e].sequence)
	for a := range s.agents {
		ag := &s.agents[a]
		r.add(&s.entries[e].sessions[a].cancel)
		r.add(&ag.sessions[e].cancelledUpTo)
		r.add(&ag.sessions[e].endedSequence)
		for _, o := range []*owner{&ag.accepted, &ag.owner} {
			if int(o.entry) == e+1 {
				r.add(&o.sequence)
			}
		}
	}
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if msg := &s.delayed[i]; msg.kind == runMessage && int(msg.entry) == e {
			r.add(&msg.sequence)
		}
	}
	r.compress()
}

// rankLives compresses the lives of worker a and the fencing tokens of orders to
// it.
func (m *machine) rankLives(s *state, a int) {
	var lives, fences ranks
	lives.add(&s.workers[a].life)
	lives.add(&s.agents[a].life)
	fences.add(&s.workers[a].token)
	fences.add(&s.agents[a].fence)
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if msg := &s.delayed[i]; msg.kind == startMessage && int(msg.agent) == a {
			lives.add(&msg.sequence)
			fences.add(&msg.process)
		}
	}
	lives.compress()
	fences.compress()
}

// rankRuns compresses the run numbers at worker a.
func (m *machine) rankRuns(s *state, a int) {
	var r ranks
	w := &s.workers[a]
	for _, v := range []*int8{&w.highestOrdered, &w.refusedUpTo, &w.run, &s.agents[a].runNumber} {
		r.add(v)
	}
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if msg := &s.delayed[i]; msg.kind == startMessage && int(msg.agent) == a {
			r.add(&msg.number)
		}
	}
	r.compress()
}

// involved reports whether entry e and agent a have a task, run, cancellation or
// task message in common. Faults between other pairs are left out, because the
// same fault at a later time has the same effect.
func (s *state) involved(e, a int) bool {
	ag, en := &s.agents[a], &s.entries[e]
	return (en.task == sent || en.task == reconciling) && int(en.agent) == a || s.entries[e].sessions[a].cancel > 0 || ag.accepted.entry == int8(e+1) ||
		ag.run != noRun && ag.owner.entry == int8(e+1) || s.isDelayed(runMessage, e, a)
}

// busy reports whether agent a or its worker has a task or run, or a message to
// the agent or the worker is delayed.
func (s *state) busy(a int) bool {
	if s.workers[a].run != 0 || s.agents[a].accepted.entry != 0 || s.agents[a].run != noRun {
		return true
	}
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if int(s.delayed[i].agent) == a {
			return true
		}
	}
	return false
}
