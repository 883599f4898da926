package entry

import (
	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
)

// class groups tasks with the same placement constraints and account limits.
type class struct {
	placement.Class
	account string
}

func (d *dispatcher) classOf(t *config.Template) *class {
	name := className(t)
	if c := d.classes[name]; c != nil {
		return c
	}
	c := &class{account: t.Account, Class: placement.Class{
		Name: name, DataCentres: t.DataCentres, Needs: t.Needs.Resources(),
	}}
	d.classes[name] = c
	return c
}

// pump starts waiting tasks while agents are estimated to have room.
func (d *dispatcher) pump() {
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
