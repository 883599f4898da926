package entry

import (
	"maps"
	"slices"
	"time"

	"chicorytray.example/chicorytray/admission"
	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/placement"
	"chicorytray.example/chicorytray/wire"
)

// confinedRefresh is the interval at which the agents of confined templates are
// chosen again, because agents come and go.
const confinedRefresh = time.Second

// demandAverage is the time over which the demand on a pool is averaged. It spans
// several tasks, so that a moment between two jobs does not look like an idle pool.
const demandAverage = time.Second

// confinedTemplates are the templates whose tasks start only on some agents of their
// pool; see package containment.
type confinedTemplates struct {
	containment.Confinement
	members  map[string]map[string]bool // agents on which each confined template starts
	reserved map[string]bool            // union of members; other templates use them last

	// candidates are the agents to which each template would be confined. They are
	// determined again when agents come or go, and after confinedRefresh.
	candidates map[string]map[string]bool
	agents     int // number of known agents then
	refreshAt  time.Time
	// demand is the part of each pool's capacity that templates that are not confined
	// need, by pool, averaged over about demandAverage.
	demand map[string]float64
}

// updateConfinement determines which templates are confined, and to which agents. It
// is called at each tick and after each change of the convictions.
func (d *dispatcher) updateConfinement() {
	c := &d.confined
	names := c.Confined(d.now)
	if len(names) == 0 && len(c.members) == 0 {
		return
	}
	members, reserved := map[string]map[string]bool{}, map[string]bool{}
	for _, name := range names {
		m := d.agentsToConfine(name)
		if len(m) == 0 {
			continue
		}
		if c.members[name] == nil {
			d.log.Warn().Str("template", name).Int("agents", len(m)).Msg("template is confined because its tasks crash workers")
		}
		members[name] = m
		maps.Copy(reserved, m)
	}
	for name := range c.members {
		if members[name] == nil {
			d.log.Warn().Str("template", name).Msg("template is no longer confined")
		}
	}
	c.members, c.reserved = members, reserved
	d.metrics.templatesConfined.Update(float64(len(members)))
}

// convict records a conviction of the template. The peers are told at once until the template is confined: later
// convictions change nothing for them before the next heartbeat.
func (d *dispatcher) convict(template string) {
	inform := d.confined.members[template] == nil
	d.confined.Convict(d.now, template)
	d.updateConfinement()
	if inform {
		d.informPeers()
	}
}

// recordCrashReport records what a peer reported about tasks that crash workers.
func (d *dispatcher) recordCrashReport(b wire.PeerHeartbeat) {
	d.confined.RecordReport(d.now, containment.Peer{Entry: b.Entry.ID, Incarnation: b.Entry.Incarnation},
		containment.Report{Convictions: b.CrashingTasks, Confined: b.Confined})
	d.updateConfinement()
}

// crashReport returns what this entry reports to its peers about tasks that crash
// workers.
func (e *Entry) crashReport() (r containment.Report) {
	e.dispatcher.postAndWait(func(d *dispatcher) { r = d.confined.Report(d.now) })
	return r
}

// agentsToConfine returns the agents to which the template is or would be confined;
// none if its pool is too small or not known.
func (d *dispatcher) agentsToConfine(template string) map[string]bool {
	c := &d.confined
	if c.candidates == nil || len(d.agents) != c.agents || !d.now.Before(c.refreshAt) {
		c.candidates, c.agents, c.refreshAt = map[string]map[string]bool{}, len(d.agents), d.now.Add(confinedRefresh)
	}
	m, ok := c.candidates[template]
	if !ok {
		m = d.findAgentsToConfine(template)
		c.candidates[template] = m
	}
	return m
}

// findAgentsToConfine is agentsToConfine without its cache.
func (d *dispatcher) findAgentsToConfine(template string) map[string]bool {
	if d.view == nil {
		return nil
	}
	t, ok := d.view.Template(template)
	if !ok || t.Pool == "" {
		return nil
	}
	c := placement.Class{Pool: t.Pool, DataCentres: t.DataCentres}
	var agents []string
	for id, a := range d.agents {
		if a.ref.Pool == c.Pool && c.AllowsDataCentre(a.ref.DataCentre) {
			agents = append(agents, id)
		}
	}
	return containment.Members(t.Pool, agents, d.confined.demand[t.Pool])
}

// observeDemand updates the averages of the demand on the pools, at each tick. It
// assumes that the other entries have as much work as this one.
func (d *dispatcher) observeDemand() {
	c := &d.confined
	if c.demand == nil {
		c.demand = map[string]float64{}
	}
	maps.DeleteFunc(c.demand, func(name string, _ float64) bool { return d.pools[name] == nil })
	for name, p := range d.pools {
		capacity := d.table.KnownMilliCPU(placement.Class{Pool: name})
		if p.confined || capacity == 0 {
			continue
		}
		now := float64(p.milliCPU) * float64(len(d.knownEntries())) / float64(capacity)
		c.demand[name] += (now - c.demand[name]) * float64(tickInterval) / float64(demandAverage)
	}
}

// chooseConfined is like placement.Table.ChooseFor, but a task of a confined
// template is placed only on its agents, and a task of another template on these
// only if no other agent has room.
func (d *dispatcher) chooseConfined(template string, q placement.Query) (id string, ok bool) {
	avoid := q.Avoid
	if members := d.confined.members[template]; members != nil {
		q.Avoid = func(id string) bool { return !members[id] || avoid != nil && avoid(id) }
		return d.table.ChooseFor(q)
	}
	if len(d.confined.reserved) > 0 {
		q.Avoid = func(id string) bool { return d.confined.reserved[id] || avoid != nil && avoid(id) }
		if id, ok = d.table.ChooseFor(q); ok {
			return id, true
		}
		q.Avoid = avoid
	}
	return d.table.ChooseFor(q)
}

// feasible reports whether some agent on which the class may start is estimated to
// have room for a task of it.
func (d *dispatcher) feasible(c *class) bool {
	if d.confined.members[c.template] != nil {
		_, ok := d.chooseConfined(c.template, placement.Query{Class: c.Class})
		return ok
	}
	return d.table.Feasible(c.Class)
}

// checkConfinedAdmission refuses a job of a confined template if none of its agents
// is usable, or if it is expected to end only after it would be given up.
func (d *dispatcher) checkConfinedAdmission(s *submission, j *job, members map[string]bool) error {
	milliCPU := int64(0)
	for id := range members {
		if a := d.agents[id]; a != nil && a.usable {
			milliCPU += a.ref.Capacity.MilliCPU
		}
	}
	need := j.class.Needs.MilliCPU
	slots := milliCPU / need
	if slots == 0 {
		return retryLater(refusalRetryAfter, wire.Reason(admission.ReasonNoUpstream),
			"tasks of template %s crash workers, and none of the workers that are left to it is available", j.template.Name)
	}
	p := d.loadOf(j)
	request, state := d.admissionInput(s, j)
	request.DeadlineShare = 1
	state.QueuedTasks, state.QueuedWork = p.waiting, time.Duration(p.workAhead()/float64(need))
	state.Slots, state.ServiceRate = int(slots), d.poolOf(j.class.Pool).rate.Value()
	return admissionError(d.admission.Decide(d.now, request, state))
}

// StateContainment describes the tasks and templates that are kept apart because
// workers crashed under them.
type StateContainment struct {
	// Waiting is the number of tasks that wait to start on probation.
	Waiting     int                       `json:"waiting"`
	Convictions map[string]int            `json:"convictions"` // of this entry in the last containment.Memory, by template
	Templates   map[string][]string       `json:"templates"`   // the confined templates and their agents
	Peers       map[string]map[string]int `json:"peers"`       // convictions that peers reported, by entry and template
}

// dumpContainment returns nil if there is nothing to tell.
func (d *dispatcher) dumpContainment() *StateContainment {
	s := &StateContainment{
		Waiting: len(d.probation), Convictions: d.confined.Report(d.now).Convictions, Templates: map[string][]string{},
		Peers: d.confined.PeerConvictions(d.now),
	}
	for template, members := range d.confined.members {
		s.Templates[template] = slices.Sorted(maps.Keys(members))
	}
	if s.Waiting+len(s.Convictions)+len(s.Templates)+len(s.Peers) == 0 {
		return nil
	}
	return s
}
