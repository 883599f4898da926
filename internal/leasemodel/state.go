package leasemodel

const (
	entries = 2
	agents  = 2
	holds   = 3 // delayed messages at one time
)

// taskPhase is what an entry knows of the task.
type taskPhase int8

const (
	noTask  taskPhase = iota
	queued            // to be sent to an agent
	sent              // to an agent in an open session
	waiting           // sent in a session that is in doubt
)

// entry is one entry; a new process takes over its slot with a higher
// incarnation.
type entry struct {
	up, paused, woke bool // woke: resumed in this tick
	incarnation      int8
	gone             int8 // 1 + ticks since the caller's connection ended, until that is handled, or 0
	pause, settle    int8 // ticks paused; ticks of settling left
	job              bool
	sequence         int8 // of the last task message; rises with each
	task             taskPhase
	at, token        int8 // agent that has the task, and its process
	wait             int8 // ticks of reconcile time left
	sessions         [agents]entrySession
}

// entrySession is an entry's session with one agent. Numbers go on rising when
// the entry's process is replaced; they stand for (incarnation, number).
type entrySession struct {
	number    int8
	open      bool
	token     int8 // agent process that opened it
	cancel    int8 // sequence whose cancellation is unanswered, or 0
	cancelAge int8
}

// runPhase is what an agent knows of its run.
type runPhase int8

const (
	noRun    runPhase = iota
	ordered           // start order sent, no answer
	running           // started
	stopping          // to be stopped, no answer yet
	stopped           // stop acknowledged
)

// agent is the agent beside the worker of the same index. It has room for one
// run of the task.
type agent struct {
	up, paused, woke bool
	adopting         bool
	token            int8
	sessions         [entries]agentSession
	waits            owner // task accepted, start not ordered yet
	owner            owner // of the run
	run              runPhase
	number           int8 // of the run
	ordered          int8 // ticks since the start order
	orphan           int8 // 1 + ticks since the renewal of a run of an earlier entry process, or 0
}

// owner is the entry (index + 1) that sent a task, and the sequence of its
// message.
type owner struct{ entry, sequence int8 }

// agentSession is an agent's view of a session.
type agentSession struct {
	number, incarnation int8
	open                bool
	age                 int8 // ticks since the renewal that counts
	cancelled           int8 // highest sequence that was cancelled in this session
	outcome             int8 // sequence whose run has ended, to be reported, or 0
}

// worker is the worker of one agent.
type worker struct {
	token  int8 // highest seen
	issued int8 // highest number of a run ordered by its agents
	voided int8 // highest number of a run that was stopped or has ended
	run    int8 // number of the active run, or 0
	lease  int8 // ticks left
	ending int8 // ticks left of a run that is being stopped, or 0
}

// caller is the only caller.
type caller struct {
	at   int8 // entry + 1 that it waits for, or 0
	wait int8 // ticks until it may resend
}

// messageKind is a kind of delayed message.
type messageKind int8

const (
	noMessage messageKind = iota
	runMessage
	openMessage
	renewalMessage
	startMessage
)

// message is one delayed message between entry e and agent a, or agent a and
// its worker.
type message struct {
	kind     messageKind
	e, a     int8
	number   int8 // of the session or run
	process  int8 // token of the agent, or incarnation of the entry
	sequence int8
	age      int8
}

// violation is a breach of the checked property.
type violation int8

const (
	none violation = iota
	overlap
	fencedStart
)

// state is one state of the whole system. All times are ages or remainders, so
// that the reachable states are finitely many. It consists of single bytes
// only, so that the runtime hashes it as one block.
type state struct {
	entries  [entries]entry
	agents   [agents]agent
	workers  [agents]worker
	taskLink [entries][agents]bool // down: sessions, tasks and cancellations
	beatLink [entries][agents]bool // down: heartbeats
	orders   [agents]bool          // down: starts and stops
	renewals [agents]bool          // down: renewals and lists
	caller   caller
	held     [holds]message
	faults   int8 // left
	breach   violation
}

// initial returns the state in which the first entry has just accepted the job
// and all sessions are open and renewed.
func initial(c *Config) state {
	s := state{faults: c.Faults, caller: caller{at: 1}}
	for e := range s.entries {
		s.entries[e] = entry{up: true, incarnation: 1}
		for a := range s.agents {
			s.entries[e].sessions[a] = entrySession{number: 1, open: true, token: 1}
		}
	}
	for a := range s.agents {
		s.agents[a] = agent{up: true, token: 1}
		s.workers[a].token = 1
		for e := range s.entries {
			s.agents[a].sessions[e] = agentSession{number: 1, incarnation: 1, open: true}
		}
	}
	s.entries[0].job, s.entries[0].task = true, queued
	return s
}

func (e *entry) active() bool { return e.up && !e.paused }
func (a *agent) active() bool { return a.up && !a.paused }

// hold adds a delayed message; the caller has checked that there is room.
func (s *state) hold(m message) {
	i := 0
	for s.held[i].kind != noMessage {
		i++
	}
	s.held[i] = m
}

// drop removes a delayed message and keeps the others in front, so that states
// that differ only in their places are the same.
func (s *state) drop(i int) {
	copy(s.held[i:], s.held[i+1:])
	s.held[holds-1] = message{}
}

// isHeld reports whether a task sent from e to a is still under way.
func (s *state) isHeld(kind messageKind, e, a int) bool {
	for i := 0; i < holds && s.held[i].kind != noMessage; i++ {
		if m := &s.held[i]; m.kind == kind && int(m.e) == e && int(m.a) == a {
			return true
		}
	}
	return false
}

func (s *state) check() {
	if s.breach == none && s.workers[0].run != 0 && s.workers[1].run != 0 {
		s.breach = overlap
	}
}
