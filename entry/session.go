package entry

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

type sessionState int

const (
	sessionClosed  sessionState = iota // no session is open, or a message in the open one may have been lost
	sessionOpening                     // OpenSession was sent
	sessionOpen
)

func (s sessionState) String() string {
	return [...]string{"closed", "opening", "open"}[s]
}

// sentTask is a task that was sent to an agent and has no outcome yet.
type sentTask struct {
	job    *job
	index  int
	key    wire.TaskKey
	sentAt time.Time
	// crashRecorded means that the agent reported the crash of the run's worker before
	// the result, in which the crash does not count again.
	crashRecorded bool
	longRun       bool // passed to speed.Learner.ObserveRunning
}

type verdictKind int

const (
	verdictResult  verdictKind = iota // the agent returned a result
	verdictNotRun                     // certainly not started: the task may be sent to another agent
	verdictUnknown                    // may have run: an HTTP task is sent again only if it is idempotent
	verdictAwait                      // still running at the agent: Agent.Await asks for its result
)

// verdict is the session's conclusion about one sent task. With every kind except
// verdictAwait, the session no longer tracks the task.
type verdict struct {
	kind   verdictKind
	task   *sentTask
	result wire.Result
	// reconcileBy is the reconciliation deadline of a task that was in doubt:
	// sent in a session in which a message may have been lost. It is zero for
	// others.
	reconcileBy time.Time
	// proof is set if the agent gave no result.
	proof endProof
}

// session is the state of the numbered sessions between this entry and one
// agent. It does no I/O: the dispatcher reports events to it and acts on the
// verdicts. Every sent task gets exactly one verdict other than verdictAwait.
type session struct {
	id          wire.Session // newest session that the entry opened or tried to open
	agent       wire.Incarnation
	state       sessionState
	sequence    uint64 // of the last task sent in the session
	tasks       map[wire.TaskKey]*sentTask
	busySince   time.Time      // when the first of the tasks was sent, while there are any
	pendingAcks []wire.TaskKey // resolved tasks whose start record the agent may delete
	reconcileBy time.Time      // when tasks in doubt are resolved as unknown; zero if none are in doubt
}

func newSession(entry wire.EntryRef, agent wire.Incarnation) *session {
	return &session{
		id:    wire.Session{Entry: entry.ID, Incarnation: entry.Incarnation},
		agent: agent,
		tasks: map[wire.TaskKey]*sentTask{},
	}
}

// beginOpen starts an attempt to open a new session and returns its identity.
// Each attempt has a new number, so that the agent fences delayed messages of
// earlier ones.
func (s *session) beginOpen(now time.Time, limit time.Duration) wire.Session {
	s.id.Number++
	s.sequence = 0
	s.state = sessionOpening
	s.startReconciliation(now, limit)
	return s.id
}

// startReconciliation sets the deadline by which the open tasks are resolved,
// unless it is set or there are none.
func (s *session) startReconciliation(now time.Time, limit time.Duration) {
	if len(s.tasks) > 0 && s.reconcileBy.IsZero() {
		s.reconcileBy = now.Add(limit)
	}
}

// handleOpened handles the reply to the OpenSession with the given number and
// returns verdicts on all tasks that were sent in earlier sessions.
func (s *session) handleOpened(number uint64, reply wire.OpenSessionReply) []verdict {
	if number != s.id.Number || s.state != sessionOpening {
		return nil // the reply to a newer attempt will report the same tasks
	}
	s.state = sessionOpen
	if reply.Agent.Incarnation != s.agent {
		lost := s.resolveAllUnknown(proofReplaced)
		s.agent = reply.Agent.Incarnation
		return lost
	}
	reconcileBy := s.reconcileBy
	s.reconcileBy = time.Time{}
	out := s.reconcileWith(reply)
	for i := range out {
		out[i].reconcileBy = reconcileBy
	}
	return out
}

// reconcileWith compares the tasks of earlier sessions with the agent's list of
// started tasks and returns a verdict on each of them.
func (s *session) reconcileWith(reply wire.OpenSessionReply) []verdict {
	var out []verdict
	listed := make(map[wire.TaskKey]bool, len(reply.Started))
	for _, r := range reply.Started {
		listed[r.Key] = true
		t := s.tasks[r.Key]
		switch {
		case t == nil:
			// Resolved earlier, but the acknowledgement was lost. The record of
			// a running task is acknowledged only after the task has finished;
			// see untracked.
			if r.Finished && !isTaggedEnd(r.Result) {
				s.pendingAcks = append(s.pendingAcks, r.Key)
			}
		case r.Finished:
			out = append(out, s.resolveByResult(t, r.Result))
		default:
			out = append(out, verdict{kind: verdictAwait, task: t})
		}
	}
	for key, t := range s.tasks {
		switch {
		case listed[key]:
		case reply.Truncated:
			out = append(out, s.resolveTask(t, verdictUnknown, unknownResult(wire.ReasonStartRecordLost)).withProof(proofRecordLost))
		default:
			out = append(out, s.resolveTask(t, verdictNotRun, notRunResult(wire.ReasonSessionFenced)).withProof(proofAbsent))
		}
	}
	return out
}

// untracked returns the tasks that the agent lists as running and that this entry has
// resolved as unknown. An entry does so when it takes the agent for replaced, which a
// late heartbeat of a former process of the agent causes as well.
func (s *session) untracked(started []wire.StartedTask) []wire.TaskKey {
	var keys []wire.TaskKey
	for _, r := range started {
		if !r.Finished && s.tasks[r.Key] == nil {
			keys = append(keys, r.Key)
		}
	}
	return keys
}

// recordSend records a task that is about to be sent. The session must be open.
func (s *session) recordSend(j *job, index int, now time.Time) *sentTask {
	s.sequence++
	if len(s.tasks) == 0 {
		s.busySince = now
	}
	t := &sentTask{job: j, index: index, sentAt: now, key: wire.TaskKey{Session: s.id.Number, Sequence: s.sequence}}
	s.tasks[t.key] = t
	return t
}

// handleResult handles the agent's reply about a task. It reports false if the
// task was already resolved.
func (s *session) handleResult(key wire.TaskKey, r wire.Result) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		if r.Outcome != wire.OutcomeNotRun && !isTaggedEnd(r) {
			s.pendingAcks = append(s.pendingAcks, key)
		}
		return verdict{}, false
	}
	return s.resolveByResult(t, r), true
}

// resolveByResult resolves a task by the result that the agent returned in a
// reply or in its list of started tasks. The outcome may be unknown.
func (s *session) resolveByResult(t *sentTask, r wire.Result) verdict {
	switch r.Outcome {
	case wire.OutcomeNotRun:
		return s.resolveTask(t, verdictNotRun, r)
	case wire.OutcomeDone, wire.OutcomeFailed, wire.OutcomeInterrupted:
		return s.resolveTask(t, verdictResult, r)
	default:
		// The agent will learn nothing more, so it may delete its record. Records
		// that it keeps would delay its planned stop by Timing.Lapse.
		s.pendingAcks = append(s.pendingAcks, t.key)
		return s.resolveTask(t, verdictUnknown, r)
	}
}

// resolveNotSent resolves a task as not run, because no byte of its message was
// sent.
func (s *session) resolveNotSent(key wire.TaskKey) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolveTask(t, verdictNotRun, notRunResult(wire.ReasonAgentLost)), true
}

// isOpenLeasedTask reports whether the key belongs to a leased task without an
// outcome.
func (s *session) isOpenLeasedTask(key wire.TaskKey) bool {
	t := s.tasks[key]
	return t != nil && t.job.leased != nil
}

// resolveUnknown resolves one task as unknown, because its call cannot give a
// result.
func (s *session) resolveUnknown(key wire.TaskKey, reason wire.Reason) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolveTask(t, verdictUnknown, unknownResult(reason)), true
}

// markInDoubt closes the session because a message in it may have been lost.
// Its open tasks are in doubt: they are resolved by the next session, or as
// unknown at the reconciliation deadline.
func (s *session) markInDoubt(now time.Time, limit time.Duration) {
	s.state = sessionClosed
	s.startReconciliation(now, limit)
}

// handleReplacedAgent handles a message that names the agent's current process.
// If that is a new process, it resolves all tasks as unknown.
func (s *session) handleReplacedAgent(agent wire.Incarnation) []verdict {
	if agent == s.agent {
		return nil
	}
	s.state = sessionClosed
	s.agent = agent
	s.pendingAcks = nil
	return s.resolveAllUnknown(proofReplaced)
}

// expireInDoubt resolves the tasks in doubt as unknown once the reconciliation
// deadline has passed.
func (s *session) expireInDoubt(now time.Time) []verdict {
	if s.reconcileBy.IsZero() || now.Before(s.reconcileBy) {
		return nil
	}
	return s.resolveAllUnknown(proofReconcile)
}

func (s *session) resolveAllUnknown(proof endProof) []verdict {
	out := make([]verdict, 0, len(s.tasks))
	for _, t := range s.tasks {
		v := s.resolveTask(t, verdictUnknown, unknownResult(wire.ReasonAgentLost)).withProof(proof)
		v.reconcileBy = s.reconcileBy
		out = append(out, v)
	}
	s.reconcileBy = time.Time{}
	return out
}

// resolveTask stops tracking a task and returns the verdict on it. It acknowledges
// a result, so that the agent may delete its start record, unless the result must
// be stored first.
func (s *session) resolveTask(t *sentTask, kind verdictKind, r wire.Result) verdict {
	delete(s.tasks, t.key)
	if kind == verdictResult && !isDurableEnd(t.job, r) {
		s.pendingAcks = append(s.pendingAcks, t.key)
	}
	return verdict{kind: kind, task: t, result: r}
}

func (v verdict) withProof(p endProof) verdict {
	v.proof = p
	return v
}

// isTaggedEnd reports whether the result is the end of a run of a durable job's
// task. It tells this by the tag in the result, for tasks that the session no
// longer tracks. Such an end is not acknowledged here, because it may not be
// stored; the agent then reports it as unclaimed.
func isTaggedEnd(r wire.Result) bool {
	return r.Tag != 0 && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// isDurableEnd reports whether the result is the end of a run of a task of the
// job and the job is durable. The dispatcher acknowledges such an end after it is
// stored; the session acknowledges all other results.
func isDurableEnd(j *job, r wire.Result) bool {
	return durableOf(j) != nil && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// takeAcks returns and clears the pending acknowledgements, for the next
// message to the agent.
func (s *session) takeAcks() []wire.TaskKey {
	a := s.pendingAcks
	s.pendingAcks = nil
	return a
}

func unknownResult(r wire.Reason) wire.Result {
	return wire.Result{Outcome: wire.OutcomeUnknown, Reason: r}
}

func notRunResult(r wire.Reason) wire.Result {
	return wire.Result{Outcome: wire.OutcomeNotRun, Reason: r}
}
