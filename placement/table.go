package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// tableSeed is the default seed of the choice among equal agents; it makes tests
// repeatable. Entries with equal seeds soon choose differently, because they see
// different loads. SetSeed makes them differ from the start.
const tableSeed = 1

// Table holds the agents that a process knows.
type Table struct {
	policy Policy
	agents map[string]*agent
	zones  []*zone // nearest first
	random *rand.Rand
}

// zoneKey identifies a zone: agents of one pool and data centre with the same
// distance. Agents of one data centre usually have the same distance.
type zoneKey struct {
	pool       string
	dataCentre string
	distance   time.Duration
}

// zone holds the agents with one zoneKey.
type zone struct {
	key           zoneKey
	tree          tree
	agentsByShape map[shape]int // number of agents, usable or not
}

// shape holds the properties that decide whether an agent can ever run a task.
type shape struct {
	capacity Resources
	hasSlots bool
}

// agent is an Agent with its state and known load.
type agent struct {
	Agent
	zone   *zone
	leaf   int // index in zone.tree
	usable bool
	full   bool // set by SetFull
	weight float64

	reported         bool
	load             Load
	sentSince        int // tasks sent since the newest report
	sentNeeds        Resources
	outstanding      int // tasks sent and not done
	outstandingNeeds Resources
}

// NewTable returns an empty table that uses the policy.
func NewTable(p Policy) *Table {
	t := &Table{policy: p, agents: make(map[string]*agent)}
	t.SetSeed(tableSeed)
	return t
}

// SetSeed sets the seed for choices among equal agents. Processes that share
// agents should use different seeds.
func (t *Table) SetSeed(seed uint64) { t.random = rand.New(rand.NewPCG(seed, tableSeed)) }

// Upsert adds an agent or replaces its description. A new agent is usable and
// has weight 1. For a known agent the settings of SetUsable, SetFull and
// SetWeight are kept; its load and report sequence are reset unless the
// incarnation is non-zero and unchanged.
func (t *Table) Upsert(a Agent) {
	known, ok := t.agents[a.ID]
	if !ok {
		known = &agent{usable: true, weight: 1}
		t.agents[a.ID] = known
	} else {
		t.leaveZone(known)
		if a.Incarnation == 0 || a.Incarnation != known.Incarnation {
			*known = agent{usable: known.usable, full: known.full, weight: known.weight}
		}
	}
	known.Agent = a
	t.enterZone(known)
	t.update(known)
}

// Remove deletes an agent. An unknown identifier is ignored.
func (t *Table) Remove(id string) {
	if a, ok := t.agents[id]; ok {
		t.leaveZone(a)
		delete(t.agents, id)
	}
}

// SetUsable sets whether tasks may be sent to the agent. An agent should be
// usable if it is in service, not leaving, not suspect and not ejected.
func (t *Table) SetUsable(id string, usable bool) {
	if a, ok := t.agents[id]; ok {
		a.usable = usable
		t.update(a)
	}
}

// SetFull sets whether the agent has indicated that it has no room. A full agent
// gets no tasks, but its processors still count in Slots for leased tasks.
func (t *Table) SetFull(id string, full bool) {
	if a, ok := t.agents[id]; ok {
		a.full = full
		t.update(a)
	}
}

// SetWeight sets the fraction of its slots that an agent uses, above 0 and up to
// 1. A slow upstream gets less than 1. At least one slot is always used.
func (t *Table) SetWeight(id string, share float64) {
	if a, ok := t.agents[id]; ok && !math.IsNaN(share) {
		a.weight = min(max(share, minWeight), 1)
		t.update(a)
	}
}

// minWeight keeps a slow upstream in use with at least one task at a time, so
// that its recovery is detected.
const minWeight = 0.01

// Report records an agent's load. It returns false and ignores the load if the
// agent is unknown or the load is not newer than the last one. For one reply it
// may be called before or after RecordDone.
func (t *Table) Report(id string, l Load) bool { return t.ReportWithUnseen(id, l, 0, Resources{}) }

// ReportWithUnseen is like Report for a load that does not yet include some of
// the sent tasks: unseen is their number and needs the sum of their needs.
func (t *Table) ReportWithUnseen(id string, l Load, unseen int, needs Resources) bool {
	a, ok := t.agents[id]
	if !ok || (a.reported && l.Sequence <= a.load.Sequence) {
		return false
	}
	a.reported, a.load = true, l
	a.sentSince, a.sentNeeds = unseen, needs
	t.update(a)
	return true
}

// RecordSent records that a task with the needs n is being sent to the agent.
func (t *Table) RecordSent(id string, n Resources) {
	if a, ok := t.agents[id]; ok {
		a.sentSince++
		a.sentNeeds = a.sentNeeds.Plus(n)
		a.outstanding++
		a.outstandingNeeds = a.outstandingNeeds.Plus(n)
		t.update(a)
	}
}

// RecordDone records that a task with the needs n is no longer outstanding: its
// reply was received, or it was proved that the task was not sent.
func (t *Table) RecordDone(id string, n Resources) {
	a, ok := t.agents[id]
	if !ok || a.outstanding == 0 {
		return
	}
	a.outstanding--
	a.outstandingNeeds = minResources(a.outstandingNeeds, a.outstandingNeeds.Minus(n))
	if a.outstanding == 0 {
		a.outstandingNeeds = Resources{}
	}
	a.sentSince = min(a.sentSince, a.outstanding)
	a.sentNeeds = minResources(a.sentNeeds, a.outstandingNeeds)
	t.update(a)
}

// Len returns the number of known agents.
func (t *Table) Len() int { return len(t.agents) }

// Rack returns an agent's rack, or "" if the agent is unknown.
func (t *Table) Rack(id string) string {
	if a, ok := t.agents[id]; ok {
		return a.Rack
	}
	return ""
}

// Slots returns the number of slots of the usable agents in the class's data
// centres, reduced by their weights. For a class of leased tasks it returns the
// number of tasks that the processors of the usable agents in its pool can run,
// and at least 1 if these agents have any processors.
func (t *Table) Slots(c Class) int {
	slots, milliCPU := 0, int64(0)
	for _, z := range t.zones {
		if c.allows(z.key) {
			root := z.tree.root()
			slots += root.slots
			milliCPU += root.milliCPU
		}
	}
	if c.Pool == "" || c.Needs.MilliCPU <= 0 {
		return slots
	}
	return int(max(milliCPU/c.Needs.MilliCPU, min(milliCPU, 1)))
}

// KnownMilliCPU returns the total processor capacity, in thousandths of a core,
// of the known agents in the class's pool and data centres, usable or not.
func (t *Table) KnownMilliCPU(c Class) int64 {
	sum := int64(0)
	for _, z := range t.zones {
		if !c.allows(z.key) {
			continue
		}
		for s, agents := range z.agentsByShape {
			sum += s.capacity.MilliCPU * int64(agents)
		}
	}
	return sum
}

// KnownAgents returns the number of known agents in the class's pool and data centres,
// usable or not.
func (t *Table) KnownAgents(c Class) int {
	sum := 0
	for _, z := range t.zones {
		if !c.allows(z.key) {
			continue
		}
		for _, agents := range z.agentsByShape {
			sum += agents
		}
	}
	return sum
}

// Feasible reports whether some usable agent is estimated to have room for a
// task of the class now.
func (t *Table) Feasible(c Class) bool {
	v := View{t}
	for i := range t.zones {
		if _, ok := v.Random(i, Query{Class: c}, 0); ok {
			return true
		}
	}
	return false
}

// HasRoom reports whether any usable agent is estimated to have room for a task
// without needs. If it returns false, Feasible is false for every class, so a
// dispatcher need not check each class.
func (t *Table) HasRoom() bool {
	for _, z := range t.zones {
		if z.tree.root().agentsWithRoom > 0 {
			return true
		}
	}
	return false
}

// Choose chooses an agent for a task of the class by the table's policy. It does
// not choose agents for which avoid returns true; nil avoids none.
func (t *Table) Choose(c Class, avoid func(id string) bool) (id string, ok bool) {
	return t.ChooseFor(Query{Class: c, Avoid: avoid})
}

// ChooseFor chooses an agent for a query by the table's policy. Unlike Choose it
// can spread a job over racks, if Query.RackTasks is set.
func (t *Table) ChooseFor(q Query) (id string, ok bool) {
	return t.policy.Choose(View{t}, q)
}

func (t *Table) enterZone(a *agent) {
	key := zoneKey{a.Pool, a.DataCentre, a.Distance}
	i, found := slices.BinarySearchFunc(t.zones, key, func(z *zone, k zoneKey) int { return compareZones(z.key, k) })
	if !found {
		t.zones = slices.Insert(t.zones, i, &zone{key: key, agentsByShape: make(map[shape]int)})
	}
	a.zone = t.zones[i]
	a.leaf = a.zone.tree.add(a)
	a.zone.agentsByShape[a.shape()]++
}

func (t *Table) leaveZone(a *agent) {
	z := a.zone
	z.tree.remove(a.leaf)
	s := a.shape()
	if z.agentsByShape[s]--; z.agentsByShape[s] == 0 {
		delete(z.agentsByShape, s)
	}
	if len(z.agentsByShape) == 0 {
		t.zones = slices.DeleteFunc(t.zones, func(o *zone) bool { return o == z })
	}
}

func compareZones(a, b zoneKey) int {
	if a.distance != b.distance {
		return int(min(max(a.distance-b.distance, -1), 1))
	}
	return cmp.Or(strings.Compare(a.dataCentre, b.dataCentre), strings.Compare(a.pool, b.pool))
}

func (t *Table) update(a *agent) { a.zone.tree.set(a.leaf, a.node()) }

func (a *agent) shape() shape { return shape{a.Capacity, a.Slots > 0} }

// node returns the agent's leaf in the tree of its zone.
func (a *agent) node() node {
	n := node{capacityFree: a.estimatedFree()}
	if !a.usable || a.Slots <= 0 {
		return n
	}
	slots := max(int(math.Ceil(float64(a.Slots)*a.weight)), 1)
	n.milliCPU = int64(float64(a.Capacity.MilliCPU) * a.weight)
	if a.full {
		return n
	}
	n.slots = slots
	load := a.tasks()
	if a.Pool != "" {
		if slots > load && n.capacityFree.MilliCPU > 0 {
			n.maxScore = freeSlotScore + float64(n.capacityFree.MilliCPU)/milliPerCore*a.weight
			n.maxScoreAgents, n.agentsWithRoom = 1, 1
		}
		return n
	}
	switch idle := n.slots - load; {
	case idle > 0:
		n.maxScore = freeSlotScore + float64(idle)*a.weight
	case a.weight == 1 && idle+a.QueueLimit > 0:
		// A slow upstream gets no queued tasks. It has more slots than its
		// weight allows, so they would start at once instead of waiting.
		n.maxScore = float64(idle+a.QueueLimit) / float64(a.QueueLimit+1)
	default:
		return n
	}
	n.maxScoreAgents, n.agentsWithRoom = 1, 1
	return n
}

// milliPerCore is the number of thousandths in one core. The score of agents for
// leased tasks counts free cores, because such agents have more slots than tasks
// that fit.
const milliPerCore = 1000

// tasks returns the estimated number of tasks at the agent.
func (a *agent) tasks() int { return max(a.load.Running+a.load.Queued+a.sentSince, a.outstanding) }

// estimatedFree returns the estimated free resources of the agent. They are never
// negative, so that a task without needs fits even if the usage exceeds the
// capacity.
func (a *agent) estimatedFree() Resources {
	free := a.Capacity
	if a.reported {
		free = minResources(free, a.load.Free)
	}
	free = minResources(free.Minus(a.sentNeeds), a.Capacity.Minus(a.outstandingNeeds))
	if a.Pool != "" && a.weight < 1 && a.tasks() > 0 {
		// Slots do not limit leased tasks, so a slow agent with at least one
		// task offers only a fraction of its processors. Without tasks it
		// offers all of them, so it always gets one task.
		withheld := int64(float64(a.Capacity.MilliCPU) * (1 - a.weight))
		free.MilliCPU -= withheld
	}
	return maxResources(free, Resources{})
}

func minResources(a, b Resources) Resources {
	return Resources{
		Accelerators: min(a.Accelerators, b.Accelerators),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
	}
}

func maxResources(a, b Resources) Resources {
	return Resources{
		Accelerators: max(a.Accelerators, b.Accelerators),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
	}
}
