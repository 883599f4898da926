// Package placement keeps a table of agents with their estimated load and
// chooses an agent for each task.
//
// The estimated load of an agent is its newest report plus the tasks that this
// process sent since that report, and at least the number of tasks that this
// process has outstanding there. Reports carry a sequence number, so a late
// report never overwrites a newer one. The agent itself makes the final decision:
// a wrong estimate can cause a refusal but never a wrong start.
//
// An agent has room for a task if it is estimated to have the resources that the
// task needs, and a free slot or a free place in its queue.
//
// The agents of each data centre are indexed by score and free resources in a
// tree, so the cost of a decision is the number of data centres times the
// logarithm of the number of agents.
//
// # Use
//
// The caller describes each agent by Upsert, passes on the agent's reports, and
// sets SetUsable, SetFull and SetWeight from what it knows by other means. It
// calls CanEverRun when a job arrives, Feasible when a slot may be free, and then
// Choose, or ChooseFor to spread a job over racks. It calls RecordSent before it
// sends the task and RecordDone when the outcome is known. A custom Policy
// implements two methods; see IdleFirst for an example.
//
// Table reads no clock and takes no lock; the caller serialises its calls.
package placement

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Resources are the resources of a worker, or those that a task needs in
// addition to a slot.
type Resources = wire.Resources

// Load is an agent's report of its load, ordered by its sequence number.
type Load = wire.Load

// Agent describes an agent and its upstream.
type Agent struct {
	ID, DataCentre, Rack, Worker string
	// Pool is the pool of workers for leased tasks; empty for an HTTP upstream.
	Pool       string
	Slots      int // number of tasks that the upstream runs at a time
	QueueLimit int // number of tasks that may wait at the agent
	Capacity   Resources
	Distance   time.Duration // one-way delay from this process
	// Incarnation identifies the agent's process. Upsert keeps the known load
	// if the incarnation is non-zero and unchanged, and resets it otherwise.
	Incarnation wire.Incarnation
}

// Class is a set of placement constraints that many tasks share.
type Class struct {
	Name        string
	Pool        string   // pool for leased tasks; only agents of the same pool match
	DataCentres []string // allowed data centres; empty allows all
	Needs       Resources
}

// allows reports whether the class may run in the zone.
func (c Class) allows(z zoneKey) bool {
	return c.Pool == z.pool && c.AllowsDataCentre(z.dataCentre)
}

// AllowsDataCentre reports whether the class may run in the data centre.
func (c Class) AllowsDataCentre(dataCentre string) bool {
	if len(c.DataCentres) == 0 {
		return true
	}
	for _, d := range c.DataCentres {
		if d == dataCentre {
			return true
		}
	}
	return false
}

// Query describes a task for which a policy chooses an agent.
type Query struct {
	Class Class
	// Avoid reports whether an agent must not be chosen; nil avoids none. Each
	// avoided agent may add one step to the search.
	Avoid func(id string) bool
	// RackTasks returns the number of tasks of the same job in a rack. It is
	// nil when the job need not be spread over racks.
	RackTasks func(rack string) int
}

// Candidate is an agent with room for the task of a query.
type Candidate struct {
	ID, Rack string
	// Score ranks agents. Above 1 the agent has a free slot, and the score
	// grows with the number of free slots and the weight. Between 0 and 1 all
	// slots are in use and only the agent's queue has room.
	Score     float64
	Distance  time.Duration
	rackTasks int
}

// freeSlotScore is the score above which an agent has a free slot.
const freeSlotScore = 1.0

// Idle reports whether the agent is estimated to have a free slot.
func (c Candidate) Idle() bool { return c.Score > freeSlotScore }

// Policy chooses an agent for a task. Implementations search the View, which
// finds only usable agents.
type Policy interface {
	// Name returns the name of the policy in metrics and logs.
	Name() string
	// Choose returns the chosen agent; ok is false if it finds no agent with
	// room.
	Choose(v View, q Query) (id string, ok bool)
}

// Spread counts the tasks of one job in each rack. Its method Count can be used
// as Query.RackTasks.
type Spread struct{ racks map[string]int }

// Add records that a task of the job was sent to the rack.
func (s *Spread) Add(rack string) {
	if s.racks == nil {
		s.racks = make(map[string]int)
	}
	s.racks[rack]++
}

// Done records that a task of the job ended in the rack, or was not sent there.
func (s *Spread) Done(rack string) {
	if s.racks[rack] <= 1 {
		delete(s.racks, rack)
		return
	}
	s.racks[rack]--
}

// Count returns the number of tasks of the job in the rack.
func (s *Spread) Count(rack string) int { return s.racks[rack] }
