package entry

import (
	"context"
	"slices"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/wire"
)

// unclaimedEnds are an agent's unclaimed ends of jobs that this entry does not have.
type unclaimedEnds struct {
	lookupRunning bool // the store is being read
	answers       map[string]durable.Presence
}

// answerUnclaimed answers the ends that a heartbeat listed; see section 14.6 of
// docs/design.md. Ends that need the store are answered with a later heartbeat.
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
		default:
			p, known := answers[end.Job]
			switch {
			case !known || p == durable.JobOpen:
				lookups = append(lookups, end.Job)
			case p == durable.JobAbsent, p == durable.JobEnded:
				r.Settled = append(r.Settled, end)
			default:
				r.Voided = append(r.Voided, end)
			}
		}
	}
	if len(lookups) > 0 && !a.unclaimed.lookupRunning {
		slices.Sort(lookups)
		d.lookUpEnds(a, slices.Compact(lookups))
	}
}

// lookUpEnds asks the store about jobs of unclaimed ends. Its answers are for
// the next heartbeat only, because a job may change afterwards.
func (d *dispatcher) lookUpEnds(a *agent, jobs []string) {
	a.unclaimed.lookupRunning = true
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, agentReportTimeout)
		defer cancel()
		answers, err := d.durable.keeper.Presences(ctx, jobs)
		d.post(func(d *dispatcher) {
			a.unclaimed.lookupRunning = false
			if err != nil {
				d.log.Debug().Str("agent", a.ref.ID).Err(err).Msg("unclaimed ends not looked up")
				return
			}
			a.unclaimed.answers = answers
		})
	})
}

// answerOwnEnd answers an end of a job that this entry owns.
func (d *dispatcher) answerOwnEnd(j *job, a *agent, end wire.EndedRun, r *wire.HeartbeatReply) {
	u := j.leased.durable
	switch {
	case !end.Done && !end.Failed:
		r.Settled = append(r.Settled, end) // no result, so there is nothing to store
	case u.hasRecorded(end):
		if u.endVersions[end.Tag] <= u.stored {
			r.Settled = append(r.Settled, end)
		}
	case j.failure != nil || u.endState != "":
		// The record of the job's end will tell.
	case u.recovery != nil:
		if _, known := u.recovery.ends[end.Tag]; !known && !u.recovery.reportsApplied {
			u.recovery.ends[end.Tag] = end
			u.recovery.endOrder = append(u.recovery.endOrder, end.Tag)
		}
	default:
		d.acceptEnd(j, a, end, r)
	}
}

// hasRecorded reports whether the end is in the job's record.
func (u *durableJob) hasRecorded(end wire.EndedRun) bool {
	run := durable.TaskRun{Index: end.Index, Tag: end.Tag}
	return slices.Contains(u.record.Done, run) || slices.Contains(u.record.Failed, run)
}

// acceptEnd applies an end of a job that goes on, unless its task is done or was
// sent again since. Such an end is voided.
func (d *dispatcher) acceptEnd(j *job, a *agent, end wire.EndedRun, r *wire.HeartbeatReply) {
	u := j.leased.durable
	if end.Index < 0 || end.Index >= j.count {
		r.Voided = append(r.Voided, end)
		return
	}
	runs := u.runAgents[end.Index]
	// Of several runs at one agent it cannot be told which one ended.
	last := len(runs) == 0 && !u.sentHere[end.Index] ||
		len(runs) > 0 && runs[len(runs)-1] == a.ref.ID && !slices.Contains(runs[:len(runs)-1], a.ref.ID)
	switch state := j.states[end.Index]; {
	case state == taskSent && j.locations[end.Index].agent == a:
		// Probably the run whose result the session is about to give.
	case last && state == taskWaiting:
		u.runAgents[end.Index] = nil
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
