package orders

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/placement"
)

// The workload and the pool, from section 13.7 of docs/design.md.
const (
	workers        = 11
	workersPerRack = 3
	workerMilliCPU = 64_000
	workerMemoryMB = 256 << 10
	taskMemoryMB   = 64
	// The needs of a task are in thousandths of a core. They are drawn in steps,
	// so that jobs share placement classes as at an entry, which rounds needs.
	minMilliCPU, maxMilliCPU, stepMilliCPU = 2_000, 9_400, 200
	minDeadline, maxDeadline               = 1900 * time.Millisecond, 3600 * time.Millisecond
	// durationSpread is the largest difference of a task's duration from the
	// mean, as a part of the mean. The durations are uniformly distributed.
	durationSpread = 0.4
	slackFactor    = 1.6
	targetMS       = 60
	poolName       = "pool"
	// accountName is the account of all jobs; the users' platform has only one.
	accountName = "account"
)

// fleet is a pool of workers and the workload that it gets. The zero value of a
// field of Scenario is the fleet of docs/design.md.
type fleet struct {
	workers, workersPerRack int
	workerMilliCPU          int64
	kinds                   []jobKind
	// The needs of a task, in thousandths of a core.
	minMilliCPU, maxMilliCPU, stepMilliCPU int64
	// jobSpread is the largest difference of the durations of a job, which are the
	// same for all its tasks, from the expected one. If it is 0, the tasks differ by
	// durationSpread instead.
	jobSpread float64
	// speeds are those of the workers, which take them in turn; empty means 1 for all.
	speeds []float64
	// wave is the largest difference of the rate of arrivals from its mean, as a part of
	// it, in waves of wavePeriod.
	wave float64
}

// wavePeriod is the period of the demand of docs/hard-load.md, section 1.1.
const wavePeriod = 15 * time.Second

// speed returns the speed of a worker.
func (f *fleet) speed(worker int) float64 {
	if len(f.speeds) == 0 {
		return 1
	}
	return f.speeds[worker%len(f.speeds)]
}

var designFleet = &fleet{
	workers: workers, workersPerRack: workersPerRack, workerMilliCPU: workerMilliCPU, kinds: jobKinds,
	minMilliCPU: minMilliCPU, maxMilliCPU: maxMilliCPU, stepMilliCPU: stepMilliCPU,
}

// cores returns the capacity of the fleet, in cores of speed 1.
func (f *fleet) cores() (sum float64) {
	for i := range f.workers {
		sum += f.speed(i) * float64(f.workerMilliCPU) / milliPerCore
	}
	return sum
}

// jobKind is a kind of job in the workload.
type jobKind struct {
	name    string
	tasks   int
	mean    time.Duration // of one task
	rate    float64       // jobs per second, before it is scaled to the load
	urgency int
}

var jobKinds = []jobKind{
	{"8 x 60 ms", 8, 60 * time.Millisecond, 34, 0},
	{"4 x 900 ms", 4, 900 * time.Millisecond, 6, 2},
	{"2 x 200 ms", 2, 200 * time.Millisecond, 100, 1},
}

var template = config.Template{
	Name: "job", Account: accountName, Kind: config.KindLeased, Pool: poolName, SlackFactor: slackFactor, TargetMS: targetMS,
}

// The first burst begins at firstBurst, and another one every burstInterval.
const (
	burstLength   = 3 * time.Second
	firstBurst    = 6 * time.Second
	burstInterval = 15 * time.Second
)

// Scenario is a load under which the policies are compared.
type Scenario struct {
	Name  string
	Load  float64 // work offered outside bursts, as a part of the pool's cores
	Burst float64 // rate during bursts, as a multiple of the rate outside them; 1 means no bursts
	fleet *fleet
}

// Scenarios returns the loads of section 13.7 of docs/design.md.
func Scenarios() []Scenario {
	return []Scenario{
		{"80 % load", 0.8, 1, designFleet}, {"120 % load", 1.2, 1, designFleet}, {"150 % load", 1.5, 1, designFleet},
		{"80 % load, three-fold for 3 s in every 15 s", 0.8, 3, designFleet},
	}
}

// rateFactor returns the rate of arrivals at a time, as a multiple of the rate
// outside bursts.
func (s Scenario) rateFactor(at time.Duration) float64 {
	wave := 1 + s.fleet.wave*math.Sin(2*math.Pi*at.Seconds()/wavePeriod.Seconds())
	if at >= firstBurst && (at-firstBurst)%burstInterval < burstLength {
		return s.Burst * wave
	}
	return wave
}

// highestFactor returns a bound of rateFactor.
func (s Scenario) highestFactor() float64 { return max(s.Burst, 1) * (1 + s.fleet.wave) }

// arrivals draws the jobs of a run, in order of arrival.
func (s Scenario) arrivals(duration time.Duration, seed uint64) []*job {
	work := 0.0 // in thousandths of a core, before scaling
	f := s.fleet
	for _, k := range f.kinds {
		work += k.rate * float64(k.tasks) * k.mean.Seconds() * float64(f.minMilliCPU+f.maxMilliCPU) / 2
	}
	scale := s.Load * f.cores() * milliPerCore / work
	var jobs []*job
	for i, k := range f.kinds {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		highest := k.rate * scale * s.highestFactor()
		for at := time.Duration(0); ; {
			at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
			if at >= duration {
				break
			}
			if j := f.drawJob(i, at, random); random.Float64() < s.rateFactor(at)/s.highestFactor() {
				jobs = append(jobs, j)
			}
		}
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.arrived, b.arrived) })
	for i, j := range jobs {
		j.id = fmt.Sprint(i)
	}
	return jobs
}

func (f *fleet) drawJob(kind int, at time.Duration, random *rand.Rand) *job {
	k := f.kinds[kind]
	j := &job{kindIndex: kind, expected: k.mean, urgency: k.urgency, arrived: at, tasks: make([]task, k.tasks)}
	j.deadline = minDeadline + time.Duration(random.Int64N(int64(maxDeadline-minDeadline)))
	milliCPU := f.minMilliCPU + f.stepMilliCPU*random.Int64N((f.maxMilliCPU-f.minMilliCPU)/f.stepMilliCPU+1)
	j.class = placement.Class{
		Name: fmt.Sprint(milliCPU), Pool: poolName,
		Needs: placement.Resources{MilliCPU: milliCPU, MemoryMB: taskMemoryMB},
	}
	if f.jobSpread > 0 {
		duration := time.Duration(float64(k.mean) * (1 + f.jobSpread*(2*random.Float64()-1)))
		for i := range j.tasks {
			j.tasks[i].duration = duration
		}
		return j
	}
	for i := range j.tasks {
		share := 1 + durationSpread*(2*random.Float64()-1)
		j.tasks[i].duration = time.Duration(float64(k.mean) * share)
	}
	return j
}
