package entry

import (
	"maps"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/wire"
)

const (
	// lostPeerRetention is how long the pending jobs that a peer last reported are
	// counted if no scan has read the records since. By then other entries have
	// taken over the jobs of a lost peer.
	lostPeerRetention = 30 * time.Second
	// foundJobRetention is how long a job is counted that was accepted because its
	// record exists, although its owner is a peer that reports its own jobs. By then
	// the owner counts it, or its epoch has ended and a scan has found the record.
	foundJobRetention = 2 * durable.LeaseTTL
	// maxScanAge is the age of the last scan from which peers' knowledge of lost
	// processes counts. While a process is lost, scans follow each other after a second
	// unless the store does not answer.
	maxScanAge = durable.LeaseTTL
)

// pendingByPeer holds what is known of the pending durable jobs of all entries; a
// job is pending while none of its tasks has started. Peers report the numbers of
// their own jobs. The jobs of a process that is not heard of, or that no longer
// counts them, are counted by their records in the store, as the last scan read
// them. An entry whose last scan is old, because it is cut off from the store, counts
// them by what its peers know of them. It is safe for concurrent use.
type pendingByPeer struct {
	clock *clock.Clock
	self  entryProcess
	// peerTimeout returns the age from which a peer's report counts only if no scan
	// began later.
	peerTimeout func() time.Duration

	mu      sync.Mutex
	peers   map[entryProcess]reportedPending
	scanned time.Time                // when the last scan began; zero before the first
	records map[string]pendingRecord // by job identifier
}

// entryProcess identifies one process of an entry.
type entryProcess struct {
	id          string
	incarnation wire.Incarnation
}

type reportedPending struct {
	at     time.Time
	jobs   map[string]int // by template
	others []wire.ProcessPending
}

// pendingRecord is the record of a pending job that this entry may not own.
type pendingRecord struct {
	template string
	owner    entryProcess
	seen     time.Time
	found    bool // the job was accepted because its record exists
}

// processOf returns the process of which the epoch is.
func processOf(epoch durable.Epoch) entryProcess {
	id, incarnation, _ := parseJobID(string(epoch)) // an epoch has the form of a job's identifier
	return entryProcess{id, incarnation}
}

func (p *pendingByPeer) update(entry wire.EntryRef, jobs map[string]int, others []wire.ProcessPending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[entryProcess]reportedPending{}
	}
	p.peers[entryProcess{entry.ID, entry.Incarnation}] = reportedPending{p.clock.Now(), jobs, others}
}

// recordScan records the open records that a scan read. It replaces what was known
// of records when the scan began.
func (p *pendingByPeer) recordScan(began time.Time, open []durable.StoredRecord) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scanned = began
	maps.DeleteFunc(p.records, func(_ string, r pendingRecord) bool { return r.seen.Before(began) })
	for _, r := range open {
		if _, newer := p.records[r.Identifier]; !newer && !r.Started {
			p.add(r.Identifier, pendingRecord{template: r.Template, owner: processOf(r.Owner), seen: began})
		}
	}
}

// recordFound records a job that this entry accepted because its record exists.
func (p *pendingByPeer) recordFound(r durable.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.Started {
		p.add(r.Identifier, pendingRecord{template: r.Template, owner: processOf(r.Owner), seen: p.clock.Now(), found: true})
	}
}

// recordGivenUp records a pending job that this entry gave up and that no other
// entry owns yet.
func (p *pendingByPeer) recordGivenUp(identifier, template string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(identifier, pendingRecord{template: template, owner: p.self, seen: p.clock.Now()})
}

// forget drops a job that another entry owns or that has ended.
func (p *pendingByPeer) forget(identifier string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.records, identifier)
}

// add adds a record; the caller holds mu.
func (p *pendingByPeer) add(identifier string, r pendingRecord) {
	if p.records == nil {
		p.records = map[string]pendingRecord{}
	}
	p.records[identifier] = r
}

// countUnowned returns the numbers, by template, of the pending jobs of which this
// process is the recorded owner and which it does not hold.
func (p *pendingByPeer) countUnowned(held func(identifier string) bool) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for id, r := range p.records {
		if r.owner == p.self && !held(id) {
			out[r.template]++
		}
	}
	return out
}

// count returns the number of the pending jobs of a template that neither this
// entry holds nor countUnowned counts.
func (p *pendingByPeer) count(template string, held func(identifier string) bool) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.records {
		if r.template == template && p.countsAsFound(r) {
			n++
		}
	}
	byProcess := p.byProcess(held)
	p.addReported(byProcess)
	for _, jobs := range byProcess {
		n += jobs[template]
	}
	return n
}

// countsAsFound reports whether a record is counted because this entry accepted its
// job lately; the caller holds mu.
func (p *pendingByPeer) countsAsFound(r pendingRecord) bool {
	return r.found && r.owner != p.self && p.clock.Since(r.seen) < foundJobRetention
}

// byProcess returns the numbers, by template, of the pending jobs of other processes
// that this entry does not hold, by their records and by their own reports; the
// caller holds mu.
func (p *pendingByPeer) byProcess(held func(identifier string) bool) map[entryProcess]map[string]int {
	maps.DeleteFunc(p.peers, func(_ entryProcess, r reportedPending) bool { return p.clock.Since(r.at) > lostPeerRetention })
	out := map[entryProcess]map[string]int{}
	for id, r := range p.records {
		if r.owner == p.self || held(id) || p.countsAsFound(r) {
			continue
		}
		if out[r.owner] == nil {
			out[r.owner] = map[string]int{}
		}
		out[r.owner][r.template]++
	}
	for process, r := range p.peers {
		switch {
		case !p.scanned.After(r.at):
			out[process] = maps.Clone(r.jobs)
		case p.clock.Since(r.at) <= p.peerTimeout():
			// The peer may have taken jobs over since, or have started some.
			out[process] = larger(out[process], r.jobs)
		}
	}
	return out
}

// addReported adds to byProcess what peers report of processes that do not report to
// this entry, if this entry has not read the records since; the caller holds mu.
func (p *pendingByPeer) addReported(byProcess map[entryProcess]map[string]int) {
	for _, r := range p.peers {
		if r.at.Sub(p.scanned) <= maxScanAge {
			continue
		}
		for _, other := range r.others {
			process := entryProcess{other.Entry, other.Incarnation}
			if _, reports := p.peers[process]; !reports && process != p.self {
				byProcess[process] = larger(byProcess[process], other.Pending)
			}
		}
	}
}

// lacksScan reports whether this entry has not read the records for so long that it
// counts what peers report of other processes.
func (p *pendingByPeer) lacksScan() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scanned.IsZero() || p.clock.Since(p.scanned) > maxScanAge
}

// larger returns the larger number for each template.
func larger(a, b map[string]int) map[string]int {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]int{}
	}
	for template, n := range b {
		out[template] = max(out[template], n)
	}
	return out
}

// reportFor returns what this entry knows of the pending jobs of the processes that do
// not report theirs to the given entry process or are not heard of any more.
func (p *pendingByPeer) reportFor(to entryProcess, held func(identifier string) bool) (out []wire.ProcessPending) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for process, jobs := range p.byProcess(held) {
		r, reports := p.peers[process]
		heard := reports && p.clock.Since(r.at) <= p.peerTimeout()
		if process == to || heard && process.id != to.id || len(jobs) == 0 {
			continue
		}
		out = append(out, wire.ProcessPending{Entry: process.id, Incarnation: process.incarnation, Pending: jobs})
	}
	return out
}

// PendingDurableJobs returns the number of durable jobs of the template at all
// entries of which no task has started. Those of peers are as of their last
// heartbeat.
func (e *Entry) PendingDurableJobs(template string) (n int) {
	if e.started() && e.dispatcher.postAndWait(func(d *dispatcher) {
		n = d.countPendingDurable()[template] + e.peerPending.count(template, d.holdsDurable)
	}) {
		return n
	}
	return e.peerPending.count(template, func(string) bool { return false })
}

// holdsDurable reports whether this entry owns the job.
func (d *dispatcher) holdsDurable(identifier string) bool { return d.durable.open[identifier] != nil }

// countPendingDurable counts this entry's durable jobs of which no task is known to
// have started, with those that it owned and that are not known to have another
// owner.
func (d *dispatcher) countPendingDurable() map[string]int {
	out := d.durable.pending.countUnowned(d.holdsDurable)
	for _, j := range d.durable.open {
		if j.leased.durable.isPending() {
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
			out[id] = !e.stopping && e.failures == 0 && p.clock.Since(e.lastReplySent) < p.timing.PeerHeartbeat.AsDuration()+p.timing.PeerSuspect(p.replied)
		}
	}
	return out
}

// recordManagerOptions returns the options of this entry's recordManager.
func (e *Entry) recordManagerOptions() durable.Options {
	return durable.Options{
		Store: e.options.Store, Entry: e.self.ID, Incarnation: e.self.Incarnation.String(),
		CallTimeout: e.settings.Timing.StoreTimeout.AsDuration(), Clock: e.clock, Entries: e.peers.registeredEntries,
		Handler: durableHandler{e.inbox, &e.peerPending}, Log: e.log, Metrics: e.metrics.scope,
	}
}

// handlePeerLost makes the recordManager look for jobs that the lost entry owned.
func (e *Entry) handlePeerLost(entry string) {
	e.recordManager.PeerLost(entry)
}
