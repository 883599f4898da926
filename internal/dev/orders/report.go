package orders

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/queue"
)

// window is the length of the intervals in which the earned value is measured;
// the report gives the worst of them.
const window = 2 * time.Second

// Options configure a comparison.
type Options struct {
	Duration  time.Duration // of the arrivals, a multiple of 2 s
	Seeds     int           // the seeds are 1 to Seeds
	Admission bool          // refuse jobs as an entry does; otherwise accept all
}

// runMeasures are the measures of one run, in the order of measureNames.
type runMeasures [8]float64

// Indexes of the measures.
const (
	wholeShare = iota
	worstWindowShare
	worstKindShare
	medianRatio
	p99Ratio
	goodput
	discardedWork
	notStartedShare
)

var measureNames = [len(runMeasures{})]string{
	"value earned, whole run", "value earned, worst 2 s", "value earned, worst kind", "response over ideal, median",
	"response over ideal, p99", "goodput, core-s/s", "discarded, core-s", "not started, share of jobs",
}

// Run compares all policies in all scenarios and writes a table for each
// scenario.
func Run(ctx context.Context, o Options, w io.Writer) error {
	rule := acceptAll
	if o.Admission {
		rule = byDeadline
	}
	for i, sc := range Scenarios() {
		results := make(map[string][]runMeasures)
		for seed := range uint64(o.Seeds) {
			for _, p := range queue.Policies() {
				jobs := sc.arrivals(o.Duration, seed+1)
				if err := simulate(ctx, runOptions{policy: p, fleet: sc.fleet, seed: seed + 1, admission: rule}, jobs); err != nil {
					return err
				}
				results[p.Name()] = append(results[p.Name()], measure(jobs, o.Duration))
			}
		}
		if i > 0 {
			fmt.Fprintln(w)
		}
		if err := writeTable(w, sc, results); err != nil {
			return err
		}
	}
	return nil
}

// valueShare is the value that jobs earned, with the value that they would have
// earned at best.
type valueShare struct{ earned, offered float64 }

func (s *valueShare) add(earned float64) {
	s.earned += earned
	s.offered++
}

// lowestShare returns the smallest fraction of an offered value that was earned,
// or 1 if no value was offered.
func lowestShare(shares []valueShare) float64 {
	lowest := 1.0
	for _, s := range shares {
		if s.offered > 0 {
			lowest = min(lowest, s.earned/s.offered)
		}
	}
	return lowest
}

// measure computes the measures of a run. Each job has the value 1 and counts in
// the window in which it arrived. Goodput is the work of the jobs that completed
// before the end of the arrivals. Discarded work is the work done for jobs that
// earned nothing.
func measure(jobs []*job, duration time.Duration) runMeasures {
	var m runMeasures
	var whole valueShare
	windows, byKind := make([]valueShare, duration/window), make([]valueShare, len(jobKinds))
	var ratios []float64
	for _, j := range jobs {
		earned := 0.0
		if j.responseTime > 0 {
			earned = queue.ValueFraction(j.responseTime, j.objective)
			ratios = append(ratios, j.responseTime.Seconds()/j.ideal().Seconds())
			if j.arrived+j.responseTime <= duration { // jobs that complete later had the pool to themselves
				m[goodput] += j.coreSeconds() / duration.Seconds()
			}
		}
		if earned == 0 {
			m[discardedWork] += j.spentCoreSeconds
		}
		if !j.started {
			m[notStartedShare] += 1 / float64(len(jobs))
		}
		whole.add(earned)
		windows[j.arrived/window].add(earned)
		byKind[j.kindIndex].add(earned)
	}
	m[wholeShare], m[worstWindowShare], m[worstKindShare] = lowestShare([]valueShare{whole}), lowestShare(windows), lowestShare(byKind)
	slices.Sort(ratios)
	m[medianRatio], m[p99Ratio] = quantile(ratios, 0.5), quantile(ratios, 0.99)
	return m
}

// quantile returns the q-quantile of sorted values, or 0 if there are none.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(int(math.Ceil(q*float64(len(sorted))))-1, 0)]
}

// seedSpread is the mean of one measure over the seeds, with its lowest and
// highest value.
type seedSpread struct{ mean, low, high float64 }

func seedSpreadOf(runs []runMeasures, measure int) seedSpread {
	s := seedSpread{low: math.Inf(1), high: math.Inf(-1)}
	for _, r := range runs {
		s.mean += r[measure] / float64(len(runs))
		s.low, s.high = min(s.low, r[measure]), max(s.high, r[measure])
	}
	return s
}

// exceeds reports whether the mean of s is greater than that of o, by more than
// the range of values of either.
func (s seedSpread) exceeds(o seedSpread) bool {
	return s.mean-o.mean > max(s.high-s.low, o.high-o.low)
}

func (s seedSpread) String() string {
	digits := 3
	if s.high >= 100 {
		digits = 0
	}
	return fmt.Sprintf("%.*f (%.*f to %.*f)", digits, s.mean, digits, s.low, digits, s.high)
}

// writeTable writes the measures of each policy as "mean (lowest to highest)".
func writeTable(w io.Writer, sc Scenario, results map[string][]runMeasures) error {
	policies := queue.Policies()
	fmt.Fprintf(w, "%s:\n\n| measure |", sc.Name)
	rule := "|---|"
	for _, p := range policies {
		fmt.Fprintf(w, " %s |", p.Name())
		rule += "---|"
	}
	fmt.Fprintf(w, "\n%s\n", rule)
	for i, name := range measureNames {
		fmt.Fprintf(w, "| %s |", name)
		for _, p := range policies {
			fmt.Fprintf(w, " %s |", seedSpreadOf(results[p.Name()], i))
		}
		fmt.Fprintln(w)
	}
	standard := results[policies[0].Name()]
	fmt.Fprintf(w, "| earns more than %s by more than the spread, whole run / worst 2 s |", policies[0].Name())
	for _, p := range policies {
		runs := results[p.Name()]
		fmt.Fprintf(w, " %s / %s |", yesOrNo(seedSpreadOf(runs, wholeShare).exceeds(seedSpreadOf(standard, wholeShare))),
			yesOrNo(seedSpreadOf(runs, worstWindowShare).exceeds(seedSpreadOf(standard, worstWindowShare))))
	}
	_, err := fmt.Fprintln(w)
	return err
}

func yesOrNo(b bool) string { return cmp.Or(map[bool]string{true: "yes"}[b], "no") }
