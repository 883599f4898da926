package leasemodel

// executesOrders reports whether worker a executes and answers starts and stops.
func (s *state) executesOrders(a int) bool { return !s.ordersDown[a] && !s.workers[a].down }

// answersLists reports whether worker a executes renewals and answers them with a
// list.
func (s *state) answersLists(a int) bool { return !s.renewalsDown[a] && !s.workers[a].down }

// mustAdopt reports whether agent a, which knows that its worker has another life
// and that a run may be there, must list the runs of that life before the next
// tick.
func (s *state) mustAdopt(a int) bool {
	ag, w := &s.agents[a], &s.workers[a]
	return ag.adopting && ag.run == carriedOver && w.stopLeft == 0 && s.executesOrders(a) && s.answersLists(a)
}

// lifeFaults emits the end of the process of worker a, its next start under the
// same identifier, and false signs of its end.
func (m *machine) lifeFaults(a int) {
	s := m.from
	w, ag := &s.workers[a], &s.agents[a]
	if w.down {
		m.step("worker %d starts again under its identifier", func(s *state) { s.workers[a].down = false }, a)
		return
	}
	m.fault(WorkerRestarts, "the process of worker %d ends", func(s *state) {
		if m.OrdersEnd {
			s.dropStarts(a)
		}
		w := &s.workers[a]
		*w = worker{life: w.life + 1, down: true, highestOrdered: w.highestOrdered}
	}, a)
	if !ag.active() || ag.life == 0 {
		return
	}
	if !ag.refused {
		m.fault(RefusedByLink, "the link to worker %d refuses a connection of its agent", func(s *state) { m.refuseConnection(s, a) }, a)
		m.fault(BrokenByLink, "the link to worker %d breaks a connection and refuses the next one", func(s *state) { m.breakConnection(s, a) }, a)
	}
	if !m.enforces(AnnouncementHint) {
		m.fault(StaleAnnounced, "an announcement of another life of worker %d arrives", func(s *state) { m.endLife(s, a) }, a)
	}
}

// looksFirst reports whether agent a can and will send its worker an order with a
// higher token than that of the start order to an earlier life.
func (s *state) looksFirst(a int, o *message) bool {
	w := &s.workers[a]
	return o.sequence != w.life && w.token <= o.process && s.agents[a].active() && s.answersLists(a) && s.executesOrders(a)
}

// dropStarts removes the delayed start orders to worker a.
func (s *state) dropStarts(a int) {
	for i := maxDelayed - 1; i >= 0; i-- {
		if msg := &s.delayed[i]; msg.kind == startMessage && int(msg.agent) == a {
			s.removeDelayed(i)
		}
	}
}

// lifeSteps emits what agent a learns about the life of its worker.
func (m *machine) lifeSteps(a int) {
	s := m.from
	ag, w := &s.agents[a], &s.workers[a]
	if ag.life == 0 {
		return
	}
	if w.down && !ag.refused {
		m.step("worker %d, which has no process, refuses a connection of its agent", func(s *state) { m.refuseConnection(s, a) }, a)
		m.step("a connection to worker %d breaks with its process, and the next one is refused", func(s *state) { m.breakConnection(s, a) }, a)
	}
	if ag.life != w.life && s.answersLists(a) && m.enforces(BirthInLists) && !ag.adopting {
		m.step("agent %d learns from a list that its worker has restarted", func(s *state) { m.renewLease(s, a) }, a)
	}
	if ag.leaseLeft > 0 || ag.run == noRun || ag.run == carriedOver || !ag.refused && s.answersLists(a) {
		return
	}
	switch {
	case ag.refused:
		m.step("agent %d ends the life of its worker, whose lease has ended", func(s *state) { m.endLife(s, a) }, a)
	case ag.listed || !m.enforces(ExpiryOfListed):
		m.step("agent %d counts its run as ended with the lease", func(s *state) {
			s.agents[a].removeRun()
			s.agents[a].adopting = true
		}, a)
	}
}

// refuseConnection handles a refused connection to the worker.
func (m *machine) refuseConnection(s *state, a int) {
	ag := &s.agents[a]
	if m.enforces(RefusalNoProof) {
		ag.refused = true
		return
	}
	ag.listed = true
	m.endLife(s, a)
}

// breakConnection handles a connection that breaks before one that is refused. The
// process has probably ended, so later orders have a higher token, in case they reach
// the next life.
func (m *machine) breakConnection(s *state, a int) {
	if !m.enforces(BreakNoProof) {
		m.endLife(s, a)
		return
	}
	s.agents[a].fence++
	m.refuseConnection(s, a)
}

// endLife ends the life of worker a at its agent. A run that a list has shown has
// ended with it. Any other may still be started by the next life.
func (m *machine) endLife(s *state, a int) {
	ag := &s.agents[a]
	ag.life, ag.refused, ag.adopting = 0, false, true
	if m.enforces(TokenPerLife) {
		ag.fence++
	}
	switch {
	case ag.run == noRun:
	case ag.listed || !m.enforces(CarryOver):
		ag.removeRun()
	default:
		ag.run, ag.leaseLeft, ag.orderAge = carriedOver, 0, 0
	}
}

// renewLease exchanges a renewal of agent a, which extends the lease if it may,
// and its answer, a list.
func (m *machine) renewLease(s *state, a int) {
	ag, w := &s.agents[a], &s.workers[a]
	if !ag.active() || ag.adopting || !s.answersLists(a) {
		return
	}
	w.token = max(w.token, ag.fence)
	other := ag.life != w.life
	if m.extendsLease(s, a) && (!other || !m.LifeConnections) {
		w.leaseLeft, ag.leaseLeft = m.Lease, m.Lease+m.Stop
		if other {
			w.leaseLeft = m.LeaseMax
		}
	}
	if other && m.enforces(BirthInLists) {
		m.endLife(s, a)
		return
	}
	ag.refused = false
	if ag.run != noRun && ag.run != carriedOver && w.run == ag.runNumber {
		ag.listed = true
	}
}

// refuses reports whether the worker does not carry out a start order when it
// arrives. A later life than that to which the order was sent knows nothing of
// the order's deadline, nor of the runs and tokens of the earlier life.
func (m *machine) refuses(w *worker, o *message) bool {
	late := m.enforces(OrderValidity) && o.age > m.Validity
	if o.sequence != w.life {
		late = o.age > m.Late
	}
	return late || m.enforces(FencingTokens) && o.process < w.token || m.enforces(RunNumbers) && o.number <= w.refusedUpTo
}
