package ejection

import (
	"hash/maphash"
	"slices"
	"time"
)

// historySize is the number of outcomes kept for an agent. A rate of one half
// is reached 16 failures after an upstream began to fail.
const historySize = 32

// jobSeed is shared by all detectors; the hashes never leave the process.
var jobSeed = maphash.MakeSeed()

// record is an outcome that counts.
type record struct {
	at     time.Time
	job    uint64 // hash of the job; a collision merely hides a failure
	ratio  float32
	failed bool
}

// history is a ring of the last outcomes of one agent.
type history struct {
	records [historySize]record
	count   int
	next    int
}

// add records an outcome and reports whether it counts: a further failure of a
// job that failed here within the window does not.
func (h *history) add(now time.Time, window time.Duration, o Outcome) bool {
	r := record{at: now, job: maphash.String(jobSeed, o.Job), failed: o.Failed}
	if o.Failed && h.failedBefore(r.job, now, window) {
		return false
	}
	if !o.Failed && o.Expected > 0 && o.Took >= 0 {
		r.ratio = float32(o.Took) / float32(o.Expected)
	}
	h.records[h.next] = r
	h.next = (h.next + 1) % historySize
	h.count = min(h.count+1, historySize)
	return true
}

func (h *history) failedBefore(job uint64, now time.Time, window time.Duration) bool {
	for i := range h.count {
		r := &h.records[i]
		if r.failed && r.job == job && now.Sub(r.at) <= window {
			return true
		}
	}
	return false
}

// stats of a history within the window.
type stats struct {
	failures      int
	outcomes      int
	streak        int     // failures since the last success
	medianRatio   float64 // median of taken to expected time; 0 with too few timed outcomes
	lowerQuartile float64 // lower quartile of the newest minTimed of the same
}

func (f stats) rate() float64 { return float64(f.failures) / float64(max(f.outcomes, 1)) }

func (h *history) stats(now time.Time, window time.Duration) stats {
	var f stats
	var buffer [historySize]float32
	timed := buffer[:0]
	unbroken := true
	for i := 1; i <= h.count; i++ { // the newest first
		r := &h.records[(h.next-i+historySize)%historySize]
		if now.Sub(r.at) > window {
			break
		}
		f.outcomes++
		unbroken = unbroken && r.failed
		switch {
		case r.failed:
			f.failures++
		case r.ratio > 0:
			timed = append(timed, r.ratio)
		}
		if unbroken {
			f.streak++
		}
	}
	if len(timed) >= minTimedOutcomes {
		newest := timed[:minTimedOutcomes]
		slices.Sort(newest)
		f.lowerQuartile = float64(newest[minTimedOutcomes/4])
		slices.Sort(timed)
		f.medianRatio = float64(timed[len(timed)/2])
	}

	return f
}

// clear forgets all outcomes.
func (h *history) clear() { *h = history{} }
