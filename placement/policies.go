package placement

// Random chooses uniformly among the agents with room in all data centres that
// the class allows. It is the baseline against which other policies are measured.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

// Choose implements Policy.
func (Random) Choose(v View, q Query) (id string, ok bool) {
	c, ok := randomAgent(v, q)
	return c.ID, ok
}

// randomAgent returns a random agent with room. Zones are drawn in proportion to
// their number of agents with room, so that all agents are equally likely. If the
// drawn zone has no agent that fits the query, the other zones are tried in order.
func randomAgent(v View, q Query) (Candidate, bool) {
	zones, open := v.Zones(), 0
	for i := range zones {
		open += v.AgentsWithRoom(i, q.Class)
	}
	if open == 0 {
		return Candidate{}, false
	}
	first, n := 0, v.IntN(open)
	for n >= v.AgentsWithRoom(first, q.Class) {
		n -= v.AgentsWithRoom(first, q.Class)
		first++
	}
	for i := range zones {
		if c, ok := v.Random((first+i)%zones, q, 0); ok {
			return c, true
		}
	}
	return Candidate{}, false
}

// IdleFirst chooses an agent with a free slot in the nearest data centre that has
// one: the agent with the most free slots, or one of a few others with a free
// slot whose rack has fewer tasks of the same job. Only when no agent in any data
// centre has a free slot does it use the agents' queues, again nearest first.
type IdleFirst struct{}

// spreadCandidates is the number of agents that are compared by the tasks of the
// job in their racks. A task starts equally soon in a free slot of any agent of a
// data centre, so spreading does not increase the response time.
const spreadCandidates = 4

// Name implements Policy.
func (IdleFirst) Name() string { return "idle_first" }

// Choose implements Policy.
func (IdleFirst) Choose(v View, q Query) (id string, ok bool) {
	for _, above := range []float64{freeSlotScore, 0} {
		for i := range v.Zones() {
			if c, ok := v.Best(i, q, above); ok {
				return spreadOverRacks(v, i, q, c, above).ID, true
			}
		}
	}
	return "", false
}

// spreadOverRacks returns the best agent, or one of a few random others whose
// rack has fewer tasks of the job.
func spreadOverRacks(v View, zone int, q Query, best Candidate, above float64) Candidate {
	if q.RackTasks == nil {
		return best
	}
	for n := 1; n < spreadCandidates && best.rackTasks > 0; n++ {
		c, ok := v.Random(zone, q, above)
		if ok && (c.rackTasks < best.rackTasks || c.rackTasks == best.rackTasks && c.Score > best.Score) {
			best = c
		}
	}
	return best
}
