// Package quota divides the limit of a client account among the entries that
// serve it, without a call to the store.
//
// Every entry counts the tasks that its callers request and publishes the rates
// in the heartbeats that entries exchange anyway. Each entry computes its own
// share from the demand that it published and the demand that it received:
//
//	share = limit × ((1 − FloorShare) × own / (own + others) + FloorShare / entries)
//
// where own is the lowest demand that the entry published during about the last
// two intervals, and others is the sum of the newest demand received from each
// peer. An entry thus raises its share only after its peers have had time to
// lower theirs, and lowers it at once: the demand that a peer received last is
// never below the demand that the entry uses for itself.
//
// While every entry receives the heartbeats of every other, and the time between
// two heartbeats plus their delay is at most two intervals, the shares add up to
// at most the limit. The exceptions are:
//
//   - A new entry takes NewcomerShare × limit / entries at once, for two
//     intervals. Until its peers have heard from it, the sum exceeds the limit by
//     at most that amount for each new entry.
//   - Entries that are partitioned drop each other after Options.PeerTimeout.
//     Each group then divides the whole limit among its members, so with k
//     groups up to k × limit is in use. Before that the sum stays within the
//     limit as long as no entry raises its demand. After the partition ends, the
//     sum is within the limit again once every entry has heard from every other.
//   - An entry that stopped keeps its share until its peers drop it after
//     Options.PeerTimeout or call RemoveEntry.
//
// # Use
//
// The caller calls RecordTasks for every submission, including refused ones;
// otherwise an account whose jobs are refused would never show its demand. It
// sends Demand to its peers with each heartbeat, passes theirs to Observe, and
// calls Share for each limit when it admits a job or starts a task. A limit can
// have any unit: running tasks and started tasks per second are divided alike.
//
// Shares reads no clock and takes no lock; the caller serialises its calls.
package quota

import "time"

// Defaults of Options and constants of the division.
const (
	// DefaultInterval is the time between heartbeats of entries.
	DefaultInterval = time.Second
	// peerTimeoutIntervals is the number of intervals without a heartbeat after
	// which an entry is dropped. With three, one heartbeat may be lost and the
	// next one late.
	peerTimeoutIntervals = 3
	// newcomerIntervals is the number of intervals for which an entry is new.
	// Its peers hear from it in the first and receive its demand in the second.
	newcomerIntervals = 2
	// ownDemandWindowIntervals is the length of the window from which the lowest
	// published demand is taken. Two intervals cover a heartbeat and a message
	// delay of up to one interval; the other half covers the age of a snapshot
	// when it is sent.
	ownDemandWindowIntervals = 2.5
	// FloorShare is the fraction of a limit that is divided equally, so that
	// an entry without recent demand can serve the next job at once.
	FloorShare = 0.1
	// NewcomerShare is the fraction of an equal share that an entry takes
	// before its peers have had time to hear from it.
	NewcomerShare = 0.5
	// baseDemand, in tasks per second, is added to every demand. It makes the
	// division equal when no entry has any demand.
	baseDemand = 1.0
	// smoothingFactor is the weight of the newest interval in the published
	// rate, an exponential moving average.
	smoothingFactor = 0.5
	// minPublishedDemand is the demand, in tasks per second, below which a rate
	// is not published.
	minPublishedDemand = 0.01
)

// Options configures Shares. A zero field takes its default.
type Options struct {
	Self        string        // this entry's identifier
	Interval    time.Duration // time between heartbeats
	PeerTimeout time.Duration // time without a heartbeat after which an entry is dropped
}

// Shares computes this entry's shares of the limits.
type Shares struct {
	options     Options
	counts      map[string]int      // tasks requested since the last snapshot, by account
	demandRates map[string]float64  // smoothed demand in tasks per second, by account
	published   []snapshot          // oldest first
	peers       map[string]snapshot // last one received, by entry
	started     time.Time           // time of the first publication
}

// snapshot is the demand by account at a point in time, in tasks per second.
type snapshot struct {
	at     time.Time
	demand map[string]float64
}

// New returns the Shares of an entry that knows of no other entry yet.
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

// SetInterval sets Options.Interval, and Options.PeerTimeout to its default for
// that interval. The interval changes with the number of entries.
func (s *Shares) SetInterval(interval time.Duration) {
	s.options.Interval, s.options.PeerTimeout = interval, peerTimeoutIntervals*interval
}

// RecordTasks records the number of tasks that callers of an account requested,
// whether they were accepted or refused.
func (s *Shares) RecordTasks(_ time.Time, account string, tasks int) {
	s.counts[account] += tasks
}

// Demand returns this entry's demand by account in tasks per second, to be
// published to its peers. It changes at most twice per interval, so that all
// peers get the same values however often it is called. The caller must not
// modify the map.
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

// Observe records the demand that another entry published. A heartbeat of this
// entry itself is ignored. The map is retained and must not be modified.
func (s *Shares) Observe(now time.Time, entry string, demand map[string]float64) {
	if entry == s.options.Self {
		return
	}
	s.peers[entry] = snapshot{now, demand}
}

// RemoveEntry drops an entry that announced that it stops.
func (s *Shares) RemoveEntry(entry string) { delete(s.peers, entry) }

// Share returns this entry's share of an account's limit, in the unit of the
// limit. A limit of 0 or less means no limit and is returned as 0.
func (s *Shares) Share(now time.Time, account string, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	own := baseDemand + s.lowestOwnDemand(now, account)
	total := own
	entries := 1
	for id, peer := range s.peers {
		if now.Sub(peer.at) > s.options.PeerTimeout {
			delete(s.peers, id)
			continue
		}
		entries++
		total += baseDemand + peer.demand[account]
	}
	n := float64(entries)
	share := limit * ((1-FloorShare)*own/total + FloorShare/n)
	newcomer := limit * NewcomerShare / n
	switch age := s.age(now); {
	case age < s.options.Interval:
		return newcomer // this entry may not have heard from its peers yet
	case age < newcomerIntervals*s.options.Interval:
		return max(share, newcomer) // the peers may not have received this entry's demand yet
	default:
		return share
	}
}

// Entries returns the number of entries, including this one, among which limits
// are divided at the given time.
func (s *Shares) Entries(now time.Time) int {
	n := 1
	for _, peer := range s.peers {
		if now.Sub(peer.at) <= s.options.PeerTimeout {
			n++
		}
	}
	return n
}

// age returns the time since the first publication.
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

// recentlyPublished returns the published snapshots within the window of
// ownDemandWindowIntervals.
func (s *Shares) recentlyPublished(now time.Time) []snapshot {
	window := time.Duration(ownDemandWindowIntervals * float64(s.options.Interval))
	list := s.published
	for len(list) > 0 && now.Sub(list[0].at) > window {
		list = list[1:]
	}
	return list
}
