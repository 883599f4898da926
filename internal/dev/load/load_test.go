package load

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/dev"
	"chicorytray.example/chicorytray/internal/upstreamstub"
)

func recifeLayout(c *qt.C) dev.Layout {
	l, err := dev.LayoutNamed("recife")
	c.Assert(err, qt.IsNil)
	return l
}

// Guards against events that are dropped, parsed wrongly or applied out of
// order.
func TestParseEvents(t *testing.T) {
	c := qt.New(t)
	l := recifeLayout(c)
	events, err := ParseEvents("in:ne-br-for@12s, out:ne-br-for@5s,slow-worker:w03:5@6s,store-out@7s", l)
	c.Assert(err, qt.IsNil)
	c.Check(events, qt.DeepEquals, []Event{
		{Action: ActionOut, Target: "ne-br-for", At: 5 * time.Second},
		{Action: ActionSlowWorker, Target: "w03", Factor: 5, At: 6 * time.Second},
		{Action: ActionStoreOut, At: 7 * time.Second},
		{Action: ActionIn, Target: "ne-br-for", At: 12 * time.Second},
	})
	for _, bad := range []string{
		"out:ne-br-for", "out@5s", "out:anping@5s", "stop:w01@5s", "kill-worker:w12@5s", "kill-worker:w01@-5s",
		"slow-worker:w01@5s", "slow-worker:w01:0.5@5s", "kill-entry:entry-3@5s", "store-out:x@5s", "out:ne-br-for@5",
	} {
		_, err := ParseEvents(bad, l)
		c.Check(err, qt.ErrorMatches, `event ".*": .*accepted.*`, qt.Commentf("%s", bad))
	}
}

// Guards against runs that cannot be repeated or that miss the intended load.
func TestPlanIsRepeatableAndExact(t *testing.T) {
	c := qt.New(t)
	o := Options{Layout: recifeLayout(c), Load: 0.8, Duration: 20 * time.Second, Seed: 7, Burst: 3}
	first, second := Plan(o), Plan(o)
	c.Check(first, qt.DeepEquals, second)
	var work time.Duration
	burst, single, cancelled, unrunnable := 0, 0, 0, 0
	for _, j := range first {
		c.Check(j.At >= 0 && j.At < o.Duration, qt.IsTrue)
		c.Check(len(j.Tasks) >= 1 && len(j.Tasks) <= maxTasksPerJob, qt.IsTrue)
		if j.Unrunnable {
			unrunnable++
			continue
		}
		work += j.Work()
		if at := j.At % burstPeriod; at >= burstOffset && at < burstOffset+burstLength {
			burst++
		}
		if len(j.Tasks) == 1 {
			single++
		}
		if j.CancelAfter > 0 {
			cancelled++
		}
	}
	c.Check(math.Abs(work.Seconds()-0.8*88*20) < 0.01, qt.IsTrue, qt.Commentf("%v", work))
	share := float64(burst) / float64(len(first))
	c.Check(share > 0.2 && share < 0.4, qt.IsTrue, qt.Commentf("%v in bursts", share))
	c.Check(single > len(first)/3, qt.IsTrue)
	c.Check(cancelled > 0 && unrunnable > 0, qt.IsTrue)
}

// Guards against job sizes that never reach the upper end.
func TestSizesAreHeavyTailed(t *testing.T) {
	c := qt.New(t)
	o := Options{Layout: recifeLayout(c), Load: 1, Duration: 10 * time.Minute, Seed: 1, Burst: 1}
	largest, tasks, jobs := 0, 0, 0
	for _, j := range Plan(o) {
		largest, tasks, jobs = max(largest, len(j.Tasks)), tasks+len(j.Tasks), jobs+1
	}
	mean := float64(tasks) / float64(jobs)
	c.Check(largest > 1000, qt.IsTrue, qt.Commentf("largest %d", largest))
	c.Check(mean > 3 && mean < 6, qt.IsTrue, qt.Commentf("mean %.2f", mean))
}

// newObservation returns the observation of a run of 10 s with one job, which
// has two tasks of 1 s.
func newObservation(c *qt.C, events ...appliedEvent) *observation {
	l := recifeLayout(c)
	begin := time.Unix(1000, 0)
	j := &Job{ID: "j0", At: 4 * time.Second, Template: l.Names.Interactive, Tasks: []time.Duration{time.Second, time.Second}}
	at := func(s float64) time.Time { return begin.Add(time.Duration(s * float64(time.Second))) }
	start := func(key, worker, dc string, from float64) upstreamstub.Start {
		return upstreamstub.Start{Key: key, Upstream: worker, DataCentre: dc, At: at(from), Began: at(from), Ended: at(from + 1),
			Service: time.Second, Completed: true}
	}
	return &observation{
		options: Options{Layout: l, Duration: 10 * time.Second, Load: 0.1}, begin: begin, events: events,
		results: []Result{{Job: j, Answered: 6 * time.Second, Outcome: outcomeDone, Status: 200}},
		starts:  []upstreamstub.Start{start("j0.0", "w01", "ne-br-rec", 4), start("j0.1", "w02", "ne-br-for", 5)},
	}
}

// takenOut returns the event that takes a data centre out of service.
func takenOut(dc string, at time.Duration) appliedEvent {
	return appliedEvent{Event: Event{Action: ActionOut, Target: dc, At: at}, requestedAt: at, effectiveAt: at}
}

// returned returns the event that brings a data centre back into service.
func returned(dc string, at time.Duration) appliedEvent {
	return appliedEvent{Event: Event{Action: ActionIn, Target: dc, At: at}, requestedAt: at, effectiveAt: at}
}

// Guards against work being credited to slots that are out of service, and
// against shares of the wrong total.
func TestWindowsCountWorkOfSlotsInService(t *testing.T) {
	c := qt.New(t)
	o := newObservation(c, takenOut("ne-br-for", 4500*time.Millisecond), returned("ne-br-for", 8*time.Second))
	tl := o.timeline()
	slots := 0.0
	for _, v := range tl.slots {
		slots += v
	}
	// 88 slots for 10 s, of which 32 are out of service for 3.5 s.
	c.Check(math.Abs(slots-(880-32*3.5)) < 1e-6, qt.IsTrue, qt.Commentf("%v", slots))
	w := tl.window("all", 0, 10*time.Second)
	c.Check(math.Abs(w.TaskSeconds-1) < 1e-6, qt.IsTrue, qt.Commentf("%+v", w))
	// The second task waited from 4 s to 5 s while slots were free, and then ran
	// in the data centre that is out of service, so that the slots in service
	// had no work that they could do.
	c.Check(math.Abs(w.OfPossible-0.5) < 1e-6, qt.IsTrue, qt.Commentf("%+v", w))
}

// Guards against an event that failed and counts as if it had taken effect: slots that
// are in service would count as lost, and the work around it as its result.
func TestFailedEventsHaveNoEffect(t *testing.T) {
	c := qt.New(t)
	out := takenOut("ne-br-for", 4500*time.Millisecond)
	kill := appliedEvent{Event: Event{Action: ActionKillWorker, Target: "w01", At: time.Second}, effectiveAt: time.Second}
	out.err, kill.err = errors.New("store out"), errors.New("no such worker")
	o, without := newObservation(c, kill, out, returned("ne-br-for", 8*time.Second)), newObservation(c, returned("ne-br-for", 8*time.Second))
	c.Check(o.timeline().slots, qt.DeepEquals, without.timeline().slots)
	r := o.report()
	c.Check(r.Windows, qt.DeepEquals, without.report().Windows)
	c.Check(r.FailedEvents, qt.HasLen, 2)
	c.Check(r.events, qt.HasLen, 1)
}

// Guards against late starts that are not reported, and against reports of
// starts within the limit or after the return of the data centre.
func TestLateStarts(t *testing.T) {
	c := qt.New(t)
	c.Check(newObservation(c, takenOut("ne-br-for", time.Second)).lateStarts(), qt.Equals, 1)
	c.Check(newObservation(c, takenOut("ne-br-for", 2100*time.Millisecond)).lateStarts(), qt.Equals, 0)
	c.Check(newObservation(c, takenOut("ne-br-for", time.Second), returned("ne-br-for", 4900*time.Millisecond)).lateStarts(), qt.Equals, 0)
	failed := takenOut("ne-br-for", time.Second)
	failed.err = errors.New("store out")
	c.Check(newObservation(c, failed).lateStarts(), qt.Equals, 0)
}

// Guards against a report that does not show a broken guarantee.
func TestReportShowsBrokenGuarantees(t *testing.T) {
	c := qt.New(t)
	o := newObservation(c)
	o.messages = map[string]dev.Traffic{"Agent.Run": {Requests: 3, Replies: 3}}
	r := o.report()
	c.Check(r.BrokeGuarantee(), qt.IsFalse)
	c.Check(r.WastedPerTask, qt.Equals, 1.0)
	c.Check(r.Response[1].Jobs, qt.Equals, int64(1))
	c.Check(math.Abs(r.Response[1].Median-2/1.006) < 0.01, qt.IsTrue, qt.Commentf("%+v", r.Response[1]))

	o.results[0].Outcome, o.results[0].Status = outcomeNotRun, 503
	r = o.report()
	c.Check(r.FalseNotRun, qt.DeepEquals, []string{"j0"})
	c.Check(r.BrokeGuarantee(), qt.IsTrue)
	var text bytes.Buffer
	c.Assert(r.Print(&text), qt.IsNil)
	c.Check(text.String(), qt.Contains, "fault: j0")
}

// Guards against incomplete answers, or answers to another job, that count as
// success.
func TestAnswersAreCheckedTaskByTask(t *testing.T) {
	c := qt.New(t)
	j := &Job{ID: "j0", Tasks: []time.Duration{1, 1}}
	result := func(key string) string { return `{"status":200,"body":"{\"key\":\"` + key + `\"}"}` }
	for _, tc := range []struct {
		status                    int
		body, outcome, wrongMatch string
	}{
		{200, `{"job":"x","results":[` + result("j0.0") + `,` + result("j0.1") + `]}`, outcomeDone, ""},
		{200, `{"job":"x","results":[` + result("j0.0") + `]}`, outcomeDone, "wrong number of results"},
		{200, `{"job":"x","results":[` + result("j0.1") + `,` + result("j0.0") + `]}`, outcomeDone, "result of another task"},
		{503, `{"outcome":"not_run","reason":"queue_full"}`, outcomeNotRun, ""},
		{200, `{"job":`, outcomeBroken, ""},
	} {
		res := Result{Job: j, Status: tc.status}
		(&caller{}).checkAnswer(&res, []byte(tc.body))
		c.Check(res.Outcome, qt.Equals, tc.outcome, qt.Commentf("%s", tc.body))
		c.Check(res.Wrong, qt.Equals, tc.wrongMatch, qt.Commentf("%s", tc.body))
	}
}

// Guards against a plot that cannot be written.
func TestPlotWritesBothFormats(t *testing.T) {
	c := qt.New(t)
	r := newObservation(c, takenOut("ne-br-for", time.Second)).report()
	for file, magic := range map[string]string{"p.svg": "<?xml", "p.png": "\x89PNG"} {
		path := filepath.Join(t.TempDir(), file)
		c.Assert(r.Plot(path), qt.IsNil)
		data, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		c.Check(slices.Equal(data[:len(magic)], []byte(magic)), qt.IsTrue, qt.Commentf("%s", file))
	}
}

// Guards against a load tool that cannot drive the real daemons, or that
// reports broken guarantees where there are none.
func TestRunAgainstDaemons(t *testing.T) {
	c := qt.New(t)
	l := recifeLayout(c)
	l.Workers = 3
	d, err := dev.Start(dev.Options{Layout: l})
	c.Assert(err, qt.IsNil)
	t.Cleanup(func() { c.Check(d.Close(context.Background()), qt.IsNil) })
	c.Assert(d.Ready(t.Context()), qt.IsNil)
	events, err := ParseEvents("out:ne-br-for@300ms,in:ne-br-for@600ms", l)
	c.Assert(err, qt.IsNil)
	r, err := Run(t.Context(), d, Options{Layout: l, Load: 0.5, Duration: time.Second, Seed: 3, Burst: 1, Events: events})
	c.Assert(err, qt.IsNil)
	c.Check(r.BrokeGuarantee(), qt.IsFalse, qt.Commentf("%+v", r))
	c.Check(r.FailedEvents, qt.HasLen, 0)
	answered := 0
	for _, o := range r.Outcomes {
		answered += o.Jobs
	}
	c.Check(answered, qt.Equals, r.Jobs)
	c.Check(r.Starts > 0, qt.IsTrue)
}
