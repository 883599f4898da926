package entry

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/wire"
)

const (
	// probationRetryDelay is how long an agent that refused a task because it has
	// another one on probation, of another entry, gets no further one.
	probationRetryDelay = 50 * time.Millisecond
	// maxProbationSearches limits the searches without a result in one call of
	// placeProbation.
	maxProbationSearches = 4
	// minCrashesElsewhere is how many crashes at other entries a task needs to count
	// here. One crash suspects all that had just started; a job of which each task is on
	// probation, and needs a worker alone, does not meet its deadline.
	minCrashesElsewhere = 2
)

// recordCrash records that a worker or an upstream crashed under a run of the task,
// and returns the verdict on the task. The record of a durable job is written at
// once, so that the next owner of the job knows of the crash. For a confined template
// a suspicion counts like a conviction; see containment.Confinement.Convict.
func (d *dispatcher) recordCrash(j *job, index int, agent string, role wire.CrashRole) containment.Verdict {
	verdict := j.countCrash(index, role)
	h := j.crashes[index]
	d.metrics.countCrash(role)
	if role == wire.CrashSuspect || role == wire.CrashUnconfirmed {
		d.log.Warn().Str("job", j.id).Str("template", j.template.Name).Int("task", index).Str("agent", agent).
			Uint8("crashes", h.Crashes).Uint8("suspicions", h.Suspicions).Uint8("unconfirmed", h.Unconfirmed).Bool("given_up", verdict == containment.GiveUp).
			Msg("task is suspected of the crash of a worker")
		if d.confined.members[j.template.Name] != nil {
			d.convict(j.template.Name)
		}
	}
	if u := durableOf(j); u != nil && !u.closed {
		u.record.Crashes = j.crashRecords()
		u.crashVersion = d.scheduleWrite(j, 0)
	}
	return verdict
}

// countCrash adds a crash to the history of a task and returns the verdict on it.
func (j *job) countCrash(index int, role wire.CrashRole) containment.Verdict {
	if j.crashes == nil {
		j.crashes = map[int]containment.History{}
	}
	h := j.crashes[index]
	verdict := h.Record(role)
	j.crashes[index] = h
	return verdict
}

// crashRecords returns the crashes under the job's tasks as they are stored, sorted
// by index.
func (j *job) crashRecords() []durable.TaskCrashes {
	out := make([]durable.TaskCrashes, 0, len(j.crashes))
	for i, h := range j.crashes {
		out = append(out, durable.TaskCrashes{Index: i, Crashes: h.Crashes, Suspicions: h.Suspicions, Unconfirmed: h.Unconfirmed})
	}
	slices.SortFunc(out, func(a, b durable.TaskCrashes) int { return a.Index - b.Index })
	return out
}

// giveUpCrashingTask fails the job because of a task that probably crashes the
// workers on which it starts.
func (d *dispatcher) giveUpCrashingTask(j *job, index int) {
	d.metrics.crashingTasks.Inc(1)
	d.convict(j.template.Name)
	if l := j.locations[index]; l.agent != nil { // the crash was reported before its run is over
		d.queueCancel(l.agent, l.task)
	}
	j.setFinalState(index, taskFailed)
	j.leased.exhausted = true
	d.failJob(j, jobFailure{reason: wire.ReasonCrashedWorkers, detail: "task " + strconv.Itoa(index) + " is suspected of the crashes of " +
		strconv.Itoa(int(j.crashes[index].Crashes)) + " workers"})
}

// onProbation reports whether the task may start only alone among the suspects of
// its worker.
func (j *job) onProbation(index int) bool {
	return j.leased != nil && j.crashes[index].Verdict() != containment.Restart
}

// markProbation marks a task that is being sent to an agent as on probation there.
func (a *agent) markProbation(j *job, index int, t *sentTask) {
	a.probation = t
	work := *j.tasks[index].Leased // the tasks of a job share it
	work.Probation = true
	j.tasks[index].Leased = &work
}

// placeProbation starts waiting tasks on probation, the oldest first, and drops
// those that no longer wait. They are not in the queue, because they need a worker
// of their own each, and would otherwise hold up the tasks behind them.
func (d *dispatcher) placeProbation() {
	searches := 0
	d.probation = slices.DeleteFunc(d.probation, func(ref queue.TaskRef) bool {
		j := d.jobs[ref.Job]
		if j == nil || j.answered || j.failure != nil || j.states[ref.Index] != taskWaiting {
			return true
		}
		if u := durableOf(j); u != nil && u.stored < u.crashVersion {
			return false
		}
		if j.deadline.After(j.giveUpAt()) && !d.now.Before(j.giveUpAt()) && !j.mayHaveStarted() {
			return false // its timer gives the job up now
		}
		if searches >= maxProbationSearches || !j.inQueue() || !d.mayStartJob(j) || !d.accountMayStart(j.account) {
			return false
		}
		a := d.chooseForProbation(j, ref.Index)
		if a == nil {
			searches++
			return false
		}
		d.assignTask(j, ref.Index, a)
		d.queue.RecordBegun(j.id)
		return true
	})
}

// chooseForProbation returns an agent without another task on probation; nil if there
// is none with room. It prefers the agents to which the template would be confined,
// so that the crashes of suspects do not take down more workers than those of a
// confined template, and then agents that have not run the task.
func (d *dispatcher) chooseForProbation(j *job, index int) *agent {
	occupied := func(id string) bool {
		a := d.agents[id]
		return a == nil || a.probation != nil || d.now.Before(a.noProbationUntil)
	}
	tried := func(id string) bool { return slices.Contains(j.avoidedAgents[index], id) }
	choose := func(avoid func(string) bool) *agent {
		id, ok := d.chooseConfined(j.template.Name, placement.Query{Class: j.class, Avoid: avoid})
		if !ok {
			return nil
		}
		return d.agents[id]
	}
	if members := d.agentsToConfine(j.template.Name); len(members) > 0 {
		if a := choose(func(id string) bool { return !members[id] || occupied(id) }); a != nil {
			return a
		}
	}
	if a := choose(func(id string) bool { return occupied(id) || tried(id) }); a != nil {
		return a
	}
	return choose(occupied)
}

// withdrawProbation removes the tasks of a job that ends.
func (d *dispatcher) withdrawProbation(j *job) {
	d.probation = slices.DeleteFunc(d.probation, func(ref queue.TaskRef) bool { return ref.Job == j.id })
}

// rememberedCrashes are the crashes under the tasks of a job that ended without a
// final answer. The workload has only the account if just other entries had the job.
type rememberedCrashes struct {
	workload workload
	crashes  map[int]containment.History
	at       time.Time // when the job ended
}

// rememberCrashes keeps the crashes under the tasks of a job whose caller will submit
// it again: otherwise a task that gets no second start before the job's deadline
// would crash a worker for each submission.
func (d *dispatcher) rememberCrashes(j *job) {
	if len(j.crashes) == 0 || j.leased.durable != nil {
		return
	}
	d.remember(j.leased.identifier, rememberedCrashes{j.leased.workload, maps.Clone(j.crashes), d.now})
}

func (d *dispatcher) remember(identifier string, m rememberedCrashes) {
	if d.crashMemory == nil {
		d.crashMemory = map[string]rememberedCrashes{}
	}
	d.crashMemory[identifier] = m
}

// recallCrashes gives a new job the crashes of an earlier submission of it.
func (d *dispatcher) recallCrashes(j *job) {
	m, ok := d.crashMemory[j.leased.identifier]
	elsewhere := m.workload == workload{account: j.account}
	if ok && (elsewhere || m.workload == j.leased.workload) && j.leased.durable == nil {
		if elsewhere {
			maps.DeleteFunc(m.crashes, func(index int, h containment.History) bool {
				return h.Crashes < minCrashesElsewhere || index < 0 || index >= j.count
			})
		}
		delete(d.crashMemory, j.leased.identifier)
		j.crashes = m.crashes
	}
}

// forgetCrashes drops crashes that were remembered for longer than an answer would
// have been.
func (d *dispatcher) forgetCrashes() {
	maps.DeleteFunc(d.crashMemory, func(_ string, m rememberedCrashes) bool { return d.now.Sub(m.at) >= leasedAnswerRetention })
	maps.DeleteFunc(d.countedCrashes, func(_ reportedRun, c countedCrash) bool { return d.now.Sub(c.at) >= leasedAnswerRetention })
}
