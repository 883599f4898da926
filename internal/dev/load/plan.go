package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/dev"
)

// Shape of the load, after section 1.1 and 1.5 of the design page.
const (
	maxTasks = 1500
	// sizeExponent of the bounded Pareto distribution of job sizes: half of
	// the jobs have one task and the mean is about 4.6.
	sizeExponent = 1.2
	// Most tasks last 50 ms to 1 s: log-normal, cut off at both ends.
	medianTask = 220 * time.Millisecond
	sigmaTask  = 0.7
	minTask    = 50 * time.Millisecond
	maxTask    = time.Second
	// A few last several seconds.
	longShare   = 0.01
	minLongTask = 2 * time.Second
	maxLongTask = 6 * time.Second
	// declaredError is the factor by which declared durations are wrong at most.
	declaredError = 10
	// cancelShare of the jobs is given up by the caller within cancelWithin.
	cancelShare  = 0.02
	cancelWithin = time.Second
	// unrunnableShare of jobs that can never run, beside the others.
	unrunnableShare = 0.01
	// smallJob is the size up to which most jobs are interactive.
	smallJob         = 20
	interactiveShare = 0.8
	// One second out of every burstPeriod has the burst's rate.
	burstPeriod = 10 * time.Second
	burstOffset = 4 * time.Second
	burstLength = time.Second
	// timeBin is the resolution of the arrival rate.
	timeBin = 50 * time.Millisecond
)

// Options of a run.
type Options struct {
	Layout   dev.Layout
	Load     float64 // share of all slots
	Duration time.Duration
	Seed     uint64
	Burst    float64 // rate in bursts over the mean rate; 1 means none
	Events   []Event
}

// Job is one planned submission.
type Job struct {
	ID         string
	At         time.Duration // intended arrival after the start of the run
	Account    string
	Template   string
	Tasks      []time.Duration // true durations
	DeclaredMS int64           // of one task, wrong by up to declaredError
	// CancelAfter is when the caller gives up; 0 means never.
	CancelAfter time.Duration
	Unrunnable  bool
}

// Key identifies a task at the stand-in upstreams.
func (j *Job) Key(index int) string { return fmt.Sprintf("%s.%d", j.ID, index) }

// Work returns the sum of the true durations.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t
	}
	return sum
}

// Plan draws the jobs of a run in order of arrival. Their work adds up to the
// load exactly; jobs that can never run come on top.
func Plan(o Options) []*Job {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	target := time.Duration(o.Load * float64(o.Layout.Workers*o.Layout.Slots) * float64(o.Duration))
	var jobs []*Job
	for work := time.Duration(0); work < target; {
		j := drawJob(r, o.Layout)
		j.Tasks = cutTo(j.Tasks, target-work)
		work += j.Work()
		jobs = append(jobs, j)
		if r.Float64() < unrunnableShare {
			u := drawJob(r, o.Layout)
			u.Unrunnable, u.CancelAfter = true, 0
			u.Account, u.Template = o.Layout.Names.OfficeAccount, o.Layout.Names.Unrunnable
			jobs = append(jobs, u)
		}
	}
	clock := newArrivalClock(o.Duration, o.Burst)
	for _, j := range jobs {
		j.At = clock.draw(r)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return int(a.At - b.At) })
	for i, j := range jobs {
		j.ID = fmt.Sprintf("s%d-j%d", o.Seed, i)
	}
	return jobs
}

// cutTo keeps the tasks that fit into the work left, and at least one, which
// is shortened.
func cutTo(tasks []time.Duration, left time.Duration) []time.Duration {
	for i, t := range tasks {
		if t >= left {
			tasks[i] = max(left, time.Millisecond)
			return tasks[:i+1]
		}
		left -= t
	}
	return tasks
}

func drawJob(r *rand.Rand, l dev.Layout) *Job {
	j := &Job{Account: l.Names.OfficeAccount, Template: l.Names.Bulk}
	j.Tasks = make([]time.Duration, drawSize(r))
	for i := range j.Tasks {
		j.Tasks[i] = drawTask(r)
	}
	if len(j.Tasks) <= smallJob && r.Float64() < interactiveShare {
		j.Account, j.Template = l.Names.PublicAccount, l.Names.Interactive
	}
	mean := float64(j.Work().Milliseconds()) / float64(len(j.Tasks))
	j.DeclaredMS = max(1, int64(mean*math.Pow(declaredError, 2*r.Float64()-1)))
	if r.Float64() < cancelShare {
		j.CancelAfter = time.Millisecond + time.Duration(r.Int64N(int64(cancelWithin)))
	}
	return j
}

// drawSize draws from a bounded Pareto distribution by inversion.
func drawSize(r *rand.Rand) int {
	tail := math.Pow(maxTasks+1, -sizeExponent)
	u := r.Float64()
	return min(maxTasks, int(math.Pow(1-u*(1-tail), -1/sizeExponent)))
}

func drawTask(r *rand.Rand) time.Duration {
	if r.Float64() < longShare {
		return minLongTask + time.Duration(r.Int64N(int64(maxLongTask-minLongTask)))
	}
	d := time.Duration(float64(medianTask) * math.Exp(sigmaTask*r.NormFloat64()))
	return min(max(d, minTask), maxTask)
}

// arrivalClock draws arrival times from a rate that has bursts.
type arrivalClock struct{ cumulative []float64 }

func newArrivalClock(duration time.Duration, burst float64) *arrivalClock {
	share := float64(burstLength) / float64(burstPeriod)
	calm := max(0, (1-burst*share)/(1-share))
	c := &arrivalClock{}
	sum := 0.0
	for t := time.Duration(0); t < duration; t += timeBin {
		rate := calm
		if at := t % burstPeriod; at >= burstOffset && at < burstOffset+burstLength {
			rate = burst
		}
		sum += rate
		c.cumulative = append(c.cumulative, sum)
	}
	return c
}

func (c *arrivalClock) draw(r *rand.Rand) time.Duration {
	last := c.cumulative[len(c.cumulative)-1]
	bin, _ := slices.BinarySearch(c.cumulative, r.Float64()*last)
	return time.Duration(bin)*timeBin + time.Duration(r.Int64N(int64(timeBin)))
}

// Ideal is the response time of the job alone on an idle system: the round
// trip of its caller and the least time in which its tasks fit on all slots.
func (j *Job) Ideal(l dev.Layout) time.Duration {
	longest := slices.Max(j.Tasks)
	spread := j.Work() / time.Duration(l.Workers*l.Slots)
	return 2*l.ClientDelay + max(longest, spread)
}
