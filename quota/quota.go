// Package quota divides the limit of a client account among the entries that
// serve it, without a call to the store.
//
// Every entry counts the tasks that its callers ask for and publishes the
// rates in the heartbeats that entries exchange anyway. Each entry computes
// its own share from what it published and what it heard:
//
//	share = limit × ((1 − FloorShare) × own / (own + others) + FloorShare / entries)
//
// where own is the lowest demand that the entry published in the last two
// intervals, and others is the sum of the newest demand heard from each peer. An
// entry thus raises its share only after its peers had time to lower theirs, and
// lowers it at once: what a peer heard last is never below the own demand that
// the entry counts.
//
// While every entry hears every other, and the time between two heartbeats plus
// their delay is at most two intervals, the shares add up to at most the limit.
// The stated errors are:
//
//   - A new entry takes NewcomerShare × limit / entries at once, for two
//     intervals. Until its peers heard it, the sum exceeds the limit by at most
//     that for each new entry.
//   - Entries that are cut from each other drop each other after
//     Options.Silence. Each group that still hears itself then divides the
//     whole limit, so with k groups up to k × limit is in use. Before the drop
//     the sum stays within the limit as long as no entry raises its demand.
//     After the cut heals, the sum is within the limit again once every entry
//     heard every other.
//   - An entry that stopped keeps its share until it is dropped or forgotten.
//
// # Use
//
// The caller counts the tasks of every submission, refused ones included, or an
// account that is held back would never show its demand. It sends Demand with
// each heartbeat to its peers, passes theirs to Observe, and asks Share for each
// limit when it admits a job or starts a task. A limit is in any unit: running
// tasks and starts a second are divided alike.
//
// Shares reads no clock and takes no lock; the caller serialises its calls.
package quota

import "time"

// Defaults of Options and constants of the division.
const (
	// DefaultInterval between heartbeats of entries.
	DefaultInterval = time.Second
	// peerTimeoutIntervals without a heartbeat drop an entry. Three let one
	// heartbeat get lost and the next be late.
	peerTimeoutIntervals = 3
	// newcomerIntervals is the time in which an entry is new: its peers hear it
	// in the first and its demand in the second.
	newcomerIntervals = 2
	// ownDemandWindowIntervals is the time over which the lowest own demand counts.
	// Two intervals cover a message delay of up to one, and half of one more
	// the age of a snapshot when it is sent.
	ownDemandWindowIntervals = 2.5
	// FloorShare of a limit is divided equally, so that an entry without
	// recent demand can serve the next job at once.
	FloorShare = 0.1
	// NewcomerShare of an equal part is what an entry takes before its peers
	// had time to hear it.
	NewcomerShare = 0.5
	// baseDemand in tasks a second is added to every demand, which makes the
	// division equal when no entry has any.
	baseDemand = 1.0
	// smoothingFactor is the weight of the newest interval in the published rate.
	smoothingFactor = 0.5
	// minPublishedDemand demand in tasks a second is not published.
	minPublishedDemand = 0.01
)

// Options of Shares. A zero field takes its default.
type Options struct {
	Self        string        // this entry's identifier
	Interval    time.Duration // between heartbeats
	PeerTimeout time.Duration // without a heartbeat after which an entry is dropped
}

// Shares computes this entry's shares.
type Shares struct {
	options     Options
	counts      map[string]int // tasks asked for since the last snapshot
	demandRates map[string]float64
	published   []snapshot          // published, oldest first
	peers       map[string]snapshot // heard last
	started     time.Time           // first publication
}

// snapshot is the demand by account at a time, in tasks a second.
type snapshot struct {
	at     time.Time
	demand map[string]float64
}

// New returns the shares of an entry that has heard of no other yet.
func New(o Options) *Shares {
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.PeerTimeout <= 0 {
		o.PeerTimeout = peerTimeoutIntervals * o.Interval
	}
	return &Shares{
		options:     o,
		counts:      make(map[string]int),
		demandRates: make(map[string]float64),
		peers:       make(map[string]snapshot),
	}
}

// RecordTasks records that callers of an account asked for tasks, whether they were
// accepted or refused.
func (s *Shares) RecordTasks(_ time.Time, account string, tasks int) {
	s.counts[account] += tasks
}

// Demand returns this entry's demand by account in tasks a second, to be
// published to its peers. It changes at most twice an interval, so that all
// peers get the same numbers however often it is called. The caller must not
// change the map.
func (s *Shares) Demand(now time.Time) map[string]float64 {
	if len(s.published) == 0 {
		s.started = now
		s.published = append(s.published, snapshot{now, map[string]float64{}})
		return s.published[0].demand
	}
	last := s.published[len(s.published)-1]
	elapsed := now.Sub(last.at)
	if elapsed < s.options.Interval/2 {
		return last.demand
	}
	s.updateRates(elapsed)
	published := make(map[string]float64, len(s.demandRates))
	for account, rate := range s.demandRates {
		published[account] = rate
	}
	s.published = append(s.recentlyPublished(now), snapshot{now, published})
	return published
}

// Observe records the demand that another entry published. A heartbeat of
// this entry itself is ignored. The map is kept and must not be changed.
func (s *Shares) Observe(now time.Time, entry string, demand map[string]float64) {
	if entry == s.options.Self {
		return
	}
	s.peers[entry] = snapshot{now, demand}
}

// RemoveEntry drops an entry that said it stops.
func (s *Shares) RemoveEntry(entry string) { delete(s.peers, entry) }

// Share returns this entry's part of an account's limit. A limit of 0 or less
// means no limit and is returned as 0.
func (s *Shares) Share(now time.Time, account string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	own := baseDemand + s.lowestOwnDemand(now, account)
	total := own
	entries := 1
	for id, heard := range s.peers {
		if now.Sub(heard.at) > s.options.PeerTimeout {
			delete(s.peers, id)
			continue
		}
		entries++
		total += baseDemand + heard.demand[account]
	}
	n := float64(entries)
	share := limit * ((1-FloorShare)*own/total + FloorShare/n)
	newcomer := limit * NewcomerShare / n
	switch age := s.age(now); {
	case age < s.options.Interval:
		return newcomer // it may not have heard its peers yet
	case age < newcomerIntervals*s.options.Interval:
		return max(share, newcomer) // its peers have not heard its demand yet
	default:
		return share
	}
}

// Entries returns the number of entries among which limits are divided now.
func (s *Shares) Entries(now time.Time) int {
	n := 1
	for _, heard := range s.peers {
		if now.Sub(heard.at) <= s.options.PeerTimeout {
			n++
		}
	}
	return n
}

// age is the time since the first publication.
func (s *Shares) age(now time.Time) time.Duration {
	if s.started.IsZero() {
		return 0
	}
	return now.Sub(s.started)
}

func (s *Shares) updateRates(elapsed time.Duration) {
	for account := range s.counts {
		if _, ok := s.demandRates[account]; !ok {
			s.demandRates[account] = 0
		}
	}
	for account, rate := range s.demandRates {
		newest := float64(s.counts[account]) / elapsed.Seconds()
		rate += smoothingFactor * (newest - rate)
		if rate < minPublishedDemand {
			delete(s.demandRates, account)
			continue
		}
		s.demandRates[account] = rate
	}
	clear(s.counts)
}

func (s *Shares) lowestOwnDemand(now time.Time, account string) float64 {
	if len(s.published) == 0 {
		return 0
	}
	lowest := s.published[len(s.published)-1].demand[account]
	for _, o := range s.recentlyPublished(now) {
		lowest = min(lowest, o.demand[account])
	}
	return lowest
}

// recentlyPublished returns the own snapshots that still count, at most a handful.
func (s *Shares) recentlyPublished(now time.Time) []snapshot {
	window := time.Duration(ownDemandWindowIntervals * float64(s.options.Interval))
	list := s.published
	for len(list) > 0 && now.Sub(list[0].at) > window {
		list = list[1:]
	}
	return list
}
