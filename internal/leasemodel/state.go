package leasemodel

const (
	entries    = 2
	agents     = 2
	maxDelayed = 3 // delayed messages at one time
)

// taskPhase is what an entry knows of the task.
type taskPhase int8

const (
	noTask      taskPhase = iota
	queued                // to be sent to an agent
	sent                  // to an agent in an open session
	reconciling           // sent in a session that is in doubt
)

// entry is one entry; a new process takes over its slot with a higher
// incarnation.
type entry struct {
	up, paused, resumed   bool // woke: resumed in this tick
	incarnation           int8
	disconnectAge         int8 // 1 + ticks since the caller's connection ended, until that is handled, or 0
	pausedFor, settleLeft int8 // ticks paused; ticks of settling left
	job                   bool
	sequence              int8 // of the last task message; rises with each
	task                  taskPhase
	agent, token          int8 // agent that has the task, and its process
	reconcileLeft         int8 // ticks of reconcile time left
	sessions              [agents]entrySession
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
	up, paused, resumed bool
	adopting            bool
	token               int8
	sessions            [entries]agentSession
	accepted            owner // task accepted, start not ordered yet
	owner               owner // of the run
	run                 runPhase
	runNumber           int8 // of the run
	orderAge            int8 // ticks since the start order
	orphanAge           int8 // 1 + ticks since the renewal of a run of an earlier entry process, or 0
}

// owner is the entry (index + 1) that sent a task, and the sequence of its
// message.
type owner struct{ entry, sequence int8 }

// agentSession is an agent's view of a session.
type agentSession struct {
	number, incarnation int8
	open                bool
	renewalAge          int8 // ticks since the renewal that counts
	cancelledUpTo       int8 // highest sequence that was cancelled in this session
	endedSequence       int8 // sequence whose run has ended, to be reported, or 0
}

// worker is the worker of one agent.
type worker struct {
	token          int8 // highest seen
	highestOrdered int8 // highest number of a run ordered by its agents
	refusedUpTo    int8 // highest number of a run that was stopped or has ended
	run            int8 // number of the active run, or 0
	leaseLeft      int8 // ticks left
	stopLeft       int8 // ticks left of a run that is being stopped, or 0
}

// caller is the only caller.
type caller struct {
	entry      int8 // entry + 1 that it waits for, or 0
	resendLeft int8 // ticks until it may resend
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
	kind         messageKind
	entry, agent int8
	number       int8 // of the session or run
	process      int8 // token of the agent, or incarnation of the entry
	sequence     int8
	age          int8
}

// violation is a breach of the checked property.
type violation int8

const (
	noViolation violation = iota
	overlap
	fencedStart
)

// state is one state of the whole system. All times are ages or remainders, so
// that the reachable states are finitely many. It consists of single bytes
// only, so that the runtime hashes it as one block.
type state struct {
	entries        [entries]entry
	agents         [agents]agent
	workers        [agents]worker
	callsDown      [entries][agents]bool // down: sessions, tasks and cancellations
	heartbeatsDown [entries][agents]bool // down: heartbeats
	ordersDown     [agents]bool          // down: starts and stops
	renewalsDown   [agents]bool          // down: renewals and lists
	caller         caller
	delayed        [maxDelayed]message
	faultsLeft     int8 // left
	violation      violation
}

// initial returns the state in which the first entry has just accepted the job
// and all sessions are open and renewed.
func initial(c *Config) state {
	s := state{faultsLeft: c.Faults, caller: caller{entry: 1}}
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

// delay adds a delayed message; the caller has checked that there is room.
func (s *state) delay(m message) {
	i := 0
	for s.delayed[i].kind != noMessage {
		i++
	}
	s.delayed[i] = m
}

// removeDelayed removes a delayed message and keeps the others in front, so that states
// that differ only in their places are the same.
func (s *state) removeDelayed(i int) {
	copy(s.delayed[i:], s.delayed[i+1:])
	s.delayed[maxDelayed-1] = message{}
}

// isDelayed reports whether a task sent from e to a is still under way.
func (s *state) isDelayed(kind messageKind, e, a int) bool {
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if m := &s.delayed[i]; m.kind == kind && int(m.entry) == e && int(m.agent) == a {
			return true
		}
	}
	return false
}

func (s *state) checkOverlap() {
	if s.violation == noViolation && s.workers[0].run != 0 && s.workers[1].run != 0 {
		s.violation = overlap
	}
}
