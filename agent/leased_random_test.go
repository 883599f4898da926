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
	random *rand.Rand
	free   []string             // jobs of which no run may be left
	sent   map[string]time.Time // of the others
	keys   map[string]wire.TaskKey
	ended  chan reply
	lost   []lostJob
	life   uint64 // number of agent processes so far
	log    []string
}

// lostJob is a job whose agent was killed, from when it was sent until no run of
// it can be left.
type lostJob struct {
	job         string
	sent, until time.Time
}

// reply is the end of one message about a job.
type reply struct {
	job  string
	life uint64
	answer
}

func (s *schedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d/time.Millisecond))) * time.Millisecond
}

func (s *schedule) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%s ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

// start sends a job that has no run.
func (s *schedule) start() {
	if len(s.free) == 0 {
		return
	}
	i := s.random.IntN(len(s.free))
	job := s.free[i]
	s.free = append(s.free[:i], s.free[i+1:]...)
	e, life := s.entries[0], s.life
	m := e.order(job, cores(1+s.random.Int64N(4)), leasestub.Spec{MS: float64(1 + s.random.IntN(300+2700*s.random.IntN(2))), Fail: s.random.IntN(8) == 0})
	m.Task.Remaining = 100*time.Millisecond + s.upTo(4*time.Second)
	s.sent[job], s.keys[job] = time.Now(), wire.TaskKey{Session: m.Session.Number, Sequence: m.Sequence}
	s.note("start %s", job)
	c := e.send(m)
	s.wg.Go(func() { s.ended <- reply{job, life, <-c} })
}

// settle takes the answers so far and checks them against what really ran.
func (s *schedule) settle() {
	for {
		select {
		case r := <-s.ended:
			if r.err != nil || r.life != s.life {
				continue // the agent was killed; kill counts the job
			}
			s.note("%s: %d %s %s", r.job, r.Result.Outcome, r.Result.Reason, r.Result.Detail)
			s.check(r.job, r.Result)
			s.release(r.job)
		default:
			return
		}
	}
}

func (s *schedule) release(job string) {
	delete(s.sent, job)
	delete(s.keys, job)
	s.free = append(s.free, job)
}

func (s *schedule) check(job string, result wire.Result) {
	began := false
	for _, run := range s.machine.Evidence().Starts() {
		if run.Run.Task.Job != job || run.At.Before(s.sent[job]) {
			continue
		}
		began = true
		s.Check(run.Ended.IsZero(), qt.IsFalse, qt.Commentf("%s is reported as %+v while it runs\n%v", job, result, s.log))
	}
	switch result.Outcome {
	case wire.OutcomeNotRun:
		s.Check(began, qt.IsFalse, qt.Commentf("%s is reported as not run\n%v", job, s.log))
	case wire.OutcomeDone, wire.OutcomeFailed:
		s.Check(began, qt.IsTrue, qt.Commentf("%s is reported as run\n%v", job, s.log))
	case wire.OutcomeUnknown:
		s.Check(result, qt.IsNil, qt.Commentf("%s\n%v", job, s.log))
	}
}

// replaceAgent kills the agent. After the time to reconcile the entry counts
// the runs that it knows nothing of as ended.
func (s *schedule) replaceAgent() {
	s.note("kill agent")
	s.kill()
	<-s.rig.ended
	s.life++
	for job, at := range s.sent {
		s.lost = append(s.lost, lostJob{job, at, time.Now().Add(time.Duration(platformTiming().Reconcile))})
	}
	s.sent, s.keys = map[string]time.Time{}, map[string]wire.TaskKey{}
	s.startLeased()
	time.Sleep(s.upTo(400 * time.Millisecond))
	s.agent.WorkerAnnounced(s.machine.Announcement())
	time.Sleep(s.upTo(100 * time.Millisecond))
	s.entries[0].open()
}

// reconcile takes back the jobs whose time to reconcile is over.
func (s *schedule) reconcile() {
	for len(s.lost) > 0 && !time.Now().Before(s.lost[0].until) {
		l := s.lost[0]
		s.lost = s.lost[1:]
		for _, run := range s.machine.Evidence().Starts() {
			if run.Run.Task.Job == l.job && !run.At.Before(l.sent) {
				s.Check(run.Ended.IsZero(), qt.IsFalse, qt.Commentf("%v outlives its agent\n%v", run.Run, s.log))
			}
		}
		s.free = append(s.free, l.job)
	}
}

func (s *schedule) fault() leasestub.Fault {
	switch s.random.IntN(6) {
	case 0:
		return leasestub.Fault{Lost: true}
	case 1:
		return leasestub.Fault{Unanswered: true}
	case 2:
		return leasestub.Fault{Late: s.upTo(600*time.Millisecond) + 1}
	}
	return leasestub.Fault{}
}

// silence makes the worker carry renewals out without an answer, or nothing.
func (s *schedule) silence() {
	f := leasestub.Silent()
	if s.random.IntN(2) == 0 {
		f = leasestub.Faults{Renew: leasestub.Fault{Unanswered: true}, Stop: leasestub.Fault{Lost: true}}
	}
	s.note("silent worker %+v", f)
	s.machine.SetFaults(f)
	time.AfterFunc(s.upTo(3*time.Second), func() { s.machine.SetFaults(leasestub.Faults{}) })
}

// step makes one random event happen.
func (s *schedule) step() {
	e := s.entries[0]
	switch n := s.random.IntN(62); {
	case n < 42:
		s.start()
	case n < 48:
		for job, key := range s.keys {
			s.note("cancel %s", job)
			in := wire.CancelRequest{Session: e.session, Keys: []wire.TaskKey{key}}
			_ = e.conn.Call(e.ctx, "Agent.Cancel", &in, &wire.CancelReply{})
			return
		}
	case n < 54:
		f := leasestub.Faults{Start: s.fault(), Stop: s.fault(), Renew: s.fault(), FailAll: s.random.IntN(9) == 0}
		s.note("faults %+v", f)
		s.machine.SetFaults(f)
		time.AfterFunc(s.upTo(1500*time.Millisecond), func() { s.machine.SetFaults(leasestub.Faults{}) })
	case n < 55:
		s.note("restart worker")
		s.machine.Crash()
		time.Sleep(s.upTo(300 * time.Millisecond))
		s.machine.Boot()
		time.Sleep(s.upTo(300 * time.Millisecond))
		s.agent.WorkerAnnounced(s.machine.Announcement())
	case n < 56:
		s.replaceAgent()
	case n < 58:
		s.silence()
	case n < 60:
		s.note("entry doubts its session")
		e.set(func(e *entryStub) { e.renews = 0 })
		time.Sleep(s.upTo(1200 * time.Millisecond))
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
			virtualLeased(t, leasedSetup{machine: o}, func(r *leasedRig) {
				s := &schedule{leasedRig: r, random: random, sent: map[string]time.Time{}, keys: map[string]wire.TaskKey{}, ended: make(chan reply, 10000)}
				for i := range 12 {
					s.free = append(s.free, fmt.Sprintf("j%d", i))
				}
				s.entries[0].open()
				for range 250 {
					s.step()
					time.Sleep(s.upTo(120 * time.Millisecond))
					s.settle()
					s.reconcile()
				}
				time.Sleep(6 * time.Second)
				s.settle()
				s.reconcile()
				r.Check(s.sent, qt.HasLen, 0, qt.Commentf("%v", s.log))
				r.Check(r.machine.Evidence().Running(), qt.Equals, 0)
				r.Check(r.agent.State().Leaving, qt.HasLen, 0)
				r.Check(r.free(), qt.Equals, cores(8))
				r.Check(r.agent.State().Tasks, qt.HasLen, 0)
			})
		})
	}
}
