package placement

import (
	"errors"
	"fmt"
	"strings"
)

// ErrNoAgents means that no agent is known, so nothing can be said about what
// could run. It may be temporary.
var ErrNoAgents = errors.New("placement: no agent is known")

// InfeasibleError explains why no known agent can ever run a task, whatever its load
// and whether or not its data centre is in service.
type InfeasibleError struct {
	Class string
	// NoAgentIn lists the data centres of the class when no agent is known
	// in any of them; otherwise Needs exceeds every agent's capacity.
	NoAgentIn []string
	Needs     Resources
	// Largest is the greatest capacity of each kind among the agents of the
	// class's data centres. One agent need not have all of them.
	Largest Resources
}

// Error implements error.
func (e *InfeasibleError) Error() string {
	if len(e.NoAgentIn) > 0 {
		return fmt.Sprintf("placement: class %q can never run: no agent is known in %s", e.Class, strings.Join(e.NoAgentIn, ", "))
	}
	return fmt.Sprintf("placement: class %q can never run: it needs %s, and no agent has all of it (the largest have %s)",
		e.Class, describeResources(e.Needs), describeResources(e.Largest))
}

func describeResources(r Resources) string {
	return fmt.Sprintf("%d accelerators, %d MB of memory and %d milli-CPU", r.Accelerators, r.MemoryMB, r.MilliCPU)
}

// CanEverRun returns nil if some known agent, when idle, has the resources for
// a task of the class; otherwise ErrNoAgents or a *NeverError. Agents that are
// not usable now count, because they may come back. The cost grows with the
// number of different capacities, not with the number of agents.
func (t *Table) CanEverRun(c Class) error {
	if len(t.agents) == 0 {
		return ErrNoAgents
	}
	infeasible := &InfeasibleError{Class: c.Name, Needs: c.Needs}
	known := false
	for _, z := range t.zones {
		if !c.allows(z.key) {
			continue
		}
		for s := range z.agentsByShape {
			if !s.hasSlots {
				continue
			}
			if c.Needs.Fits(s.capacity) {
				return nil
			}
			known = true
			infeasible.Largest = maxResources(infeasible.Largest, s.capacity)
		}
	}
	if !known {
		infeasible.NoAgentIn = c.DataCentres
		if len(infeasible.NoAgentIn) == 0 {
			infeasible.NoAgentIn = []string{"any data centre"}
		}
		if c.Pool != "" {
			infeasible.NoAgentIn = []string{"pool " + c.Pool}
		}
	}
	return infeasible
}
