package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/dev"
)

// Shape of the load, from sections 1.1 and 1.5 of docs/design.md.
const (
	maxTasksPerJob = 1500
	// jobSizeExponent is the exponent of the bounded Pareto distribution of job
	// sizes: half of the jobs have one task, and the mean is about 4.6 tasks.
	jobSizeExponent = 1.2
	// Most tasks take 50 ms to 1 s. Their durations have a log-normal
	// distribution that is cut off at both ends.
	medianTaskDuration = 220 * time.Millisecond
	taskDurationSigma  = 0.7
	minTaskDuration    = 50 * time.Millisecond
	maxTaskDuration    = time.Second
	// A few tasks take several seconds.
	longTaskShare = 0.01
	minLongTask   = 2 * time.Second
	maxLongTask   = 6 * time.Second
	// maxDeclaredFactor is the largest factor by which the declared duration of
	// a job's tasks differs from their mean.
	maxDeclaredFactor = 10
	// cancelShare is the share of jobs that the caller cancels within
	// maxCancelDelay.
	cancelShare    = 0.02
	maxCancelDelay = time.Second
	// unrunnableShare is the number of jobs that no worker can run, for each
	// job that can run.
	unrunnableShare = 0.01
	// smallJobTasks is the largest number of tasks of interactive jobs. Of the
	// jobs up to this size, interactiveShare are interactive.
	smallJobTasks    = 20
	interactiveShare = 0.8
	// In every burstPeriod, jobs arrive at the burst rate for burstLength,
	// beginning at burstOffset.
	burstPeriod = 10 * time.Second
	burstOffset = 4 * time.Second
	burstLength = time.Second
	// arrivalBin is the resolution of the arrival rate.
	arrivalBin = 50 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Layout   dev.Layout
	Load     float64 // offered work as a share of all slots
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
	DeclaredMS int64           // of one task, wrong by up to maxDeclaredFactor
	// CancelAfter is the time after which the caller cancels the request; 0
	// means never.
	CancelAfter time.Duration
	Unrunnable  bool
}

// Key identifies a task at the stand-in upstreams.
func (j *Job) Key(index int) string { return fmt.Sprintf("%s.%d", j.ID, index) }

// Work returns the sum of the true durations of the tasks.
func (j *Job) Work() time.Duration {
	var sum time.Duration
	for _, t := range j.Tasks {
		sum += t
	}
	return sum
}

// Plan draws the jobs of a run in order of arrival. Their work adds up to the
// load exactly, without the jobs that no worker can run.
func Plan(o Options) []*Job {
	r := rand.New(rand.NewPCG(o.Seed, 1))
	target := time.Duration(o.Load * float64(o.Layout.Workers*o.Layout.Slots) * float64(o.Duration))
	var jobs []*Job
	for work := time.Duration(0); work < target; {
		j := drawJob(r, o.Layout)
		j.Tasks = truncateToWork(j.Tasks, target-work)
		work += j.Work()
		jobs = append(jobs, j)
		if r.Float64() < unrunnableShare {
			u := drawJob(r, o.Layout)
			u.Unrunnable, u.CancelAfter = true, 0
			u.Account, u.Template = o.Layout.Names.OfficeAccount, o.Layout.Names.Unrunnable
			jobs = append(jobs, u)
		}
	}
	sampler := newArrivalSampler(o.Duration, o.Burst)
	for _, j := range jobs {
		j.At = sampler.draw(r)
	}
	slices.SortStableFunc(jobs, func(a, b *Job) int { return int(a.At - b.At) })
	for i, j := range jobs {
		j.ID = fmt.Sprintf("s%d-j%d", o.Seed, i)
	}
	return jobs
}

// truncateToWork returns the first tasks that fit into the remaining work. If
// not all fit, it shortens the last one that it keeps, to at least 1 ms.
func truncateToWork(tasks []time.Duration, remaining time.Duration) []time.Duration {
	for i, t := range tasks {
		if t >= remaining {
			tasks[i] = max(remaining, time.Millisecond)
			return tasks[:i+1]
		}
		remaining -= t
	}
	return tasks
}

func drawJob(r *rand.Rand, l dev.Layout) *Job {
	j := &Job{Account: l.Names.OfficeAccount, Template: l.Names.Bulk}
	j.Tasks = make([]time.Duration, drawJobSize(r))
	for i := range j.Tasks {
		j.Tasks[i] = drawTaskDuration(r)
	}
	if len(j.Tasks) <= smallJobTasks && r.Float64() < interactiveShare {
		j.Account, j.Template = l.Names.PublicAccount, l.Names.Interactive
	}
	mean := float64(j.Work().Milliseconds()) / float64(len(j.Tasks))
	j.DeclaredMS = max(1, int64(mean*math.Pow(maxDeclaredFactor, 2*r.Float64()-1)))
	if r.Float64() < cancelShare {
		j.CancelAfter = time.Millisecond + time.Duration(r.Int64N(int64(maxCancelDelay)))
	}
	return j
}

// drawJobSize draws the number of tasks of a job from a bounded Pareto
// distribution, by inversion.
func drawJobSize(r *rand.Rand) int {
	tail := math.Pow(maxTasksPerJob+1, -jobSizeExponent)
	u := r.Float64()
	return min(maxTasksPerJob, int(math.Pow(1-u*(1-tail), -1/jobSizeExponent)))
}

func drawTaskDuration(r *rand.Rand) time.Duration {
	if r.Float64() < longTaskShare {
		return minLongTask + time.Duration(r.Int64N(int64(maxLongTask-minLongTask)))
	}
	d := time.Duration(float64(medianTaskDuration) * math.Exp(taskDurationSigma*r.NormFloat64()))
	return min(max(d, minTaskDuration), maxTaskDuration)
}

// arrivalSampler draws arrival times from a rate that has bursts.
type arrivalSampler struct{ cumulative []float64 }

func newArrivalSampler(duration time.Duration, burst float64) *arrivalSampler {
	share := float64(burstLength) / float64(burstPeriod)
	baseRate := max(0, (1-burst*share)/(1-share))
	c := &arrivalSampler{}
	sum := 0.0
	for t := time.Duration(0); t < duration; t += arrivalBin {
		rate := baseRate
		if at := t % burstPeriod; at >= burstOffset && at < burstOffset+burstLength {
			rate = burst
		}
		sum += rate
		c.cumulative = append(c.cumulative, sum)
	}
	return c
}

func (c *arrivalSampler) draw(r *rand.Rand) time.Duration {
	last := c.cumulative[len(c.cumulative)-1]
	bin, _ := slices.BinarySearch(c.cumulative, r.Float64()*last)
	return time.Duration(bin)*arrivalBin + time.Duration(r.Int64N(int64(arrivalBin)))
}

// Ideal returns the response time of the job alone on an idle system: the round
// trip of its caller and the least time in which all slots can run its tasks.
func (j *Job) Ideal(l dev.Layout) time.Duration {
	longest := slices.Max(j.Tasks)
	spread := j.Work() / time.Duration(l.Workers*l.Slots)
	return 2*l.ClientDelay + max(longest, spread)
}
