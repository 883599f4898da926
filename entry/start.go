package entry

import (
	"context"
	"errors"
	"math"
	"time"

	"chicorytray.example/chicorytray/rpcconn"
	"chicorytray.example/chicorytray/wire"
)

// leasedCallSlack is added to the timeout of a call for a leased task. The
// agent always replies, at the latest when the lease of the run has ended, and
// pings detect a broken connection.
const leasedCallSlack = 10 * time.Second

// noTimeout is the timeout of calls for tasks without a deadline. Pings detect
// a broken connection.
const noTimeout = time.Duration(math.MaxInt64)

// assignTask assigns a task to an agent. flushStarts sends the message.
func (d *dispatcher) assignTask(j *job, index int, a *agent) {
	task := a.session.recordSend(j, index, d.now)
	j.states[index] = taskSent
	j.locations[index] = location{a, task}
	if j.onProbation(index) {
		a.markProbation(j, index, task)
	}
	d.table.RecordSent(a.ref.ID, j.class.Needs)
	d.countStart(j, index, a)
	d.recordSpeedStart(a)
	d.recordDurableStart(j, index, a)
	d.pendingStarts = append(d.pendingStarts, location{a, task})
}

// flushStarts sends the assigned tasks. It runs after all placements of a batch
// of events, so that each message reports the backlog that remains then.
// Otherwise agents would offer slots for tasks that were placed a moment later.
func (d *dispatcher) flushStarts() {
	if len(d.pendingStarts) == 0 {
		return
	}
	startsAllowed, abandoned := d.mayStartNow(), d.abandonedJobs()
	for _, l := range d.pendingStarts {
		a, j, index := l.agent, l.task.job, l.task.index
		if !startsAllowed || abandoned[j] || a.conn == nil || l.task.key.Session != a.session.id.Number || !d.mayStartJob(j) {
			// The session or the job ended after the task was placed, or its callers left.
			if v, ok := a.session.resolveNotSent(l.task.key); ok {
				d.applyVerdicts(a, []verdict{v})
			}
			continue
		}
		t := j.tasks[index]
		t.Remaining = j.remaining(d.now)
		req := wire.RunRequest{
			Session: a.session.id, Sequence: l.task.key.Sequence, Task: t,
			Backlog: d.currentBacklog(a.ref.Pool), Acked: a.session.takeAcks(),
		}
		d.log.Debug().Str("job", j.id).Int("task", index).Int("attempt", t.Attempt).Str("agent", a.ref.ID).Msg("task sent")
		d.callForTask(a, l.task.key, t.Remaining, "Agent.Run", &req, req.Acked)
	}
	clear(d.pendingStarts)
	d.pendingStarts = d.pendingStarts[:0]
	d.cancelAbandoned(abandoned)
}

// awaitResult calls Agent.Await for a task that the agent reported as running.
func (d *dispatcher) awaitResult(a *agent, task *sentTask) {
	remaining := max(0, task.job.remaining(d.now))
	req := wire.AwaitRequest{Session: a.session.id, Key: task.key}
	d.callForTask(a, task.key, remaining, "Agent.Await", &req, nil)
}

// callForTask makes a call whose reply is the result of a task, and handles the
// reply or the error. The agent ends a task at its deadline, so a call without
// a reply within Timing.Lapse after that was lost.
func (d *dispatcher) callForTask(a *agent, key wire.TaskKey, remaining time.Duration, method string, req any, acked []wire.TaskKey) {
	conn, number := a.conn, a.session.id.Number
	limit := remaining + d.timing.Lapse.AsDuration()
	if task := a.session.tasks[key]; task != nil && task.job.leased != nil {
		limit += leasedCallSlack
		if task.job.deadline.IsZero() {
			limit = noTimeout
		}
	}
	d.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		var reply wire.RunReply
		err := conn.Call(ctx, method, req, &reply)
		d.post(func(d *dispatcher) {
			if err != nil {
				a.session.pendingAcks = append(a.session.pendingAcks, acked...)
				d.handleCallError(a, number, key, err)
				return
			}
			if v, ok := a.session.handleResult(key, reply.Result); ok {
				d.applyVerdicts(a, []verdict{v})
			}
			d.updateLoad(a, reply.Load)
			switch reply.Result.Reason {
			case wire.ReasonAgentBusy, wire.ReasonWorkerRefused: // the refusal is newer than the load
			default:
				d.clearBusy(a)
			}
		})
	})
}

// handleCallError handles an error of Agent.Run or Agent.Await. Except where
// the error decides about the task alone, the session is in doubt afterwards.
func (d *dispatcher) handleCallError(a *agent, number uint64, key wire.TaskKey, err error) {
	switch {
	case errors.Is(err, rpcconn.ErrNotSent) && (errors.Is(err, rpcconn.ErrTooLarge) || errors.Is(err, rpcconn.ErrEncoding)):
		// The task is too large or cannot be encoded, on any connection.
		if v, ok := a.session.resolveNotSent(key); ok {
			v.result.Reason = reasonTooLarge
			d.applyVerdicts(a, []verdict{v})
		}
		return
	case errors.Is(err, rpcconn.ErrNotSent) && key.Session == number:
		if v, ok := a.session.resolveNotSent(key); ok {
			d.applyVerdicts(a, []verdict{v})
		}
	case a.session.isOpenLeasedTask(key):
		// Whether its run has ended is known only from the agent's list of
		// started tasks, or after the reconciliation deadline.
	case errors.Is(err, rpcconn.ErrTooLarge):
		// The agent's reply exceeds the message size limit; another call would
		// fail in the same way.
		if v, ok := a.session.resolveUnknown(key, wire.ReasonTooLarge); ok {
			d.applyVerdicts(a, []verdict{v})
		}
		return
	case errors.Is(err, rpcconn.ErrTimeout):
		if v, ok := a.session.resolveUnknown(key, wire.ReasonDeadline); ok {
			d.applyVerdicts(a, []verdict{v})
		}
		return
	}
	d.handleSessionInDoubt(a, number, err)
}

// flushCancels sends one Cancel message to each agent with tasks to cancel.
func (d *dispatcher) flushCancels() {
	for a, keys := range d.pendingCancels {
		delete(d.pendingCancels, a)
		if a.conn == nil || a.session.state != sessionOpen {
			continue // the next session fences tasks that are queued there; see awaitOrCancel
		}
		conn, number := a.conn, a.session.id.Number
		a.unansweredCancels++
		req := wire.CancelRequest{Session: a.session.id, Keys: keys}
		d.spawn(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, d.timing.CallTimeout.AsDuration())
			defer cancel()
			var reply wire.CancelReply
			err := conn.Call(ctx, "Agent.Cancel", &req, &reply)
			d.post(func(d *dispatcher) { d.handleCancelReply(a, number, reply, err) })
		})
	}
}

// handleCancelReply handles the reply to Agent.Cancel: the withdrawn tasks did
// not run. After an error the session is in doubt, except after a time-out at
// an agent of HTTP tasks.
func (d *dispatcher) handleCancelReply(a *agent, number uint64, reply wire.CancelReply, err error) {
	a.unansweredCancels--
	if err != nil {
		if !errors.Is(err, rpcconn.ErrTimeout) || a.ref.Pool != "" {
			d.handleSessionInDoubt(a, number, err)
		}
		return
	}
	for _, key := range reply.Withdrawn {
		if v, ok := a.session.handleResult(key, notRunResult(wire.ReasonCancelled)); ok {
			d.applyVerdicts(a, []verdict{v})
		}
	}
	d.updateLoadFromReply(a, reply.Load)
}
