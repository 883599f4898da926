package balance

import (
	"math"
	"time"
)

const (
	// equalShare is the part of the capacity that is divided equally, so that an entry
	// without demand in the last second can serve the next job. A tenth gives entries
	// with a tenth of the demand 15 % more than their part (calculated for four entries).
	equalShare = 0.02
	// servedTime is the time constant of the average over which the served parts of
	// entries are compared. Demand varies within 15 s. With 60 s the correction came
	// too late and raised the spread between entries with the gain.
	servedTime = 15 * time.Second
	// servedGain is by how much the weight of an entry rises for each part of its work
	// that it served less than the mean. Without it, entries whose peak meets those of
	// others serve 0.08 less than the others; 6 left 0.035 and 20 leaves 0.019
	// (TestSharesOfUnevenEntries with 8 to 12 seeds).
	servedGain = 20
	// minWeight and maxWeight bound that change, so that a short history neither
	// takes all capacity from an entry nor gives it all.
	minWeight = 0.5
	maxWeight = 2
)

// poolLoad is a load with averages of what it reported before.
type poolLoad struct {
	load      Load
	updatedAt time.Time
	admitted  float64 // average work admitted in a second
	refused   float64 // average number of jobs refused in a second
}

func (p *poolLoad) update(now time.Time, load Load) {
	load = load.bounded()
	admitted, refused := load.Admitted, float64(load.Refused)
	if p.updatedAt.IsZero() {
		p.admitted, p.refused = admitted, refused
	} else if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		weight := 1 - math.Exp(-float64(elapsed)/float64(servedTime))
		p.admitted += weight * (admitted - p.admitted)
		p.refused += weight * (refused - p.refused)
	}
	p.load, p.updatedAt = load, now
}

// demand returns the work of the jobs that are submitted in a second, by the last one or
// by Load.Span.
func (p *poolLoad) demand(jobWork float64) float64 {
	submitted := p.load.Admitted + float64(p.load.Refused)*jobWork
	if p.load.Span > 0 {
		submitted /= p.load.Span.Seconds()
	}
	return submitted
}

// weightOf returns the factor that makes up for a served part below or above the mean.
func (p *poolLoad) weightOf(mean, jobWork float64) float64 {
	submitted := p.admitted + p.refused*jobWork
	if submitted <= 0 {
		return 1
	}
	return min(max(1+servedGain*(mean-p.admitted/submitted), minWeight), maxWeight)
}

// Share returns the part of the pool's capacity that this entry may count on, from 0
// to 1:
//
//	(1 − equalShare) × own / (own + others) + equalShare / entries
//
// where own and others are the work submitted in the last second, admitted or refused,
// weighted by what the entry served less than the mean over servedTime. The work of
// refused jobs is estimated by the mean job of this entry.
func (l *Loads) Share(now time.Time, pool string) float64 {
	jobWork := l.jobWork[pool]
	own := l.own[pool]
	if own == nil {
		own = &poolLoad{}
	}
	loads := []*poolLoad{own}
	for _, p := range l.current(now) {
		if load := p.pools[pool]; load != nil {
			loads = append(loads, load)
		}
	}
	var admitted, submitted float64
	for _, load := range loads {
		admitted += load.admitted
		submitted += load.admitted + load.refused*jobWork
	}
	mean := 1.0
	if submitted > 0 {
		mean = admitted / submitted
	}
	n := float64(len(loads))
	total := 0.0
	for _, load := range loads {
		total += load.demand(jobWork) * load.weightOf(mean, jobWork)
	}
	if total <= 0 {
		return 1 / n
	}
	return (1-equalShare)*own.demand(jobWork)*own.weightOf(mean, jobWork)/total + equalShare/n
}
