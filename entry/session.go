package entry

import (
	"time"

	"chicorytray.example/chicorytray/wire"
)

type sessionState int

const (
	sessionClosed  sessionState = iota // none open, or the open one is in doubt
	sessionOpening                     // OpenSession was sent
	sessionOpen
)

func (s sessionState) String() string {
	return [...]string{"closed", "opening", "open"}[s]
}

// sentTask is a task at an agent whose outcome the entry does not know yet.
type sentTask struct {
	job    *job
	index  int
	key    wire.TaskKey
	sentAt time.Time
}

type verdictKind int

const (
	verdictResult  verdictKind = iota // the agent gave the result
	verdictNotRun                     // proved not started: the task may be sent elsewhere
	verdictUnknown                    // may have run: never sent again unless idempotent
	verdictAwait                      // runs at the agent: ask for its result
)

// verdict is what the session learnt about one sent task. Except for
// verdictAwait the session has forgotten the task.
type verdict struct {
	kind   verdictKind
	task   *sentTask
	result wire.Result
	// reconcileBy is when a task in doubt was to be resolved at the latest; zero if
	// it was not in doubt before.
	reconcileBy time.Time
}

// session is the state of the numbered sessions between this entry and one
// agent. It does no I/O; the dispatcher feeds it what happened and acts on the
// verdicts. Every sent task gets exactly one verdict other than verdictAwait.
type session struct {
	id          wire.Session // of the newest session that was asked for
	agent       wire.Incarnation
	state       sessionState
	sequence    uint64
	tasks       map[wire.TaskKey]*sentTask
	pendingAcks []wire.TaskKey // resolved starts that the agent may forget
	reconcileBy time.Time      // when tasks in doubt become unknown; zero when none are
}

func newSession(entry wire.EntryRef, agent wire.Incarnation) *session {
	return &session{
		id:    wire.Session{Entry: entry.ID, Incarnation: entry.Incarnation},
		agent: agent,
		tasks: map[wire.TaskKey]*sentTask{},
	}
}

// beginOpen asks for a new session. Each attempt has a number of its own, so that
// a delayed message of an earlier attempt is fenced.
func (s *session) beginOpen(now time.Time, limit time.Duration) wire.Session {
	s.id.Number++
	s.sequence = 0
	s.state = sessionOpening
	s.startReconciliation(now, limit)
	return s.id
}

func (s *session) startReconciliation(now time.Time, limit time.Duration) {
	if len(s.tasks) > 0 && s.reconcileBy.IsZero() {
		s.reconcileBy = now.Add(limit)
	}
}

// handleOpened handles the reply to the OpenSession with the given number and
// decides about every task sent in an earlier session.
func (s *session) handleOpened(number uint64, reply wire.OpenSessionReply) []verdict {
	if number != s.id.Number || s.state != sessionOpening {
		return nil // a newer attempt is under way and will report the same tasks
	}
	s.state = sessionOpen
	if reply.Agent.Incarnation != s.agent {
		lost := s.resolveAllUnknown(wire.ReasonAgentLost)
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

func (s *session) reconcileWith(reply wire.OpenSessionReply) []verdict {
	var out []verdict
	listed := make(map[wire.TaskKey]bool, len(reply.Started))
	for _, r := range reply.Started {
		listed[r.Key] = true
		t := s.tasks[r.Key]
		switch {
		case t == nil:
			// Resolved earlier, but the acknowledgement was lost. A running
			// task keeps its record until it has finished.
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
			out = append(out, s.resolveTask(t, verdictUnknown, unknownResult(wire.ReasonStartRecordLost)))
		default:
			out = append(out, s.resolveTask(t, verdictNotRun, notRunResult(wire.ReasonSessionFenced)))
		}
	}
	return out
}

// recordSend records a task that is about to be sent. The session must be open.
func (s *session) recordSend(j *job, index int, now time.Time) *sentTask {
	s.sequence++
	t := &sentTask{job: j, index: index, sentAt: now, key: wire.TaskKey{Session: s.id.Number, Sequence: s.sequence}}
	s.tasks[t.key] = t
	return t
}

// handleResult handles the agent's reply about a task. It reports false when the
// task was resolved before.
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

// resolveByResult resolves a task by the result that the agent gave in a reply or in its
// list of started tasks. Either may be an unknown outcome.
func (s *session) resolveByResult(t *sentTask, r wire.Result) verdict {
	switch r.Outcome {
	case wire.OutcomeNotRun:
		return s.resolveTask(t, verdictNotRun, r)
	case wire.OutcomeDone, wire.OutcomeFailed, wire.OutcomeInterrupted:
		return s.resolveTask(t, verdictResult, r)
	default:
		// The agent knows no more than this, so it may drop its record. Kept
		// records would delay the agent's planned stop by the lapse time.
		s.pendingAcks = append(s.pendingAcks, t.key)
		return s.resolveTask(t, verdictUnknown, r)
	}
}

// resolveNotSent handles a call of which no byte was written.
func (s *session) resolveNotSent(key wire.TaskKey) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolveTask(t, verdictNotRun, notRunResult(wire.ReasonAgentLost)), true
}

// isOpenLeasedTask reports whether the task has no outcome yet and is a leased one.
func (s *session) isOpenLeasedTask(key wire.TaskKey) bool {
	t := s.tasks[key]
	return t != nil && t.job.leased != nil
}

// resolveUnknown resolves one task as unknown, for a call that outlived its deadline.
func (s *session) resolveUnknown(key wire.TaskKey, reason wire.Reason) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolveTask(t, verdictUnknown, unknownResult(reason)), true
}

// markInDoubt closes the session because a message may have been lost. Tasks sent in
// it wait for the next session, at most until the reconciliation deadline.
func (s *session) markInDoubt(now time.Time, limit time.Duration) {
	s.state = sessionClosed
	s.startReconciliation(now, limit)
}

// handleReplacedAgent handles a sign of another process under the agent's name.
func (s *session) handleReplacedAgent(agent wire.Incarnation) []verdict {
	if agent == s.agent {
		return nil
	}
	s.state = sessionClosed
	s.agent = agent
	s.pendingAcks = nil
	return s.resolveAllUnknown(wire.ReasonAgentLost)
}

// expireInDoubt resolves all tasks in doubt as unknown once the deadline has passed.
func (s *session) expireInDoubt(now time.Time) []verdict {
	if s.reconcileBy.IsZero() || now.Before(s.reconcileBy) {
		return nil
	}
	return s.resolveAllUnknown(wire.ReasonAgentLost)
}

func (s *session) resolveAllUnknown(reason wire.Reason) []verdict {
	out := make([]verdict, 0, len(s.tasks))
	for _, t := range s.tasks {
		v := s.resolveTask(t, verdictUnknown, unknownResult(reason))
		v.reconcileBy = s.reconcileBy
		out = append(out, v)
	}
	s.reconcileBy = time.Time{}
	return out
}

func (s *session) resolveTask(t *sentTask, kind verdictKind, r wire.Result) verdict {
	delete(s.tasks, t.key)
	if kind == verdictResult && !isDurableEnd(t.job, r) {
		s.pendingAcks = append(s.pendingAcks, t.key)
	}
	return verdict{kind: kind, task: t, result: r}
}

// isTaggedEnd reports whether the result is the end of a run of a durable job's task.
// It is acknowledged only after it was stored; the agent reports it as unclaimed
// otherwise.
func isTaggedEnd(r wire.Result) bool {
	return r.Tag != 0 && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// isDurableEnd reports whether the dispatcher acknowledges the result.
func isDurableEnd(j *job, r wire.Result) bool {
	return durableOf(j) != nil && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// takeAcks returns the acknowledgements that the next message carries.
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
