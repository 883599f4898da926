package entry

import (
	"slices"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
)

// class groups tasks with the same placement constraints and account limits.
type class struct {
	placement.Class
	account  string
	durable  bool
	openJobs int // that are not answered; the last one drops the class
}

// placementClasses returns the placement constraints of the submission's tasks and those
// of their class in the queue.
func (d *dispatcher) placementClasses(s *submission) (exact, queued placement.Class) {
	t := s.template
	if s.kind == config.KindLeased {
		return d.leasedClass(t, taskNeeds(s))
	}
	c := placement.Class{Name: className(t, t.Needs), DataCentres: t.DataCentres, Needs: t.Needs.Resources()}
	return c, c
}

// acquireClass makes the job's class known while the job is open.
func (d *dispatcher) acquireClass(j *job) {
	c := d.classes[j.queueClass.Name]
	if c == nil {
		c = &class{account: j.account, durable: durableOf(j) != nil, Class: j.queueClass}
		d.classes[c.Name] = c
	}
	c.openJobs++
}

func (d *dispatcher) releaseClass(j *job) {
	c := d.classes[j.queueClass.Name]
	if c == nil {
		return
	}
	if c.openJobs--; c.openJobs == 0 {
		delete(d.classes, c.Name)
	}
}

// placeWaitingTasks starts waiting tasks while agents are estimated to have room.
func (d *dispatcher) placeWaitingTasks() {
	if !d.mayStartNow() {
		return
	}
	var heldBack []queue.TaskRef
	for d.table.HasRoom() && len(heldBack) < maxSkippedTasks {
		ref, ok := d.queue.Next(d.now, d.canStartClass)
		if !ok {
			break
		}
		j := d.jobs[ref.Job]
		if j == nil || j.failure != nil || j.states[ref.Index] != taskWaiting {
			continue // withdrawn, or an end of an earlier run was learnt
		}
		a := d.chooseAgent(j, ref.Index)
		if a == nil {
			heldBack = append(heldBack, ref)
			if !d.failedOrRestarted(j, ref.Index) {
				break
			}
			continue
		}
		d.assignTask(j, ref.Index, a)
	}
	for _, ref := range heldBack {
		d.queue.Requeue(ref)
	}
}

// maxSkippedTasks bounds the tasks that are passed over at a time because only
// agents at which they failed or stalled have room.
const maxSkippedTasks = 16

// failedOrRestarted reports whether a run of the task failed or was stopped because it was
// stalled or slow.
func (d *dispatcher) failedOrRestarted(j *job, index int) bool {
	return j.leased != nil && (j.leased.failedRuns[index] > 0 || j.leased.restarts[index] > 0)
}

// canStartClass reports whether a task of the class can be started now.
func (d *dispatcher) canStartClass(name string) bool {
	c := d.classes[name]
	return c != nil && (!c.durable || d.mayStartDurable()) && d.accountMayStart(c.account) && d.table.Feasible(c.Class)
}

// chooseAgent picks the agent for a task, spreading a job over racks. A repeated
// attempt goes to an agent that the task has not met, where that is possible. A
// task that failed or was restarted waits for such an agent: one that fails
// whatever it starts has room when the others have none, and would use up all
// attempts at once.
func (d *dispatcher) chooseAgent(j *job, index int) *agent {
	q := placement.Query{Class: j.class}
	if j.count > 1 {
		q.RackTasks = j.rackSpread.Count
	}
	if tried, ok := j.avoidedAgents[index]; ok {
		avoiding := q
		avoiding.Avoid = func(id string) bool { return slices.Contains(tried, id) }
		if id, ok := d.table.ChooseFor(avoiding); ok {
			return d.agents[id]
		}
		if d.failedOrRestarted(j, index) && d.usableOtherThan(j.class, tried) {
			return nil
		}
	}
	if id, ok := d.table.ChooseFor(q); ok {
		return d.agents[id]
	}
	return nil
}

// usableOtherThan reports whether an agent that may run the class, other than
// those, can be used once it has room.
func (d *dispatcher) usableOtherThan(c placement.Class, tried []string) bool {
	for id, a := range d.agents {
		if a.usable && a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) && c.Needs.Fits(a.ref.Capacity) &&
			!slices.Contains(tried, id) {
			return true
		}
	}
	return false
}
