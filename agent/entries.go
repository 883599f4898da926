package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/membership"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

const (
	// forgetEntryAfter is the silence after which an entry that no other entry
	// mentions is forgotten. Entries mention each other every 10 s.
	forgetEntryAfter = 30 * time.Second
	// Bounds of the wait before another read of the store while no entry is
	// reachable. After a loss of power, agents that return long before the
	// entries have to find them well within 12 s. At the greatest, 1,000 agents
	// make about 380 reads a second.
	discoverBackoffBase = 200 * time.Millisecond
	discoverBackoffMax  = 5 * time.Second
)

// entries keeps the known entries and a link to each of a subset. Its lock is
// taken after the agent's, never before.
type entries struct {
	agent *Agent
	log   zerolog.Logger

	mu      sync.Mutex
	known   map[string]known // by address
	peers   *membership.Peers
	links   map[string]*link // by address
	listed  bool             // the store was read
	changed chan struct{}    // capacity 1; the set of known entries changed
}

// known is an entry or, with an empty ref.ID, a seed address.
type known struct {
	ref       wire.EntryRef
	mentioned time.Time
}

func newEntries(a *Agent) *entries {
	return &entries{
		agent: a, log: a.log, known: map[string]known{}, links: map[string]*link{},
		peers: membership.New(a.timing.Suspect.AsDuration()), changed: make(chan struct{}, 1),
	}
}

// run keeps the links to the chosen entries until ctx ends.
func (e *entries) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { e.discover(ctx) })
	t := wait.NewTicker(e.agent.timing.Suspect.AsDuration())
	defer t.Stop()
	for {
		for _, l := range e.choose(time.Now()) {
			linkCtx, cancel := context.WithCancel(ctx)
			l.cancel = cancel
			wg.Go(func() { l.run(linkCtx) })
		}
		select {
		case <-ctx.Done():
			return
		case <-e.changed:
		case <-t.C:
		}
	}
}

// discover reads the registrations once. While no entry is reachable it reads
// them again, with backoff, and adds the seeds.
func (e *entries) discover(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		if !e.listed || !e.anyAlive() {
			e.list(ctx)
		} else {
			attempt = 0
		}
		next := min(discoverBackoffMax, discoverBackoffBase<<min(attempt, 10))
		if e.listed && e.anyAlive() {
			next = e.agent.timing.Lapse.AsDuration()
		}
		if !wait.For(ctx, e.agent.timing.Heartbeat.AsDuration()+rand.N(next), nil) {
			return
		}
	}
}

func (e *entries) anyAlive() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers.Alive(time.Now())) > 0
}

// list adds the registered entries, or the seeds if none can be learnt.
func (e *entries) list(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, e.agent.timing.StoreTimeout.AsDuration())
	defer cancel()
	refs, invalid, err := store.Entries(callCtx, e.agent.options.Store)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		e.log.Warn().Err(err).Msg("entries_not_listed")
	default:
		e.log.Info().Int("entries", len(refs)).Int("invalid", invalid).Msg("entries_listed")
	}
	e.mu.Lock()
	e.listed = e.listed || err == nil
	e.mu.Unlock()
	for _, seed := range e.agent.settings.Seeds {
		refs = append(refs, wire.EntryRef{Address: seed})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ref := range refs {
		e.mention(ref, time.Now())
	}
}

// mention records an entry of which the store, the settings or another entry
// tells; the caller holds mu. What an entry that is alive said of itself is
// kept, because others may be behind.
func (e *entries) mention(ref wire.EntryRef, now time.Time) {
	if ref.Address == "" {
		return
	}
	old, ok := e.known[ref.Address]
	if ok && (ref.ID == "" || !e.peers.Suspect(ref.Address, now)) {
		e.known[ref.Address] = known{old.ref, now}
		return
	}
	if other, moved := e.addressOf(ref.ID); moved && other != ref.Address && !e.peers.Suspect(other, now) {
		return
	}
	e.set(ref, now)
}

// introduced records an entry that made itself known.
func (e *entries) introduced(ref wire.EntryRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mention(ref, time.Now())
}

// set records a reference; the caller holds mu.
func (e *entries) set(ref wire.EntryRef, now time.Time) {
	if former, ok := e.addressOf(ref.ID); ok && former != ref.Address {
		e.forget(former)
	}
	old, ok := e.known[ref.Address]
	e.known[ref.Address] = known{ref, now}
	e.peers.Add(ref.Address)
	if !ok || old.ref != ref {
		e.wake()
	}
}

// addressOf returns the address under which an entry is known; the caller
// holds mu.
func (e *entries) addressOf(id string) (address string, ok bool) {
	for address, k := range e.known {
		if id != "" && k.ref.ID == id {
			return address, true
		}
	}
	return "", false
}

func (e *entries) forget(address string) {
	delete(e.known, address)
	e.peers.Remove(address)
}

func (e *entries) wake() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// choose ends the links that are not wanted any more and returns new ones.
func (e *entries) choose(now time.Time) []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	wanted := e.wanted(now)
	for address, l := range e.links {
		if !wanted[address] {
			l.cancel()
			delete(e.links, address)
		}
	}
	var fresh []*link
	for address := range wanted {
		if e.links[address] == nil {
			l := newLink(e, address)
			e.links[address] = l
			fresh = append(fresh, l)
		}
	}
	slices.SortFunc(fresh, func(a, b *link) int { return strings.Compare(a.address, b.address) })
	return fresh
}

// prune forgets silent entries that nobody mentions. While no entry is alive
// all are kept, because then the agent may be the one that is cut off.
func (e *entries) prune(now time.Time) {
	if len(e.peers.Alive(now)) == 0 {
		return
	}
	for address, k := range e.known {
		heard, _ := e.peers.LastHeard(address)
		if now.Sub(k.mentioned) > forgetEntryAfter && now.Sub(heard) > forgetEntryAfter {
			e.log.Info().Str("entry", k.ref.ID).Str("address", address).Msg("entry_forgotten")
			e.forget(address)
		}
	}
}

// wanted returns the addresses to be linked: the subset of entries and, while
// none of these is alive, the seeds.
func (e *entries) wanted(now time.Time) map[string]bool {
	var refs []wire.EntryRef
	var seeds []string
	for address, k := range e.known {
		if k.ref.ID == "" {
			seeds = append(seeds, address)
			continue
		}
		refs = append(refs, k.ref)
	}
	s := e.agent.settings
	wanted := map[string]bool{}
	alive := false
	for _, ref := range membership.Subset(s.ID, s.DataCentre, refs, s.MaxEntries) {
		wanted[ref.Address] = true
		alive = alive || !e.peers.Suspect(ref.Address, now)
	}
	if !alive {
		for _, address := range seeds {
			wanted[address] = true
		}
	}
	return wanted
}

// kick makes all links send a heartbeat soon.
func (e *entries) kick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.kick()
	}
}

// kickOne makes the link to one entry send a heartbeat soon.
func (e *entries) kickOne(owner ledger.Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if e.known[address].ref.ID == owner.Entry {
			l.kick()
		}
	}
}

// offer sends an offer to the entry and reports whether it did: the entry must
// be linked and have answered the last offer.
func (e *entries) offer(owner ledger.Owner, req wire.OfferRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if ref := e.known[address].ref; ref.ID == owner.Entry && ref.Incarnation == owner.Incarnation {
			return l.offer(owner, req)
		}
	}
	return false
}

// heard records a reply from the entry at the address.
func (e *entries) heard(address string, r *wire.HeartbeatReply) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers.Suspect(address, now) {
		e.log.Info().Str("entry", r.Entry.ID).Str("address", address).Msg("entry_heard")
	}
	e.peers.RecordHeard(address, now)
	self := r.Entry
	self.Address = address // where it was reached, whatever it calls itself
	e.set(self, now)
	for _, ref := range r.Entries {
		if ref.ID != self.ID {
			e.mention(ref, now)
		}
	}
}

// toldLeaving reports whether every entry that is alive has answered a
// heartbeat that said that the agent leaves.
func (e *entries) toldLeaving(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if !e.peers.Suspect(address, now) && !l.toldLeaving() {
			return false
		}
	}
	return true
}

// failed records that the entry was not reached on a second connection either.
func (e *entries) failed(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.peers.Suspect(address, time.Now()) {
		e.agent.metrics.entriesSuspect.Inc(1)
		e.log.Warn().Err(err).Str("entry", e.known[address].ref.ID).Str("address", address).Msg("entry_suspect")
	}
	e.peers.RecordFailed(address)
}
