package entry

import (
	"time"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/wire"
)

// reportedRun identifies the run of a crash report.
type reportedRun struct {
	agent string
	entry wire.Incarnation
	key   wire.TaskKey
}

// handleCrashReports records the suspects of crashes that an agent lists in a heartbeat.
// The crash under a run of this entry counts before the agent can tell whether the run
// is over; the task stays at the agent until then. A crash under a run of another entry
// counts for a later submission of the job here, because the caller submits a job that
// passed its deadline to another entry.
func (d *dispatcher) handleCrashReports(a *agent, reports []wire.CrashReport) {
	for _, r := range reports {
		if r.Entry != d.self.Incarnation {
			d.recordCrashElsewhere(a, r)
			continue
		}
		t := a.session.tasks[r.Key]
		if t == nil || t.crashRecorded || t.job.leased == nil {
			continue // its result counted, or an earlier heartbeat; or no worker runs it
		}
		t.crashRecorded = true
		switch j := t.job; {
		case j.failure == nil:
			if d.recordCrash(j, t.index, a.ref.ID, r.Role) == containment.GiveUp {
				d.giveUpCrashingTask(j, t.index)
			}
		case durableOf(j) == nil:
			d.addRememberedCrash(r)
		}
	}
}

// recordCrashElsewhere records a crash under a run of another entry process, once.
func (d *dispatcher) recordCrashElsewhere(a *agent, r wire.CrashReport) {
	run := reportedRun{a.ref.ID, r.Entry, r.Key}
	if _, known := d.crashesElsewhere[run]; known {
		return
	}
	if d.crashesElsewhere == nil {
		d.crashesElsewhere = map[reportedRun]time.Time{}
	}
	d.crashesElsewhere[run] = d.now
	d.addRememberedCrash(r)
}

// addRememberedCrash counts a crash under a run of an earlier submission: for the job
// that is open under its identifier, or else for the next one.
func (d *dispatcher) addRememberedCrash(r wire.CrashReport) {
	j := d.leasedJobs[r.Job]
	if j != nil && !j.answered && j.account == r.Account {
		if r.Index < 0 || r.Index >= j.count {
			return // another submission under the identifier had more tasks
		}
		if j.crashes[r.Index].Crashes+1 < minCrashesElsewhere || j.failure != nil || durableOf(j) != nil || j.states[r.Index] > taskSent {
			return
		}
		if j.countCrash(r.Index, r.Role) == containment.GiveUp {
			d.giveUpCrashingTask(j, r.Index)
		}
		return
	}
	m, ok := d.crashMemory[r.Job]
	if !ok || m.workload.account != r.Account {
		m = rememberedCrashes{workload: workload{account: r.Account}, crashes: map[int]containment.History{}}
	}
	h := m.crashes[r.Index]
	h.Record(r.Role)
	m.crashes[r.Index], m.at = h, d.now
	d.remember(r.Job, m)
}
