package entry

import (
	"maps"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/wire"
)

// lostPeerRetention is how long the pending jobs that a peer last reported are
// counted. By then other entries have taken over the jobs of a lost peer.
const lostPeerRetention = 30 * time.Second

// pendingByPeer holds the numbers of pending durable jobs that peers reported;
// a job is pending while none of its tasks has started. It is safe for
// concurrent use.
type pendingByPeer struct {
	clock *clock.Clock
	mu    sync.Mutex
	peers map[entryProcess]reportedPending
}

// entryProcess identifies one process of an entry. The jobs of a process that
// ended are counted until they are taken over, even after the next process of
// the entry has reported its own.
type entryProcess struct {
	id          string
	incarnation wire.Incarnation
}

type reportedPending struct {
	at   time.Time
	jobs map[string]int // by template
}

func (p *pendingByPeer) update(entry wire.EntryRef, jobs map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[entryProcess]reportedPending{}
	}
	p.peers[entryProcess{entry.ID, entry.Incarnation}] = reportedPending{p.clock.Now(), jobs}
}

// count returns the number of the peers' pending jobs of a template. It drops
// reports older than lostPeerRetention.
func (p *pendingByPeer) count(template string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.peers, func(_ entryProcess, r reportedPending) bool { return p.clock.Since(r.at) > lostPeerRetention })
	for _, r := range p.peers {
		n += r.jobs[template]
	}
	return n
}

// recordTakeover records that this entry took over a pending job. It subtracts
// the job from a peer that has been silent for longer than peerTimeout and
// probably owned it. Jobs that other entries take over are still counted for
// the lost peer as well, until lostPeerRetention has passed.
func (p *pendingByPeer) recordTakeover(template string, peerTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for entry, r := range p.peers {
		if p.clock.Since(r.at) > peerTimeout && r.jobs[template] > 0 {
			r.jobs = maps.Clone(r.jobs)
			r.jobs[template]--
			p.peers[entry] = r
			return
		}
	}
}

// PendingDurableJobs returns the number of durable jobs of the template at all
// entries of which no task has started. Those of peers are as of their last
// heartbeat.
func (e *Entry) PendingDurableJobs(template string) int {
	n := e.peerPending.count(template)
	if e.started() {
		e.dispatcher.postAndWait(func(d *dispatcher) { n += d.countPendingDurable()[template] })
	}
	return n
}

// countPendingDurable counts this entry's durable jobs of which no task is known to
// have started.
func (d *dispatcher) countPendingDurable() map[string]int {
	var out map[string]int
	for _, j := range d.durable.open {
		if j.leased.durable.isPending() {
			if out == nil {
				out = map[string]int{}
			}
			out[j.template.Name]++
		}
	}
	return out
}

// preferredEntry returns the entry that should own a durable job, which all
// entries compute from its identifier, and whether that is another entry.
func (e *Entry) preferredEntry(identifier string) (wire.EntryRef, bool) {
	id := durable.PreferredEntry(e.self.ID, identifier, e.peers.registeredEntries())
	if id == e.self.ID {
		return wire.EntryRef{}, false
	}
	return e.peers.findEntry(id)
}

// registeredEntries returns the identifiers of the entries that are registered in
// the store, including this one, and whether each can take jobs: it is reachable
// and not stopping.
func (p *peers) registeredEntries() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]bool{p.self.ID: true}
	for id, e := range p.known {
		if e.registered {
			out[id] = !e.stopping && e.failures == 0 && p.clock.Since(e.lastReplySent) < p.timing.PeerHeartbeat.AsDuration()+p.timing.PeerSuspect(len(p.known))
		}
	}
	return out
}

// recordManagerOptions returns the options of this entry's recordManager.
func (e *Entry) recordManagerOptions() durable.Options {
	return durable.Options{
		Store: e.options.Store, Entry: e.self.ID, Incarnation: e.self.Incarnation.String(),
		CallTimeout: e.settings.Timing.StoreTimeout.AsDuration(), Clock: e.clock, Entries: e.peers.registeredEntries,
		Handler: durableHandler{e.inbox, &e.peerPending, e.settings.Timing.PeerHeartbeat.AsDuration() + e.settings.Timing.Suspect.AsDuration()}, Log: e.log, Metrics: e.metrics.scope,
	}
}

// handlePeerLost makes the recordManager look for jobs that the lost entry owned.
func (e *Entry) handlePeerLost(entry string) {
	e.recordManager.PeerLost(entry)
}
