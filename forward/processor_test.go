package forward

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// eventInterval is the interval of the events whose delay is measured.
const eventInterval = 50 * time.Millisecond

// record records events for the given number of seconds, each with the delay.
func record(p *Processor, now *time.Time, seconds int, delay time.Duration) (changes int) {
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		*now = now.Add(eventInterval + max(delay, 0))
		if p.Record(*now, delay) {
			changes++
		}
	}
	return changes
}

// Guards against an entry that counts as short of processor time because of a single late
// event, against one that changes at each measurement, and against one that stays short.
func TestProcessorHysteresis(t *testing.T) {
	c := qt.New(t)
	var p Processor
	now := start
	for _, step := range []struct {
		delay time.Duration
		short bool
	}{
		{0, false}, {7 * time.Millisecond, false}, {10 * time.Millisecond, false}, {11 * time.Millisecond, true},
		{7 * time.Millisecond, true}, {5 * time.Millisecond, true}, {4 * time.Millisecond, false}, {9 * time.Millisecond, false},
		{300 * time.Millisecond, true}, {-time.Second, false},
	} {
		was := p.Short()
		changes := record(&p, &now, 3, step.delay)
		c.Check(p.Short(), qt.Equals, step.short, qt.Commentf("%v", step.delay))
		c.Check(changes, qt.Equals, map[bool]int{false: 1}[was == step.short], qt.Commentf("%v", step.delay))
		c.Check(p.Delay(), qt.Equals, min(max(step.delay, 0), maxDelay))
	}
	now = now.Add(eventInterval)
	c.Check(p.Record(now, 900*time.Millisecond), qt.IsFalse) // counts as 150 ms: 7.5 ms on average
	c.Check(len(p.delays) <= 51, qt.IsTrue)
}

// Guards against a forward for lack of processor time to a peer that lacks it too, and
// against none because the peers have little room at the common workers: the entry would
// then stay short of processor time for as long as the workers are busy.
func TestChooseForProcessorTime(t *testing.T) {
	c := qt.New(t)
	peers := []Peer{{ID: "b", Heard: start, Suspect: time.Second}, {ID: "c", Heard: start, Suspect: time.Second, Short: true}}
	limits := Limits{PerPeer: 1, Total: 1}
	for _, tc := range []struct {
		reason Reason
		room   map[string]float64
		want   string
	}{
		{ReasonNoProcessor, map[string]float64{"b": 0.6, "c": 0.9}, "b"},
		{ReasonNoProcessor, map[string]float64{"b": 0, "c": 0.9}, "b"},
		{ReasonNoProcessor, nil, "b"},
		{ReasonNoRoom, map[string]float64{"b": 0.5, "c": 0.9}, "c"},
	} {
		got, _ := Choose(start, Job{Reason: tc.reason}, peers, tc.room, limits)
		c.Check(got, qt.Equals, tc.want, qt.Commentf("%+v", tc))
	}
}

// The load: an entry gets 1.6 times the jobs that it has processor time for, while all
// workers are busy. A forwarded job takes half of the processor time of one that the entry
// runs. Guards against an entry that stays short of processor time, so that its events wait
// longer than the shortest objective (150 ms), and against forwards at 0.7 of the load.
func TestMoreJobsThanProcessorTime(t *testing.T) {
	for _, tc := range []struct {
		load     float64
		forwards bool
	}{{1.6, true}, {0.7, false}} {
		c := qt.New(t)
		var p Processor
		now, forwarded := start, 0
		behind := time.Duration(0) // processor time that the waiting events take
		const job = time.Millisecond
		jobs := int(tc.load * float64(eventInterval) / float64(job))
		for second := range 10 {
			for range time.Second / eventInterval {
				now = now.Add(eventInterval)
				for range jobs {
					peers := []Peer{{ID: "b", Heard: now, Suspect: time.Second}}
					_, ok := Choose(now, Job{Reason: ReasonNoProcessor}, peers, map[string]float64{"b": 0.1}, Limits{PerPeer: 1, Total: 1})
					if p.Short() && ok {
						behind += job / 2
						forwarded++
					} else {
						behind += job
					}
				}
				behind = max(0, behind-eventInterval)
				p.Record(now, behind)
				c.Check(second < 2 || behind <= 150*time.Millisecond, qt.IsTrue, qt.Commentf("%v behind in second %d at %v", behind, second, tc.load))
			}
		}
		c.Check(forwarded > 0, qt.Equals, tc.forwards, qt.Commentf("at %v", tc.load))
	}
}
