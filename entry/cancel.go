package entry

import (
	"context"
	"net/http"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// cancelledRetention is how long an entry refuses to run a job that was cancelled,
// at whichever entry that was. Callers submit a job again about a second after they
// lost its answer, and copies of a submission may arrive seconds later: 7 s in review
// case 7.
const cancelledRetention = 30 * time.Second

// maxCancelled limits the cancellations that an entry remembers, which use about
// 200 bytes each. Up to 333 a second at all entries together, all are kept for
// cancelledRetention.
const maxCancelled = 10_000

// maxCancelCalls limits how long CancelJob waits for the other entries, in call
// timeouts: a call that is in progress, and one of its own, each on the connection
// in use and on a new one.
const maxCancelCalls = 4

// cancelResult is what cancelling a job at one entry did.
type cancelResult int

const (
	jobUnknown   cancelResult = iota
	jobCancelled              // was open
	jobEnded                  // has a final answer, which its caller has or can still get
)

// CancelJob cancels a job, whichever entries have it, and reports whether it was
// open at one of them. It returns as soon as an open job was found; the other
// entries learn of the cancellation at about the same time. No task is started
// afterwards, even if the job is submitted within cancelledRetention. A start order
// that was already sent may still be carried out until its validity ends.
//
// It returns false and no error if the job is open at no entry: all entries have
// answered, or one has answered that the job has ended. The error is ErrUnavailable
// if the job may be open at an entry that did not answer within maxCancelCalls call
// timeouts; the cancellation remains to be delivered there.
func (e *Entry) CancelJob(ctx context.Context, identifier string) (found bool, err error) {
	var own cancelResult
	if !e.started() || !e.dispatcher.postAndWait(func(d *dispatcher) { own = d.cancelIdentifier(identifier) }) {
		return false, ErrUnavailable
	}
	c := e.peers.announceCancellation(identifier, own)
	if own == jobCancelled {
		return true, nil
	}
	if found, err = e.CancelDurableJob(ctx, identifier); found {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxCancelCalls*e.settings.Timing.CallTimeout.AsDuration())
	defer cancel()
	select {
	case <-c.decided:
	case <-ctx.Done():
		return false, ErrUnavailable
	}
	if e.peers.cancellationResult(c) == jobCancelled {
		return true, nil
	}
	return false, err // of the durable job
}

// rpcCancelLeased serves Entry.CancelLeased. It never forwards a request.
func (e *Entry) rpcCancelLeased(_ context.Context, req *wire.CancelLeasedRequest, reply *wire.CancelLeasedReply) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) {
		for i, identifier := range req.Jobs {
			switch d.cancelIdentifier(identifier) {
			case jobCancelled:
				reply.Cancelled = append(reply.Cancelled, i)
			case jobEnded:
				reply.Ended = append(reply.Ended, i)
			case jobUnknown:
			}
		}
	}) {
		return ErrStopped
	}
	return nil
}

// cancelledJobs remembers the identifiers of jobs that were cancelled on request.
// The zero value is empty.
type cancelledJobs struct {
	at map[string]time.Time // last cancellation, by identifier
	// oldest has one element for each identifier, so that repeated cancellations of one
	// job take no room from others: in the order in which this entry learnt of them, with
	// the time known then. A later one in at moves the element to the end when it is first.
	oldest []cancelledJob
}

type cancelledJob struct {
	identifier string
	at         time.Time
}

// add remembers a cancellation at the given time, unless a later one is known.
func (c *cancelledJobs) add(identifier string, at, now time.Time) {
	last, known := c.at[identifier]
	if known && !at.After(last) || now.Sub(at) > cancelledRetention {
		return
	}
	if c.at == nil {
		c.at = map[string]time.Time{}
	}
	c.at[identifier] = at
	if !known {
		c.oldest = append(c.oldest, cancelledJob{identifier, at})
	}
	for len(c.oldest) > maxCancelled || now.Sub(c.oldest[0].at) > cancelledRetention {
		first := c.oldest[0]
		c.oldest = c.oldest[1:]
		if last := c.at[first.identifier]; last.After(first.at) {
			c.oldest = append(c.oldest, cancelledJob{first.identifier, last})
		} else {
			delete(c.at, first.identifier)
		}
	}
}

func (c *cancelledJobs) has(identifier string, now time.Time) bool {
	at, ok := c.at[identifier]
	return ok && now.Sub(at) <= cancelledRetention
}

// list returns the cancellations that are remembered.
func (c *cancelledJobs) list(now time.Time) (r wire.CancelledReply) {
	for _, j := range c.oldest {
		if c.has(j.identifier, now) {
			r.Jobs, r.Ages = append(r.Jobs, j.identifier), append(r.Ages, now.Sub(c.at[j.identifier]))
		}
	}
	return r
}

// cancelIdentifier cancels the open job of this entry with the identifier, unless
// it is durable, and remembers the cancellation in case the job is submitted here
// later.
func (d *dispatcher) cancelIdentifier(identifier string) cancelResult {
	return d.cancelIdentifierAt(identifier, d.now)
}

// cancelIdentifierAt is cancelIdentifier for a cancellation at an earlier time.
func (d *dispatcher) cancelIdentifierAt(identifier string, at time.Time) cancelResult {
	d.cancelled.add(identifier, at, d.now)
	if f := d.forwards.byJob[identifier]; f != nil {
		d.cancelForward(f)
		return jobCancelled
	}
	j := d.leasedJobs[identifier]
	switch {
	case j == nil || j.leased.durable != nil:
		return jobUnknown
	case !j.answered:
		d.cancelLeased(j)
		return jobCancelled
	case j.leased.answerReusable:
		return jobEnded
	}
	return jobUnknown // its caller submits it again, maybe elsewhere
}

// rpcCancelled serves Entry.Cancelled.
func (e *Entry) rpcCancelled(_ context.Context, _ *wire.CancelledRequest, reply *wire.CancelledReply) error {
	if !e.dispatcher.postAndWait(func(d *dispatcher) { *reply = d.cancelled.list(d.now) }) {
		return ErrStopped
	}
	return nil
}

// learnCancelled applies the cancellations that a peer remembers. It reports whether the
// reply is usable.
func (e *Entry) learnCancelled(r wire.CancelledReply) bool {
	if len(r.Jobs) != len(r.Ages) || len(r.Jobs) > maxCancelled {
		return false
	}
	return e.dispatcher.postAndWait(func(d *dispatcher) {
		for i, identifier := range r.Jobs {
			if 0 <= r.Ages[i] && r.Ages[i] <= cancelledRetention && len(identifier) <= maxIdentifierBytes {
				d.cancelIdentifierAt(identifier, d.now.Add(-r.Ages[i]))
			}
		}
	})
}

// checkNotCancelled returns the answer to a submission of a job that was cancelled
// before it arrived; nil for any other.
func (d *dispatcher) checkNotCancelled(identifier string) error {
	if !d.cancelled.has(identifier, d.now) {
		return nil
	}
	status := httpStatus(OutcomeFailed)
	return &problem{
		Status: status, Title: http.StatusText(status), Outcome: OutcomeFailed, Reason: wire.ReasonCancelled,
		Detail: "the job was cancelled before this submission arrived",
	}
}
