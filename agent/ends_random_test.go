package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytray.example/chicorytray/internal/leasestub"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/wire"
)

// durableTasks is how many tasks of the durable job can run at a time. A task
// that is done is replaced by one with a new index.
const durableTasks = 8

// unstoredResult is the result of a run that the entry has received and not yet
// stored.
type unstoredResult struct {
	index int
	key   wire.TaskKey
	wire.Result
}

// durableEntry is a stand-in for an entry that stores the ends of a durable
// job's runs (docs/design.md, section 14.6). The mutex of the entryStub guards
// it.
type durableEntry struct {
	*leasedRig
	*rand.Rand
	e                *entryStub
	next             int // highest index of a task so far
	free             []int
	sent             map[int]*sentJob
	unstored         []unstoredResult
	stored           map[wire.RunTag]bool
	done             map[int]bool
	recoverAfter     time.Time // recovery lasts at least until then; zero if none is in progress
	reported         map[wire.RunTag]wire.EndedRun
	completeReportAt time.Time // arrival of the newest heartbeat that reported all ends
	orphaned         []int     // tasks that may be sent again after the recovery

	applied, voided int
}

// answerHeartbeat answers the unclaimed ends of a heartbeat. An end that the entry
// has stored, or stores now, is settled. An end whose task is done or was sent
// again is voided. The entry does not answer during a recovery, nor for a result
// that it has received and not yet stored.
func (d *durableEntry) answerHeartbeat(in *wire.HeartbeatRequest, out *wire.HeartbeatReply) {
	if in.Adopted && !in.MoreUnclaimed {
		d.completeReportAt = time.Now()
	}
	for _, end := range in.Unclaimed {
		switch {
		case d.stored[end.Tag]:
			out.Settled = append(out.Settled, end)
		case d.isUnstored(end.Tag):
		case !d.recoverAfter.IsZero():
			d.reported[end.Tag] = end
		case d.done[end.Index] || d.sent[end.Index] != nil:
			out.Voided = append(out.Voided, end)
			d.voided++
		default:
			d.store(end.Index, end.Tag, end.Done)
			out.Settled = append(out.Settled, end)
		}
	}
}

func (d *durableEntry) isUnstored(tag wire.RunTag) bool {
	for _, u := range d.unstored {
		if u.Tag == tag {
			return true
		}
	}
	return false
}

// store records an end as stored.
func (d *durableEntry) store(index int, tag wire.RunTag, done bool) {
	d.stored[tag] = true
	d.done[index] = d.done[index] || done
	d.applied++
}

// start sends the next task of which no run can be left, unless there is none or
// a recovery is in progress.
func (d *durableEntry) start() {
	if !d.recoverAfter.IsZero() || len(d.free) == 0 {
		return
	}
	index := d.free[0]
	d.free = d.free[1:]
	if d.done[index] {
		d.next++
		index = d.next
	}
	in := d.e.leasedRequest(durableJob, cores(1+d.Int64N(3)), leasestub.Spec{MS: float64(1 + d.IntN(400)), Fail: d.IntN(6) == 0})
	in.Task.Index, in.Task.Leased.Durable, in.Task.Remaining = index, true, 0
	m := &sentJob{key: wire.TaskKey{Session: in.Session.Number, Sequence: in.Sequence}}
	d.sent[index] = m
	d.e.mu.Unlock()
	m.reply = d.e.send(in)
	d.e.mu.Lock()
}

// collectResults takes the results that have arrived, and stores and acknowledges
// a random number of them.
func (d *durableEntry) collectResults() {
	for index, m := range d.sent {
		select {
		case a := <-m.reply:
			d.Assert(a.err, qt.IsNil)
			if a.Result.Tag != 0 {
				d.unstored = append(d.unstored, unstoredResult{index, m.key, a.Result})
				continue
			}
			delete(d.sent, index)
			d.free = append(d.free, index)
		default:
		}
	}
	for len(d.unstored) > 0 && d.IntN(3) == 0 {
		u := d.unstored[0]
		d.unstored = d.unstored[1:]
		delete(d.sent, u.index)
		d.store(u.index, u.Tag, u.Outcome == wire.OutcomeDone)
		d.e.acked = append(d.e.acked, u.key)
		d.free = append(d.free, u.index)
	}
}

// recover ends the recovery once all ends were reported after recoverAfter.
func (d *durableEntry) recover() {
	// A heartbeat that arrived 50 ms after recoverAfter was sent after it.
	if d.recoverAfter.IsZero() || d.completeReportAt.Before(d.recoverAfter.Add(50*time.Millisecond)) {
		return
	}
	for tag, end := range d.reported {
		d.store(end.Index, tag, end.Done)
	}
	d.free = append(d.free, d.orphaned...)
	d.orphaned, d.recoverAfter, d.reported = nil, time.Time{}, map[wire.RunTag]wire.EndedRun{}
}

// loseState drops the tasks and results that are not stored, as when the entry or
// the agent is replaced, and begins a recovery.
func (d *durableEntry) loseState() {
	for index := range d.sent {
		d.orphaned = append(d.orphaned, index)
	}
	clear(d.sent)
	d.unstored = nil
	d.recoverAfter = time.Now().Add(platformTiming().Reconcile.AsDuration())
}

// replaceEntry replaces the entry by a new process of it.
func (d *durableEntry) replaceEntry() {
	d.loseState()
	d.e.ref.Incarnation += 100
	d.e.session = wire.Session{Entry: d.e.ref.ID, Incarnation: d.e.ref.Incarnation}
	d.e.renews, d.e.acked = 0, nil
	d.e.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	d.e.open()
	d.e.mu.Lock()
}

// step performs one random event: a task, a fault, or a replaced process.
func (d *durableEntry) step() {
	switch n := d.IntN(100); {
	case n < 92:
		d.start()
	case n < 96:
		f := leasestub.Faults{Renew: []leasestub.Fault{{Lost: true}, {Unanswered: true}, {Late: 200 * time.Millisecond}}[d.IntN(3)]}
		if d.IntN(3) == 0 {
			f = leasestub.Silent()
		}
		d.machine.SetFaults(f)
		time.AfterFunc(time.Duration(d.IntN(1500))*time.Millisecond, func() { d.machine.SetFaults(leasestub.Faults{}) })
	case n < 98:
		d.replaceEntry()
	default:
		d.kill()
		d.loseState()
		d.e.mu.Unlock()
		d.replaceAgent()
		d.e.mu.Lock()
	}
}

// Guards against combinations of faults in which a durable task is started again
// although a run of it is done and acknowledged, in which ends are never
// acknowledged, or in which the agent never reports all ends.
func TestRandomDurableSchedules(t *testing.T) {
	for seed := range *schedules {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 14))
			o := leasestub.Options{Slow: lease.ClockDrift * random.Float64(), Delay: time.Duration(random.IntN(10)) * time.Millisecond}
			withLeasedRig(t, leasedSetup{machine: o}, func(r *leasedRig, e *entryStub) {
				r.machine.Evidence().MarkDurable(durableJob, 1000)
				d := &durableEntry{leasedRig: r, Rand: random, e: e, next: durableTasks, sent: map[int]*sentJob{},
					stored: map[wire.RunTag]bool{}, done: map[int]bool{}, reported: map[wire.RunTag]wire.EndedRun{}}
				for i := range durableTasks {
					d.free = append(d.free, i)
				}
				e.mu.Lock()
				e.amendReply = d.answerHeartbeat
				turn := func(step func()) {
					step()
					e.mu.Unlock()
					time.Sleep(time.Duration(d.IntN(120)) * time.Millisecond)
					e.mu.Lock()
					d.collectResults()
					d.recover()
				}
				for range 300 {
					turn(d.step)
				}
				for range 400 {
					turn(func() {})
				}
				e.mu.Unlock()
				t.Logf("%d starts, %d ends stored, %d voided", len(r.machine.Evidence().Starts()), d.applied, d.voided)
				state := r.agent.State()
				r.Check(state.Leased.Ends, qt.HasLen, 0)
				r.Check(d.free, qt.HasLen, durableTasks)
				r.Check(len(state.Tasks)+len(state.Leaving), qt.Equals, 0)
			})
		})
	}
}
