// Package placement keeps a table of agents with their estimated load and
// picks one for a task.
//
// The estimate of an agent's load is its newest report plus the tasks that
// this process sent since, and at least the tasks that this process has
// outstanding there. Reports carry a sequence, so a late one never overwrites a
// newer one. The agent itself has the last word: an estimate that is wrong
// costs a refusal, never a wrong start.
//
// Agents are indexed by data centre and free slots in trees, so one decision
// costs the number of data centres times the logarithm of the number of agents.
//
// # Use
//
// The caller describes each agent by Upsert, passes on its reports, and says by
// SetUsable and SetWeight what it knows from elsewhere. For a task it asks
// CanEverRun when the job arrives, Feasible when a slot may be free, and then
// Choose, or ChooseFor to spread a job over racks. It calls Sent before it sends
// the task and Settled when the outcome is known. An own Policy needs two
// methods; see IdleFirst for an example.
//
// Table reads no clock and takes no lock; the caller serialises its calls.
package placement

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Resources of a worker or needed by a task, beside the slot.
type Resources = wire.Resources

// Load is an agent's report of its state.
type Load = wire.Load

// Agent describes an agent and the upstream beside it.
type Agent struct {
	ID, DataCentre, Rack, Worker string
	// Pool of workers for leased tasks; empty for an HTTP upstream.
	Pool       string
	Slots      int // tasks that the upstream runs at a time
	QueueLimit int // tasks that may wait at the agent
	Capacity   Resources
	Distance   time.Duration // one-way delay from this process
	// Incarnation of the agent's process. An Upsert with the non-zero
	// incarnation that is known keeps the agent's load; any other resets it.
	Incarnation wire.Incarnation
}

// Class is a set of placement constraints that many tasks share.
type Class struct {
	Name        string
	Pool        string   // of leased tasks; only agents of the same pool match
	DataCentres []string // empty: any
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

// Query asks a policy for one agent.
type Query struct {
	Class Class
	// Avoid reports agents that must not be chosen; nil avoids none. Each
	// avoided agent may add one step to the search.
	Avoid func(id string) bool
	// RackTasks returns how many tasks of the same job are in a rack; nil
	// when the task need not be spread.
	RackTasks func(rack string) int
}

// Candidate is an agent with room for the task of a query.
type Candidate struct {
	ID, Rack string
	// Score orders agents: above 1 there is a free slot, and the score grows
	// with free slots and weight; between 0 and 1 only the agent's queue has
	// room.
	Score     float64
	Distance  time.Duration
	rackTasks int
}

// freeSlotScore is the score above which an agent has a free slot.
const freeSlotScore = 1.0

// Idle reports whether the agent is estimated to have a free slot.
func (c Candidate) Idle() bool { return c.Score > freeSlotScore }

// Policy picks one agent for a task. Implementations look agents up in the
// View, which holds only usable agents.
type Policy interface {
	// Name is used in metrics and logs.
	Name() string
	// Choose returns false when the view holds no agent with room.
	Choose(v View, q Query) (id string, ok bool)
}

// Spread counts the tasks of one job by rack. Its Count is a Query's RackTasks.
type Spread struct{ racks map[string]int }

// Add records that a task of the job was sent to the rack.
func (s *Spread) Add(rack string) {
	if s.racks == nil {
		s.racks = make(map[string]int)
	}
	s.racks[rack]++
}

// Done records that a task of the job left the rack.
func (s *Spread) Done(rack string) {
	if s.racks[rack] <= 1 {
		delete(s.racks, rack)
		return
	}
	s.racks[rack]--
}

// Count returns the tasks of the job in the rack.
func (s *Spread) Count(rack string) int { return s.racks[rack] }
