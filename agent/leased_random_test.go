package agent

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// schedules is the number of random schedules, of 250 events each. With the race
// detector, one takes about a third of a second of CPU time.
var schedules = flag.Uint64("schedules", 10, "random schedules of leased tasks")

// schedule runs random tasks and faults at one worker and its agent.
type schedule struct {
	*leasedRig
	*rand.Rand
	free     []string // jobs that have no run
	sent     map[string]*sentJob
	orphaned []*sentJob // jobs whose agent was killed before it answered
	// announced is an announcement that may be delivered again.
	announced lease.Announcement
}

// sentJob is a job that was sent and not answered.
type sentJob struct {
	job   string
	at    time.Time
	until time.Time // after the agent was killed: time at which its runs must have ended
	key   wire.TaskKey
	reply <-chan answer
}

func (s *schedule) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.Int64N(int64(d/time.Millisecond))) * time.Millisecond
}

// start sends the next job that has no run, if there is one.
func (s *schedule) start() {
	if len(s.free) == 0 {
		return
	}
	job := s.free[0]
	s.free = s.free[1:]
	in := s.entries[0].leasedRequest(job, cores(1+s.Int64N(4)), leasestub.Spec{MS: float64(1 + s.IntN(300+2700*s.IntN(2))), Fail: s.IntN(8) == 0})
	in.Task.Remaining = 100*time.Millisecond + s.randomDuration(4*time.Second)
	m := &sentJob{job: job, at: time.Now(), key: wire.TaskKey{Session: in.Session.Number, Sequence: in.Sequence}}
	m.reply = s.entries[0].send(in)
	s.sent[job] = m
}

// collect takes the answers that have arrived, and gives up the jobs of killed
// agents whose reconciliation time is over. It checks both against the worker's
// record of what it ran.
func (s *schedule) collect() {
	for job, m := range s.sent {
		select {
		case a := <-m.reply:
			s.Assert(a.err, qt.IsNil)
			began := s.checkEnded(m, a.Result)
			s.Check(a.Result.Outcome, qt.Not(qt.Equals), wire.OutcomeUnknown)
			if a.Result.Outcome != wire.OutcomeInterrupted { // an interrupted run may not have started
				s.Check(began, qt.Equals, a.Result.Outcome != wire.OutcomeNotRun, qt.Commentf("%s: %+v", job, a.Result))
			}
			delete(s.sent, job)
			s.free = append(s.free, job)
		default:
		}
	}
	for len(s.orphaned) > 0 && !time.Now().Before(s.orphaned[0].until) {
		s.checkEnded(s.orphaned[0], wire.Result{})
		s.free = append(s.free, s.orphaned[0].job)
		s.orphaned = s.orphaned[1:]
	}
}

// checkEnded checks that the runs of a message have ended and reports whether
// there were any.
func (s *schedule) checkEnded(m *sentJob, r wire.Result) (began bool) {
	for _, run := range s.machine.Evidence().Starts() {
		if run.Run.Task.Job == m.job && !run.At.Before(m.at) {
			began = true
			s.Check(run.Ended.IsZero(), qt.IsFalse, qt.Commentf("%v runs after %+v", run.Run, r))
		}
	}
	return began
}

func (s *schedule) replaceAgent() {
	s.kill()
	<-s.ended
	for _, m := range s.sent {
		m.until = time.Now().Add(platformTiming().Reconcile.AsDuration())
		s.orphaned = append(s.orphaned, m)
	}
	clear(s.sent)
	s.startLeased()
	s.announceLater(400 * time.Millisecond)
	s.entries[0].open()
}

// announceLater announces the worker after a random time, at times together with an
// earlier announcement that is late or doubled.
func (s *schedule) announceLater(most time.Duration) {
	time.Sleep(s.randomDuration(most))
	for _, n := range []lease.Announcement{s.machine.Announcement(), s.announced} {
		if s.IntN(4) > 0 {
			s.agent.WorkerAnnounced(n)
		}
		s.announced = n
	}
}

// restartMachine ends the worker's life. The next one may have another identifier or a
// lower birth.
func (s *schedule) restartMachine() {
	next := leasestub.NextLife{NewID: s.IntN(4) == 0}
	if s.IntN(3) == 0 {
		next.WallBack = s.randomDuration(20*time.Second) - 5*time.Second
	}
	s.announced = s.machine.Announcement()
	s.machine.Crash()
	time.Sleep(s.randomDuration(300 * time.Millisecond))
	s.machine.BootAs(next)
	s.announceLater(300 * time.Millisecond)
}

// injectFaults makes the worker fail in random ways for up to 3 s.
func (s *schedule) injectFaults() {
	fault := func() leasestub.Fault {
		return []leasestub.Fault{{}, {}, {}, {Lost: true}, {Unanswered: true}, {Late: s.randomDuration(600*time.Millisecond) + 1, SameLife: true}, {AnswerLate: s.randomDuration(120 * time.Millisecond)}}[s.IntN(7)]
	}
	f := leasestub.Faults{Start: fault(), Stop: fault(), Renew: fault(), FailAll: s.IntN(9) == 0}
	switch s.IntN(8) {
	case 2:
		f = leasestub.Faults{Refuse: true}
	case 3:
		f = leasestub.Faults{Refuse: true, Reset: true}
	case 0:
		f = leasestub.Silent()
	case 1:
		f = leasestub.Faults{Renew: leasestub.Fault{Unanswered: true}, Stop: leasestub.Fault{Lost: true}}
	}
	s.machine.SetFaults(f)
	time.AfterFunc(s.randomDuration(3*time.Second), func() { s.machine.SetFaults(leasestub.Faults{}) })
}

// step performs one random event: a task, a cancellation, a fault, or the restart
// of a process or session.
func (s *schedule) step() {
	e := s.entries[0]
	switch n := s.IntN(60); {
	case n < 42:
		s.start()
	case n < 48:
		if m := s.sent[fmt.Sprintf("j%d", s.IntN(12))]; m != nil {
			in := wire.CancelRequest{Session: e.session, Keys: []wire.TaskKey{m.key}}
			_ = e.conn.Call(e.ctx, "Agent.Cancel", &in, &wire.CancelReply{})
		}
	case n < 56:
		s.injectFaults()
	case n < 57:
		s.restartMachine()
	case n < 58:
		s.replaceAgent()
	default: // the entry stops renewing its session and opens the next one
		e.update(func(e *entryStub) { e.renews = 0 })
		time.Sleep(s.randomDuration(1200 * time.Millisecond))
		e.open()
	}
}

// Guards against combinations of faults, beyond those of the other tests, after
// which an answer contradicts what ran, runs of one task overlap, the worker
// exceeds its capacity, capacity is never freed, or the agent keeps refusing
// tasks.
func TestRandomLeasedSchedules(t *testing.T) {
	for seed := range *schedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 13))
			o := leasestub.Options{Slow: lease.ClockDrift * random.Float64(), Delay: time.Duration(random.IntN(20)) * time.Millisecond}
			withLeasedRig(t, leasedSetup{machine: o}, func(r *leasedRig, _ *entryStub) {
				s := &schedule{leasedRig: r, Rand: random, sent: map[string]*sentJob{}, announced: r.machine.Announcement()}
				for i := range 12 {
					s.free = append(s.free, fmt.Sprintf("j%d", i))
				}
				for range 250 {
					s.step()
					if s.IntN(4) == 0 {
						s.announceLater(time.Millisecond) // workers announce themselves again and again
					}
					time.Sleep(s.randomDuration(120 * time.Millisecond))
					s.collect()
				}
				for range 20 {
					s.agent.WorkerAnnounced(s.machine.Announcement())
					time.Sleep(300 * time.Millisecond)
				}
				s.collect()
				state := r.agent.State()
				r.Check(s.free, qt.HasLen, 12)
				r.Check(r.machine.Evidence().Running()+len(state.Tasks)+len(state.Leaving), qt.Equals, 0)
				r.Check(state.Load.Free, qt.Equals, cores(8))
			})
		})
	}
}
