package queue

import "time"

// Value of a job as a function of its response time; see section 13.1 of
// docs/design.md.
const (
	// LateValueFraction is the fraction of its value that a job earns when it
	// completes after its objective.
	LateValueFraction = 0.2
	// ZeroValueFactor is the multiple of its objective after which a job earns
	// nothing.
	ZeroValueFactor = 3
)

// milliPerCore is the number of thousandths in one core.
const milliPerCore = 1000

// ValueFraction returns the fraction of its value, 0 to 1, that a job earns when
// it completes the response time after its arrival. The objective must not
// exceed MaxObjective.
func ValueFraction(response, objective time.Duration) float64 {
	switch {
	case response <= objective:
		return 1
	case response <= ZeroValueFactor*objective:
		return LateValueFraction
	}
	return 0
}

// LastUsefulStart returns the time after its arrival from which starting a job with
// the given expected duration earns nothing. It is at least the objective, so that
// a job whose objective is much shorter than its duration gets a chance to start.
func LastUsefulStart(objective, expected time.Duration) time.Duration {
	return max(ZeroValueFactor*objective-expected, objective)
}

// Value takes the next task from the job with the highest value per core-second
// of remaining work. The value is the one that the job earns at its expected
// completion if all its waiting tasks start now.
type Value struct{ boundedBypass }

// Name implements Policy.
func (Value) Name() string { return "value" }

func (v Value) initialise(j *job, o Options) {
	j.setValueDefaults()
	v.boundedBypass.initialise(j, o)
	v.update(j, j.Arrived)
}

func (v Value) update(j *job, now time.Time) {
	v.boundedBypass.update(j, now)
	j.currentValue = j.Value * ValueFraction(now.Sub(j.Arrived)+j.Expected, j.objective)
	for _, limit := range []time.Duration{j.objective, ZeroValueFactor * j.objective} {
		// A job that completes exactly at the limit still earns the higher
		// value, so the value falls 1 ns later.
		fallsAt := j.Arrived.Add(limit - j.Expected + 1)
		if fallsAt.After(now) && fallsAt.Before(j.changeAt) {
			j.changeAt = fallsAt
		}
	}
}

func (j *job) setValueDefaults() {
	if j.Value <= 0 {
		j.Value = 1
	}
	if j.MilliCPU <= 0 {
		j.MilliCPU = milliPerCore
	}
}

func (Value) less(a, b *job) bool {
	densityA, densityB := a.currentValue/a.coreTime(), b.currentValue/b.coreTime()
	if a.urgency == levelFIFO || densityA == densityB {
		return arrivedBefore(a, b)
	}
	return densityA > densityB
}

// coreTime returns the remaining work in thousandths of a core times
// nanoseconds. A task without an expected duration counts as 1 ns.
func (j *job) coreTime() float64 {
	return float64(j.queued()) * float64(max(j.Expected, 1)) * float64(j.MilliCPU)
}
