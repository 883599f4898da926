package balance

import (
	"iter"
	"time"
)

// MaxLoadAge is the age above which the loads of an entry are not used. It matters
// where the suspect time is longer, with more than about 75 entries.
const MaxLoadAge = 3 * time.Second

// forgetAfter is the silence after which the averages of an entry are forgotten. They
// outlast a short cut of a link, after which the process goes on.
const forgetAfter = 2 * servedTime

// maxWait is the expected wait where no worker is usable.
const maxWait = 24 * time.Hour

// Load is the load of one entry in one pool. Work is processor time, in thousandths of
// a core times milliseconds. Amounts that no entry sends are replaced by the nearest
// that one could send.
type Load struct {
	Waiting  float64 // expected work of the waiting tasks
	Running  float64 // expected work of the tasks at agents
	Admitted float64 // work of the jobs admitted in the last second
	Refused  int     // jobs refused in the last second
	Usable   bool    // the entry has a usable agent of the pool
	// Span is the time in which Admitted and Refused were counted, if it is less than a
	// second; 0 otherwise. Only the entry itself knows it.
	Span time.Duration
}

// ahead returns the work to be done before a job that arrives now. Running tasks are
// half done on average.
func (l Load) ahead() float64 { return l.Waiting + l.Running/2 }

// Bounds of a load, far above those of 1,000 workers of 64 cores with work for a day.
const (
	maxWork    = 1e16
	maxRefused = 1e6
)

// bounded returns the load with its amounts within the bounds.
func (l Load) bounded() Load {
	for _, work := range []*float64{&l.Waiting, &l.Running, &l.Admitted} {
		if !(*work > 0) { // also if it is not a number
			*work = 0
		}
		*work = min(*work, maxWork)
	}
	l.Refused = min(max(l.Refused, 0), maxRefused)
	return l
}

// Options configures Loads.
type Options struct {
	Self string // this entry's identifier
	// SuspectAfter is the time without a message after which an entry counts as gone.
	SuspectAfter time.Duration
}

// Loads holds the loads of this entry and of the others with their ages.
type Loads struct {
	options Options
	own     map[string]*poolLoad
	peers   map[string]*peer
	jobWork map[string]float64 // mean work of a job of this entry, by pool
}

// peer is what is known of another entry.
type peer struct {
	process  uint64 // distinguishes the processes of an entry
	heardAt  time.Time
	loadsAt  time.Time // when the loads were requested; zero if none were received
	stopping bool
	pools    map[string]*poolLoad
}

// New returns the Loads of an entry that knows of no other entry yet.
func New(o Options) *Loads {
	return &Loads{options: o, own: map[string]*poolLoad{}, peers: map[string]*peer{}, jobWork: map[string]float64{}}
}

// SetSuspectAfter sets Options.SuspectAfter, which depends on the number of entries.
func (l *Loads) SetSuspectAfter(d time.Duration) { l.options.SuspectAfter = d }

// SetOwn sets this entry's load in a pool, and the mean work of the jobs that were
// submitted to it; 0 if that is not known.
func (l *Loads) SetOwn(now time.Time, pool string, load Load, jobWork float64) {
	if l.own[pool] == nil {
		l.own[pool] = &poolLoad{}
	}
	l.own[pool].update(now, load)
	if jobWork > 0 {
		l.jobWork[pool] = jobWork
	}
}

// RemoveOwn removes this entry's load in a pool that is no longer used.
func (l *Loads) RemoveOwn(pool string) {
	delete(l.own, pool)
	delete(l.jobWork, pool)
}

// RecordMessage records a message of a process of another entry that carries no
// loads. The loads of a former process of the entry are dropped.
func (l *Loads) RecordMessage(now time.Time, entry string, process uint64) {
	if entry == l.options.Self {
		return
	}
	p := l.peers[entry]
	if p == nil || p.process != process {
		p = &peer{process: process, pools: map[string]*poolLoad{}}
		l.peers[entry] = p
	}
	if now.After(p.heardAt) {
		p.heardAt = now
	}
}

// Observe records the loads by pool that a process of another entry reported in reply
// to a request sent at requestedAt. A reply that is older than another one, or than a
// message of another process of the entry, is ignored.
func (l *Loads) Observe(requestedAt time.Time, entry string, process uint64, stopping bool, loads map[string]Load) {
	if entry == l.options.Self {
		return
	}
	if p := l.peers[entry]; p != nil && (requestedAt.Before(p.loadsAt) || p.process != process && requestedAt.Before(p.heardAt)) {
		return
	}
	l.RecordMessage(requestedAt, entry, process)
	p := l.peers[entry]
	p.loadsAt, p.stopping = requestedAt, stopping
	for pool := range p.pools {
		if _, ok := loads[pool]; !ok {
			delete(p.pools, pool)
		}
	}
	for pool, load := range loads {
		if p.pools[pool] == nil {
			p.pools[pool] = &poolLoad{}
		}
		p.pools[pool].update(requestedAt, load)
	}
}

// current returns the peers that do not count as gone and whose loads are recent enough
// to be used, by identifier. It forgets those that have been silent for long.
func (l *Loads) current(now time.Time) iter.Seq2[string, *peer] {
	return func(yield func(string, *peer) bool) {
		for id, p := range l.peers {
			if now.Sub(p.heardAt) > forgetAfter {
				delete(l.peers, id)
				continue
			}
			if l.isCurrent(p, now) && !yield(id, p) {
				return
			}
		}
	}
}

func (l *Loads) isCurrent(p *peer, now time.Time) bool {
	return now.Sub(p.heardAt) <= l.options.SuspectAfter && !p.loadsAt.IsZero() && now.Sub(p.loadsAt) <= MaxLoadAge
}

// ExpectedWait returns how long a task that arrives now waits if the waiting work and
// half of the running work of all entries is done first. capacity is that of the
// usable workers of the pool, in thousandths of a core.
func (l *Loads) ExpectedWait(now time.Time, pool string, capacity float64) time.Duration {
	work := 0.0
	if own := l.own[pool]; own != nil {
		work = own.load.ahead()
	}
	for _, p := range l.current(now) {
		if load := p.pools[pool]; load != nil {
			work += load.load.ahead()
		}
	}
	if work <= 0 {
		return 0
	}
	if wait := work / capacity * float64(time.Millisecond); capacity > 0 && wait < float64(maxWait) {
		return time.Duration(wait)
	}
	return maxWait
}

// RefusingRoom is the upper bound of the room of an entry that refused jobs in the
// last second.
const RefusingRoom = 0.5

// minRate is the least rate of work, in thousandths of a core times milliseconds a
// second, with which room is calculated: that of one core. Without it the first job
// of an entry without demand would fill it.
const minRate = 1000 * 1000

// Room returns by identifier how much room the other entries have for jobs of the
// pool: 1 for an idle entry, less with more work ahead relative to the rate at which
// it admits work, and at most RefusingRoom if it refused jobs in the last second. An
// entry without a usable agent of the pool, one that stops, and one whose loads are not
// current are left out.
func (l *Loads) Room(now time.Time, pool string) map[string]float64 {
	room := map[string]float64{}
	for id, p := range l.current(now) {
		load := p.pools[pool]
		if load == nil || p.stopping || !load.load.Usable {
			continue
		}
		rate := max(load.load.Admitted, minRate)
		room[id] = rate / (rate + load.load.ahead())
		if load.load.Refused > 0 {
			room[id] *= RefusingRoom
		}
	}
	return room
}
