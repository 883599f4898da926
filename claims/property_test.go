package claims_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/claims"
	"chicorytray.example/chicorytray/internal/storestub"
)

const (
	entryCount  = 3
	keyCount    = 3
	baseLatency = 10 // of a call to the store, in milliseconds
)

// init fixes the seed, so that CI results are deterministic. The flag rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// step is one event of a schedule. Times are in milliseconds.
type step struct {
	At    int
	Fault string // empty for a submission
	Count int    // number of writes affected by the fault
	For   int    // duration of the fault

	Entry, Key, TimeoutMS int
	Release               bool // the claim is released at once if it is won
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		// Steps come in groups, so that some claims share a batch and some
		// faults begin between the read and the write of a batch.
		s := step{At: 100*rapid.IntRange(0, 20).Draw(t, "group") + rapid.IntRange(0, 3*baseLatency).Draw(t, "offset")}
		if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
			s.Fault = rapid.SampledFrom([]string{"lose", "hold", "stale", "down", "slow"}).Draw(t, "fault")
			s.Count = rapid.IntRange(1, 4).Draw(t, "count")
			s.For = rapid.IntRange(1, 4000).Draw(t, "for")
			return s
		}
		s.Entry = rapid.IntRange(0, entryCount-1).Draw(t, "entry")
		s.Key = rapid.IntRange(0, keyCount-1).Draw(t, "key")
		s.TimeoutMS = rapid.IntRange(1, 5000).Draw(t, "patience")
		s.Release = rapid.Bool().Draw(t, "release")
		return s
	}), 1, 40).Draw(t, "steps")
}

// runner runs a schedule and records violations.
type runner struct {
	stub     *storestub.Stub
	claimers []*claims.Claimer
	keys     []string

	mu         sync.Mutex
	winner     map[string]string // winning job by key, until it is released
	submitted  map[string]string // key by job
	lostTo     map[string]string // owner returned to a losing job, by job
	failed     map[string]bool   // jobs whose claim returned ErrNotClaimed
	violations []string
}

func (w *runner) recordViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *runner) inject(s step) {
	d := time.Duration(s.For) * time.Millisecond
	switch s.Fault {
	case "lose":
		w.stub.LoseAnswers(s.Count)
	case "hold":
		w.stub.HoldWrites(s.Count, d)
	case "stale":
		w.stub.SetStale(true)
		time.Sleep(d)
		w.stub.SetStale(false)
	case "down":
		w.stub.SetDown(true)
		time.Sleep(d)
		w.stub.SetDown(false)
	case "slow":
		w.stub.SetLatency(d / 2)
		time.Sleep(d)
		w.stub.SetLatency(baseLatency * time.Millisecond)
	}
}

func (w *runner) submit(s step, job string) {
	key := w.keys[s.Key]
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.TimeoutMS)*time.Millisecond)
	defer cancel()
	w.mu.Lock()
	w.submitted[job] = key
	w.mu.Unlock()
	owner, won, err := w.claimers[s.Entry].Claim(ctx, claimOf(key, job))
	w.mu.Lock()
	switch {
	case err != nil:
		if won || errors.Is(err, claims.ErrNotClaimed) == errors.Is(err, claims.ErrOutcomeUnknown) {
			w.recordViolation("%s: Claim returned won %v with error %v", job, won, err)
		}
		w.failed[job] = errors.Is(err, claims.ErrNotClaimed)
	case !won:
		if w.submitted[owner.Job] != key || owner != claimOf(key, owner.Job) || owner.Job == job {
			w.recordViolation("%s lost key %s to %+v, which is not a claim of another job for this key", job, key, owner)
		}
		w.lostTo[job] = owner.Job
	default:
		if other := w.winner[key]; other != "" {
			w.recordViolation("%s and %s both won key %s", other, job, key)
		}
		w.winner[key] = job
	}
	release := won && s.Release
	if release {
		delete(w.winner, key)
	}
	w.mu.Unlock()
	if release {
		// After an error the release continues in the background.
		_ = w.claimers[s.Entry].Release(ctx, claimOf(key, job))
	}
}

func (w *runner) run(steps []step) {
	w.stub.SetLatency(baseLatency * time.Millisecond)
	var group sync.WaitGroup
	for i, s := range steps {
		group.Go(func() {
			// The microseconds make the times of all steps different. Their
			// order is then deterministic, and a failure can be reproduced.
			time.Sleep(time.Duration(s.At)*time.Millisecond + time.Duration(i)*time.Microsecond)
			if s.Fault != "" {
				w.inject(s)
				return
			}
			w.submit(s, fmt.Sprintf("job-%d", i))
		})
	}
	group.Wait()
	w.stub.LoseAnswers(0)
	w.stub.HoldWrites(0, 0)
	time.Sleep(time.Minute) // until delayed writes and background work have ended
	for _, key := range w.keys {
		if got := storedOwner(w.stub, key); got != w.winner[key] {
			w.recordViolation("the store has owner %q of key %s, want the winner %q", got, key, w.winner[key])
		}
	}
	for job, owner := range w.lostTo {
		if w.failed[owner] {
			w.recordViolation("%s lost to %s, whose claim returned ErrNotClaimed", job, owner)
		}
	}
	for _, c := range w.claimers {
		c.Close()
	}
}

// Guards against two jobs that both get the result that they own a key, so that one
// request is carried out twice, and against a result that the store contradicts,
// under any interleaving of submissions with faults of the store. After the faults,
// the owner of a key in the store must be the winner that did not release it.
// Claims that returned an error must have been removed.
func TestAtMostOneWinnerAndTruthfulAnswers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var faults []string
		synctest.Test(t, func(*testing.T) {
			w := &runner{
				stub: storestub.New(), keys: sameShardKeys(keyCount), winner: map[string]string{},
				submitted: map[string]string{}, lostTo: map[string]string{}, failed: map[string]bool{},
			}
			for i := range entryCount {
				w.claimers = append(w.claimers, newClaimer(w.stub, uint64(i)))
			}
			w.run(steps)
			faults = w.violations
		})
		if len(faults) > 0 {
			rt.Fatalf("%q", faults)
		}
	})
}
