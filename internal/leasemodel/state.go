package leasemodel

const (
	entries    = 2
	agents     = 2
	maxDelayed = 3 // delayed messages in one state
)

// taskPhase is the state of the task as an entry knows it.
type taskPhase int8

const (
	noTask      taskPhase = iota
	queued                // to be sent to an agent
	sent                  // to an agent in an open session
	reconciling           // sent in a session that is in doubt
)

// entry is one entry. A process that replaces it has the same index and a higher
// incarnation.
type entry struct {
	up, paused, resumed   bool // resumed: its pause ended in this tick
	incarnation           int8
	disconnectAge         int8 // 1 + ticks since the caller's connection ended; 0 if none ended or it was handled
	endArrived            bool // the connection ended before the submission was read, so its end has arrived with it
	pausedFor, settleLeft int8 // ticks since the pause began; ticks left in which nothing is started
	job                   bool // the entry has the caller's job
	sequence              int8 // of the last task message; each message has a higher one
	task                  taskPhase
	agent, token          int8 // agent to which the task was sent, and the token of its process
	reconcileLeft         int8 // ticks of reconcile time left
	sessions              [agents]entrySession
}

// entrySession is an entry's view of its session with one agent. A replaced
// entry process continues with higher numbers, so that one number stands for the
// pair of incarnation and number that the design has.
type entrySession struct {
	number    int8
	open      bool
	token     int8 // of the agent process with which it was opened
	cancel    int8 // sequence whose cancellation is unanswered, or 0
	cancelAge int8 // ticks since that cancellation was decided
}

// runPhase is the state of an agent's run as the agent knows it.
type runPhase int8

const (
	noRun       runPhase = iota
	ordered              // start order sent, not answered
	running              // start acknowledged
	stopping             // to be stopped, stop order not answered
	stopped              // stop acknowledged
	carriedOver          // of a life that ended, and not proved to be over with it
)

// agent is the agent beside the worker of the same index. It has room for one
// run of the task.
type agent struct {
	up, paused, resumed bool // resumed: its pause ended in this tick
	adopting            bool // stops the runs of earlier agent processes and accepts no task
	token               int8 // of the process
	fence               int8 // fencing token of its orders
	life                int8 // life of the worker that it orders; 0 until a list of a life is accepted
	refused             bool // a connection to the worker was refused, and no list has come since
	leaseLeft           int8 // ticks until the lease of the run has certainly ended and the worker has stopped the run
	listed              bool // a list of the life, or an answer that only it can give, has shown the run
	sessions            [entries]agentSession
	accepted            owner // of the task that was accepted and is not ordered yet
	owner               owner // of the run
	run                 runPhase
	runNumber           int8
	orderAge            int8 // ticks spent in the phases ordered and stopping
	orphanAge           int8 // for a run of an earlier entry process: 1 + ticks since the last renewal; otherwise 0
}

// owner identifies the message that sent a task: the entry (index + 1) and the
// sequence of the message. The zero value means no task.
type owner struct{ entry, sequence int8 }

// agentSession is an agent's view of its session with one entry.
type agentSession struct {
	number, incarnation int8
	open                bool
	renewalAge          int8 // ticks since the last renewal, counted from the sending of the heartbeat
	cancelledUpTo       int8 // task messages up to this sequence were cancelled in this session
	endedSequence       int8 // sequence of a task that no longer runs, still to be reported, or 0
}

// worker is the worker beside one agent.
type worker struct {
	life           int8 // rises when the process starts again under its identifier
	down           bool // no process
	token          int8 // highest fencing token received
	highestOrdered int8 // highest run number that its agent processes ordered
	refusedUpTo    int8 // highest run number that was stopped or has ended; starts up to it are refused
	run            int8 // number of the active run, or 0
	leaseLeft      int8 // ticks until the lease of the run ends
	stopLeft       int8 // ticks until a run that is being stopped has ended, or 0
}

// caller is the model's only caller.
type caller struct {
	entry      int8 // index + 1 of the entry whose answer it waits for, or 0
	resendLeft int8 // ticks until it may resend
}

// messageKind tells delayed messages apart.
type messageKind int8

const (
	noMessage      messageKind = iota
	runMessage                 // Agent.Run
	openMessage                // Agent.OpenSession
	renewalMessage             // reply to a heartbeat
	startMessage               // start order of an agent to its worker
)

// message is one delayed message between an entry and an agent, or between an
// agent and its worker.
type message struct {
	kind         messageKind
	entry, agent int8
	number       int8 // of the session or run
	process      int8 // token of the agent, or incarnation of the entry; for a start order its fencing token
	sequence     int8 // of the task; for a start order the life to which it was sent
	age          int8 // ticks since it was sent
}

// violation tells which part of the checked property does not hold.
type violation int8

const (
	noViolation violation = iota
	overlap
	fencedStart
)

// state is one state of the whole system. All times are bounded ages or
// remainders, so that the number of reachable states is finite. All fields are
// single bytes, so that the runtime hashes a state as one block.
type state struct {
	entries        [entries]entry
	agents         [agents]agent
	workers        [agents]worker
	callsDown      [entries][agents]bool // calls of the entry to the agent fail
	heartbeatsDown [entries][agents]bool // heartbeats fail
	ordersDown     [agents]bool          // starts and stops are neither executed nor answered
	renewalsDown   [agents]bool          // renewals are neither executed nor answered
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
		s.agents[a] = agent{up: true, token: 1, fence: 1, life: 1}
		s.workers[a].token, s.workers[a].life = 1, 1
		for e := range s.entries {
			s.agents[a].sessions[e] = agentSession{number: 1, incarnation: 1, open: true}
		}
	}
	s.entries[0].job, s.entries[0].task = true, queued
	return s
}

func (e *entry) active() bool { return e.up && !e.paused }
func (a *agent) active() bool { return a.up && !a.paused }

// delay adds a delayed message. The caller has checked that there is room.
func (s *state) delay(m message) {
	i := 0
	for s.delayed[i].kind != noMessage {
		i++
	}
	s.delayed[i] = m
}

// removeDelayed removes a delayed message and closes the gap, so that states that
// differ only in the positions of gaps are equal.
func (s *state) removeDelayed(i int) {
	copy(s.delayed[i:], s.delayed[i+1:])
	s.delayed[maxDelayed-1] = message{}
}

// isDelayed reports whether a message of the kind between entry e and agent a is
// delayed.
func (s *state) isDelayed(kind messageKind, e, a int) bool {
	for i := 0; i < maxDelayed && s.delayed[i].kind != noMessage; i++ {
		if m := &s.delayed[i]; m.kind == kind && int(m.entry) == e && int(m.agent) == a {
			return true
		}
	}
	return false
}

// checkOverlap records a violation if runs are active at both workers.
func (s *state) checkOverlap() {
	if s.violation == noViolation && s.workers[0].run != 0 && s.workers[1].run != 0 {
		s.violation = overlap
	}
}
