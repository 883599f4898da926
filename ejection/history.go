package ejection

import (
	"hash/maphash"
	"slices"
	"time"
)

// historySize is the number of outcomes kept for an agent. An upstream that
// begins to fail everything reaches a rate of one half after 16 failures,
// however long it worked before.
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

// figures returns the failures, the outcomes and the median ratio of taken to
// expected time within the window; the ratio is 0 with too few timed outcomes.
func (h *history) figures(now time.Time, window time.Duration) (failures, outcomes int, ratio float64) {
	var buffer [historySize]float32
	timed := buffer[:0]
	for i := range h.count {
		r := &h.records[i]
		if now.Sub(r.at) > window {
			continue
		}
		outcomes++
		if r.failed {
			failures++
		} else if r.ratio > 0 {
			timed = append(timed, r.ratio)
		}
	}
	if len(timed) < minTimed {
		return failures, outcomes, 0
	}
	slices.Sort(timed)
	return failures, outcomes, float64(timed[len(timed)/2])
}

// clear forgets all outcomes.
func (h *history) clear() { *h = history{} }
