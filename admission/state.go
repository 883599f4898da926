package admission

import (
	"cmp"
	"slices"
	"time"
)

// workUnit is the unit of work in a snapshot, one core millisecond, in that of Job.Work.
const workUnit = 1000 * float64(time.Millisecond)

// ObjectiveSnapshot is a snapshot of an Objective, for a process's state dump. Work is in
// core-milliseconds.
type ObjectiveSnapshot struct {
	Tasks int `json:"tasks"` // that wait
	// The waiting work by class. Tight work can be on time only if the expected durations
	// are right; it counts as on time as well.
	OnTime    int64 `json:"on_time_core_ms"`
	Tight     int64 `json:"tight_core_ms"`
	Late      int64 `json:"late_core_ms"`
	Worthless int64 `json:"worthless_core_ms"`
	// OnTimeRate is the work accepted to be on time in a second, average of about the last
	// second.
	OnTimeRate int64        `json:"on_time_rate_core_ms"`
	All        ShareState   `json:"all"`
	Kinds      []ShareState `json:"templates"` // sorted by name
	Accounts   []ShareState `json:"accounts"`  // sorted by name
}

// ShareState is the work that was asked for and served lately, and the part of it that
// was served; 1 if none was asked for.
type ShareState struct {
	Name   string  `json:"name,omitempty"`
	Asked  int64   `json:"asked_core_ms"`
	Served int64   `json:"served_core_ms"`
	Share  float64 `json:"share"`
	// Narrow and Wide are the served parts of the narrow and the wide jobs of a kind.
	Narrow float64 `json:"narrow,omitempty"`
	Wide   float64 `json:"wide,omitempty"`
	// BelowFloor means that jobs have a claim on capacity that others have booked, as of
	// the last comparison with the means.
	BelowFloor bool `json:"below_floor"`
}

// State returns a snapshot.
func (o *Objective) State(now time.Time) ObjectiveSnapshot {
	o.advance(now)
	s := ObjectiveSnapshot{
		Tasks: o.tasks, OnTime: coreMS(o.OnTimeWork()), Tight: coreMS(o.tight.passed - o.late.passed), Late: coreMS(o.LateWork()),
		Worthless: coreMS(o.worthless.passed), OnTimeRate: coreMS(o.onTimeRate(now) * float64(time.Second)),
		All: o.shares.all.state("", now), Kinds: []ShareState{}, Accounts: []ShareState{},
	}
	for name, k := range o.shares.kinds {
		kind := k.all.state(name, now)
		kind.Narrow, kind.Wide = k.narrow.value(), k.wide.value()
		s.Kinds = append(s.Kinds, kind)
	}
	for name, a := range o.shares.accounts {
		s.Accounts = append(s.Accounts, a.state(name, now))
	}
	byName := func(a, b ShareState) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(s.Kinds, byName)
	slices.SortFunc(s.Accounts, byName)
	return s
}

func (s share) state(name string, now time.Time) ShareState {
	s.decay(now)
	return ShareState{Name: name, Asked: coreMS(s.asked), Served: coreMS(s.served), Share: s.value(), BelowFloor: s.below}
}

func coreMS(work float64) int64 { return int64(max(work, 0) / workUnit) }
