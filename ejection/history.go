package ejection

import (
	"hash/maphash"
	"slices"
	"time"
)

// historySize is the number of outcomes kept for an agent. With 32, a failure
// rate of one half is reached 16 failures after an upstream begins to fail.
const historySize = 32

// jobSeed seeds the hashes of jobs. It is random, because the hashes never leave
// the process.
var jobSeed = maphash.MakeSeed()

// record is an outcome in a history.
type record struct {
	at     time.Time
	job    uint64  // hash of the job; a collision only hides a failure
	ratio  float32 // actual to expected duration; 0 if failed or unknown
	failed bool
}

// history is a ring buffer of the last outcomes of one agent.
type history struct {
	records [historySize]record
	count   int
	next    int
}

// add records an outcome and reports whether it counts. Further failures of a job
// that failed at this agent within the window do not count.
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

// stats are the statistics of a history within the window.
type stats struct {
	failures      int
	outcomes      int
	streak        int     // failures since the last success
	medianRatio   float64 // of actual to expected duration; 0 with fewer than minTimedOutcomes
	lowerQuartile float64 // of the same ratio, for the newest minTimedOutcomes
}

func (f stats) rate() float64 { return float64(f.failures) / float64(max(f.outcomes, 1)) }

func (h *history) stats(now time.Time, window time.Duration) stats {
	var f stats
	var buffer [historySize]float32
	timed := buffer[:0]
	unbroken := true
	for i := 1; i <= h.count; i++ { // newest first
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

// clear deletes all outcomes.
func (h *history) clear() { *h = history{} }
