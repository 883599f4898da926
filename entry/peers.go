package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"chicorytray.example/chicorytray/gate"
	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/settings"
	"chicorytray.example/chicorytray/wire"
)

// dropPeerAfter is the silence after which a peer that is no longer registered
// is forgotten.
const dropPeerAfter = 30 * time.Second

// peers are the other entries. Every entry sends a heartbeat to every other,
// because the account shares need the demand of all. That costs each entry
// messages in proportion to the number of entries, which are few.
type peers struct {
	self    wire.EntryRef
	timing  settings.Timing
	seeds   []string
	log     zerolog.Logger
	dial    agentDialer
	confirm *confirmation
	config  *configuration
	// beat builds this entry's heartbeat; heard handles a peer's.
	beat  func() wire.PeerHeartbeat
	heard func(wire.PeerHeartbeat)
	// lost learns of a peer that is not reached or was replaced; it must not
	// block.
	lost func(entry string)

	mu    sync.Mutex
	known map[string]*peer // by entry identifier
	wake  chan struct{}    // wakes run when a peer is new
}

// peer is one other entry.
type peer struct {
	ref        wire.EntryRef
	added      time.Time
	replied    time.Time // when the last heartbeat with a reply was sent
	registered bool
	stopping   bool
	failures   int
	conn       agentConn
	cancel     context.CancelFunc // ends its heartbeats
}

func (p *peers) run(ctx context.Context) {
	seeding := 0
	var wg sync.WaitGroup
	defer wg.Wait()
	for ctx.Err() == nil {
		p.start(ctx, &wg)
		if p.needSeeds() {
			seeding++
			p.askSeeds(ctx)
			p.start(ctx, &wg)
			wait.For(ctx, fullJitter(p.timing.PeerHeartbeat.AsDuration(), seeding), p.wake)
			continue
		}
		seeding = 0
		p.dropGone(time.Now())
		wait.For(ctx, p.timing.PeerHeartbeat.AsDuration(), p.wake)
	}
}

// needSeeds reports whether the seed entries are the only known way to a
// configuration or to peers while the store is out.
func (p *peers) needSeeds() bool {
	if len(p.seeds) == 0 || p.confirm.storeReachable() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.config.view() == nil || len(p.known) == 0
}

func (p *peers) askSeeds(ctx context.Context) {
	for _, address := range p.seeds {
		if address == p.self.Address || ctx.Err() != nil {
			continue
		}
		if err := p.askSeed(ctx, address); err != nil {
			p.log.Debug().Str("seed", address).Err(err).Msg("seed entry not reached")
		}
	}
}

func (p *peers) askSeed(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return p.fetch(ctx, conn)
}

// fetch gets a peer's configuration if it is newer, and the entries it knows.
func (p *peers) fetch(ctx context.Context, conn agentConn) error {
	var reply wire.ConfigReply
	err := conn.Call(ctx, "Entry.FetchConfig", &wire.ConfigRequest{Have: p.config.generation()}, &reply)
	if err != nil {
		return err
	}
	for _, ref := range reply.Entries {
		p.learn(ref, false)
	}
	if len(reply.Document) == 0 {
		return nil
	}
	return p.config.apply(reply.Document, "peer")
}

// learn adds an entry, or a new process under a known identifier. Only the
// process itself replaces one that replied recently, because lists that others
// keep may name its predecessor.
func (p *peers) learn(ref wire.EntryRef, direct bool) {
	if ref.ID == "" || ref.ID == p.self.ID {
		return
	}
	replaced := false
	p.mu.Lock()
	defer func() {
		p.mu.Unlock()
		if replaced {
			p.lost(ref.ID)
		}
	}()
	known := p.known[ref.ID]
	if known != nil && known.ref.Incarnation == ref.Incarnation {
		return
	}
	if known != nil {
		if !direct && time.Since(known.replied) < p.timing.Suspect.AsDuration() {
			return
		}
		known.stop()
		replaced = true
	}
	p.known[ref.ID] = &peer{ref: ref, added: time.Now()}
	p.log.Info().Str("entry", ref.ID).Str("address", ref.Address).Msg("peer entry learnt")
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (e *peer) stop() {
	if e.cancel != nil {
		e.cancel()
	}
}

// listed takes over the registrations read from the store.
func (p *peers) listed(refs []wire.EntryRef) {
	registered := map[string]bool{}
	for _, ref := range refs {
		registered[ref.ID] = true
		p.learn(ref, false)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.known {
		e.registered = registered[id]
	}
}

// start begins the heartbeats to new peers.
func (p *peers) start(ctx context.Context, wg *sync.WaitGroup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.known {
		if e.cancel != nil {
			continue
		}
		peerCtx, cancel := context.WithCancel(ctx)
		e.cancel = cancel
		wg.Go(func() { p.beatPeer(peerCtx, e) })
	}
}

// dropGone forgets peers that are neither registered nor reachable. While the
// store is out, registrations do not change and silence alone decides nothing.
func (p *peers) dropGone(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, e := range p.known {
		last := e.replied
		if last.IsZero() {
			last = e.added
		}
		if e.registered || !p.confirm.storeReachable() || now.Sub(last) < dropPeerAfter {
			continue
		}
		e.stop()
		delete(p.known, id)
		p.confirm.peerForgotten(id)
		p.log.Info().Str("entry", id).Msg("peer entry forgotten")
	}
}

// beatPeer sends heartbeats to one peer until ctx ends.
func (p *peers) beatPeer(ctx context.Context, e *peer) {
	defer func() {
		if e.conn != nil {
			_ = e.conn.Close()
		}
	}()
	for ctx.Err() == nil {
		err := p.heartbeat(ctx, e)
		if err != nil && ctx.Err() == nil {
			// The connection may be at fault; only a second one decides.
			err = p.heartbeat(ctx, e)
		}
		p.mu.Lock()
		if err != nil {
			e.failures++
		} else {
			e.failures = 0
		}
		failures := e.failures
		p.mu.Unlock()
		if failures == 1 {
			p.log.Warn().Str("entry", e.ref.ID).Err(err).Msg("peer entry not reached")
			p.lost(e.ref.ID)
		}
		pause := p.timing.PeerHeartbeat.AsDuration()
		if failures > 0 {
			pause = fullJitter(pause, failures)
		}
		wait.For(ctx, pause, nil)
	}
}

// heartbeat makes one exchange with the peer, on a new connection if there is
// none. A failure closes the connection.
func (p *peers) heartbeat(ctx context.Context, e *peer) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.timing.CallTimeout.AsDuration())
	defer cancel()
	if e.conn == nil {
		conn, err := p.dial(ctx, e.ref.Address)
		if err != nil {
			return err
		}
		e.conn = conn
	}
	defer func() {
		if err != nil && e.conn != nil {
			_ = e.conn.Close()
			e.conn = nil
		}
	}()
	sent := time.Now()
	beat := p.beat()
	var reply wire.PeerHeartbeat
	if err := e.conn.Call(ctx, "Entry.PeerHeartbeat", &beat, &reply); err != nil {
		return err
	}
	var fetched error
	if reply.Generation > p.config.generation() {
		fetched = p.fetch(ctx, e.conn)
	}
	if reply.Generation > p.config.generation() {
		// The peer confirms a configuration that this entry does not have.
		reply.ConfirmAge = gate.NoAge
	}
	p.replied(e, sent, reply)
	return fetched
}

func (p *peers) replied(e *peer, sent time.Time, reply wire.PeerHeartbeat) {
	p.learn(reply.Entry, true) // another process may answer at the address
	if reply.Entry.ID != e.ref.ID || reply.Entry.Incarnation != e.ref.Incarnation {
		return
	}
	p.mu.Lock()
	e.replied, e.stopping = sent, reply.Stopping
	p.mu.Unlock()
	p.confirm.peerReplied(e.ref.ID, peerSeen{
		sent: sent, age: reply.ConfirmAge, storeReachable: reply.StoreReachable, dataCentre: reply.Entry.DataCentre,
	})
	p.heard(reply)
}

// find returns the peer's reference.
func (p *peers) find(id string) (wire.EntryRef, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.known[id]; e != nil {
		return e.ref, true
	}
	return wire.EntryRef{}, false
}

// entries lists this entry and the peers that are not stopping, by identifier.
func (p *peers) entries() []wire.EntryRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []wire.EntryRef{p.self}
	for _, e := range p.known {
		if !e.stopping {
			out = append(out, e.ref)
		}
	}
	slices.SortFunc(out, func(a, b wire.EntryRef) int { return strings.Compare(a.ID, b.ID) })
	return out
}
