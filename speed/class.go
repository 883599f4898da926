package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the classes.
const (
	// newestRuns is the number of runs by which a worker is found slow, and by which it
	// is proved again.
	newestRuns = 6
	// settledRuns is the number of runs after which a worker's own estimate is used to
	// find that it changed.
	settledRuns = 8
	// changeDeviations is how far the newest runs must be from the estimate, in standard
	// deviations of their mean, so that 1,000 workers are not found slow by chance.
	changeDeviations = 4
	// leastSpeed is the speed relative to the median worker below which a worker is slow,
	// however steady it is. The slowest that are known to be in normal use have 0.46.
	leastSpeed = 0.3
	// steadySpread is the largest mean deviation, as a logarithm, of runs that prove a
	// worker. Runs at one worker differ by less than a fifth.
	steadySpread = 0.22
	// newestAge is the age at which runs no longer count as the newest.
	newestAge = 10 * time.Second
	// firstHold and maxHold bound the time for which a worker stays slow. It doubles if
	// the worker was proved less than maxHold before.
	firstHold, maxHold = 2 * time.Second, time.Minute
	// maxSlowShare is the part of the workers that may be classed as slow. When more are
	// slower than before, the cause is the jobs or something that they share.
	maxSlowShare = 0.3
	// leastWorkers is the number of workers from which on they can be compared: of two,
	// neither is the usual one.
	leastWorkers = 3
)

// changeLog is the change of speed that makes a worker slow, as a logarithm. Estimates
// of durations are off by a factor of up to 1.4.
var changeLog = math.Log(1.5)

// worker is the estimate for one worker.
type worker struct {
	id       string
	log      float64 // of the speed
	variance float64
	speed    float64 // relative to the mean of the pool; 0 before the first Evaluate
	lastRun  time.Time
	runs     int // since the estimate began

	newest [newestRuns]observation
	seen   int // number of observations in newest, at most newestRuns
	next   int // index that the next one overwrites

	slow     bool
	doubted  bool      // see SetDoubted
	since    time.Time // when the class began; zero if it never changed
	hold     time.Duration
	retryAt  time.Time // earliest time of the next search for room there by Choose
	probedAt time.Time // when Choose last gave it a task so that it can prove itself
}

// observation is the speed that one run showed.
type observation struct {
	at            time.Time
	log, variance float64
	before        float64 // estimate before the run
}

// limited reports whether the worker gets few tasks.
func (w *worker) limited() bool { return w.slow || w.doubted }

func (w *worker) observe(now time.Time, log, variance float64) {
	if elapsed := now.Sub(w.lastRun); w.runs > 0 && elapsed > 0 {
		w.variance = min(w.variance+priorVariance*float64(elapsed)/float64(forgetTime), priorVariance)
	}
	w.newest[w.next] = observation{now, log, variance, w.log}
	w.next, w.seen = (w.next+1)%newestRuns, min(w.seen+1, newestRuns)
	total := w.variance + variance
	limit := maxDeviation * math.Sqrt(total)
	gain := w.variance / total
	w.log += gain * min(max(log-w.log, -limit), limit)
	w.variance = max((1-gain)*w.variance, leastVariance)
	w.lastRun, w.runs = now, w.runs+1
}

// summary describes the newest runs: the median of their speeds, the mean deviation from
// it, their mean weighted by the reciprocal variances with its standard deviation, and
// the estimate before them.
type summary struct{ median, spread, mean, deviation, before float64 }

// newestSummary returns no summary if there are too few recent runs. The runs of a slow
// worker count at any age, because it gets few.
func (w *worker) newestSummary(now time.Time) (s summary, ok bool) {
	if w.seen < newestRuns {
		return s, false
	}
	oldest := w.newest[w.next]
	if !w.slow && now.Sub(oldest.at) > newestAge {
		return s, false
	}
	logs, precision := make([]float64, 0, newestRuns), 0.0
	for _, o := range w.newest {
		logs = append(logs, o.log)
		precision += 1 / o.variance
		s.mean += o.log / o.variance
	}
	slices.Sort(logs)
	s.median, s.before = (logs[newestRuns/2-1]+logs[newestRuns/2])/2, oldest.before
	s.mean, s.deviation = s.mean/precision, 1/math.Sqrt(precision)
	for _, l := range logs {
		s.spread += math.Abs(l-s.median) / newestRuns
	}
	return s, true
}

// Change is a change of the class of a worker.
type Change struct {
	Worker string
	Slow   bool // classed as slow; otherwise proved again
	// Speed and Before are the speeds of the worker now and before, relative to the mean
	// of the pool.
	Speed, Before float64
}

// Evaluate updates the speeds and classes the workers. The changes are ordered by
// worker. The cost is O(n log n) in the number of workers.
func (l *Learner) Evaluate(now time.Time) []Change {
	l.updateSpeeds()
	slower, slow := map[*worker]summary{}, 0
	var changes []Change
	for _, w := range l.workers {
		s, ok := w.newestSummary(now)
		switch {
		case w.slow && ok && l.provedBy(now, w, s):
			changes = append(changes, Change{Worker: w.id, Speed: l.relative(s.median), Before: w.speed})
			w.prove(now, s)
		case w.slow:
			slow++
		case ok && l.isSlower(w, s):
			slower[w] = s
		}
	}
	changes = append(changes, l.classSlow(now, slower, slow)...)
	if len(changes) > 0 {
		l.updateSpeeds()
		l.updateLimited()
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Worker, b.Worker) })
	return changes
}

func (l *Learner) relative(log float64) float64 { return math.Exp(log-l.middle) / l.mean }

// isSlower reports whether the newest runs show that the worker became slow, or is too
// slow. The median leaves out single runs, and the mean counts those less that were
// compared with their template only.
func (l *Learner) isSlower(w *worker, s summary) bool {
	if max(s.median, s.mean)-l.middle < math.Log(leastSpeed)-2*s.deviation {
		return true
	}
	change := s.before - max(s.median, s.mean)
	return w.runs >= settledRuns+newestRuns && change >= changeLog && change >= changeDeviations*s.deviation
}

func (l *Learner) provedBy(now time.Time, w *worker, s summary) bool {
	return now.Sub(w.since) >= w.hold && s.spread <= steadySpread && s.median-l.middle >= math.Log(leastSpeed)
}

// classSlow classes the workers that are slower as slow, unless that would be too many.
func (l *Learner) classSlow(now time.Time, slower map[*worker]summary, slow int) (changes []Change) {
	if len(l.workers) < leastWorkers || float64(len(slower)+slow) > max(1, maxSlowShare*float64(len(l.workers))) {
		return nil
	}
	for w, s := range slower {
		changes = append(changes, Change{Worker: w.id, Slow: true, Speed: l.relative(s.median), Before: l.relative(s.before)})
		if !w.since.IsZero() && now.Sub(w.since) < maxHold {
			w.hold = min(2*w.hold, maxHold)
		} else {
			w.hold = firstHold
		}
		w.slow, w.since, w.probedAt = true, now, now
		w.restart(s.median, priorVariance)
	}
	return changes
}

func (w *worker) prove(now time.Time, s summary) {
	w.slow, w.since = false, now
	w.restart(s.median, s.deviation*s.deviation+leastVariance)
}

// restart begins the estimate anew.
func (w *worker) restart(log, variance float64) {
	w.log, w.variance, w.runs, w.seen, w.next = log, variance, 0, 0, 0
}
