package durable_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"chicorytray.example/chicorytray/durable"
	"chicorytray.example/chicorytray/internal/storestub"
	"chicorytray.example/chicorytray/store"
	"chicorytray.example/chicorytray/wire"
)

// rig is a stub store with several entries, which record the calls of their
// handlers.
type rig struct {
	*qt.C
	stub      *storestub.Stub
	log       zerolog.Logger // of the entries that start later, like metrics
	metrics   tally.Scope
	mu        sync.Mutex
	reachable map[string]bool
	nodes     []*node
}

// node is one entry process. It owns the jobs that its Manager has reported as
// created or taken over.
type node struct {
	rig     *rig
	name    string
	manager *durable.Manager
	store   *partialStore
	stop    func() // ends the process without a planned stop

	owned       map[string]durable.Record
	lost        []string
	invalidated int
	takenAt     map[string]time.Time
}

// partialStore is a store whose calls KeepAlive, Transact, Grant and Revoke fail
// while failing is set. The other calls still succeed.
type partialStore struct {
	store.Store
	mu      sync.Mutex
	failing bool
}

func (p *partialStore) setFailing(failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing = failing
}

func (p *partialStore) down() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failing {
		return store.ErrUnavailable
	}
	return nil
}

func (p *partialStore) KeepAlive(ctx context.Context, id store.LeaseID) error {
	if err := p.down(); err != nil {
		return err
	}
	return p.Store.KeepAlive(ctx, id)
}

func (p *partialStore) Transact(ctx context.Context, t store.Transaction) (uint64, error) {
	if err := p.down(); err != nil {
		return 0, err
	}
	return p.Store.Transact(ctx, t)
}

func (p *partialStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := p.down(); err != nil {
		return 0, err
	}
	return p.Store.Grant(ctx, ttl)
}

func (p *partialStore) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := p.down(); err != nil {
		return err
	}
	return p.Store.Revoke(ctx, id)
}

// run calls f in virtual time with n entries, and stops them afterwards.
func run(t *testing.T, n int, f func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{C: qt.New(t), stub: storestub.New(), log: zerolog.Nop(), reachable: map[string]bool{}}
		defer func() {
			for _, n := range r.nodes {
				n.stop()
			}
			wait(time.Minute) // until slow calls have ended
		}()
		for i := range n {
			r.start(fmt.Sprintf("edge-%d", i), "1")
		}
		synctest.Wait()
		f(r)
	})
}

func (r *rig) start(name, incarnation string) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		rig: r, name: name, store: &partialStore{Store: r.stub},
		owned: map[string]durable.Record{}, takenAt: map[string]time.Time{},
	}
	n.stop = func() {
		n.store.setFailing(true) // so that the lease is not revoked
		cancel()
	}
	r.mu.Lock()
	r.reachable[name] = true
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	n.manager = durable.NewManager(durable.Options{
		Store: n.store, Entry: name, Incarnation: incarnation, CallTimeout: 300 * time.Millisecond,
		Entries: r.entries, Handler: n, Log: r.log, Metrics: r.metrics,
		Jitter: func(d time.Duration) time.Duration { return d / 2 },
	})
	go n.manager.Run(ctx)
	return n
}

func (r *rig) entries() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entries := map[string]bool{}
	for name, reachable := range r.reachable {
		entries[name] = reachable
	}
	return entries
}

// kill ends a process without a planned stop and reports the loss to the others.
func (r *rig) kill(n *node) {
	n.stop()
	r.mu.Lock()
	r.reachable[n.name] = false
	n.owned = map[string]durable.Record{}
	r.mu.Unlock()
	for _, other := range r.nodes {
		if other != n {
			other.manager.PeerLost(n.name)
		}
	}
}

// own records that the node owns a job, and fails the test if another valid node
// owns it.
func (n *node) own(rec durable.Record) {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	for _, other := range n.rig.nodes {
		if _, owns := other.owned[rec.Identifier]; owns && other.manager.Valid(time.Now()) {
			n.rig.Errorf("%s owns %s, which %s owns", n.name, rec.Identifier, other.name)
		}
	}
	n.owned[rec.Identifier] = rec
}

func (n *node) JobTakenOver(rec durable.Record, at time.Time) {
	n.own(rec)
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	n.takenAt[rec.Identifier] = at
}

func (n *node) Scanned(time.Time, []durable.StoredRecord) {}

func (n *node) JobLost(identifier string) {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	delete(n.owned, identifier)
	n.lost = append(n.lost, identifier)
}

func (n *node) OwnershipLost() {
	n.rig.mu.Lock()
	defer n.rig.mu.Unlock()
	n.invalidated++
	n.owned = map[string]durable.Record{}
}

func record(id string) durable.Record {
	return durable.Record{
		Identifier: id, Account: "a", Template: "t", Count: 2, Needs: wire.Resources{MilliCPU: 1000},
		Spec: "s", Accepted: time.Now(),
	}
}

func end(id string) durable.EndRecord {
	r := record(id)
	return durable.EndRecord{
		Identifier: id, Account: r.Account, Template: r.Template, Workload: r.WorkloadHash(),
		State: durable.Completed, Ended: time.Now(),
	}
}

// answer records the calls of one callback of Create, Update or Finish.
type answer struct {
	calls int
	found durable.LookupResult
	err   error
	after time.Duration
}

func (n *node) create(rec durable.Record) *answer {
	a, began := &answer{}, time.Now()
	n.manager.Create(rec, func(found durable.LookupResult, err error) {
		if err == nil && found == (durable.LookupResult{}) {
			n.own(rec)
		}
		n.rig.mu.Lock()
		defer n.rig.mu.Unlock()
		a.calls++
		a.found, a.err, a.after = found, err, time.Since(began)
	})
	return a
}

func (n *node) update(rec durable.Record, within time.Duration) *answer {
	a, began := &answer{}, time.Now()
	n.manager.Update(rec, within, func() {
		n.rig.mu.Lock()
		defer n.rig.mu.Unlock()
		a.calls, a.after = a.calls+1, time.Since(began)
	})
	return a
}

func (n *node) finish(e durable.EndRecord) *answer {
	a, began := &answer{}, time.Now()
	n.manager.Finish(e, func() {
		n.rig.mu.Lock()
		defer n.rig.mu.Unlock()
		delete(n.owned, e.Identifier)
		a.calls, a.after = a.calls+1, time.Since(began)
	})
	return a
}

// wait advances the virtual time and lets all goroutines run until they block.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// calls returns the number of store calls during f.
func (r *rig) calls(f func()) int {
	before := r.stub.TotalCalls()
	f()
	return r.stub.TotalCalls() - before
}

// stored returns the open record of a job.
func (r *rig) stored(id string) *durable.Record {
	kv, ok := r.stub.Peek(durable.OpenPrefix + id)
	if !ok {
		return nil
	}
	rec, err := durable.DecodeRecord(kv.Key, kv.Value)
	r.Assert(err, qt.IsNil)
	return &rec
}

// owners returns the number of entries that own the job.
func (r *rig) owners(id string) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, node := range r.nodes {
		if _, ok := node.owned[id]; ok {
			n++
		}
	}
	return n
}
