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

// sent is a task at an agent whose outcome the entry does not know yet.
type sent struct {
	job   *job
	index int
	key   wire.TaskKey
	at    time.Time
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
	task   *sent
	result wire.Result
	// until is when a task in doubt was to be resolved at the latest; zero if
	// it was not in doubt before.
	until time.Time
}

// session is the state of the numbered sessions between this entry and one
// agent. It does no I/O; the dispatcher feeds it what happened and acts on the
// verdicts. Every sent task gets exactly one verdict other than verdictAwait.
type session struct {
	id        wire.Session // of the newest session that was asked for
	agent     wire.Incarnation
	state     sessionState
	sequence  uint64
	tasks     map[wire.TaskKey]*sent
	acked     []wire.TaskKey // resolved starts that the agent may forget
	reconcile time.Time      // when tasks in doubt become unknown; zero when none are
}

func newSession(entry wire.EntryRef, agent wire.Incarnation) *session {
	return &session{
		id:    wire.Session{Entry: entry.ID, Incarnation: entry.Incarnation},
		agent: agent,
		tasks: map[wire.TaskKey]*sent{},
	}
}

// begin asks for a new session. Each attempt has a number of its own, so that
// a delayed message of an earlier attempt is fenced.
func (s *session) begin(now time.Time, limit time.Duration) wire.Session {
	s.id.Number++
	s.sequence = 0
	s.state = sessionOpening
	s.startReconciliation(now, limit)
	return s.id
}

func (s *session) startReconciliation(now time.Time, limit time.Duration) {
	if len(s.tasks) > 0 && s.reconcile.IsZero() {
		s.reconcile = now.Add(limit)
	}
}

// opened handles the reply to the OpenSession with the given number and
// decides about every task sent in an earlier session.
func (s *session) opened(number uint64, reply wire.OpenSessionReply) []verdict {
	if number != s.id.Number || s.state != sessionOpening {
		return nil // a newer attempt is under way and will report the same tasks
	}
	s.state = sessionOpen
	if reply.Agent.Incarnation != s.agent {
		lost := s.abandon(wire.ReasonAgentLost)
		s.agent = reply.Agent.Incarnation
		return lost
	}
	until := s.reconcile
	s.reconcile = time.Time{}
	out := s.reconcileWith(reply)
	for i := range out {
		out[i].until = until
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
			if r.Finished && !hasEnd(r.Result) {
				s.acked = append(s.acked, r.Key)
			}
		case r.Finished:
			out = append(out, s.judge(t, r.Result))
		default:
			out = append(out, verdict{kind: verdictAwait, task: t})
		}
	}
	for key, t := range s.tasks {
		switch {
		case listed[key]:
		case reply.Truncated:
			out = append(out, s.resolve(t, verdictUnknown, unknownResult(wire.ReasonStartRecordLost)))
		default:
			out = append(out, s.resolve(t, verdictNotRun, notRunResult(wire.ReasonSessionFenced)))
		}
	}
	return out
}

// send records a task that is about to be sent. The session must be open.
func (s *session) send(j *job, index int, now time.Time) *sent {
	s.sequence++
	t := &sent{job: j, index: index, at: now, key: wire.TaskKey{Session: s.id.Number, Sequence: s.sequence}}
	s.tasks[t.key] = t
	return t
}

// answered handles the agent's reply about a task. It reports false when the
// task was resolved before.
func (s *session) answered(key wire.TaskKey, r wire.Result) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		if r.Outcome != wire.OutcomeNotRun && !hasEnd(r) {
			s.acked = append(s.acked, key)
		}
		return verdict{}, false
	}
	return s.judge(t, r), true
}

// judge resolves a task by the result that the agent gave in a reply or in its
// list of started tasks. Either may be an unknown outcome.
func (s *session) judge(t *sent, r wire.Result) verdict {
	switch r.Outcome {
	case wire.OutcomeNotRun:
		return s.resolve(t, verdictNotRun, r)
	case wire.OutcomeDone, wire.OutcomeFailed, wire.OutcomeInterrupted:
		return s.resolve(t, verdictResult, r)
	default:
		// The agent knows no more than this, so it may drop its record. Kept
		// records would delay the agent's planned stop by the lapse time.
		s.acked = append(s.acked, t.key)
		return s.resolve(t, verdictUnknown, r)
	}
}

// neverSent handles a call of which no byte was written.
func (s *session) neverSent(key wire.TaskKey) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolve(t, verdictNotRun, notRunResult(wire.ReasonAgentLost)), true
}

// leased reports whether the task has no outcome yet and is a leased one.
func (s *session) leased(key wire.TaskKey) bool {
	t := s.tasks[key]
	return t != nil && t.job.leased != nil
}

// giveUp resolves one task as unknown, for a call that outlived its deadline.
func (s *session) giveUp(key wire.TaskKey, reason wire.Reason) (verdict, bool) {
	t := s.tasks[key]
	if t == nil {
		return verdict{}, false
	}
	return s.resolve(t, verdictUnknown, unknownResult(reason)), true
}

// doubt closes the session because a message may have been lost. Tasks sent in
// it wait for the next session, at most until the reconciliation deadline.
func (s *session) doubt(now time.Time, limit time.Duration) {
	s.state = sessionClosed
	s.startReconciliation(now, limit)
}

// replaced handles a sign of another process under the agent's name.
func (s *session) replaced(agent wire.Incarnation) []verdict {
	if agent == s.agent {
		return nil
	}
	s.state = sessionClosed
	s.agent = agent
	s.acked = nil
	return s.abandon(wire.ReasonAgentLost)
}

// expire resolves all tasks in doubt as unknown once the deadline has passed.
func (s *session) expire(now time.Time) []verdict {
	if s.reconcile.IsZero() || now.Before(s.reconcile) {
		return nil
	}
	return s.abandon(wire.ReasonAgentLost)
}

func (s *session) abandon(reason wire.Reason) []verdict {
	out := make([]verdict, 0, len(s.tasks))
	for _, t := range s.tasks {
		v := s.resolve(t, verdictUnknown, unknownResult(reason))
		v.until = s.reconcile
		out = append(out, v)
	}
	s.reconcile = time.Time{}
	return out
}

func (s *session) resolve(t *sent, kind verdictKind, r wire.Result) verdict {
	delete(s.tasks, t.key)
	if kind == verdictResult && !endOfDurable(t.job, r) {
		s.acked = append(s.acked, t.key)
	}
	return verdict{kind: kind, task: t, result: r}
}

// hasEnd reports whether the result is the end of a run of a durable job's task.
// It is acknowledged only after it was stored; the agent reports it as unclaimed
// otherwise.
func hasEnd(r wire.Result) bool {
	return r.Tag != 0 && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// endOfDurable reports whether the dispatcher acknowledges the result.
func endOfDurable(j *job, r wire.Result) bool {
	return durableOf(j) != nil && (r.Outcome == wire.OutcomeDone || r.Outcome == wire.OutcomeFailed)
}

// takeAcked returns the acknowledgements that the next message carries.
func (s *session) takeAcked() []wire.TaskKey {
	a := s.acked
	s.acked = nil
	return a
}

func unknownResult(r wire.Reason) wire.Result {
	return wire.Result{Outcome: wire.OutcomeUnknown, Reason: r}
}

func notRunResult(r wire.Reason) wire.Result {
	return wire.Result{Outcome: wire.OutcomeNotRun, Reason: r}
}
