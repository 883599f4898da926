package agent

import (
	"context"
	"fmt"
	"strings"
	"time"

	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// taskID identifies a task by the entry process that sent it and by the
// session and sequence in which it was sent.
type taskID struct {
	owner ledger.Owner
	key   wire.TaskKey
}

// task is a task that is queued or running at this agent.
type task struct {
	taskID
	session     wire.Session
	task        wire.Task
	deadline    time.Time
	startedAt   time.Time // zero while the task is queued
	expiryTimer *time.Timer
	cancel      context.CancelCauseFunc // cancels the execution; nil while the task is queued
	done        chan struct{}           // closed when result is set
	result      wire.Result
}

// newServer returns a server with the RPC methods that entries call.
func (a *Agent) newServer(o rpcconn.Options) *rpcconn.Server {
	s := rpcconn.NewServer(o)
	rpcconn.Handle(s, "Agent.OpenSession", a.rpcOpenSession)
	rpcconn.Handle(s, "Agent.Run", a.rpcRun)
	rpcconn.Handle(s, "Agent.Await", a.rpcAwait)
	rpcconn.Handle(s, "Agent.Cancel", a.rpcCancel)
	rpcconn.Handle(s, "Agent.Announce", a.rpcAnnounce)
	rpcconn.Handle(s, "Agent.Introduce", a.rpcIntroduce)
	rpcconn.Handle(s, "Agent.ReadConfig", a.rpcReadConfig)
	return s
}

// rpcRun accepts or refuses a task and replies when it is finished. A closed
// connection does not cancel the task: the entry learns the result in its next
// session.
func (a *Agent) rpcRun(ctx context.Context, in *wire.RunRequest, out *wire.RunReply) error {
	now := a.clock.Now()
	if err := a.validate(in); err != nil {
		a.reply(ledger.OwnerOf(in.Session), out, invalidTask(err))
		return nil
	}
	a.mu.Lock()
	t, refusal := a.accept(in, now)
	a.mu.Unlock()
	if refusal != nil {
		a.reply(ledger.OwnerOf(in.Session), out, *refusal)
		return nil
	}
	return a.replyWhenDone(ctx, t, out)
}

// accept checks the session and the gate, and then starts or queues the task; it
// returns the result of a refused one. The caller holds mu.
func (a *Agent) accept(in *wire.RunRequest, now time.Time) (*task, *wire.Result) {
	if refusal := a.admitToSession(in, now); refusal != nil {
		return nil, refusal
	}
	a.setBacklog(ledger.OwnerOf(in.Session), in.Backlog)
	t := &task{
		taskID:  taskID{ledger.OwnerOf(in.Session), wire.TaskKey{Session: in.Session.Number, Sequence: in.Sequence}},
		session: in.Session, task: in.Task, deadline: now.Add(timeToDeadline(in.Task)), done: make(chan struct{}),
	}
	if reason := a.refusalReason(t, now); reason != "" {
		a.ledger.Withdraw(t.session, t.key)
		a.metrics.countRefusal(reason)
		if reason == wire.ReasonAgentBusy {
			a.noteInterest(t.owner, now)
		}
		refusal := notRun(reason, "")
		return nil, &refusal
	}
	a.releaseReservation(t.owner)
	a.enqueue(t)
	a.dispatch(now)
	return t, nil
}

// replyWhenDone waits until the task is finished and replies with its result. It
// returns the error of ctx if that ends first.
func (a *Agent) replyWhenDone(ctx context.Context, t *task, out *wire.RunReply) error {
	select {
	case <-t.done:
		a.reply(t.owner, out, t.result)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rpcAwait replies with the result of a task that was started in an earlier
// session, once it is finished. Without a record of the task the outcome is
// wire.OutcomeUnknown.
func (a *Agent) rpcAwait(ctx context.Context, in *wire.AwaitRequest, out *wire.RunReply) error {
	now := a.clock.Now()
	id := taskID{ledger.OwnerOf(in.Session), in.Key}
	a.mu.Lock()
	if err := a.checkSession(in.Session, now); err != nil {
		a.mu.Unlock()
		return err
	}
	t := a.tasks[id]
	result, finished, err := a.ledger.Result(id.owner, id.key)
	a.mu.Unlock()
	switch {
	case t != nil:
		return a.replyWhenDone(ctx, t, out)
	case err != nil || !finished:
		a.reply(id.owner, out, wire.Result{Outcome: wire.OutcomeUnknown, Reason: wire.ReasonStartRecordLost})
	default:
		a.reply(id.owner, out, result)
	}
	return nil
}

// rpcCancel withdraws queued tasks and cancels the execution of running ones.
func (a *Agent) rpcCancel(_ context.Context, in *wire.CancelRequest, out *wire.CancelReply) error {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkSession(in.Session, now); err != nil {
		return err
	}
	for _, key := range in.Keys {
		t := a.tasks[taskID{ledger.OwnerOf(in.Session), key}]
		if a.ledger.Withdraw(in.Session, key) {
			out.Withdrawn = append(out.Withdrawn, key)
			if t != nil {
				a.complete(t, notRun(wire.ReasonCancelled, ""))
			}
			continue
		}
		if t != nil && t.cancel != nil {
			t.cancel(nil)
		}
	}
	a.dispatch(now)
	out.Load = a.loadFor(ledger.OwnerOf(in.Session))
	return nil
}

// rpcAnnounce records an entry's backlog and applies its configuration.
func (a *Agent) rpcAnnounce(_ context.Context, in *wire.AnnounceRequest, out *wire.AnnounceReply) error {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkSession(in.Session, now); err != nil {
		return err
	}
	owner := ledger.OwnerOf(in.Session)
	a.acknowledge(owner, in.Acked)
	a.setBacklog(owner, in.Backlog)
	if in.Config != nil {
		a.applyConfig(*in.Config, now)
	}
	out.Load = a.loadFor(ledger.OwnerOf(in.Session))
	return nil
}

// rpcIntroduce records an entry that no longer hears from this agent, so that
// the agent sends it heartbeats.
func (a *Agent) rpcIntroduce(_ context.Context, in *wire.IntroduceRequest, _ *wire.Empty) error {
	if in.Entry.ID == "" {
		return fmt.Errorf("%w: introduction without an entry identifier", ErrSession)
	}
	a.entries.recordIntroduction(in.Entry)
	return nil
}

// validate checks the fields from which the upstream's request or the worker's
// order is built.
func (a *Agent) validate(in *wire.RunRequest) error {
	r, leased := in.Task.Request, in.Task.Leased
	switch {
	case in.Session.Entry == "" || in.Session.Number == 0:
		return fmt.Errorf("message without an entry identifier or session number")
	case in.Sequence == 0:
		return fmt.Errorf("message without a sequence (at least 1)")
	case in.Task.Job == "":
		return fmt.Errorf("task without a job identifier")
	case in.Task.Needs != nonNegative(in.Task.Needs):
		return fmt.Errorf("task with negative needs")
	case (leased != nil) != (a.leased != nil):
		return fmt.Errorf("the task does not match the agent: a leased task needs a worker of leased tasks, an HTTP task an HTTP upstream")
	case leased != nil && leased.Job == "":
		return fmt.Errorf("leased task without the caller's job identifier")
	case leased != nil:
		return nil
	case !strings.HasPrefix(r.Path, "/"):
		return fmt.Errorf("path %q does not begin with a slash", r.Path)
	case !isToken(r.Method):
		return fmt.Errorf("method %q is not a token", r.Method)
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2). HTTP methods
// have to be tokens.
func isToken(s string) bool {
	for _, c := range []byte(s) {
		if (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && (c < '0' || c > '9') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}

// invalidTask is the result of a task that no agent can run. The outcome is
// wire.OutcomeFailed, because wire.OutcomeNotRun would make the entry send the
// task to another agent.
func invalidTask(err error) wire.Result {
	return wire.Result{Outcome: wire.OutcomeFailed, Reason: wire.ReasonInvalid, Detail: err.Error()}
}

func notRun(r wire.Reason, detail string) wire.Result {
	return wire.Result{Outcome: wire.OutcomeNotRun, Reason: r, Detail: detail}
}
