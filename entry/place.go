package entry

import (
	"slices"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/queue"
	"chicorytray.example/chicorytray/speed"
)

// class groups tasks with the same placement constraints and account limits.
type class struct {
	placement.Class
	account  string
	durable  bool
	template string // of leased tasks; empty for HTTP tasks, whose templates share classes
	openJobs int    // jobs of the class that are not answered; the class is removed at 0
}

// placementClasses returns the placement constraints of the submission's tasks,
// and the constraints of their class in the queue.
func (d *dispatcher) placementClasses(s *submission) (exact, queued placement.Class) {
	t := s.template
	if s.kind == config.KindLeased {
		return d.leasedClass(t, taskNeeds(s))
	}
	c := placement.Class{Name: className(t, t.Needs), DataCentres: t.DataCentres, Needs: t.Needs.Resources()}
	return c, c
}

// acquireClass adds the job to its class in the queue, which exists while it
// has open jobs. releaseClass removes it again.
func (d *dispatcher) acquireClass(j *job) {
	c := d.classes[j.queueClass.Name]
	if c == nil {
		c = &class{account: j.account, durable: durableOf(j) != nil, Class: j.queueClass}
		if j.leased != nil {
			c.template = j.template.Name
		}
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
	d.placeProbation()
	d.beginRound()
	defer d.endRound()
	var skipped []queue.TaskRef
	for d.table.HasRoom() && len(skipped) < maxSkippedTasks && d.uneven.round.Held() < speed.MaxHeld {
		ref, ok := d.queue.Next(d.now, d.canStartClass)
		if !ok {
			break
		}
		j := d.jobs[ref.Job]
		if j == nil || j.failure != nil || j.states[ref.Index] != taskWaiting {
			continue // withdrawn, or an earlier run of the task was reported as done
		}
		a, held := d.chooseAgent(j, ref.Index)
		if held {
			d.holdForSpeed(ref, j.template.Name)
			continue
		}
		if a == nil {
			skipped = append(skipped, ref)
			if !d.failedOrRestarted(j, ref.Index) {
				break
			}
			continue
		}
		d.assignTask(j, ref.Index, a)
	}
	for _, ref := range skipped {
		d.queue.Requeue(ref)
	}
}

// maxSkippedTasks limits the tasks that one call of placeWaitingTasks skips
// because only agents at which they failed or stalled have room.
const maxSkippedTasks = 16

// failedOrRestarted reports whether a run of the task failed, or was stopped as
// stalled or slow.
func (d *dispatcher) failedOrRestarted(j *job, index int) bool {
	return j.leased != nil && (j.leased.failedRuns[index] > 0 || j.leased.restarts[index] > 0)
}

// canStartClass reports whether a task of the class could be started now.
func (d *dispatcher) canStartClass(name string) bool {
	c := d.classes[name]
	return c != nil && (!c.durable || d.mayStartDurable()) && d.accountMayStart(c.account) &&
		!d.uneven.round.Closed(c.template) && d.feasible(c)
}

// chooseAgent returns the agent for a task, or nil if the task has to wait. It
// spreads the tasks of a job over racks. A repeated attempt preferably goes to
// an agent that has not run the task. A task that failed or was restarted waits
// for such an agent: an agent that fails every task has room when the others
// have none, and would otherwise use up all attempts at once. held reports that the
// task waits for a fast worker; see speed.Held.
func (d *dispatcher) chooseAgent(j *job, index int) (a *agent, held bool) {
	q := placement.Query{Class: j.class}
	if j.count > 1 {
		q.RackTasks = j.rackSpread.Count
	}
	if tried, ok := j.avoidedAgents[index]; ok {
		avoiding := q
		avoiding.Avoid = func(id string) bool { return slices.Contains(tried, id) }
		if id, result := d.chooseForTask(j, avoiding); result != speed.NoRoom {
			return d.agents[id], result == speed.Held
		}
		if d.failedOrRestarted(j, index) && d.usableOtherThan(j, tried) {
			return nil, false
		}
	}
	id, result := d.chooseForTask(j, q)
	return d.agents[id], result == speed.Held
}

// usableOtherThan reports whether a usable agent exists that can run the job's tasks
// once it has room and is not in tried.
func (d *dispatcher) usableOtherThan(j *job, tried []string) bool {
	c, members := j.class, d.confined.members[j.template.Name]
	for id, a := range d.agents {
		if a.usable && (members == nil || members[id]) && a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) && c.Needs.Fits(a.ref.Capacity) &&
			!slices.Contains(tried, id) {
			return true
		}
	}
	return false
}
