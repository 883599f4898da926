package entry

import (
	"context"
	"slices"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// unclaimedEnds is the state of the store look-ups for unclaimed ends of one
// agent. An unclaimed end is the end of a run that no entry has acknowledged
// and that belongs to no open session; the agent lists such ends in its
// heartbeats. The reply settles an end, which the agent then acknowledges to
// its worker at once, or voids it, because the task was or may be started
// again: the agent acknowledges a voided end only after the worker's lease has
// ended.
type unclaimedEnds struct {
	lookupRunning bool                        // a read of the store is in progress
	answers       map[string]durable.Presence // result of the last read, by job identifier
}

// answerUnclaimed settles or voids the unclaimed ends that a heartbeat listed;
// see section 14.6 of docs/design.md. Ends of jobs that must be looked up in
// the store are answered in the reply to a later heartbeat.
func (d *dispatcher) answerUnclaimed(a *agent, ends []wire.EndedRun, r *wire.HeartbeatReply) {
	var lookups []string
	answers := a.unclaimed.answers
	a.unclaimed.answers = nil
	for _, end := range ends {
		own, other := d.durable.open[end.Job], d.leasedJobs[end.Job]
		switch {
		case own != nil:
			d.answerOwnEnd(own, a, end, r)
		case other != nil && !other.answered && durableOf(other) == nil:
			r.Settled = append(r.Settled, end)
		case d.durable.creating[end.Job] != nil:
			// Answered once it is known whether the job was stored.
		default:
			p, known := answers[end.Job]
			switch {
			case !known || p == durable.JobOpen:
				lookups = append(lookups, end.Job)
			case p == durable.JobAbsent, p == durable.JobEnded:
				r.Settled = append(r.Settled, end)
			default: // a task may have been started again, or the record is unreadable
				r.Voided = append(r.Voided, end)
			}
		}
	}
	if len(lookups) > 0 && !a.unclaimed.lookupRunning {
		slices.Sort(lookups)
		d.lookUpEnds(a, slices.Compact(lookups))
	}
}

// lookUpEnds reads from the store what is known of the jobs of unclaimed ends.
// The answers are used for one heartbeat only, because a job may change
// afterwards.
func (d *dispatcher) lookUpEnds(a *agent, jobs []string) {
	a.unclaimed.lookupRunning = true
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, agentReportTimeout)
		defer cancel()
		answers, err := d.durable.manager.Presences(ctx, jobs)
		d.post(func(d *dispatcher) {
			a.unclaimed.lookupRunning = false
			if err != nil {
				d.log.Debug().Str("agent", a.ref.ID).Err(err).Msg("lookup of the jobs of unclaimed ends failed")
				return
			}
			a.unclaimed.answers = answers
		})
	})
}

// answerOwnEnd answers an unclaimed end of a job that this entry owns. An end
// with a result is settled only once it is stored.
func (d *dispatcher) answerOwnEnd(j *job, a *agent, end wire.EndedRun, r *wire.HeartbeatReply) {
	u := j.leased.durable
	switch {
	case !end.Done && !end.Failed:
		r.Settled = append(r.Settled, end) // interrupted: there is no result to store
	case u.hasRecorded(end):
		if u.endVersions[end.Tag] <= u.stored {
			r.Settled = append(r.Settled, end)
		}
	case j.failure != nil || u.endState != "":
		// Answered after the end record is stored, which says whether a task
		// was started again.
	case u.recovery != nil:
		if _, known := u.recovery.ends[end.Tag]; !known && !u.recovery.reportsApplied {
			u.recovery.ends[end.Tag] = end
			u.recovery.endOrder = append(u.recovery.endOrder, end.Tag)
		}
	default:
		d.acceptEnd(j, a, end, r)
	}
}

// hasRecorded reports whether the job's record contains the end.
func (u *durableJob) hasRecorded(end wire.EndedRun) bool {
	run := durable.TaskRun{Index: end.Index, Tag: end.Tag}
	return slices.Contains(u.record.Done, run) || slices.Contains(u.record.Failed, run)
}

// acceptEnd applies an unclaimed end of a job that is neither recovering nor
// ending. It voids the end if the task is done or was sent again after that
// run.
func (d *dispatcher) acceptEnd(j *job, a *agent, end wire.EndedRun, r *wire.HeartbeatReply) {
	u := j.leased.durable
	if end.Index < 0 || end.Index >= j.count {
		r.Voided = append(r.Voided, end)
		return
	}
	runs := u.runAgents[end.Index]
	// last means that the end is of the task's last run. If the task had several
	// runs at the agent, it cannot be known which of them ended.
	last := len(runs) == 0 && !u.sentHere[end.Index] ||
		len(runs) > 0 && runs[len(runs)-1] == a.ref.ID && !slices.Contains(runs[:len(runs)-1], a.ref.ID)
	switch state := j.states[end.Index]; {
	case state == taskSent && j.locations[end.Index].agent == a:
		// Probably the end of the current run, whose result will arrive through
		// the session.
	case last && state == taskWaiting:
		delete(u.runAgents, end.Index) // the map is nil before the first start here
		d.applyReportedEnd(j, end)
		d.afterTaskResolved(j)
	case last && state == taskSent && d.resolveHeldTask(j, end):
	default:
		r.Voided = append(r.Voided, end)
		if !u.record.Restarted {
			u.record.Restarted = true
			d.scheduleWrite(j, startWriteDelay)
		}
	}
}
