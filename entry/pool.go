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
	// outOfSight is how long jobs are queued while no agent of their pool can
	// be used. Agents are found again within seconds after an outage.
	outOfSight = 5 * time.Second
	// retryRefused is when a caller may try again after a refusal that says
	// nothing about the load.
	retryRefused = time.Second
	// cpuStep rounds the processors that a class needs, in thousandths of a
	// core. Needs differ from job to job; without it each waiting job has a
	// class of its own, and every free place is looked for once a class.
	cpuStep = 250
	// milliPerCore is the number of milli-CPU of one core.
	milliPerCore = 1000
)

// pool is what the dispatcher knows about the load of a pool of leased-task
// workers. Work is measured in processor time.
type pool struct {
	rate    admission.ServiceRate
	waiting int     // tasks in the queue
	work    float64 // of the waiting tasks, in thousandths of a core times nanoseconds
	running int     // tasks at agents
	started float64 // work of the tasks at agents
}

// ahead is the work to be done before a job that arrives now. On average, half of
// the work of the running tasks is left.
func (p *pool) ahead() float64 { return p.work + p.started/2 }

func (d *dispatcher) poolOf(name string) *pool {
	p := d.pools[name]
	if p == nil {
		p = &pool{}
		d.pools[name] = p
	}
	return p
}

// forgetPools drops pools that the configuration no longer names.
func (d *dispatcher) forgetPools() {
	for name, p := range d.pools {
		if p.waiting == 0 && p.running == 0 && !d.namesPool(name) {
			delete(d.pools, name)
		}
	}
}

func (d *dispatcher) namesPool(name string) bool {
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
	p.work += float64(n) * processorTime(j)
	if p.waiting == 0 {
		p.work = 0 // no rounding errors pile up
	}
}

// addRunning counts tasks of a job that came to an agent or, if n is negative,
// left it.
func (d *dispatcher) addRunning(j *job, n int) {
	d.accounts[j.account].running += n
	if j.leased == nil {
		return
	}
	j.leased.out += n
	p := d.poolOf(j.class.Pool)
	p.running += n
	p.started += float64(n) * processorTime(j)
	if p.running == 0 {
		p.started = 0
	}
}

// processorTime of one task, in thousandths of a core times nanoseconds.
func processorTime(j *job) float64 { return float64(j.expected) * float64(j.class.Needs.MilliCPU) }

// waitingFor returns the number of waiting tasks that agents of the pool can run;
// the empty pool has the HTTP tasks.
func (d *dispatcher) waitingFor(name string) int {
	if name == "" {
		return d.queue.Len() - d.leasedWaiting.tasks
	}
	if p := d.pools[name]; p != nil {
		return p.waiting
	}
	return 0
}

// countLeasedStart measures the rate at which this entry's work starts in the pool.
func (d *dispatcher) countLeasedStart(j *job) {
	p := d.poolOf(j.class.Pool)
	backlog := p.waiting > 0 && !d.table.Feasible(j.class)
	cores := j.class
	cores.Needs.MilliCPU = milliPerCore // jobs differ in needs, so the rate is that of a core
	p.rate.Observe(d.now, time.Duration(processorTime(j)/milliPerCore), d.table.Slots(cores), backlog)
}

// checkLeasedRunnable refuses a job that no known agent of its pool can run.
func (d *dispatcher) checkLeasedRunnable(j *job) error {
	err := d.table.CanEverRun(j.class)
	if err == nil || d.now.Sub(d.began) < outOfSight {
		return nil
	}
	if never := (*placement.InfeasibleError)(nil); errors.As(err, &never) && len(never.NoAgentIn) == 0 {
		return notRun(http.StatusUnprocessableEntity, reasonNeverRuns, "%v", err)
	}
	return retryLater(retryRefused, wire.Reason(admission.ReasonNoUpstream), "%v", err)
}

// decideLeased refuses a job that is expected to end after it would be given
// up, or that exceeds the limits of the queue or of its account.
func (d *dispatcher) decideLeased(s *submission, j *job) error {
	if err := d.checkQueue(s, j); err != nil {
		return err
	}
	slots := d.table.Slots(j.class)
	if slots == 0 && d.recentlyUsable(j.class) {
		return nil // the job waits for agents, at most until it is given up
	}
	p, need := d.poolOf(j.class.Pool), float64(j.class.Needs.MilliCPU)
	request, state := d.admissionOf(s, j)
	request.DeadlineShare = 1
	state.QueuedTasks, state.QueuedWork = p.waiting, time.Duration(p.ahead()/need)
	state.Slots, state.ServiceRate = slots, p.rate.Value()
	return refusalOf(d.admission.Decide(d.now, request, state))
}

// recentlyUsable reports whether agents of the class may only be out of sight.
func (d *dispatcher) recentlyUsable(c placement.Class) bool {
	if d.now.Sub(d.began) < outOfSight {
		return true
	}
	for _, a := range d.agents {
		if a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) && (a.usable || d.now.Sub(a.usableAt) < outOfSight) {
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
	queued.Needs.MilliCPU = (needs.MilliCPU + cpuStep - 1) / cpuStep * cpuStep
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
