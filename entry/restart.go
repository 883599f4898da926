package entry

import (
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/ejection"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/straggler"
	"chicorytray.example/chicorytray/wire"
)

// restart is a run that is being stopped so that its task can start at another
// agent.
type restart struct {
	agent *agent
	// target is the agent that had room for the task. It is not the target of a
	// second restart at the same time, because it may have room for one task
	// only.
	target string
}

// handleStragglers decides which of the runs that an agent reports as stalled
// or slow are restarted.
func (d *dispatcher) handleStragglers(a *agent, runs []wire.Straggler) {
	if len(runs) == 0 || a.session.state != sessionOpen || !d.mayStartNow() {
		return
	}
	d.placeWaitingTasks() // waiting tasks get free capacity before restarts
	for _, report := range runs {
		t := a.session.tasks[report.Key]
		if t == nil || t.job.leased == nil || t.job.failure != nil {
			continue
		}
		if _, stopping := d.restarts[t]; !stopping {
			d.restartIfWorthwhile(a, t, report)
		}
	}
}

// restartIfWorthwhile stops a reported run if straggler.Decide gives a reason
// to restart its task at another agent and the restart budget allows it.
func (d *dispatcher) restartIfWorthwhile(a *agent, t *sentTask, report wire.Straggler) {
	j := t.job
	target, ok := d.findRestartTarget(a, t)
	reason, ok := straggler.Decide(straggler.Run{
		Percent: report.Percent, Elapsed: report.Elapsed, Stalled: report.Stalled,
		Expected: j.expected, Remaining: timeToDeadline(j, d.now), Slowness: d.detector.Slowness(a.ref.ID),
		Restarts: int(j.leased.restarts[t.index]), Stopping: d.pendingRestartsAt(a),
		HasAlternative: ok, AlternativeSlowness: d.detector.Slowness(target), BudgetAvailable: d.restartBudget.Available(d.now) >= 1,
	})
	if !ok || !d.restartBudget.Allow(d.now) {
		return
	}
	j.leased.restarts[t.index]++
	d.restarts[t] = restart{agent: a, target: target}
	d.metrics.countRestart(reason)
	d.log.Warn().Str("job", j.id).Int("task", t.index).Str("agent", a.ref.ID).Str("reason", string(reason)).
		Int("percent", report.Percent).Dur("elapsed_ms", report.Elapsed).Msg("run stopped to restart its task at another agent")
	d.observeRestart(a, t, report)
	d.queueCancel(a, t)
}

// timeToDeadline returns the time until the job's deadline; math.MaxInt64 for a
// durable job, which has none.
func timeToDeadline(j *job, now time.Time) time.Duration {
	if j.deadline.IsZero() {
		return math.MaxInt64
	}
	return j.deadline.Sub(now)
}

// observeRestart reports a restarted run to the detector of faulty upstreams. A
// stalled run counts as a failure. A slow run counts with its projected
// duration; without these outcomes the detector would no longer know after its
// window that the worker is slow. The projection uses the time since the task
// was sent, because Elapsed does not include the time before the worker first
// listed the run, which is most of a short run when it is reported.
func (d *dispatcher) observeRestart(a *agent, t *sentTask, report wire.Straggler) {
	o := ejection.Outcome{Failed: report.Stalled, Job: t.job.id}
	if report.Stalled {
		d.nextEvaluation = d.now
	} else {
		o.Took, o.Expected = d.now.Sub(t.sentAt)*100/time.Duration(max(report.Percent, 1)), t.job.expected
		d.observeSpeed(t.job, a, o.Took)
	}
	d.detector.Observe(d.now, a.ref.ID, o)
}

// findRestartTarget returns an agent that can start the task now, that the task
// was not sent to before and that is not the target of another restart.
func (d *dispatcher) findRestartTarget(a *agent, t *sentTask) (target string, ok bool) {
	tried := t.job.avoidedAgents[t.index]
	return d.chooseConfined(t.job.template.Name, placement.Query{Class: t.job.class, Avoid: func(id string) bool {
		return id == a.ref.ID || slices.Contains(tried, id) || d.isRestartTarget(id)
	}})
}

func (d *dispatcher) isRestartTarget(agent string) bool {
	for _, r := range d.restarts {
		if r.target == agent {
			return true
		}
	}
	return false
}

// pendingRestartsAt returns the number of runs at the agent that are being
// stopped for a restart.
func (d *dispatcher) pendingRestartsAt(a *agent) int {
	n := 0
	for _, r := range d.restarts {
		if r.agent == a {
			n++
		}
	}
	return n
}
