package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

const (
	// holderTimeout limits a claim at one peer. It delays a job whose home entry does not
	// answer.
	holderTimeout = 50 * time.Millisecond
	// maxClaimTries limits the peers at which a claim is tried.
	maxClaimTries = 2
	// claimLateAfter is when a job that was not claimed before its first task was sent is
	// claimed. It is far less than the time after which callers send a job again.
	claimLateAfter = 200 * time.Millisecond
	// releaseWait is how long a holder waits for the end of the runs before it replies
	// that they go on, and releasePoll how often it looks for that end.
	releaseWait = 100 * time.Millisecond
	releasePoll = 5 * time.Millisecond
	// releaseRetry is the least time between two requests to release a job.
	releaseRetry = 20 * time.Millisecond
)

// attempt is a submission of a job of leased tasks until the dispatcher has it.
type attempt struct {
	key       jobKey
	waitsFor  []wire.JobHolder // the holders before it
	cancel    context.CancelFunc
	overtaken atomic.Bool // the caller has sent the job to another entry since
}

// jobHolders is what an entry knows of the holders of jobs.
type jobHolders struct {
	mu       sync.Mutex
	table    holderTable
	attempts map[jobKey][]*attempt
}

func (h *jobHolders) claim(key jobKey, holder wire.JobHolder, now time.Time, age, lasts time.Duration) ([]wire.JobHolder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.claim(key, holder, now, age, lasts)
}

// begin records a submission. The context ends if it is overtaken.
func (h *jobHolders) begin(ctx context.Context, key jobKey) (context.Context, *attempt) {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{key: key, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.attempts == nil {
		h.attempts = map[jobKey][]*attempt{}
	}
	h.attempts[key] = append(h.attempts[key], a)
	return ctx, a
}

func (h *jobHolders) end(a *attempt) {
	a.cancel()
	h.mu.Lock()
	defer h.mu.Unlock()
	rest := slices.DeleteFunc(h.attempts[a.key], func(o *attempt) bool { return o == a })
	if h.attempts[a.key] = rest; len(rest) == 0 {
		delete(h.attempts, a.key)
	}
}

// setWaitsFor records the holders before the attempt.
func (h *jobHolders) setWaitsFor(a *attempt, holders []wire.JobHolder) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.waitsFor = holders
}

// overtake ends the attempts for the job that began before that of the holder by, and
// reports whether there are any. One that waits for by is later.
func (h *jobHolders) overtake(key jobKey, by wire.JobHolder) (found bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.attempts[key] {
		if !slices.Contains(a.waitsFor, by) {
			a.overtaken.Store(true)
			a.cancel()
			found = true
		}
	}
	return found
}

// holder returns this process as the holder of jobs.
func (e *Entry) holder() wire.JobHolder {
	return wire.JobHolder{Entry: e.self.ID, Incarnation: e.self.Incarnation, Address: e.self.Address}
}

// takeOver makes this entry the holder of a job whose caller may have sent it to another
// entry before: it returns when no earlier holder has a run of the job. Other jobs it
// claims later, if they are still open then. Claims are made at the job's home, the peer
// with the highest rendezvous weight that answers, so that entries find each other's.
func (e *Entry) takeOver(ctx context.Context, s *submission, a *attempt) error {
	if s.caller.mayRepeat {
		e.awaitSettled(ctx, s)
	}
	if s.caller.left() {
		return nil // refused by submitLeased; a claim would take the job from the next holder
	}
	lasts := s.deadline + e.settings.Timing.Reconcile.AsDuration()
	earlier, overtaken := e.holders.claim(a.key, e.holder(), e.clock.Now(), e.clock.Since(s.arrived), lasts)
	if overtaken {
		return errTakenOver()
	}
	if len(earlier) == 0 && !s.caller.mayRepeat {
		return nil
	}
	s.claimed = true
	req := wire.ClaimJobRequest{Account: a.key.account, Job: a.key.identifier, Holder: e.holder(), For: lasts, Age: e.clock.Since(s.arrived)}
	e.peers.awaitFirst(ctx, e.createdAt)
	homes, own := e.peers.homesOf(a.key)
	if own && e.clock.Since(e.createdAt) > lasts { // else a former process of this entry may have recorded claims
		e.claimInBackground(homes, req)
	} else {
		reply := e.peers.claimAt(ctx, homes, req)
		if reply.Overtaken {
			return errTakenOver()
		}
		earlier = append(earlier, reply.Earlier...)
	}
	if len(earlier) == 0 {
		return nil
	}
	e.holders.setWaitsFor(a, earlier)
	ctx, cancel := context.WithTimeout(ctx, s.deadline-e.clock.Since(s.arrived))
	defer cancel()
	for _, h := range earlier {
		if err := e.awaitRelease(ctx, s.caller, a.key, h); err != nil {
			return err
		}
	}
	return nil
}

// awaitSettled waits while the entry settles after a pause. A submission that it reads
// then may have a caller that left during the pause and waits at another entry now.
func (e *Entry) awaitSettled(ctx context.Context, s *submission) {
	var until time.Time
	e.dispatcher.postAndWait(func(d *dispatcher) {
		d.updateClock()
		s.arrived, until = d.earliestArrival(s.arrived), d.startsBlockedUntil
	})
	if left := until.Sub(e.clock.Now()); left > 0 {
		wait.For(ctx, left, nil)
	}
}

// claimLate claims a job that was not claimed before its tasks were sent.
func (e *Entry) claimLate(s *submission, key jobKey) {
	homes, _ := e.peers.homesOf(key)
	e.claimInBackground(homes, wire.ClaimJobRequest{Account: key.account, Job: key.identifier, Holder: e.holder(),
		For: s.deadline + e.settings.Timing.Reconcile.AsDuration(), Age: e.clock.Since(s.arrived)})
}

func (e *Entry) claimInBackground(homes []*peer, req wire.ClaimJobRequest) {
	if len(homes) > 0 {
		e.dispatcher.post(func(d *dispatcher) { d.spawn(func(ctx context.Context) { e.peers.claimAt(ctx, homes, req) }) })
	}
}

// errTakenOver answers a submission of a job that may run elsewhere.
func errTakenOver() error {
	return unknownOutcome(reasonTakenOver, "the job was submitted to another entry")
}

// awaitRelease returns when the process has no run of the job. A process that cannot be
// reached has none Timing.Reconcile after the first sign of that: its sessions have
// lapsed.
func (e *Entry) awaitRelease(ctx context.Context, c *caller, key jobKey, h wire.JobHolder) error {
	if h == e.holder() {
		return nil
	}
	began := e.clock.Now()
	unreachable := e.peers.unreachableSince(h)
	if h.Entry == e.self.ID {
		unreachable = e.createdAt // a former process of this entry
	}
	req := wire.ReleaseJobRequest{Account: key.account, Job: key.identifier, Incarnation: h.Incarnation, By: e.holder()}
	for ctx.Err() == nil && !c.left() {
		reply, err := wire.ReleaseJobReply{Replaced: true}, error(nil)
		if h.Entry != e.self.ID {
			reply, err = e.peers.release(ctx, h, req)
		}
		now := e.clock.Now()
		switch {
		case err == nil && reply.Ended:
			e.logTakenOver(key, h, now.Sub(began), "ended")
			return nil
		case err == nil && !reply.Replaced:
			unreachable = time.Time{}
		case unreachable.IsZero():
			unreachable = now
		}
		pause := releaseRetry
		if !unreachable.IsZero() {
			left := e.settings.Timing.Reconcile.AsDuration() - now.Sub(unreachable)
			if left <= 0 {
				e.logTakenOver(key, h, now.Sub(began), "unreachable")
				return nil
			}
			pause = min(left, 5*releaseRetry)
		}
		wait.For(ctx, pause, nil)
	}
	return errTakenOver()
}

// rpcClaimJob serves Entry.ClaimJob.
func (e *Entry) rpcClaimJob(_ context.Context, req *wire.ClaimJobRequest, reply *wire.ClaimJobReply) error {
	if !validIdentifier(req.Job) || req.For <= 0 || req.For > maxClaim || req.Age < 0 || req.Age > maxClaim {
		return ErrMalformedClaim
	}
	reply.Earlier, reply.Overtaken = e.holders.claim(jobKey{req.Account, req.Job}, req.Holder, e.clock.Now(), req.Age, req.For)
	return nil
}

// rpcReleaseJob serves Entry.ReleaseJob.
func (e *Entry) rpcReleaseJob(ctx context.Context, req *wire.ReleaseJobRequest, reply *wire.ReleaseJobReply) error {
	if req.Incarnation != e.self.Incarnation {
		reply.Replaced = true
		return nil
	}
	key := jobKey{req.Account, req.Job}
	e.holders.claim(key, req.By, e.clock.Now(), 0, e.settings.Limits.MaxDeadline.AsDuration())
	for end := e.clock.Now().Add(releaseWait); ; wait.For(ctx, releasePoll, nil) {
		waiting := e.holders.overtake(key, req.By)
		if !e.dispatcher.postAndWait(func(d *dispatcher) { reply.Ended = d.releaseJob(key) && !waiting }) {
			return ErrStopped
		}
		if reply.Ended || ctx.Err() != nil || !e.clock.Now().Before(end) {
			return nil
		}
	}
}

// releaseJob ends a job whose caller has sent it to another entry, and reports whether
// no run of it goes on. Durable jobs have an owner in the store.
func (d *dispatcher) releaseJob(key jobKey) (ended bool) {
	j := d.leasedJobs[key.identifier]
	if j == nil || j.account != key.account || j.leased.durable != nil {
		return true
	}
	if !j.answered && j.failure == nil {
		j.leased.takenOver = true
		d.metrics.jobsReleased.Inc(1)
		d.logJob(&d.jobLog, j).Int("open_runs", j.leased.openRuns).Msg("job is released to another entry")
		d.failJob(j, jobFailure{reason: reasonTakenOver, detail: "the job was submitted to another entry"})
	}
	return jobWithOpenRuns(j) == nil
}
