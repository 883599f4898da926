package entry

import (
	"slices"
	"time"

	"chicorytray.example/chicorytray/wire"
)

const (
	// maxHeldJobs limits the jobs in a holderTable, of about 250 bytes each.
	maxHeldJobs = 20_000
	// maxHoldersOfJob limits the holders of one job. Callers send a job again about once
	// a second, and each holder is kept until its last claim expires.
	maxHoldersOfJob = 8
)

// jobKey identifies a job of leased tasks at all entries.
type jobKey struct{ account, identifier string }

// holderTable records which entry processes accepted a job, in the order of their claims.
// It keeps a process whose runs have ended, because a later holder that gives up while it
// waits for that end passes nothing on. The zero value is empty.
type holderTable struct {
	jobs   map[jobKey]*heldJob
	oldest []claimedJob // in the order of the claims
}

type heldJob struct {
	holders []wire.JobHolder
	arrived time.Time // when the last of them read the submission
	until   time.Time // of the newest claim; tasks may run until then
}

type claimedJob struct {
	key   jobKey
	until time.Time
}

// claim makes the process the last holder of the job, and returns the others. A claim
// that was made late, as by a process that was paused, is void if another process read a
// later submission: it would take the job from an entry whose caller waits.
func (t *holderTable) claim(key jobKey, h wire.JobHolder, now time.Time, age, lasts time.Duration) (earlier []wire.JobHolder, overtaken bool) {
	if t.jobs == nil {
		t.jobs = map[jobKey]*heldJob{}
	}
	t.removeExpired(now)
	j := t.jobs[key]
	if j == nil {
		j = &heldJob{}
		t.jobs[key] = j
	}
	arrived := now.Add(-age)
	if n := len(j.holders); n > 0 && j.holders[n-1] != h && arrived.Before(j.arrived) {
		return nil, true
	}
	j.arrived = arrived
	earlier = slices.DeleteFunc(slices.Clone(j.holders), func(o wire.JobHolder) bool { return o == h })
	j.holders = append(slices.Clone(earlier), h)
	j.holders = j.holders[max(0, len(j.holders)-maxHoldersOfJob):]
	if until := now.Add(lasts); until.After(j.until) {
		j.until = until
		t.oldest = append(t.oldest, claimedJob{key, until})
	}
	return earlier, false
}

// removeExpired removes the jobs whose claims are over, and the oldest ones if there are
// too many. A claim that lasts long hides expired ones behind it for as long.
func (t *holderTable) removeExpired(now time.Time) {
	for len(t.oldest) > 0 {
		first := t.oldest[0]
		if len(t.oldest) < maxHeldJobs && now.Before(first.until) {
			return
		}
		if j := t.jobs[first.key]; j != nil && !j.until.After(first.until) {
			delete(t.jobs, first.key)
		}
		t.oldest = t.oldest[1:]
	}
}
