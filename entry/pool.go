package entry

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

const (
	// agentAbsenceGrace is how long jobs are still accepted into the queue after
	// the last agent of their pool became unusable. After an outage agents are
	// usable again within seconds.
	agentAbsenceGrace = 5 * time.Second
	// refusalRetryAfter is when a caller may try again after a refusal for a
	// reason other than load.
	refusalRetryAfter = time.Second
	// cpuRoundingStep is the step, in thousandths of a core, to which the
	// processor needs of a class in the queue are rounded up. Needs differ from
	// job to job; without rounding, each waiting job would have a class of its
	// own, and the table would be searched for free capacity once for each.
	cpuRoundingStep = 250
	// milliPerCore is the number of milli-CPU of one core.
	milliPerCore = 1000
)

// pool is this entry's load of a pool of leased-task workers. Work is measured in
// processor time: thousandths of a core times nanoseconds.
type pool struct {
	rate        admission.ServiceRate
	objective   *admission.Objective // nil unless jobs are accepted by objective
	waiting     int                  // tasks in the queue
	waitingWork float64              // expected work of the waiting tasks
	running     int                  // tasks at agents
	runningWork float64              // expected work of the tasks at agents
	milliCPU    int64                // processor needs of all these tasks, in thousandths of a core
	confined    bool                 // the load of a confined template; see loadOf
}

// workAhead returns the work to be done before a job that arrives now. It assumes
// that running tasks are half done on average.
func (p *pool) workAhead() float64 { return p.waitingWork + p.runningWork/2 }

func (d *dispatcher) poolOf(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{}
		if d.overload.byObjective {
			p.objective = admission.NewObjective(admission.ObjectiveOptions{})
		}
		d.pools[name] = p
	}
	return p
}

// loadOf returns the load to which the job's tasks belong: that of its pool, or one
// of its own for a template that was confined when the job arrived, whose tasks
// leave most of the pool to others.
func (d *dispatcher) loadOf(j *job) *pool {
	if j.leased.confined {
		p := d.poolOf(j.class.Pool + "\x00" + j.template.Name)
		p.confined = true
		return p
	}
	return d.poolOf(j.class.Pool)
}

// removeUnusedPools removes pools without tasks that no template of the
// configuration names.
func (d *dispatcher) removeUnusedPools() {
	for name, p := range d.pools {
		if p.waiting == 0 && p.running == 0 && !d.configNamesPool(name) {
			delete(d.pools, name)
		}
	}
}

func (d *dispatcher) configNamesPool(name string) bool {
	for i := range d.view.Document().Templates {
		if d.view.Document().Templates[i].Pool == name {
			return true
		}
	}
	return false
}

// addWaiting counts n tasks of a job that entered the queue; a negative n counts
// tasks that left it.
func (d *dispatcher) addWaiting(j *job, n int) {
	d.accounts[j.account].waiting += n
	if j.leased == nil {
		return
	}
	d.leasedWaiting.tasks += n
	d.leasedWaiting.work += time.Duration(n) * j.expected
	p := d.loadOf(j)
	p.waiting += n
	p.milliCPU += int64(n) * j.class.Needs.MilliCPU
	p.waitingWork += float64(n) * processorTime(j)
	if p.waiting == 0 {
		p.waitingWork = 0 // discards accumulated rounding errors
	}
	if p.objective != nil {
		p.objective.Add(d.now, &j.leased.admission, n, processorTime(j))
	}
}

// addRunning counts n tasks of a job that were assigned to an agent; a negative n
// counts tasks whose run has ended.
func (d *dispatcher) addRunning(j *job, n int) {
	d.accounts[j.account].running += n
	if j.leased == nil {
		return
	}
	j.leased.openRuns += n
	p := d.loadOf(j)
	p.running += n
	p.milliCPU += int64(n) * j.class.Needs.MilliCPU
	p.runningWork += float64(n) * processorTime(j)
	if p.running == 0 {
		p.runningWork = 0
	}
}

// processorTime returns the expected work of one task of the job, in
// thousandths of a core times nanoseconds.
func processorTime(j *job) float64 { return float64(j.expected) * float64(j.class.Needs.MilliCPU) }

// waitingInPool returns the number of waiting tasks that agents of the pool can
// run. The pool with the empty name runs the HTTP tasks.
func (d *dispatcher) waitingInPool(name string) int {
	if name == "" {
		return d.queue.Len() + len(d.probation) - d.leasedWaiting.tasks
	}
	if p := d.pools[name]; p != nil {
		return p.waiting
	}
	return 0
}

// observeLeasedStart updates the rate at which this entry's work starts in the
// pool with the start of one task of the job.
func (d *dispatcher) observeLeasedStart(j *job) {
	if j.leased.confined {
		return
	}
	p := d.poolOf(j.class.Pool)
	backlog := p.waiting > 0 && !d.table.Feasible(j.class)
	cores := j.class
	cores.Needs.MilliCPU = milliPerCore // the needs of jobs differ, so the rate is measured per core
	p.rate.Observe(d.now, time.Duration(processorTime(j)/milliPerCore), d.table.Slots(cores), backlog)
}

// checkLeasedRunnable refuses a job that no known agent of its pool can ever
// run. It refuses none within agentAbsenceGrace after the start of the process,
// when agents may not be known yet.
func (d *dispatcher) checkLeasedRunnable(j *job) error {
	err := d.table.CanEverRun(j.class)
	if err == nil || d.now.Sub(d.startedAt) < agentAbsenceGrace {
		return nil
	}
	if never := (*placement.InfeasibleError)(nil); errors.As(err, &never) && len(never.NoAgentIn) == 0 {
		return notRun(http.StatusUnprocessableEntity, reasonCanNeverRun, "%v", err)
	}
	return retryLater(refusalRetryAfter, wire.Reason(admission.ReasonNoUpstream), "%v", err)
}

// checkLeasedAdmission refuses a job that exceeds the limits of the queue or of
// its account, or that is expected to end only after it would be given up.
func (d *dispatcher) checkLeasedAdmission(s *submission, j *job) error {
	if err := d.checkQueueLimit(s, j); err != nil {
		return err
	}
	if members := d.confined.members[j.template.Name]; members != nil {
		return d.checkConfinedAdmission(s, j, members)
	}
	slots := d.table.Slots(j.class)
	if slots == 0 && d.recentlyUsable(j.class) {
		return nil // the job waits for agents until it is given up
	}
	if d.overload.byObjective && d.table.KnownAgents(j.class) >= d.overload.minAgents {
		return d.checkObjective(s, j, slots)
	}
	p, need := d.poolOf(j.class.Pool), float64(j.class.Needs.MilliCPU)
	request, state := d.admissionInput(s, j)
	request.DeadlineShare = 1
	state.QueuedTasks, state.QueuedWork = p.waiting, time.Duration(p.workAhead()/need)
	state.Slots, state.ServiceRate = slots, p.rate.Value()
	return admissionError(d.admission.Decide(d.now, request, state))
}

// recentlyUsable reports whether an agent for the class is usable or was usable
// within agentAbsenceGrace, so that it may only be unreachable for a short
// time.
func (d *dispatcher) recentlyUsable(c placement.Class) bool {
	if d.now.Sub(d.startedAt) < agentAbsenceGrace {
		return true
	}
	for _, a := range d.agents {
		if a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) && (a.usable || d.now.Sub(a.lastUsable) < agentAbsenceGrace) {
			return true
		}
	}
	return false
}

// leasedClass returns the placement constraints of leased tasks, and the
// constraints of their class in the queue, whose processor needs are rounded up
// to cpuRoundingStep.
func (d *dispatcher) leasedClass(t *config.Template, needs config.Needs) (exact, queued placement.Class) {
	exact = placement.Class{Pool: t.Pool, DataCentres: t.DataCentres, Needs: needs.Resources()}
	queued = exact
	queued.Needs.MilliCPU = (needs.MilliCPU + cpuRoundingStep - 1) / cpuRoundingStep * cpuRoundingStep
	if d.table.CanEverRun(queued) != nil {
		queued.Needs.MilliCPU = needs.MilliCPU // the rounded needs exceed the largest worker
	}
	var b strings.Builder
	b.WriteString(strconv.Quote(t.Pool))
	rounded := needs
	rounded.MilliCPU = queued.Needs.MilliCPU
	b.WriteString(className(t, rounded))
	b.WriteString(strconv.Quote(t.Name)) // a confined template must not hold up the tasks of others
	exact.Name, queued.Name = b.String(), b.String()
	return exact, queued
}
