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
	// entryRetention is how long an entry stays known after it was last heard
	// from or mentioned by another entry. Entries mention each other every
	// 10 s.
	entryRetention = 30 * time.Second
	// While no entry is reachable, the store is read again after one heartbeat
	// interval plus a random time whose limit doubles from discoverBackoffBase
	// to discoverBackoffMax. After a power failure, agents that return long
	// before the entries have to find them well within 12 s. At the maximum,
	// 1,000 agents make about 380 reads a second.
	discoverBackoffBase = 200 * time.Millisecond
	discoverBackoffMax  = 5 * time.Second
	// tryOthersInterval is the time without an answer of any selected entry after
	// which others are tried as well, and for how long each of them is.
	tryOthersInterval = 5 * time.Second
)

// entries holds the known entries and the links to a subset of them. Lock order:
// Agent.mu before entries.mu; Agent.mu is never taken while entries.mu is held.
type entries struct {
	agent *Agent
	log   zerolog.Logger

	mu        sync.Mutex
	known     map[string]knownEntry // by address
	peers     *membership.Peers
	links     map[string]*link // by address
	storeRead bool             // the store was read successfully once
	// selectedAliveAt is when one of the selected entries was last alive, or when the
	// first ones were selected.
	selectedAliveAt time.Time
	changed         chan struct{} // capacity 1; the set of known entries changed
}

// knownEntry is an entry, or a seed address from the settings if ref.ID is
// empty.
type knownEntry struct {
	ref         wire.EntryRef
	mentionedAt time.Time
}

func newEntries(a *Agent) *entries {
	return &entries{
		agent: a, log: a.log, known: map[string]knownEntry{}, links: map[string]*link{},
		peers: membership.New(a.timing.IdleSuspect()), changed: make(chan struct{}, 1),
	}
}

// run maintains the links to the selected entries until ctx ends.
func (e *entries) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { e.discover(ctx) })
	t := wait.NewTicker(e.agent.timing.Suspect.AsDuration())
	defer t.Stop()
	for {
		for _, l := range e.updateLinks(e.agent.clock.Now()) {
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

// discover reads the registered entries from the store until one read succeeds.
// Afterwards it reads them again, with backoff, while no entry is reachable.
func (e *entries) discover(ctx context.Context) {
	for attempt := 0; ; attempt++ {
		if !e.storeRead || !e.anyAlive() {
			e.learnEntries(ctx)
		} else {
			attempt = 0
		}
		next := min(discoverBackoffMax, discoverBackoffBase<<min(attempt, 10))
		if e.storeRead && e.anyAlive() {
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
	return len(e.peers.Alive(e.agent.clock.Now())) > 0
}

// learnEntries adds the entries that are registered in the store, and the seeds
// from the settings.
func (e *entries) learnEntries(ctx context.Context) {
	// A large value that another writer left takes longer than the timeout of a call.
	timeout := e.agent.timing.StoreTimeout.AsDuration()
	callCtx, cancel := store.WithStallTimeout(ctx, timeout, timeout)
	defer cancel()
	refs, unusable, err := store.Entries(callCtx, e.agent.options.Store)
	switch {
	case ctx.Err() != nil:
		return
	case err != nil:
		e.log.Warn().Err(err).Msg("entries_not_listed")
	default:
		e.agent.metrics.registrationsUnusable.Update(float64(unusable.Count))
		e.log.Info().Int("entries", len(refs)).Int("unusable", unusable.Count).Str("first_unusable", unusable.Key).AnErr("reason", unusable.Reason).
			Msg("entries_listed")
	}
	e.mu.Lock()
	e.storeRead = e.storeRead || err == nil
	e.mu.Unlock()
	for _, seed := range e.agent.settings.Seeds {
		refs = append(refs, wire.EntryRef{Address: seed})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ref := range refs {
		e.recordMention(ref, e.agent.clock.Now())
	}
}

// recordMention records an entry that the store, the settings or another entry
// named; the caller holds mu. A reference that an entry which is alive sent
// itself is kept, because the others may have an outdated one.
func (e *entries) recordMention(ref wire.EntryRef, now time.Time) {
	if ref.Address == "" {
		return
	}
	old, ok := e.known[ref.Address]
	if ok && (ref.ID == "" || !e.peers.Suspect(ref.Address, now)) {
		e.known[ref.Address] = knownEntry{old.ref, now}
		return
	}
	if other, moved := e.addressOf(ref.ID); moved && other != ref.Address && !e.peers.Suspect(other, now) {
		return
	}
	e.setEntry(ref, now)
}

// recordIntroduction records an entry that sent Agent.Introduce.
func (e *entries) recordIntroduction(ref wire.EntryRef) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordMention(ref, e.agent.clock.Now())
}

// setEntry records the reference of an entry and removes an earlier address of
// the same entry; the caller holds mu.
func (e *entries) setEntry(ref wire.EntryRef, now time.Time) {
	if former, ok := e.addressOf(ref.ID); ok && former != ref.Address {
		e.remove(former)
	}
	old, ok := e.known[ref.Address]
	e.known[ref.Address] = knownEntry{ref, now}
	e.peers.Add(ref.Address)
	if !ok || old.ref != ref {
		e.notifyChanged()
	}
}

// addressOf returns the address of the known entry with the identifier; the
// caller holds mu.
func (e *entries) addressOf(id string) (address string, ok bool) {
	for address, k := range e.known {
		if id != "" && k.ref.ID == id {
			return address, true
		}
	}
	return "", false
}

func (e *entries) remove(address string) {
	delete(e.known, address)
	e.peers.Remove(address)
}

func (e *entries) notifyChanged() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// updateLinks ends the links to entries that are no longer selected. It returns
// the new links, which the caller has to run, ordered by address.
func (e *entries) updateLinks(now time.Time) []*link {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	wanted := e.linkTargets(now)
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

// prune removes the entries that were neither heard from nor mentioned for
// entryRetention. While no entry is alive all are kept, because the agent itself
// may be cut off from the network. The caller holds mu.
func (e *entries) prune(now time.Time) {
	if len(e.peers.Alive(now)) == 0 {
		return
	}
	for address, k := range e.known {
		heard, _ := e.peers.LastHeard(address)
		if now.Sub(k.mentionedAt) > entryRetention && now.Sub(heard) > entryRetention {
			e.log.Info().Str("entry", k.ref.ID).Str("address", address).Msg("entry_forgotten")
			e.remove(address)
		}
	}
}

// linkTargets returns the addresses that need a link: the agent's subset of the
// entries and, while none of these is alive, the seeds and some of the other entries.
// The caller holds mu.
func (e *entries) linkTargets(now time.Time) map[string]bool {
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
	if alive || e.selectedAliveAt.IsZero() && len(refs) > 0 {
		e.selectedAliveAt = now
	}
	if !alive {
		for _, address := range seeds {
			wanted[address] = true
		}
		e.addOthers(wanted, refs, now)
	}
	return wanted
}

// addOthers adds the entries outside the agent's subset that are alive, and
// MaxEntries others in turns. Registrations that another writer left, or those of
// many entries that have ended, may fill the subset. The caller holds mu.
func (e *entries) addOthers(wanted map[string]bool, refs []wire.EntryRef, now time.Time) {
	turn := int(now.Sub(e.selectedAliveAt)/tryOthersInterval) - 1
	if turn < 0 {
		return
	}
	others := slices.DeleteFunc(refs, func(ref wire.EntryRef) bool { return wanted[ref.Address] })
	slices.SortFunc(others, func(a, b wire.EntryRef) int { return strings.Compare(a.Address, b.Address) })
	limit := min(e.agent.settings.MaxEntries, len(others))
	for i := range limit {
		wanted[others[(turn*limit+i)%len(others)].Address] = true
	}
	for _, ref := range others {
		if !e.peers.Suspect(ref.Address, now) {
			wanted[ref.Address] = true
		}
	}
}

// requestHeartbeats makes all links send a heartbeat soon.
func (e *entries) requestHeartbeats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.links {
		l.requestHeartbeat()
	}
}

// requestHeartbeat makes the link to one entry send a heartbeat soon.
func (e *entries) requestHeartbeat(owner ledger.Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if e.known[address].ref.ID == owner.Entry {
			l.requestHeartbeat()
		}
	}
}

// reschedule makes the link to one entry determine again when its next heartbeat
// is due.
func (e *entries) reschedule(owner ledger.Owner) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if e.known[address].ref.ID == owner.Entry {
			l.reschedule()
		}
	}
}

// sendOffer sends an offer to the entry and reports whether it did. The entry
// must have a link and must have answered the previous offer.
func (e *entries) sendOffer(owner ledger.Owner, req wire.OfferRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if ref := e.known[address].ref; ref.ID == owner.Entry && ref.Incarnation == owner.Incarnation {
			return l.sendOffer(owner, req)
		}
	}
	return false
}

// recordReply records a heartbeat reply from the entry at the address.
func (e *entries) recordReply(address string, r *wire.HeartbeatReply) {
	now := e.agent.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.peers.Suspect(address, now) {
		e.log.Info().Str("entry", r.Entry.ID).Str("address", address).Msg("entry_heard")
	}
	e.peers.RecordHeard(address, now)
	sender := r.Entry
	sender.Address = address // the address that works, whatever address the entry reports
	e.setEntry(sender, now)
	for _, ref := range r.Entries {
		if ref.ID != sender.ID {
			e.recordMention(ref, now)
		}
	}
}

// leavingAcknowledged reports whether every linked entry that is alive has
// answered a heartbeat with Leaving set.
func (e *entries) leavingAcknowledged(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for address, l := range e.links {
		if !e.peers.Suspect(address, now) && !l.leavingAcknowledged() {
			return false
		}
	}
	return true
}

// recordFailure marks the entry as suspect after a heartbeat failed on a second
// connection too.
func (e *entries) recordFailure(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.peers.Suspect(address, e.agent.clock.Now()) {
		e.agent.metrics.entriesSuspect.Inc(1)
		e.log.Warn().Err(err).Str("entry", e.known[address].ref.ID).Str("address", address).Msg("entry_suspect")
	}
	e.peers.RecordFailed(address)
}
