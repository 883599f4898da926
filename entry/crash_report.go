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

// countedCrash is a crash that counts against a task, until the agent takes it back.
type countedCrash struct {
	at    time.Time
	role  wire.CrashRole
	job   *job // nil if another entry sent the task
	index int
}

// handleCrashReports records the suspects of crashes that an agent lists in a heartbeat.
// The crash under a run of this entry counts before the agent can tell whether the run
// is over; the task stays at the agent until then. A crash under a run of another entry
// counts for a later submission of the job here, because the caller submits a job that
// passed its deadline to another entry.
func (d *dispatcher) handleCrashReports(a *agent, reports []wire.CrashReport) {
	for _, r := range reports {
		if r.Role == wire.CrashNone {
			d.refuteCrash(a, r)
			continue
		}
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
			d.keepCountedCrash(a, r.Key, j, t.index, r.Role)
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
	if _, known := d.countedCrashes[run]; known {
		return
	}
	d.keepCounted(run, countedCrash{at: d.now, role: r.Role, index: r.Index})
	d.addRememberedCrash(r)
}

// keepCountedCrash keeps a crash under a run of this entry, so that it can be taken back.
func (d *dispatcher) keepCountedCrash(a *agent, key wire.TaskKey, j *job, index int, role wire.CrashRole) {
	d.keepCounted(reportedRun{a.ref.ID, d.self.Incarnation, key}, countedCrash{at: d.now, role: role, job: j, index: index})
}

func (d *dispatcher) keepCounted(run reportedRun, c countedCrash) {
	if d.countedCrashes == nil {
		d.countedCrashes = map[reportedRun]countedCrash{}
	}
	d.countedCrashes[run] = c
}

// refuteCrash takes back a crash that the agent reported earlier. A job that was given up
// for it has been answered.
func (d *dispatcher) refuteCrash(a *agent, r wire.CrashReport) {
	if t := a.session.tasks[r.Key]; t != nil && r.Entry == d.self.Incarnation {
		t.crashRecorded = false // its worker may still crash
	}
	run := reportedRun{a.ref.ID, r.Entry, r.Key}
	c, counted := d.countedCrashes[run]
	if !counted {
		return
	}
	delete(d.countedCrashes, run)
	j := c.job
	if j == nil || j.answered {
		j = d.leasedJobs[r.Job]
	}
	if j == nil || j.answered || j.account != r.Account {
		if m, ok := d.crashMemory[r.Job]; ok && m.workload.account == r.Account {
			retractCrash(m.crashes, c)
		}
		return
	}
	retractCrash(j.crashes, c)
	d.log.Warn().Str("job", j.id).Int("task", c.index).Str("agent", a.ref.ID).Msg("crash of a worker refuted")
	if u := durableOf(j); u != nil && !u.closed {
		u.record.Crashes = j.crashRecords()
		u.crashVersion = d.scheduleWrite(j, 0)
	}
}

// retractCrash takes a crash out of the histories of a job's tasks.
func retractCrash(crashes map[int]containment.History, c countedCrash) {
	h, ok := crashes[c.index]
	if !ok {
		return
	}
	if h.Retract(c.role); h == (containment.History{}) {
		delete(crashes, c.index)
	} else {
		crashes[c.index] = h
	}
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
