package entry

import (
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
)

// class groups tasks with the same placement constraints and account limits.
type class struct {
	placement.Class
	account string
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
		c = &class{account: j.account, Class: j.queueClass}
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
	for d.table.HasRoom() {
		ref, ok := d.queue.Next(d.now, d.feasible)
		if !ok {
			return
		}
		j := d.jobs[ref.Job]
		if j == nil || j.closing != nil {
			continue // withdrawn; its job was removed from the queue
		}
		a := d.place(j, ref.Index)
		if a == nil {
			d.queue.Return(ref)
			return
		}
		d.start(j, ref.Index, a)
	}
}

// feasible reports whether a task of the class can be started now.
func (d *dispatcher) feasible(name string) bool {
	c := d.classes[name]
	return c != nil && d.mayStart(c.account) && d.table.Feasible(c.Class)
}

// place picks the agent for a task, spreading a job over racks. A repeated
// attempt goes to another agent than the last one where that is possible.
func (d *dispatcher) place(j *job, index int) *agent {
	q := placement.Query{Class: j.class}
	if j.count > 1 {
		q.RackTasks = j.racks.Count
	}
	if last, ok := j.tried[index]; ok {
		avoiding := q
		avoiding.Avoid = func(id string) bool { return id == last }
		if id, ok := d.table.ChooseFor(avoiding); ok {
			return d.agents[id]
		}
	}
	if id, ok := d.table.ChooseFor(q); ok {
		return d.agents[id]
	}
	return nil
}
