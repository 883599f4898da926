package placement

import (
	"errors"
	"fmt"
	"strings"
)

// ErrNoAgents means that no agent is known, so it cannot be decided whether a
// task could ever run. The condition may be temporary.
var ErrNoAgents = errors.New("placement: no agent is known")

// InfeasibleError explains why no known agent can ever run a task, regardless of
// the agents' load and of whether their data centre is in service.
type InfeasibleError struct {
	Class string
	// NoAgentIn lists the data centres of the class, or names its pool, when
	// no agent is known there. It is empty when agents are known but Needs
	// exceeds the capacity of each.
	NoAgentIn []string
	Needs     Resources
	// Largest is the greatest capacity for each kind of resource among the
	// agents in the class's data centres. The values may come from different
	// agents.
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
// a task of the class; otherwise ErrNoAgents or an *InfeasibleError. Agents that
// are not usable now are included, because they may become usable again. The
// cost grows with the number of distinct capacities, not with the number of
// agents.
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
