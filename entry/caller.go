package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"

	"chicorytray.example/chicorytray/internal/peerend"
	"chicorytray.example/chicorytray/wire"
)

// caller is one submission that waits for the answer of a job of leased tasks. Callers
// whose connection ends may send the job to another entry at once, so no task of a job
// may start after that. The end of the request's context alone comes too late for this:
// a goroutine of net/http waits for it, and an entry with little processor time has read
// the submission and started tasks before that goroutine runs.
type caller struct {
	done       <-chan struct{} // of the request's context
	connection peerend.Checker
	incoming   *incomingForward // whose sender waits; nil for a caller of this entry
}

// callerKey is the key of the connection of a request in its context.
type callerKey struct{}

// withCallerConn is the http.Server.ConnContext of the callers' address.
func (e *Entry) withCallerConn(ctx context.Context, c net.Conn) context.Context {
	checker := peerend.Of(c)
	if !checker.Known() {
		e.unknownConn.Do(func() {
			e.log.Warn().Str("type", fmt.Sprintf("%T", c)).Msg("ends of callers' connections are noticed late, because these connections cannot be asked")
		})
	}
	return context.WithValue(ctx, callerKey{}, checker)
}

// callerOf returns the caller of a request whose context is ctx. A program that embeds
// the entry has no connection: only the end of ctx is known. The streams of HTTP/2 share
// one; the end of a single stream is known from its ctx only.
func callerOf(ctx context.Context) *caller {
	connection, _ := ctx.Value(callerKey{}).(peerend.Checker)
	incoming, _ := ctx.Value(incomingKey{}).(*incomingForward)
	return &caller{ctx.Done(), connection, incoming}
}

// left reports whether the caller no longer waits. It does not block.
func (c *caller) left() bool {
	if c == nil {
		return false
	}
	select {
	case <-c.done:
		return true
	default:
		return c.connection.Ended() || c.incoming != nil && !c.incoming.wanted()
	}
}

// errCallerLeft refuses a submission whose caller has left.
func errCallerLeft() error {
	return notRun(http.StatusServiceUnavailable, wire.ReasonCancelled, "the caller disconnected")
}

// callersLeft reports whether all callers that wait for the job have left. A durable
// job has no waiting callers and does not end with them.
func (j *job) callersLeft() bool {
	if j.leased == nil || len(j.leased.callers) == 0 {
		return false
	}
	for _, c := range j.leased.callers {
		if !c.left() {
			return false
		}
	}
	return true
}

// abandonedJobs returns for each job with assigned tasks whether its callers have left.
func (d *dispatcher) abandonedJobs() map[*job]bool {
	abandoned := map[*job]bool{}
	for _, l := range d.pendingStarts {
		j := l.task.job
		if _, known := abandoned[j]; !known {
			abandoned[j] = j.callersLeft()
		}
	}
	return abandoned
}

// cancelAbandoned cancels the jobs for which abandonedJobs returned true.
func (d *dispatcher) cancelAbandoned(abandoned map[*job]bool) {
	for j, left := range abandoned {
		if left {
			d.cancelForLeft(j)
		}
	}
}

// cancelAbandonedAt cancels the jobs with tasks at the agent whose callers have left. It
// is called before the agent's session is renewed: a task may have waited there for the
// renewal, and would start after the end of its caller's connection.
func (d *dispatcher) cancelAbandonedAt(a *agent) {
	for _, t := range a.session.tasks {
		if t.job.failure == nil && t.job.callersLeft() {
			d.cancelForLeft(t.job)
		}
	}
}

// cancelForLeft cancels a job whose callers have left.
func (d *dispatcher) cancelForLeft(j *job) {
	if j.answered || j.failure != nil {
		return
	}
	d.logCallersLeft(j)
	d.cancelJob(j, "the caller disconnected")
}

// callerLeft handles a caller that no longer waits for the answer. It cancels the
// job if no other caller waits.
func (d *dispatcher) callerLeft(j *job, c *caller) {
	l := j.leased
	l.callers = slices.DeleteFunc(l.callers, func(k *caller) bool { return k == c })
	if len(l.callers) == 0 || j.callersLeft() {
		d.cancelForLeft(j)
	}
}
