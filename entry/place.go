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
	account string
	durable bool
	jobs    int // that are not answered; the last one drops the class
}

// classOf returns the placement constraints of the submission's tasks and those
// of their class in the queue.
func (d *dispatcher) classOf(s *submission) (exact, queued placement.Class) {
	t := s.template
	if s.kind == config.KindLeased {
		return d.leasedClass(t, needsOf(s))
	}
	c := placement.Class{Name: className(t, t.Needs), DataCentres: t.DataCentres, Needs: t.Needs.Resources()}
	return c, c
}

// useClass makes the job's class known while the job is open.
func (d *dispatcher) useClass(j *job) {
	c := d.classes[j.queueClass.Name]
	if c == nil {
		c = &class{account: j.account, durable: durableOf(j) != nil, Class: j.queueClass}
		d.classes[c.Name] = c
	}
	c.jobs++
}

func (d *dispatcher) dropClass(j *job) {
	c := d.classes[j.queueClass.Name]
	if c == nil {
		return
	}
	if c.jobs--; c.jobs == 0 {
		delete(d.classes, c.Name)
	}
}

// pump starts waiting tasks while agents are estimated to have room.
func (d *dispatcher) pump() {
	if !d.mayStartNow() {
		return
	}
	var heldBack []queue.TaskRef
	for d.table.HasRoom() && len(heldBack) < maxHeldBack {
		ref, ok := d.queue.Next(d.now, d.feasible)
		if !ok {
			break
		}
		j := d.jobs[ref.Job]
		if j == nil || j.closing != nil || j.states[ref.Index] != taskWaiting {
			continue // withdrawn, or an end of an earlier run was learnt
		}
		a := d.place(j, ref.Index)
		if a == nil {
			heldBack = append(heldBack, ref)
			if !d.setBack(j, ref.Index) {
				break
			}
			continue
		}
		d.start(j, ref.Index, a)
	}
	for _, ref := range heldBack {
		d.queue.Requeue(ref)
	}
}

// maxHeldBack bounds the tasks that are passed over at a time because only
// agents at which they failed or stalled have room.
const maxHeldBack = 16

// setBack reports whether a run of the task failed or was stopped because it was
// stalled or slow.
func (d *dispatcher) setBack(j *job, index int) bool {
	return j.leased != nil && (j.leased.attempts[index] > 0 || j.leased.restarts[index] > 0)
}

// feasible reports whether a task of the class can be started now.
func (d *dispatcher) feasible(name string) bool {
	c := d.classes[name]
	return c != nil && (!c.durable || d.mayStartDurable()) && d.mayStart(c.account) && d.table.Feasible(c.Class)
}

// place picks the agent for a task, spreading a job over racks. A repeated
// attempt goes to an agent that the task has not met, where that is possible. A
// task that failed or was restarted waits for such an agent: one that fails
// whatever it starts has room when the others have none, and would use up all
// attempts at once.
func (d *dispatcher) place(j *job, index int) *agent {
	q := placement.Query{Class: j.class}
	if j.count > 1 {
		q.RackTasks = j.racks.Count
	}
	if tried, ok := j.tried[index]; ok {
		avoiding := q
		avoiding.Avoid = func(id string) bool { return slices.Contains(tried, id) }
		if id, ok := d.table.ChooseFor(avoiding); ok {
			return d.agents[id]
		}
		if d.setBack(j, index) && d.usableBeside(j.class, tried) {
			return nil
		}
	}
	if id, ok := d.table.ChooseFor(q); ok {
		return d.agents[id]
	}
	return nil
}

// usableBeside reports whether an agent that may run the class, other than
// those, can be used once it has room.
func (d *dispatcher) usableBeside(c placement.Class, tried []string) bool {
	for id, a := range d.agents {
		if a.usable && a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) && c.Needs.Fits(a.ref.Capacity) &&
			!slices.Contains(tried, id) {
			return true
		}
	}
	return false
}
