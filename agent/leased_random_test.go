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

// schedules is how many schedules are played, of 250 events each. One takes
// about a third of a second of processor time with the race detector.
var schedules = flag.Uint64("schedules", 10, "random schedules of leased tasks")

// schedule plays random faults at one worker and its agent.
type schedule struct {
	*leasedRig
	*rand.Rand
	free     []string // jobs of which no run may be left
	sent     map[string]*sentJob
	orphaned []*sentJob // whose agent was killed
}

// sentJob is a job that was sent and not answered.
type sentJob struct {
	job   string
	at    time.Time
	until time.Time // when no run can be left, once the agent was killed
	key   wire.TaskKey
	reply <-chan answer
}

func (s *schedule) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.Int64N(int64(d/time.Millisecond))) * time.Millisecond
}

// start sends a job that has no run.
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

// collect takes the answers so far, and gives up the jobs of killed agents whose
// time to reconcile is over. It compares both with what really ran.
func (s *schedule) collect() {
	for job, m := range s.sent {
		select {
		case a := <-m.reply:
			s.Assert(a.err, qt.IsNil)
			began := s.checkEnded(m, a.Result)
			s.Check(a.Result.Outcome, qt.Not(qt.Equals), wire.OutcomeUnknown)
			if a.Result.Outcome != wire.OutcomeInterrupted { // which may not have begun
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

func (s *schedule) announceLater(most time.Duration) {
	time.Sleep(s.randomDuration(most))
	s.agent.WorkerAnnounced(s.machine.Announcement())
}

// injectFaults puts faults in force for a time.
func (s *schedule) injectFaults() {
	fault := func() leasestub.Fault {
		return []leasestub.Fault{{}, {}, {}, {Lost: true}, {Unanswered: true}, {Late: s.randomDuration(600*time.Millisecond) + 1}}[s.IntN(6)]
	}
	f := leasestub.Faults{Start: fault(), Stop: fault(), Renew: fault(), FailAll: s.IntN(9) == 0}
	switch s.IntN(8) {
	case 0:
		f = leasestub.Silent()
	case 1:
		f = leasestub.Faults{Renew: leasestub.Fault{Unanswered: true}, Stop: leasestub.Fault{Lost: true}}
	}
	s.machine.SetFaults(f)
	time.AfterFunc(s.randomDuration(3*time.Second), func() { s.machine.SetFaults(leasestub.Faults{}) })
}

// step makes one random event happen.
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
		s.machine.Crash()
		time.Sleep(s.randomDuration(300 * time.Millisecond))
		s.machine.Boot()
		s.announceLater(300 * time.Millisecond)
	case n < 58:
		s.replaceAgent()
	default: // the entry doubts its session
		e.update(func(e *entryStub) { e.renews = 0 })
		time.Sleep(s.randomDuration(1200 * time.Millisecond))
		e.open()
	}
}

// Guards against combinations of faults that no table lists: an answer that is
// not what really ran, runs of one task that overlap, a worker above its
// capacity, capacity that is never freed, and an agent that does not return.
func TestRandomLeasedSchedules(t *testing.T) {
	for seed := range *schedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 13))
			o := leasestub.Options{Slow: lease.ClockDrift * random.Float64(), Delay: time.Duration(random.IntN(20)) * time.Millisecond}
			withLeasedRig(t, leasedSetup{machine: o}, func(r *leasedRig, _ *entryStub) {
				s := &schedule{leasedRig: r, Rand: random, sent: map[string]*sentJob{}}
				for i := range 12 {
					s.free = append(s.free, fmt.Sprintf("j%d", i))
				}
				for range 250 {
					s.step()
					time.Sleep(s.randomDuration(120 * time.Millisecond))
					s.collect()
				}
				time.Sleep(6 * time.Second)
				s.collect()
				state := r.agent.State()
				r.Check(s.free, qt.HasLen, 12)
				r.Check(r.machine.Evidence().Running()+len(state.Tasks)+len(state.Leaving), qt.Equals, 0)
				r.Check(state.Load.Free, qt.Equals, cores(8))
			})
		})
	}
}
