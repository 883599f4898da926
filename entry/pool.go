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
	// agentAbsenceGrace is how long jobs are queued while no agent of their pool can
	// be used. Agents are found again within seconds after an outage.
	agentAbsenceGrace = 5 * time.Second
	// refusalRetryAfter is when a caller may try again after a refusal that says
	// nothing about the load.
	refusalRetryAfter = time.Second
	// cpuRoundingStep rounds the processors that a class needs, in thousandths of a
	// core. Needs differ from job to job; without it each waiting job has a
	// class of its own, and every free place is looked for once a class.
	cpuRoundingStep = 250
	// milliPerCore is the number of milli-CPU of one core.
	milliPerCore = 1000
)

// pool is what the dispatcher knows about the load of a pool of leased-task
// workers. Work is measured in processor time.
type pool struct {
	rate        admission.ServiceRate
	waiting     int     // tasks in the queue
	waitingWork float64 // of the waiting tasks, in thousandths of a core times nanoseconds
	running     int     // tasks at agents
	runningWork float64 // work of the tasks at agents
}

// workAhead is the work to be done before a job that arrives now. On average, half of
// the work of the running tasks is left.
func (p *pool) workAhead() float64 { return p.waitingWork + p.runningWork/2 }

func (d *dispatcher) poolOf(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{}
		d.pools[name] = p
	}
	return p
}

// removeUnusedPools drops pools that the configuration no longer names.
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

// addWaiting counts tasks of a job that entered the queue or, if n is
// negative, left it.
func (d *dispatcher) addWaiting(j *job, n int) {
	d.accounts[j.account].waiting += n
	if j.leased == nil {
		return
	}
	d.leasedWaiting.tasks += n
	d.leasedWaiting.work += time.Duration(n) * j.expected
	p := d.poolOf(j.class.Pool)
	p.waiting += n
	p.waitingWork += float64(n) * processorTime(j)
	if p.waiting == 0 {
		p.waitingWork = 0 // no rounding errors pile up
	}
}

// addRunning counts tasks of a job that came to an agent or, if n is negative,
// left it.
func (d *dispatcher) addRunning(j *job, n int) {
	d.accounts[j.account].running += n
	if j.leased == nil {
		return
	}
	j.leased.openRuns += n
	p := d.poolOf(j.class.Pool)
	p.running += n
	p.runningWork += float64(n) * processorTime(j)
	if p.running == 0 {
		p.runningWork = 0
	}
}

// processorTime of one task, in thousandths of a core times nanoseconds.
func processorTime(j *job) float64 { return float64(j.expected) * float64(j.class.Needs.MilliCPU) }

// waitingInPool returns the number of waiting tasks that agents of the pool can run;
// the empty pool has the HTTP tasks.
func (d *dispatcher) waitingInPool(name string) int {
	if name == "" {
		return d.queue.Len() - d.leasedWaiting.tasks
	}
	if p := d.pools[name]; p != nil {
		return p.waiting
	}
	return 0
}

// observeLeasedStart measures the rate at which this entry's work starts in the pool.
func (d *dispatcher) observeLeasedStart(j *job) {
	p := d.poolOf(j.class.Pool)
	backlog := p.waiting > 0 && !d.table.Feasible(j.class)
	cores := j.class
	cores.Needs.MilliCPU = milliPerCore // jobs differ in needs, so the rate is that of a core
	p.rate.Observe(d.now, time.Duration(processorTime(j)/milliPerCore), d.table.Slots(cores), backlog)
}

// checkLeasedRunnable refuses a job that no known agent of its pool can run.
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

// checkLeasedAdmission refuses a job that is expected to end after it would be given
// up, or that exceeds the limits of the queue or of its account.
func (d *dispatcher) checkLeasedAdmission(s *submission, j *job) error {
	if err := d.checkQueueLimit(s, j); err != nil {
		return err
	}
	slots := d.table.Slots(j.class)
	if slots == 0 && d.recentlyUsable(j.class) {
		return nil // the job waits for agents, at most until it is given up
	}
	p, need := d.poolOf(j.class.Pool), float64(j.class.Needs.MilliCPU)
	request, state := d.admissionInput(s, j)
	request.DeadlineShare = 1
	state.QueuedTasks, state.QueuedWork = p.waiting, time.Duration(p.workAhead()/need)
	state.Slots, state.ServiceRate = slots, p.rate.Value()
	return admissionError(d.admission.Decide(d.now, request, state))
}

// recentlyUsable reports whether agents of the class may only be out of sight.
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

// leasedClass returns the placement constraints of the tasks and those of their
// class in the queue, which has slightly higher needs.
func (d *dispatcher) leasedClass(t *config.Template, needs config.Needs) (exact, queued placement.Class) {
	exact = placement.Class{Pool: t.Pool, DataCentres: t.DataCentres, Needs: needs.Resources()}
	queued = exact
	queued.Needs.MilliCPU = (needs.MilliCPU + cpuRoundingStep - 1) / cpuRoundingStep * cpuRoundingStep
	if d.table.CanEverRun(queued) != nil {
		queued.Needs.MilliCPU = needs.MilliCPU // only the exact needs fit the largest worker
	}
	var b strings.Builder
	b.WriteString(strconv.Quote(t.Pool))
	rounded := needs
	rounded.MilliCPU = queued.Needs.MilliCPU
	b.WriteString(className(t, rounded))
	exact.Name, queued.Name = b.String(), b.String()
	return exact, queued
}
