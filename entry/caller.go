package entry

import (
	"context"
	"net"
	"net/http"

	"chicorytray.example/chicorytray/internal/peerend"
	"chicorytray.example/chicorytray/wire"
)

// caller is one submission that waits for the answer of a job of leased tasks. Callers
// whose connection ends may send the job to another entry at once, so no task of a job
// may start after that. The end of the request's context comes too late for this: a
// goroutine of net/http waits for it, and an entry with little processor time has read
// the submission and started tasks before that goroutine runs.
type caller struct {
	connection peerend.Checker
}

// callerKey is the key of the connection of a request in its context.
type callerKey struct{}

// withCallerConn is the http.Server.ConnContext of the callers' address.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, peerend.Of(c))
}

// callerOf returns the caller of a request whose context is ctx. Of a caller without a
// connection, such as a program that embeds the entry, only the end of ctx is known.
func callerOf(ctx context.Context) *caller {
	connection, _ := ctx.Value(callerKey{}).(peerend.Checker)
	return &caller{connection}
}

// left reports whether the caller's connection has ended. It does not block.
func (c *caller) left() bool { return c != nil && c.connection.Ended() }

// errCallerLeft refuses a submission whose caller has left.
func errCallerLeft() error {
	return notRun(http.StatusServiceUnavailable, wire.ReasonCancelled, "the caller disconnected")
}

// callersLeft reports whether the connections of all callers that wait for the job have
// ended. A durable job has no waiting callers and does not end with them.
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

// abandonedJobs returns the jobs with assigned tasks whose callers have left.
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
		if left && !j.answered {
			d.metrics.startsWithheld.Inc(1)
			d.cancelJob(j, "the caller disconnected")
		}
	}
}

// callerLeft handles a caller that no longer waits for the answer. It cancels the
// job if no other caller waits.
func (d *dispatcher) callerLeft(j *job, c *caller) {
	l := j.leased
	if l.openRuns > 0 {
		d.metrics.callersLeft.Inc(1)
		d.rareLog.Warn().Str("caller_job", l.identifier).Str("job", j.id).Int("open_runs", l.openRuns).
			Dur("after_ms", d.clock.Since(j.arrived)).Msg("caller left while tasks are at agents")
	}
	l.removeCaller(c)
	if len(l.callers) == 0 {
		d.cancelJob(j, "the caller disconnected")
	}
}
