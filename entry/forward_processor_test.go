package entry

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// setShort makes an entry of the rig count as short of processor time for a second. It
// then forwards jobs to e3, which has the given room.
func (h *forwardRig) setShort(entry int, room float64) {
	h.entries[entry].dispatcher.postAndWait(func(d *dispatcher) {
		d.forwards.settings.Reasons = []string{settings.ForwardNoProcessor}
		d.forwards.room = func(time.Time, string) map[string]float64 { return map[string]float64{"e3": room} }
		for range 25 { // more than the ticks of the last second
			d.recordEventDelay(d.now.Add(-time.Second))
		}
	})
}

// Guards against jobs that are run by an entry short of processor time although a peer is
// not short, also one with little room; against a forward to an entry that is short as
// well, or by one that is not; and against a shortage that the state dump does not show.
func TestEntryShortOfProcessorForwards(t *testing.T) {
	inForwardRig(t, runsFor(50), func(h *forwardRig) {
		h.Check(h.submit(h.entries[2], "before", 4).wait(), qt.Equals, Answer{Outcome: OutcomeDone})
		h.Check(h.counter(2, "forwards_sent"), qt.Equals, int64(0))
		h.setShort(2, 0.6)
		h.Check(h.entries[2].State().Entry.ShortOfProcessor, qt.IsTrue)
		for i, room := range []float64{0.6, 0.5, 0.1, 0.01} {
			h.setShort(2, room)
			h.Check(h.submit(h.entries[2], fmt.Sprint(i, "f"), 4).wait(), qt.Equals, Answer{Outcome: OutcomeDone})
			h.Check(h.counter(2, "forwards_sent"), qt.Equals, int64(i+1))
		}
		h.Check(h.counter(3, "forwards_received"), qt.Equals, int64(4))
		h.setShort(1, 0)
		h.setShort(3, 0)
		time.Sleep(900 * time.Millisecond) // they report it
		h.Check(h.entries[2].State().Peers[1].ShortOfProcessor, qt.IsTrue)
		h.setShort(2, 0.6)
		h.Check(h.submit(h.entries[2], "5f", 4).wait(), qt.Equals, Answer{Outcome: OutcomeDone})
		h.Check(h.counter(2, "forwards_sent"), qt.Equals, int64(4))
		h.Check(h.upstreams.totalStarts(), qt.Equals, 24)
		h.checkNoForwardLeft()
	})
}

// Guards against refusing a job that the entry can run although it is short of processor
// time, against losing one of its callers and against running it twice, when the peer
// refuses the job or is lost.
func TestEntryShortOfProcessorRunsTheJobItself(t *testing.T) {
	for name, fault := range map[string]func(h *forwardRig){
		"refused": func(h *forwardRig) { h.entries[3].settings.Forwarding.Enabled = false },
		"lost":    func(h *forwardRig) { h.net.Partition("10.0.1.2", "10.0.1.3") },
	} {
		t.Run(name, func(t *testing.T) {
			inForwardRig(t, runsFor(300), func(h *forwardRig) {
				h.net.Delay("10.0.1.2", "10.0.1.3", 20*time.Millisecond)
				h.setShort(2, 0.6)
				fault(h)
				leaves, stays := h.submit(h.entries[2], "1f", 4), h.submit(h.entries[2], "1f", 4)
				h.Check(h.entries[2].State().Forwards, qt.HasLen, 1)
				time.Sleep(750 * time.Millisecond)
				leaves.cancel()
				h.Check(stays.wait(), qt.Equals, Answer{Outcome: OutcomeDone})
				h.Check(h.upstreams.totalStarts(), qt.Equals, 4)
				h.Check(h.counter(2, "forwards_sent"), qt.Equals, int64(1))
				h.checkNoForwardLeft()
			})
		})
	}
}

// Guards against a job that goes on although its caller has left, and against an answer
// other than the entry's own refusal, after a peer has refused a forward for lack of
// processor time.
func TestEntryShortOfProcessorAfterARefusal(t *testing.T) {
	inForwardRig(t, runsFor(3000), func(h *forwardRig) {
		h.net.Delay("10.0.1.2", "10.0.1.3", 50*time.Millisecond)
		h.entries[3].settings.Forwarding.Enabled = false
		h.setShort(2, 0.6)
		s := h.submit(h.entries[2], "1f", 4)
		time.Sleep(500 * time.Millisecond)
		h.Check(h.entries[2].State().Jobs, qt.HasLen, 1)
		s.cancel()
		h.Check(s.wait().Reason, qt.Equals, wire.ReasonCancelled)
		time.Sleep(runsEnd)
		running, _ := h.upstreams.runningAndStarts("")
		h.Check(running, qt.Equals, 0)
		h.agent.die()
		time.Sleep(agentAbsenceGrace + time.Second)
		h.setShort(2, 0.6)
		w := call(h.entries[2], http.MethodPost, "/v1/jobs", `{"template":"step","job":"2f","count":1}`)
		h.Check(h.counter(2, "forwards_sent"), qt.Equals, int64(2))
		h.Check(string(h.checkProblem(w, OutcomeNotRun).Reason), qt.Equals, "no_upstream")
		h.Check(w.Header().Get("Retry-After"), qt.Not(qt.Equals), "")
		h.checkNoForwardLeft()
	})
}

// Guards against an entry that does not notice how long its events wait, or does not
// notice the end of that.
func TestDelayedEventsAreNoticed(t *testing.T) {
	inBubble(t, func(h *harness) {
		metrics := tally.NewTestScope("", nil)
		e := h.entry(1, "anping", func(o *Options) {
			o.Settings.PoolLoads, o.Settings.Forwarding.Enabled, o.Settings.Forwarding.Reasons = true, true, []string{settings.ForwardNoProcessor}
			o.Metrics = metrics
		})
		check := func(short bool, least, most int64) {
			state := e.State().Entry
			h.Check(state.ShortOfProcessor, qt.Equals, short)
			h.Check(state.MeanEventDelayMS >= least && state.MeanEventDelayMS <= most, qt.IsTrue, qt.Commentf("%d ms", state.MeanEventDelayMS))
			h.Check(metrics.Snapshot().Gauges()["short_of_processor+"].Value(), qt.Equals, map[bool]float64{true: 1}[short])
		}
		time.Sleep(time.Second)
		check(false, 0, 0)
		var callers sync.WaitGroup
		for range 64 { // 63 events of 1 ms are always ahead of a further one
			callers.Go(func() {
				for range 50 {
					e.dispatcher.postAndWait(func(*dispatcher) { time.Sleep(time.Millisecond) })
				}
			})
		}
		time.Sleep(2 * time.Second)
		check(true, 20, 200)
		callers.Wait()
		time.Sleep(2 * time.Second)
		check(false, 0, 0)
	})
}
