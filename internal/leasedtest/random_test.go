package leasedtest

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/internal/leasestub"
)

// Values of rapid's flags for CI, which make it run the same schedules each time.
const (
	randomSeed   = "20261204"
	randomChecks = "20"
)

// event is one event of a schedule. Which fields matter depends on its kind.
type event struct {
	after, duration time.Duration // since the previous event; of the fault
	kind            string
	entry, agent    int
	job             job
}

// String formats the event for rapid's report of a failing schedule.
func (e event) String() string {
	return fmt.Sprintf("+%v %s e%d a%d for %v; %d tasks of %d and %v, deadline %v, fails %v", e.after, e.kind, e.entry, e.agent, e.duration,
		e.job.tasks, e.job.milliCPU, e.job.duration, e.job.deadline, e.job.fails)
}

// eventKinds are the kinds of events in random schedules. A kind that is listed
// more often is drawn more often.
var eventKinds = []string{
	"submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "submit", "burst", "leave", "leave", "leave",
	"kill entry", "pause entry", "pause entry", "suspend entry", "suspend agent", "kill agent", "cut", "cut", "cut off", "drop", "drop back", "freeze", "reset",
	"starts late", "starts unanswered", "stops lost", "stops late", "renewals unanswered", "silent", "unhealthy",
	"runs stand still", "runs slow", "restart worker", "drain", "out of service", "store down", "store cut", "store silent",
	"drop calls", "drop replies", "drop heartbeats", "drop renewals", "freeze calls", "freeze renewals",
	"refuse connections", "answers late", "restart worker", "restart as another", "restart with another birth",
	"announcements late", "announcements lost", "announce again",
}

// nextLifeKinds are the kinds of events in schedules in which late orders are carried
// out by the next life of a worker.
var nextLifeKinds = append([]string{
	"starts late in any life", "starts late in any life", "stops late in any life", "all late in any life", "restart worker", "restart worker",
	"restart with another birth", "announcements late", "announcements lost",
}, eventKinds...)

func drawEvent(t *rapid.T, kinds []string) event {
	in := func(name string, least, most int) int { return rapid.IntRange(least, most).Draw(t, name) }
	return event{
		after: time.Duration(in("after", 0, 400)) * ms, kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		duration: time.Duration(in("lasts", 0, 3000)) * ms, entry: in("entry", 0, 1), agent: in("agent", 0, 2),
		job: job{tasks: in("tasks", 1, 8), milliCPU: int64(in("cpu", 2000, 9400)), duration: time.Duration(in("took", 20, 1500)) * ms,
			deadline: time.Duration(in("deadline", 1900, 3600)) * ms, fails: in("fails", 0, 19) == 19},
	}
}

// applyEvent executes one event. Faults with a duration end by themselves.
func (s *system) applyEvent(e event) {
	s.tracef("%v", e)
	from, to := entryHost(e.entry), agentHost(e.agent)
	faulty := func(f leasestub.Faults) {
		s.setWorkerFaults(e.agent, e.duration, f)
	}
	dropDialled := func(dialler string) func(a, b string) {
		return func(a, b string) { s.net.DropDialled(dialler, a, b) }
	}
	link := func(rule func(a, b string), a, b string) {
		s.injectFor(e.duration, func() { rule(a, b) }, func() { s.net.Heal(a, b) })
	}
	late := leasestub.Fault{Late: e.job.duration / 2, SameLife: true}
	lateInAnyLife := leasestub.Fault{Late: e.job.duration, SameLife: s.ordersEnd}
	switch e.kind {
	case "submit":
		s.submit(e.entry, e.job)
	case "burst": // more than the workers have room for, so that jobs are refused
		for range 15 {
			s.submit(e.entry, e.job)
		}
	case "leave":
		if n := len(s.jobs); n > 0 {
			s.jobs[max(0, n-1-e.agent)].disconnectCaller()
		}
	case "kill entry":
		s.replaceEntry(e.entry, e.duration)
	case "pause entry":
		s.pauseEntry(e.entry, e.duration)
	case "suspend entry":
		s.suspendEntry(e.entry, e.duration)
	case "suspend agent":
		s.suspendAgent(e.agent, e.duration)
	case "kill agent":
		s.replaceAgent(e.agent, e.duration/2)
	case "cut":
		s.cutOff(e.agent, e.duration, e.entry)
	case "cut off":
		s.cutOff(e.agent, e.duration, 0, 1)
	case "drop":
		link(s.net.Drop, from, to)
	case "drop back":
		link(s.net.Drop, to, from)
	case "freeze":
		s.net.Freeze(from, to)
	case "drop calls": // of the entry to the agent, Cancel included; heartbeats continue
		link(dropDialled(from), from, to)
	case "drop replies":
		link(dropDialled(from), to, from)
	case "drop heartbeats":
		link(dropDialled(to), to, from)
	case "drop renewals": // replies to heartbeats
		link(dropDialled(to), from, to)
	case "freeze calls":
		s.net.FreezeDialled(from, from, to)
	case "freeze renewals":
		s.net.FreezeDialled(to, from, to)
	case "reset":
		link(s.net.Cut, from, to)
	case "starts late":
		faulty(leasestub.Faults{Start: late})
	case "starts unanswered":
		faulty(leasestub.Faults{Start: leasestub.Fault{Unanswered: true}})
	case "stops lost":
		faulty(leasestub.Faults{Stop: leasestub.Fault{Lost: true}})
	case "stops late":
		faulty(leasestub.Faults{Stop: late, Start: late})
	case "renewals unanswered":
		faulty(leasestub.Faults{Renew: leasestub.Fault{Unanswered: true}})
	case "silent":
		faulty(leasestub.Silent())
	case "unhealthy":
		faulty(leasestub.Faults{Unhealthy: true})
	case "runs stand still":
		faulty(leasestub.Faults{Stall: true})
	case "runs slow":
		faulty(leasestub.Faults{Slowdown: 2 + float64(e.job.tasks)})
	case "restart worker":
		s.restartWorker(e.agent, e.duration/3)
	case "restart as another":
		s.restartWorkerAs(e.agent, e.duration/3, leasestub.NextLife{NewID: true})
	case "restart with another birth": // at most 9 s lower, or 3 s higher
		s.restartWorkerAs(e.agent, e.duration/6, leasestub.NextLife{WallBack: 4*e.duration - 3*time.Second})
	case "refuse connections":
		faulty(leasestub.Faults{Refuse: true})
	case "answers late":
		f := leasestub.Fault{AnswerLate: e.job.duration / 10}
		faulty(leasestub.Faults{Start: f, Stop: f, Renew: f})
	case "starts late in any life":
		faulty(leasestub.Faults{Start: lateInAnyLife})
	case "stops late in any life":
		faulty(leasestub.Faults{Start: lateInAnyLife, Stop: lateInAnyLife})
	case "all late in any life":
		faulty(leasestub.Faults{Start: lateInAnyLife, Stop: lateInAnyLife, Renew: lateInAnyLife})
	case "announcements late":
		s.injectFor(e.duration, func() { s.setAnnounceLate(e.agent, e.job.deadline) }, func() { s.setAnnounceLate(e.agent, 0) })
	case "announcements lost":
		s.injectFor(e.duration, func() { s.setAnnounceLate(e.agent, -1) }, func() { s.setAnnounceLate(e.agent, 0) })
	case "announce again":
		s.announceEarlier(e.agent, 4*e.job.tasks, e.duration)
	case "drain":
		s.drain(e.agent, 2*e.duration)
	case "out of service":
		centre := s.dataCentres[e.agent]
		s.injectFor(3*e.duration, func() { s.setInService(centre, false) }, func() { s.setInService(centre, true) })
	case "store down":
		s.injectFor(2*e.duration, func() { s.store.SetDown(true) }, func() { s.store.SetDown(false) })
	case "store cut":
		link(s.net.Cut, from, storeHost)
	case "store silent":
		link(s.net.Partition, from, storeHost)
	default:
		panic("unknown event " + e.kind)
	}
}

// fixSchedules makes rapid run the schedules of CI, unless a seed is given on the
// command line.
func fixSchedules(t *testing.T, checks string) {
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		qt.Assert(t, flag.Set("rapid.seed", randomSeed), qt.IsNil)
		qt.Assert(t, flag.Set("rapid.checks", checks), qt.IsNil)
		qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	}
}

// Guards against combinations of faults that break a rule of section 13.1 and that
// no table of the other tests contains. Late orders end with the life of the worker to
// which they were sent.
func TestRandomSchedules(t *testing.T) { checkSchedules(t, eventKinds, (*system).applyEvent) }

// Guards against the same where the next life of a worker carries out orders that were
// sent to the former one.
func TestRandomSchedulesWithOrdersToNextLives(t *testing.T) {
	checkSchedules(t, nextLifeKinds, (*system).applyEvent)
}

// Guards against the same where orders end with the process that received them, and
// an order may reach a life of which the agent does not know yet.
func TestRandomSchedulesWithOrdersOfOneProcess(t *testing.T) {
	checkSchedules(t, nextLifeKinds, func(s *system, e event) {
		s.ordersEnd = true
		s.applyEvent(e)
	})
}

func checkSchedules(t *testing.T, kinds []string, apply func(*system, event)) {
	fixSchedules(t, randomChecks)
	rapid.Check(t, func(r *rapid.T) {
		events := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) event { return drawEvent(r, kinds) }), 5, 40).Draw(r, "events")
		third := rapid.SampledFrom([]string{"north", "west"}).Draw(r, "third")
		f := &failures{}
		synctest.Test(t, func(*testing.T) {
			s := startSystem(qt.New(f), third)
			for _, e := range events {
				time.Sleep(e.after)
				apply(s, e)
			}
			s.finishAndCheck()
		})
		if f.Failed() {
			r.Fatalf("%s", f.text)
		}
	})
}

// failures collects the failures of one schedule. It is used in place of testing.T,
// because rapid repeats a failed schedule and a failure in testing.T cannot be
// reset.
type failures struct {
	testing.TB // nil: quicktest needs only the methods below
	mu         sync.Mutex
	text       string
	failed     bool
}

func (f *failures) Helper() {}

func (f *failures) Log(args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.text += fmt.Sprintln(args...)
}

func (f *failures) Error(args ...any) {
	f.Log(args...)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = true
}

func (f *failures) Errorf(format string, args ...any) { f.Error(fmt.Sprintf(format, args...)) }

func (f *failures) Failed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

func (f *failures) Fatal(args ...any) {
	f.Error(args...)
	panic("the fixture failed: " + f.text)
}
