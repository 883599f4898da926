package lease

import "time"

// RenewalAnswered applies the reply to a renewal. It returns the runs that were
// removed from the table, and those for which the caller has to order a stop,
// each only once. The caller handles a reply of another life, see OtherLife, by
// LifeEnded or LifeReplaced instead.
func (r *RunTable) RenewalAnswered(now time.Time, n Renewal, reply RenewReply) (removed []RemovedRun, toStop []Run) {
	r.observe(now, reply.Clock)
	r.silentAt = time.Time{}
	if reply.Refusal == RefusedTokenTooLow {
		r.raiseToken(n.Token)
	}
	if reply.Refusal != "" || n.number <= r.lastReply {
		return nil, nil // an older reply that arrives late lists runs that have ended since
	}
	previous := r.lastReply
	r.lastReply = n.number
	r.ends.truncated = len(reply.Ended) >= MaxEnds
	if r.ends.earlierLeaseEnd == 0 && reply.Clock > 0 {
		// The worker has accepted the token, so it will not carry out orders of
		// earlier processes, or to earlier lives, any more.
		r.ends.earlierLeaseEnd = reply.Clock + maxLease
		r.latest = max(r.latest, r.ends.earlierLeaseEnd)
	}
	r.identity.applyList(n, reply)
	r.answeredAt = now
	r.goesOn()
	removed = r.applyEnds(now, reply.Ended)
	toStop = r.applyActive(now, previous, reply)
	absent, unstarted := r.applyAbsent(n.number, reply)
	return append(removed, absent...), append(toStop, unstarted...)
}

// applyEnds applies the ended runs of a reply and returns those that were in the
// table.
func (r *RunTable) applyEnds(now time.Time, ended []RunEnd) []RemovedRun {
	var removed []RemovedRun
	for _, end := range r.ends.takeNew(ended) {
		r.numbers.record(now, end.Run)
		e := r.find(end.Run)
		r.holdListed(now, end, e)
		if e != nil {
			delete(r.table, end.Run.Task)
			removed = append(removed, RemovedRun{Run: end.Run, Outcome: outcomeOf(end.Reason), Proof: ProofListed})
		}
	}
	return removed
}

// outcomeOf returns the outcome of a run whose end was listed with the reason,
// OutcomeLost for a reason that is not known.
func outcomeOf(reason EndReason) Outcome {
	switch reason {
	case Done:
		return OutcomeDone
	case Failed:
		return OutcomeFailed
	case Stopped:
		return OutcomeStopped
	case LeaseExpired:
		return OutcomeLeaseExpired
	}
	return OutcomeLost
}

// applyActive applies the active runs of a reply. It returns the foreign ones
// that the reply before did not list, so that they are stopped. Runs that are
// carried over count as foreign.
func (r *RunTable) applyActive(now time.Time, previous uint64, reply RenewReply) []Run {
	var newForeign []Run
	foreign := map[Run]bool{}
	for _, a := range reply.Active {
		r.numbers.record(now, a.Run)
		if e := r.find(a.Run); e != nil && !e.carriedOver {
			e.markBegun(now)
			e.shown = true
			if e.progress.update(r.options, previous, r.lastReply, reply.Clock, a.Percent) && e.state == Running {
				r.stalled = append(r.stalled, a.Run)
			}
			continue
		}
		foreign[a.Run] = true
		if !r.foreign[a.Run] {
			newForeign = append(newForeign, a.Run)
		}
	}
	// A truncated reply does not make the worker adopted: ends that it omits may
	// be those of runs that other agent processes ordered. Nor does one to a renewal
	// that was sent before the doubt.
	r.foreign, r.adopted = foreign, len(foreign) == 0 && (r.adopted || !r.ends.truncated && !r.identity.doubted)
	return newForeign
}

// applyAbsent handles the runs that a reply lists neither as active nor as ended.
// A truncated reply proves nothing about them. Once the start of a run is
// resolved, the run is removed if its stop was carried out or its start order
// has expired; if neither is so and the worker has never shown the run, it is
// to be stopped.
func (r *RunTable) applyAbsent(number uint64, reply RenewReply) (removed []RemovedRun, toStop []Run) {
	if r.ends.truncated {
		return nil, nil
	}
	shown := make(map[Run]bool, len(reply.Active))
	for _, a := range reply.Active {
		shown[a.Run] = true
	}
	for _, e := range r.table {
		if shown[e.run] {
			continue
		}
		resolved := e.startResolved && number > e.startResolvedAt
		switch {
		case e.carriedOver:
			// The worker has accepted a token above that of the order.
			removed = append(removed, r.remove(e.run, OutcomeLost, ProofAbsentInNextLife)...)
		case resolved && e.stopAnswered && number > e.stopAnsweredAt:
			removed = append(removed, r.remove(e.run, e.outcomeIfBegun(OutcomeStopped), ProofAbsentAfterStop)...)
		case resolved && reply.Clock > e.validUntil:
			removed = append(removed, r.remove(e.run, e.outcomeIfBegun(OutcomeLost), ProofAbsentAfterValid)...)
		case resolved && e.state == Ordered:
			e.state = Stopping
			toStop = append(toStop, e.run)
		}
	}
	return removed, toStop
}
