package agent

import (
	"cmp"
	"slices"
	"time"

	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// State is the dump of the agent's state for /debug/state and SIGUSR1. Fields
// that end in MS, and ConfirmationAge, are in milliseconds; an age of -1 means
// never.
type State struct {
	Agent           string                   `json:"agent"`
	Incarnation     string                   `json:"incarnation"`
	DataCentre      string                   `json:"data_centre"`
	Worker          string                   `json:"worker"`
	Upstream        string                   `json:"upstream"`
	UptimeMS        int64                    `json:"uptime_ms"`
	Leaving         []string                 `json:"leaving"` // reasons; empty while the agent accepts tasks
	Healthy         bool                     `json:"healthy"`
	Health          string                   `json:"health,omitempty"`
	Generation      uint64                   `json:"generation"`
	InService       []string                 `json:"in_service"`
	GateOpen        bool                     `json:"gate_open"`
	GateReason      string                   `json:"gate_reason,omitempty"` // why the gate is closed
	ConfirmationAge int64                    `json:"confirmation_age_ms"`
	Load            wire.Load                `json:"load"`
	Tasks           []TaskState              `json:"tasks"`
	Ledger          ledger.Stats             `json:"ledger"`
	Entries         []EntryState             `json:"entries"`
	Messages        map[string]rpcconn.Count `json:"messages"`
	Leased          *LeasedState             `json:"leased,omitempty"` // nil for an HTTP upstream
}

// LeasedState is the state of the worker of leased tasks and of its runs.
// LeaseEndMS and MinClockMS are on the worker's clock, in milliseconds since an
// origin that only the worker knows.
type LeasedState struct {
	Life         string     `json:"life"` // identifier of the worker; empty while none has announced itself
	Born         int64      `json:"born"` // Unix time in milliseconds
	Pool         string     `json:"pool"`
	Address      string     `json:"address"`
	Draining     bool       `json:"draining"`
	Deregistered bool       `json:"left"` // the worker has removed its registration
	Adopted      bool       `json:"adopted"`
	Silent       bool       `json:"silent"`
	StopPending  bool       `json:"stop_pending"` // starts are held because a stop is unanswered
	Token        uint64     `json:"token"`
	LeaseEndMS   int64      `json:"lease_end_ms"`  // latest lease end that was ever sent to the worker
	MinClockMS   int64      `json:"clock_past_ms"` // lower bound of the worker's present clock
	Runs         []RunState `json:"runs"`
	// Ends are the held ends: run ends that the worker has listed and that must
	// not be acknowledged to it yet. MoreEnds means that the worker may have
	// further ends, which it has not listed.
	Ends              []EndState `json:"ends"`
	MoreEnds          bool       `json:"more_ends"`
	AwaitsLeaseExpiry bool       `json:"lapsing"` // a discarded end waits for the lease to expire
}

// RunState is one run in the agent's table of the runs at the worker.
type RunState struct {
	Task   string `json:"task"`   // job/step/index
	Number uint64 `json:"number"` // of the runs of the task, from 1
	State  string `json:"state"`  // a lease.State
	Began  bool   `json:"began"`  // the worker has accepted the start or listed the run

	// Taken from the worker's replies to renewals; -1 until one lists the run.
	Percent      int   `json:"percent"`
	ElapsedMS    int64 `json:"elapsed_ms"` // from the first to the newest reply that lists it
	NoProgressMS int64 `json:"still_ms"`   // how long it has made no progress
	Stalled      bool  `json:"stalled"`
}

// TaskState is one task that is queued or running.
type TaskState struct {
	Task        string `json:"task"`
	Entry       string `json:"entry"`
	Session     uint64 `json:"session"`
	Sequence    uint64 `json:"sequence"`
	RunningMS   int64  `json:"running_ms"` // -1 while the task is queued
	RemainingMS int64  `json:"left_ms"`    // until the deadline; negative if it has passed
}

// EntryState is one known entry. ID is empty for a seed address; Backlog is the
// number of tasks that the entry has waiting, and SlackMS the time until the first of
// them is late.
type EntryState struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Linked      bool   `json:"linked"`
	Suspect     bool   `json:"suspect"`
	LastHeardMS int64  `json:"heard_ms"`
	Backlog     int    `json:"backlog"`
	SlackMS     int64  `json:"slack_ms"` // 0 without a backlog; negative if a task is late
}

// State returns a snapshot of the agent's state.
func (a *Agent) State() State {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := State{
		Agent: a.self.ID, Incarnation: a.self.Incarnation.String(), DataCentre: a.self.DataCentre,
		Worker: a.self.Worker, Upstream: a.self.Upstream, UptimeMS: a.uptime().Milliseconds(),
		Messages: a.counters.ByMethod(),
	}
	if a.leased != nil {
		s.Leased = a.leased.state(time.Now())
	}
	for r := range a.leaving {
		s.Leaving = append(s.Leaving, string(r))
	}
	slices.Sort(s.Leaving)
	s.Healthy, s.Health = a.health.ok, a.health.detail
	s.Generation, s.InService = a.config.Generation, slices.Clone(a.config.InService)
	open, reason := a.mayStart(now)
	s.GateOpen, s.GateReason = open, string(reason)
	s.ConfirmationAge = -1
	if age := a.gate.Age(now); age >= 0 {
		s.ConfirmationAge = age.Milliseconds()
	}
	s.Load, s.Ledger = a.load(), a.ledger.Stats()
	for _, t := range a.tasks {
		s.Tasks = append(s.Tasks, t.state(now))
	}
	slices.SortFunc(s.Tasks, func(x, y TaskState) int {
		return cmp.Or(cmp.Compare(x.Entry, y.Entry), cmp.Compare(x.Session, y.Session), cmp.Compare(x.Sequence, y.Sequence))
	})
	s.Entries = a.entries.state(now, a.backlogs)
	return s
}

func (t *task) state(now time.Time) TaskState {
	running := int64(-1)
	if !t.startedAt.IsZero() {
		running = now.Sub(t.startedAt).Milliseconds()
	}
	return TaskState{
		Task: taskName(t.task), Entry: t.owner.Entry, Session: t.key.Session, Sequence: t.key.Sequence,
		RunningMS: running, RemainingMS: t.deadline.Sub(now).Milliseconds(),
	}
}

// state returns the state of the worker and its runs; the caller holds mu.
func (l *leasedExecutor) state(now time.Time) *LeasedState {
	life := l.life
	if life == nil {
		return &LeasedState{Token: l.highestToken, Runs: []RunState{}, Ends: []EndState{}}
	}
	n := life.announced
	latest, clock := life.runs.LeaseEnd(now)
	s := &LeasedState{
		Life: n.Life.ID, Born: life.runs.Life().Born, Pool: n.Pool, Address: n.Address, Draining: n.Draining, Deregistered: life.deregistered,
		Adopted: life.runs.Adopted(), Silent: life.runs.Silent(now), StopPending: life.runs.HoldsStarts(now), Token: life.runs.Token(),
		LeaseEndMS: latest.Milliseconds(), MinClockMS: clock.Milliseconds(), Runs: []RunState{},
		Ends: life.endStates(now), MoreEnds: life.runs.MoreEnds(), AwaitsLeaseExpiry: life.runs.AwaitsLeaseExpiry(),
	}
	for _, r := range life.runs.Runs() {
		s.Runs = append(s.Runs, runState(r))
	}
	slices.SortFunc(s.Runs, func(x, y RunState) int { return cmp.Compare(x.Task, y.Task) })
	return s
}

func runState(r lease.RunInfo) RunState {
	t, p := r.Run.Task, r.Progress
	s := RunState{
		Task: runName(t), Number: r.Run.Number, State: string(r.State), Began: r.Began,
		Percent: -1, ElapsedMS: -1, NoProgressMS: -1, Stalled: p.Stalled,
	}
	if p.Listed {
		s.Percent, s.ElapsedMS, s.NoProgressMS = p.Percent, p.Elapsed.Milliseconds(), p.NoProgress.Milliseconds()
	}
	return s
}

func (e *entries) state(now time.Time, backlogs map[ledger.Owner]announcedBacklog) []EntryState {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]EntryState, 0, len(e.known))
	for address, k := range e.known {
		s := EntryState{ID: k.ref.ID, Address: address, Linked: e.links[address] != nil, Suspect: e.peers.Suspect(address, now), LastHeardMS: -1}
		if at, ok := e.peers.LastHeard(address); ok {
			s.LastHeardMS = now.Sub(at).Milliseconds()
		}
		if b, ok := backlogs[ledger.Owner{Entry: k.ref.ID, Incarnation: k.ref.Incarnation}]; ok {
			s.Backlog, s.SlackMS = b.Tasks, b.lateAt.Sub(now).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y EntryState) int { return cmp.Compare(x.Address, y.Address) })
	return out
}
