package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/containment"
	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/clock"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// forgetPeerAfter is the silence after which a peer that is not registered is
// removed.
const forgetPeerAfter = 30 * time.Second

// fetchTimeout bounds the transfer of a configuration from a peer. 1 MB takes 4 s
// on a link of 2 Mbit/s.
const fetchTimeout = 10 * time.Second

// peers tracks the other entries. Every entry sends heartbeats to every other
// entry, because the account shares depend on the demand at all of them. The
// interval grows with the number of entries, so that the messages of one entry do
// not; at 100 entries it is 4 s.
type peers struct {
	self         wire.EntryRef
	timing       settings.Timing
	longestJob   time.Duration // for which a job can be open
	clock        *clock.Clock
	seeds        []string
	ctx          context.Context // of the fetches; set by run
	log          zerolog.Logger
	dial         agentDialer
	confirmation *confirmation
	config       *configuration
	// onHeartbeat handles the heartbeat in a peer's reply to a request sent at that
	// time, with the interval at which such heartbeats arrive.
	onHeartbeat func(heartbeat wire.PeerHeartbeat, sent time.Time, interval time.Duration)
	// report returns what this entry tells its peers about tasks that crash workers.
	report func() containment.Report
	// wantsPending reports whether peers have to tell this entry what they know of the
	// pending jobs of other processes.
	wantsPending func() bool
	// learnCancelled applies what a peer remembers of cancellations; see
	// Entry.learnCancelled.
	learnCancelled func(wire.CancelledReply) bool
	// cancelledFetches has room for the calls of Entry.Cancelled that are made at a time.
	cancelledFetches chan struct{}
	createdAt        time.Time // of this process
	// onPeerLost is called with the identifier of a peer that became unreachable
	// or whose process was replaced. It must not block.
	onPeerLost func(entry string)

	mu    sync.Mutex
	known map[string]*peer // by entry identifier
	// replied is the number of known peers that have replied. Registrations that another
	// writer left would otherwise lengthen the interval of the heartbeats.
	replied int
	// active is the list that activeEntries returns; nil when it has to be built
	// again. It is never changed, because heartbeat replies refer to it.
	active []wire.EntryRef
	wake   chan struct{} // wakes run when a peer was added
	// newestReported is the highest generation that a peer has reported, and
	// behindSince when this entry was first behind it.
	newestReported uint64
	behindSince    time.Time
	fetch          chan struct{} // closed when the fetch in progress has ended; nil if there is none
	cancellations  cancellations
}

// peer is one other entry.
type peer struct {
	ref           wire.EntryRef
	learntAt      time.Time
	lastReplySent time.Time // when the last heartbeat that got a reply was sent; zero if none did
	registered    bool
	stopping      bool
	leaving       bool   // a planned stop has begun
	short         bool   // of processor time
	generation    uint64 // of its configuration
	failures      int    // failed exchanges since the last successful one
	conn          agentConn
	cancel        context.CancelFunc // ends its heartbeats
	due           chan struct{}      // capacity 1; makes the next heartbeat due at once
	cancelsDue    chan struct{}      // capacity 1; wakes relayCancellations
	// cancelPosition is that of the first cancellation that the peer has not
	// answered.
	cancelPosition int
	toldCancelled  bool // it has told what cancellations it remembers
}

// run exchanges heartbeats with all known peers until ctx ends. It queries the
// seed entries while that is needed, and removes peers that are gone.
func (p *peers) run(ctx context.Context) {
	seedAttempts := 0
	p.ctx = ctx
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p.startHeartbeats(ctx, &wg)
		if p.needSeeds() {
			seedAttempts++
			p.querySeeds(ctx)
			p.startHeartbeats(ctx, &wg)
			wait.For(ctx, fullJitter(p.timing.PeerHeartbeat.AsDuration(), seedAttempts), p.wake)
			continue
		}
		seedAttempts = 0
		p.forgetUnreachable(p.clock.Now())
		wait.For(ctx, p.timing.PeerHeartbeat.AsDuration(), p.wake)
	}
}

// needSeeds reports whether the seed entries have to be queried: the store is
// unreachable, and this entry has no configuration or knows no peer.
func (p *peers) needSeeds() bool {
	if len(p.seeds) == 0 || p.confirmation.storeReachable() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.view() == nil || len(p.known) == 0
}

func (p *peers) querySeeds(ctx context.Context) {
	for _, address := range p.seeds {
		if address == p.self.Address || ctx.Err() != nil {
			continue
		}
		if err := p.querySeed(ctx, address); err != nil {
			p.log.Debug().Str("seed", address).Err(err).Msg("seed entry unreachable")
		}
	}
}

func (p *peers) querySeed(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return p.fetchConfig(ctx, conn)
}

// fetchConfig fetches the peer's configuration if it is newer, and the list of
// entries that the peer knows.
func (p *peers) fetchConfig(ctx context.Context, conn agentConn) error {
	var reply wire.ConfigReply
	err := conn.Call(ctx, "Entry.FetchConfig", &wire.ConfigRequest{Have: p.config.generation()}, &reply)
	if err != nil {
		return err
	}
	for _, ref := range reply.Entries {
		p.learnEntry(ref, false)
	}
	p.recordEntriesKnown()
	if len(reply.Document) == 0 {
		return nil
	}
	return p.config.applyDocument(reply.Document, "peer")
}

// learnEntry adds an entry, or replaces a known entry by a new process with the
// same identifier. direct means that the process itself sent the reference. A
// process that replied recently is replaced only by a direct reference, because
// the lists of other entries and of the store may still contain the previous
// process.
func (p *peers) learnEntry(ref wire.EntryRef, direct bool) {
	if ref.ID == "" || ref.ID == p.self.ID {
		return
	}
	replaced := false
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		if replaced {
			p.onPeerLost(ref.ID)
		}
	}()
	known := p.known[ref.ID]
	if known != nil && known.ref.Incarnation == ref.Incarnation {
		if direct && known.lastReplySent.IsZero() {
			known.requestHeartbeat()
		}
		return
	}
	if known != nil {
		if !direct && p.clock.Since(known.lastReplySent) < p.timing.PeerSuspect(p.replied) {
			return
		}
		p.stop(known)
		replaced = true
	}
	added := &peer{ref: ref, learntAt: p.clock.Now(), due: make(chan struct{}, 1)}
	p.addPeerToCancellations(added)
	if known != nil {
		p.removePeerFromCancellations(known)
	}
	p.known[ref.ID] = added
	p.active = nil
	p.log.Info().Str("entry", ref.ID).Str("address", ref.Address).Msg("peer entry discovered")
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// stop ends the heartbeats to a peer that is removed; the caller holds mu.
func (p *peers) stop(e *peer) {
	if e.cancel != nil {
		e.cancel()
	}
	if !e.lastReplySent.IsZero() {
		p.replied--
	}
}

// updateRegistrations records which entries are registered in the store and adds
// those that are not known yet.
func (p *peers) updateRegistrations(refs []wire.EntryRef) {
	registered := map[string]bool{}
	for _, ref := range refs {
		registered[ref.ID] = true
		p.learnEntry(ref, false)
	}
	p.recordEntriesKnown()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.known {
		e.registered = registered[id]
	}
}

// startHeartbeats starts the heartbeats to peers that were added.
func (p *peers) startHeartbeats(ctx context.Context, wg *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		if e.cancel != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		e.cancel = cancel
		wg.Go(func() { p.runHeartbeats(peerCtx, e) })
		wg.Go(func() { p.relayCancellations(peerCtx, e) })
		wg.Go(func() { p.fetchCancelled(peerCtx, e) })
	}
}

// forgetUnreachable removes peers that are neither registered nor reachable. It
// removes none while the store is unreachable, because registrations are not read
// then and silence alone is no reason to remove a peer.
func (p *peers) forgetUnreachable(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.known {
		last := e.lastReplySent
		if last.IsZero() {
			last = e.learntAt
		}
		if e.registered || !p.confirmation.storeReachable() || now.Sub(last) < forgetPeerAfter {
			continue
		}
		p.stop(e)
		p.removePeerFromCancellations(e)
		delete(p.known, id)
		p.active = nil
		p.confirmation.forgetPeer(id)
		p.log.Info().Str("entry", id).Msg("peer entry removed")
	}
}

// runHeartbeats sends heartbeats to one peer until ctx ends.
func (p *peers) runHeartbeats(ctx context.Context, e *peer) {
	defer func() {
		if e.conn != nil {
			_ = e.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		err := p.exchangeHeartbeat(ctx, e)
		if err != nil && ctx.Err() == nil {
			// Only the connection may have failed, so try once on a new one.
			err = p.exchangeHeartbeat(ctx, e)
		}
		p.mu.Lock()
		if err != nil {
			e.failures++
		} else {
			e.failures = 0
		}
		failures, silent, replied := e.failures, e.lastReplySent.IsZero(), p.replied
		all := len(p.known)
		p.mu.Unlock()
		if failures == 1 {
			p.log.Warn().Str("entry", e.ref.ID).Err(err).Msg("peer entry unreachable")
			p.onPeerLost(e.ref.ID)
		}
		pause := p.timing.PeerInterval(replied)
		if failures > 0 {
			pause = fullJitter(p.timing.PeerHeartbeat.AsDuration(), failures)
		}
		if silent {
			interval := p.timing.PeerInterval(all - replied) // there may be thousands
			pause = max(pause, interval/2+rand.N(interval))
		}
		wait.For(ctx, pause, e.due)
	}
}

// sendHeartbeats makes a heartbeat to each peer due at once.
func (p *peers) sendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		e.requestHeartbeat()
	}
}

// requestHeartbeat makes a heartbeat due at once.
func (e *peer) requestHeartbeat() {
	select {
	case e.due <- struct{}{}:
	default:
	}
}

// exchangeHeartbeat sends one heartbeat to the peer and handles the reply. It
// opens a connection if there is none, and closes it if the exchange fails.
func (p *peers) exchangeHeartbeat(ctx context.Context, e *peer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	if e.conn == nil {
		conn, err := p.dial(ctx, e.ref.Address)
		if err != nil {
			return err
		}
		p.setConn(e, conn)
	}
	defer func() {
		if err != nil && e.conn != nil {
			_ = e.conn.Close()
			p.setConn(e, nil)
		}
	}()
	sent := p.clock.Now()
	// The peer takes nothing else from a request; see rpcPeerHeartbeat.
	r := p.report()
	heartbeat := wire.PeerHeartbeat{Entry: p.self, CrashingTasks: r.Convictions, Confined: r.Confined, WantsPending: p.wantsPending()}
	var reply wire.PeerHeartbeat
	if err := e.conn.Call(ctx, "Entry.PeerHeartbeat", &heartbeat, &reply); err != nil {
		return err
	}
	if reply.Generation > p.config.generation() {
		p.catchUp(ctx, e.ref.Address, reply.Generation)
	}
	if reply.Generation > p.config.generation() {
		// The peer's confirmation is of a newer configuration than this entry
		// has.
		reply.ConfirmAge = gate.NoAge
	}
	p.handleReply(e, sent, reply)
	return nil
}

// catchUp fetches the configuration from a peer that reported a newer generation,
// on a connection of its own, and returns when that has ended or ctx ends. At most
// one fetch is in progress: a large document would otherwise fill the link from
// many peers at once, and on the connection of the heartbeats it would delay them.
// While the store is reachable, this entry's own read is awaited first.
func (p *peers) catchUp(ctx context.Context, address string, generation uint64) {
	p.config.recordPeerGeneration(generation)
	now, own := p.clock.Now(), p.config.generation()
	p.mu.Lock()
	if p.newestReported <= own {
		p.behindSince = now
	}
	p.newestReported = max(p.newestReported, generation)
	ownRead := p.confirmation.storeReachable() && now.Sub(p.behindSince) < p.timing.ConfigRead.AsDuration()
	fetch := p.fetch
	if fetch == nil && !ownRead {
		fetch = make(chan struct{})
		p.fetch = fetch
		go p.fetchFrom(address, generation)
	}
	p.mu.Unlock()
	if fetch == nil {
		return
	}
	select {
	case <-fetch:
	case <-ctx.Done():
	}
}

// fetchFrom fetches the configuration from the entry at the address, unless a
// read that was in progress has brought the generation meanwhile.
func (p *peers) fetchFrom(address string, generation uint64) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		close(p.fetch)
		p.fetch = nil
	}()
	endTransfer, ok := p.beginTransfer()
	if !ok {
		return
	}
	defer endTransfer()
	if p.config.generation() >= generation {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, fetchTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err == nil {
		err = p.fetchConfig(ctx, conn)
		_ = conn.Close()
	}
	if err != nil {
		p.log.Warn().Str("address", address).Uint64("generation", generation).Err(err).Msg("configuration not fetched from a peer")
	}
}

// beginTransfer waits until no other copy of the document is received, and returns
// a function that ends the transfer; ok is false if the peers were stopped. It does
// not wait for a read of a store that is not reachable: that read probably gets no
// answer, and the change would be late by the timeout of the read.
func (p *peers) beginTransfer() (end func(), ok bool) {
	end = func() { <-p.config.transfer }
	select {
	case p.config.transfer <- struct{}{}:
		return end, true
	default:
	}
	if !p.confirmation.storeReachable() {
		return func() {}, true
	}
	select {
	case p.config.transfer <- struct{}{}:
		return end, true
	case <-p.ctx.Done():
		return nil, false
	}
}

// handleReply records the reply to a heartbeat that was sent at that time. If
// another process than the expected one replied, it only learns that process.
func (p *peers) handleReply(e *peer, sent time.Time, reply wire.PeerHeartbeat) {
	p.learnEntry(reply.Entry, true) // another process may answer at the address
	if reply.Entry.ID != e.ref.ID || reply.Entry.Incarnation != e.ref.Incarnation {
		return
	}
	p.mu.Lock()
	if e.stopping != reply.Stopping || e.lastReplySent.IsZero() {
		p.active = nil
	}
	if e.lastReplySent.IsZero() && p.known[e.ref.ID] == e {
		p.replied++
	}
	e.lastReplySent, e.stopping = sent, reply.Stopping
	e.leaving, e.generation, e.short = reply.Leaving, reply.Generation, reply.ShortOfProcessor
	replied := p.replied
	p.mu.Unlock()
	p.confirmation.recordPeerReply(e.ref.ID, peerReport{
		sentAt: sent, age: reply.ConfirmAge, storeReachable: reply.StoreReachable, dataCentre: reply.Entry.DataCentre,
		suspectAfter: p.timing.PeerSuspect(replied),
	})
	p.onHeartbeat(reply, sent, p.timing.PeerInterval(replied))
}
