package placement

import (
	"math/bits"
	"time"
)

// A search visits at most visitsBase + visitsPerLevel × levels nodes. Without
// needed resources and agents to avoid it visits two nodes on each level. It
// visits more where the agents with free slots lack a resource that their
// neighbours in the tree have. The limit keeps the cost of every decision
// logarithmic. A search that reaches the limit reports no room; a later one takes
// another random path. A zone of up to 100 agents is always searched completely.
const (
	visitsBase     = 128
	visitsPerLevel = 32
)

// View gives a policy access to the usable agents of a table. Its zones are data
// centres, numbered from 0 in order of distance, nearest first.
type View struct{ t *Table }

// Zones returns the number of zones, including those without usable agents.
func (v View) Zones() int { return len(v.t.zones) }

// Distance returns the one-way delay to a zone.
func (v View) Distance(zone int) time.Duration { return v.t.zones[zone].key.distance }

// AgentsWithRoom returns the number of agents with room in a zone, or 0 if the
// class may not run there. The resources that the class needs are not considered.
func (v View) AgentsWithRoom(zone int, c Class) int {
	z := v.t.zones[zone]
	if !c.allows(z.key) {
		return 0
	}
	return z.tree.root().agentsWithRoom
}

// IntN returns a random number from 0 to n-1. It panics if n <= 0.
func (v View) IntN(n int) int { return v.t.random.IntN(n) }

// Best returns the agent with the highest score that fits the query, if that
// score exceeds above. Among agents with equal scores it chooses at random. If
// the search reaches the limit of visits without a result, Best is like Random.
func (v View) Best(zone int, q Query, above float64) (Candidate, bool) {
	c, ok, limited := v.search(zone, q, above, true)
	if !ok && limited {
		// Another search by score would reach the limit at the same agents.
		return v.Random(zone, q, above)
	}
	return c, ok
}

// Random returns a random agent that fits the query and whose score exceeds
// above. If above is 0 and the query has no needs and no agents to avoid, all
// such agents are equally likely.
func (v View) Random(zone int, q Query, above float64) (Candidate, bool) {
	c, ok, _ := v.search(zone, q, above, false)
	return c, ok
}

// search is a depth-first search in the tree of a zone.
type search struct {
	tree       *tree
	query      Query
	view       View
	highest    bool // look for the highest score instead of any
	above      float64
	visitsLeft int
	found      *agent
}

// search returns the agent found; limited reports whether the search ended at the
// limit of visits.
func (v View) search(zone int, q Query, above float64, best bool) (c Candidate, ok, limited bool) {
	z := v.t.zones[zone]
	if !q.Class.allows(z.key) || len(z.tree.nodes) == 0 {
		return Candidate{}, false, false
	}
	levels := bits.Len(uint(len(z.tree.nodes)))
	s := search{tree: &z.tree, query: q, view: v, highest: best, above: above, visitsLeft: visitsBase + visitsPerLevel*levels}
	s.walk(1)
	if s.found == nil {
		return Candidate{}, false, s.visitsLeft < 0
	}
	c = Candidate{ID: s.found.ID, Rack: s.found.Rack, Score: s.above, Distance: s.found.Distance}
	if q.RackTasks != nil {
		c.rackTasks = q.RackTasks(c.Rack)
	}
	return c, true, s.visitsLeft < 0
}

// walk visits the subtree of node i and reports whether the search is over.
func (s *search) walk(i int) bool {
	n := &s.tree.nodes[i]
	if n.maxScore <= s.above || !s.query.Class.Needs.Fits(n.capacityFree) {
		return false
	}
	if s.visitsLeft--; s.visitsLeft < 0 {
		return true
	}
	leaves := len(s.tree.nodes) / 2
	if i >= leaves {
		a := s.tree.agents[i-leaves]
		if s.query.Avoid != nil && s.query.Avoid(a.ID) {
			return false
		}
		s.found, s.above = a, n.maxScore
		return !s.highest
	}
	first := 2*i + s.firstChild(&s.tree.nodes[2*i], &s.tree.nodes[2*i+1])
	return s.walk(first) || s.walk(first^1)
}

// firstChild returns 0 if the left child is to be visited first, and 1 if the
// right one is.
func (s *search) firstChild(left, right *node) int {
	a, b := left.agentsWithRoom, right.agentsWithRoom
	if s.highest {
		if left.maxScore != right.maxScore {
			if left.maxScore > right.maxScore {
				return 0
			}
			return 1
		}
		a, b = left.maxScoreAgents, right.maxScoreAgents
	}
	if s.view.IntN(a+b) < a {
		return 0
	}
	return 1
}
