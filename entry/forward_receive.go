package entry

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"chicorytray.example/chicorytray/forward"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/wire"
)

// receivedForwards are the open forwards of this entry as the receiver.
type receivedForwards struct {
	mu      sync.Mutex
	senders map[wire.Incarnation]*forwardSender
	open    int
	loops   sync.WaitGroup
}

// forwardSender is a process that has open forwards here.
type forwardSender struct {
	ref  wire.EntryRef
	open map[uint64]*incomingForward
}

// incomingForward is a job that this entry runs for the callers of another one.
type incomingForward struct {
	number  uint64
	job     string
	sender  wire.EntryRef
	arrived time.Time
	clock   *clock.Clock
	lapse   time.Duration
	cancel  context.CancelFunc // cancels the job

	mu     sync.Mutex
	state  forward.Incoming
	lapsed bool // logged
}

// incomingKey is the key of an incomingForward in the context of its submission.
type incomingKey struct{}

// wanted reports whether the job may run. It does not block.
func (f *incomingForward) wanted() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Wanted(f.clock.Now(), f.lapse)
}

func (f *incomingForward) lapses() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Lapses(f.lapse)
}

// confirmed records the answer to a request that was sent at the given time.
func (f *incomingForward) confirmed(requested time.Time, wanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if wanted {
		f.state.Confirmed(requested)
		return
	}
	f.state.End()
}

// rpcForward serves Entry.Forward. An error before the first
// confirmation means that nothing of the job was run; later refusals are replies.
func (e *Entry) rpcForward(ctx context.Context, req *wire.ForwardRequest, reply *wire.ForwardReply) error {
	if !e.settings.Forwarding.Enabled {
		return errors.New("entry: forwarding is not enabled")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f := &incomingForward{
		number: req.Number, job: req.Job, sender: req.Sender, arrived: e.clock.Now(), clock: e.clock,
		lapse: e.settings.Timing.Lapse.AsDuration(), cancel: cancel, state: forward.NewIncoming(e.clock.Now()),
	}
	if err := e.requestConfirmation(ctx, req.Sender, []*incomingForward{f}); err != nil || !f.wanted() {
		return errors.Join(errors.New("entry: the forward was not confirmed by its sender"), err)
	}
	if err := e.addForward(f); err != nil {
		*reply = wire.ForwardReply{Outcome: string(OutcomeNotRun), Reason: reasonForwardLimit, Detail: err.Error()}
		return nil
	}
	defer e.removeForward(f)
	e.metrics.forwardsReceived.Inc(1)
	e.log.Info().Str("job", req.Job).Str("sender", req.Sender.ID).Uint64("number", req.Number).Msg("forward received")
	s, err := e.forwardedSubmission(req)
	if err == nil {
		err = e.runLeased(context.WithValue(ctx, incomingKey{}, f), s)
	}
	if err != nil {
		p := asProblem(err)
		*reply = wire.ForwardReply{Outcome: string(p.Outcome), Reason: p.Reason, Detail: p.Detail, RetryAfter: p.retryAfter}
		return nil
	}
	a := s.job.leased.answer
	*reply = wire.ForwardReply{Job: s.job.id, Outcome: string(a.Outcome), Reason: a.Reason, Detail: a.Detail, RetryAfter: a.RetryAfter}
	return nil
}

// forwardedSubmission returns the submission of a forward, which the ordinary filters
// check.
func (e *Entry) forwardedSubmission(req *wire.ForwardRequest) (*submission, error) {
	if req.Left <= 0 {
		return nil, notRun(httpStatus(OutcomeNotRun), wire.ReasonDeadline, "the deadline has passed")
	}
	s, err := e.newSubmission(Submission{
		Job: req.Job, Template: req.Template, Count: req.Count, Needs: req.Needs, Spec: req.Spec, Expected: req.Expected, Deadline: req.Left,
	})
	if err != nil {
		return nil, err
	}
	if s.account.Name != req.Account {
		return nil, notRun(httpStatus(OutcomeNotRun), reasonTemplateNotFound, "template %q belongs to another account", req.Template)
	}
	s.received = true
	return s, checkTasks(s)
}

// addForward registers a forward and starts the confirmations of its sender.
func (e *Entry) addForward(f *incomingForward) error {
	r := &e.received
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.senders[f.sender.Incarnation]
	if r.open >= e.settings.Forwarding.MaxOpen || s != nil && len(s.open) >= e.settings.Forwarding.MaxPerPeer {
		return errors.New("entry: too many open forwards")
	}
	if s == nil {
		if r.senders == nil {
			r.senders = map[wire.Incarnation]*forwardSender{}
		}
		s = &forwardSender{f.sender, map[uint64]*incomingForward{}}
		r.senders[f.sender.Incarnation] = s
		r.loops.Go(func() { e.confirmForwardsOf(s) })
	}
	if s.open[f.number] != nil {
		return errors.New("entry: the number of the forward is in use")
	}
	s.open[f.number] = f
	r.open++
	return nil
}

func (e *Entry) removeForward(f *incomingForward) {
	e.received.mu.Lock()
	defer e.received.mu.Unlock()
	delete(e.received.senders[f.sender.Incarnation].open, f.number)
	e.received.open--
}

// openForwardsOf returns the open forwards of the sender. If there are none, it removes
// the sender.
func (r *receivedForwards) openForwardsOf(s *forwardSender) []*incomingForward {
	r.mu.Lock()
	defer r.mu.Unlock()
	open := make([]*incomingForward, 0, len(s.open))
	for _, f := range s.open {
		open = append(open, f)
	}
	if len(open) == 0 {
		delete(r.senders, s.ref.Incarnation)
	}
	return open
}

// confirmForwardsOf asks a sender, at the interval of heartbeats, which of its forwards it
// still wants, and cancels the others, until none is open.
func (e *Entry) confirmForwardsOf(s *forwardSender) {
	next := e.clock.Now().Add(e.settings.Timing.Heartbeat.AsDuration())
	for {
		open := e.received.openForwardsOf(s)
		if len(open) == 0 {
			return
		}
		now := e.clock.Now()
		if !now.Before(next) {
			next = now.Add(e.settings.Timing.Heartbeat.AsDuration())
			err := e.requestConfirmation(context.Background(), s.ref, open)
			if errors.Is(err, syscall.ECONNREFUSED) { // the process has ended
				for _, f := range open {
					f.confirmed(now, false)
				}
			}
		}
		until := next
		for _, f := range open {
			if !f.wanted() {
				e.lapseForward(f)
			} else if l := f.lapses(); l.Before(until) {
				until = l
			}
		}
		wait.For(context.Background(), until.Sub(e.clock.Now()), nil)
	}
}

// lapseForward cancels the job of a forward that is no longer confirmed.
func (e *Entry) lapseForward(f *incomingForward) {
	f.mu.Lock()
	first, ended := !f.lapsed, f.state.Ended()
	f.lapsed = true
	f.mu.Unlock()
	if first {
		if !ended {
			e.metrics.forwardsLapsed.Inc(1)
		}
		e.log.Info().Str("job", f.job).Str("sender", f.sender.ID).Uint64("number", f.number).Bool("lapsed", !ended).
			Msg("forward is no longer confirmed; job cancelled")
	}
	f.cancel()
}

// requestConfirmation asks the sender which of the forwards it still wants. It returns at
// the latest when one of those that are confirmed lapses, so that its job can be cancelled
// at once.
func (e *Entry) requestConfirmation(ctx context.Context, sender wire.EntryRef, open []*incomingForward) error {
	sent := e.clock.Now()
	timeout := min(e.settings.Timing.CallTimeout.AsDuration(), e.settings.Timing.Lapse.AsDuration())
	req := wire.ConfirmForwardsRequest{Sender: sender.Incarnation, Numbers: make([]uint64, len(open))}
	for i, f := range open {
		req.Numbers[i] = f.number
		if f.wanted() {
			timeout = min(timeout, f.lapses().Sub(sent))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply wire.ConfirmForwardsReply
	if err := e.dispatcher.forwards.conns.call(ctx, sender.Address, "Entry.ConfirmForwards", &req, &reply); err != nil {
		return err
	}
	wanted := map[uint64]bool{}
	for _, n := range reply.Wanted {
		wanted[n] = true
	}
	for _, f := range open {
		f.confirmed(sent, wanted[f.number])
	}
	return nil
}
