package leasemodel

import (
	"fmt"
	"hash/maphash"
	"slices"
	"strings"
)

// Result is the outcome of a check.
type Result struct {
	States    int      // states found
	Depth     int      // steps from the initial state to the farthest state searched
	Complete  bool     // all reachable states were searched
	Violation string   // which part of the property was violated; empty if none
	Trace     []string // descriptions of the steps of a shortest path to the violation
}

func (r Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("no violation in %d states, depth %d, complete %t", r.States, r.Depth, r.Complete)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s after %d states:", r.Violation, r.States)
	for i, step := range r.Trace {
		fmt.Fprintf(&b, "\n%3d. %s", i+1, step)
	}
	return b.String()
}

// search is a breadth-first search. Of each expanded state it keeps only a 64-bit
// hash and the index of its parent; the trace is found by repeating the steps of
// the path. Two states with the same hash would count as one state; among 10
// million states the probability of that is about 1 in 400,000.
type search struct {
	config    *Config
	seed      maphash.Seed
	seen      map[uint64]struct{}
	hashes    []uint64 // of all states, in the order in which they were found
	parents   []int32  // index in hashes of each state's parent; -1 for the first
	frontier  []state  // states of this depth
	next      []state  // states of the next depth
	violation violation
}

// Check searches the reachable states breadth first and stops at the first
// violation, so that the trace to it is a shortest one.
func Check(c Config) Result {
	x := &search{config: &c, seed: maphash.MakeSeed(), seen: map[uint64]struct{}{}}
	x.addState(initial(&c), -1)
	for depth, first := 0, 0; ; depth++ {
		x.frontier, x.next = x.next, x.frontier[:0]
		if len(x.frontier) == 0 {
			return Result{States: len(x.hashes), Depth: depth - 1, Complete: true}
		}
		for i := range x.frontier {
			if x.expand(&x.frontier[i], int32(first+i)); x.violation != noViolation {
				return Result{States: len(x.hashes), Depth: depth + 1, Violation: x.violation.String(), Trace: x.trace()}
			}
			if c.Limit > 0 && len(x.hashes) >= c.Limit {
				return Result{States: len(x.hashes), Depth: depth}
			}
		}
		first += len(x.frontier)
	}
}

// expand adds the successors of a state, up to the first one that violates the
// property.
func (x *search) expand(from *state, index int32) {
	m := machine{Config: x.config, from: from, emit: func(next *state, _ string, _ ...int) {
		if x.violation == noViolation {
			x.addState(*next, index)
			x.violation = next.violation
		}
	}}
	m.successors()
}

// addState queues a state that was not found before.
func (x *search) addState(s state, parent int32) {
	hash := maphash.Comparable(x.seed, s)
	if _, ok := x.seen[hash]; ok {
		return
	}
	x.seen[hash] = struct{}{}
	x.hashes = append(x.hashes, hash)
	x.parents = append(x.parents, parent)
	x.next = append(x.next, s)
}

// trace describes the steps from the initial state to the state that was added
// last.
func (x *search) trace() []string {
	var path []uint64
	for i := int32(len(x.hashes) - 1); x.parents[i] >= 0; i = x.parents[i] {
		path = append(path, x.hashes[i])
	}
	slices.Reverse(path)
	steps := make([]string, 0, len(path))
	at := initial(x.config)
	for _, hash := range path {
		from, label := at, ""
		m := machine{Config: x.config, from: &from, emit: func(next *state, format string, args ...int) {
			if label == "" && maphash.Comparable(x.seed, *next) == hash {
				at, label = *next, describe(format, args)
			}
		}}
		m.successors()
		steps = append(steps, label)
	}
	return steps
}

func describe(format string, args []int) string {
	values := make([]any, len(args))
	for i, v := range args {
		values[i] = v
	}
	return fmt.Sprintf(format, values...)
}

func (v violation) String() string {
	switch v {
	case overlap:
		return "two runs of the task at once"
	case fencedStart:
		return "a start by order of a fenced agent process"
	default:
		return ""
	}
}
