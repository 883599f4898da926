package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
)

// recordStore holds the records that all fakeKeepers of a test share.
type recordStore struct {
	mu    sync.Mutex
	open  map[string]durable.Record
	ended map[string]durable.EndRecord
}

func newRecordStore() *recordStore {
	return &recordStore{open: map[string]durable.Record{}, ended: map[string]durable.EndRecord{}}
}

func (s *recordStore) get(id string) (durable.Record, durable.EndRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[id], s.ended[id]
}

// writeTime is the duration of a write by a fakeKeeper.
const writeTime = 20 * time.Millisecond

// fakeManager is a recordKeeper with scripted faults. It writes nothing while
// blocked is set.
type fakeManager struct {
	options durable.Options
	store   *recordStore

	mu          sync.Mutex
	wake        *sync.Cond
	invalid     bool
	blocked     bool
	createErr   error // returned by all creations unless nil
	lookupFails bool
	writes      map[string]int      // by job identifier
	waiting     map[string][]func() // callbacks of unwritten updates, by job identifier
	unwritten   map[string]durable.Record
	givenUp     []string
	handedOver  bool
	lost        []string // entries reported by PeerLost
}

func newFakeManager(s *recordStore, o durable.Options) *fakeManager {
	k := &fakeManager{
		options: o, store: s, writes: map[string]int{}, waiting: map[string][]func(){}, unwritten: map[string]durable.Record{},
	}
	k.wake = sync.NewCond(&k.mu)
	return k
}

// withLock runs change with the lock held and wakes the writes that wait for
// blocked to be cleared.
func (k *fakeManager) withLock(change func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change()
	k.wake.Broadcast()
}

func (k *fakeManager) epoch() durable.Epoch {
	return durable.Epoch(fmt.Sprintf("%s-%s-1", k.options.Entry, k.options.Incarnation))
}

func (k *fakeManager) Run(ctx context.Context) {
	<-ctx.Done()
	k.withLock(func() { k.blocked = false })
}

func (k *fakeManager) Valid(time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.invalid
}

// afterDelay runs write after within plus writeTime, once the fakeKeeper is not
// blocked.
func (k *fakeManager) afterDelay(within time.Duration, write func()) {
	time.AfterFunc(within+writeTime, func() {
		k.mu.Lock()
		for k.blocked {
			k.wake.Wait()
		}
		k.mu.Unlock()
		write()
	})
}

func (k *fakeManager) Create(r durable.Record, done func(durable.LookupResult, error)) {
	k.afterDelay(0, func() {
		k.mu.Lock()
		err := k.createErr
		k.mu.Unlock()
		if err != nil {
			done(durable.LookupResult{}, err)
			return
		}
		k.store.mu.Lock()
		old, open := k.store.open[r.Identifier]
		end, ended := k.store.ended[r.Identifier]
		found := durable.LookupResult{}
		switch {
		case open && k.Workload(&old) == k.Workload(&r):
			found.Open = &old
		case ended && end.Workload == k.Workload(&r):
			found.End = &end
		case open, ended:
			err = durable.ErrIdentifierInUse
		default:
			r.Owner = k.epoch()
			k.store.open[r.Identifier] = r
		}
		k.store.mu.Unlock()
		done(found, err)
	})
}

func (k *fakeManager) Update(r durable.Record, within time.Duration, done func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unwritten[r.Identifier] = r
	k.waiting[r.Identifier] = append(k.waiting[r.Identifier], done)
	k.afterDelay(within, func() { k.write(r.Identifier) })
}

func (k *fakeManager) write(id string) {
	k.mu.Lock()
	r, dones := k.unwritten[id], k.waiting[id]
	delete(k.unwritten, id)
	delete(k.waiting, id)
	if len(dones) > 0 {
		k.writes[id]++
	}
	k.mu.Unlock()
	if len(dones) == 0 {
		return // written with an earlier update, or given up
	}
	k.store.mu.Lock()
	r.Owner = k.epoch()
	k.store.open[id] = r
	k.store.mu.Unlock()
	for _, done := range dones {
		done()
	}
}

func (k *fakeManager) Finish(e durable.EndRecord, done func()) {
	k.mu.Lock()
	delete(k.unwritten, e.Identifier)
	delete(k.waiting, e.Identifier)
	k.mu.Unlock()
	k.afterDelay(0, func() {
		k.store.mu.Lock()
		delete(k.store.open, e.Identifier)
		k.store.ended[e.Identifier] = e
		k.store.mu.Unlock()
		k.withLock(func() { k.writes[e.Identifier]++ })
		done()
	})
}

func (k *fakeManager) GiveUp(id string) {
	k.withLock(func() {
		k.givenUp = append(k.givenUp, id)
		delete(k.unwritten, id)
		delete(k.waiting, id)
	})
}

func (k *fakeManager) Lookup(_ context.Context, id string) (f durable.LookupResult, err error) {
	k.mu.Lock()
	silent := k.lookupFails
	k.mu.Unlock()
	if silent {
		return f, context.DeadlineExceeded
	}
	k.store.mu.Lock()
	defer k.store.mu.Unlock()
	if r, ok := k.store.open[id]; ok {
		f.Open = &r
	}
	if e, ok := k.store.ended[id]; ok {
		f.End = &e
	}
	return f, nil
}

func (k *fakeManager) Presences(ctx context.Context, ids []string) (map[string]durable.Presence, error) {
	out := map[string]durable.Presence{}
	for _, id := range ids {
		f, err := k.Lookup(ctx, id)
		switch {
		case err != nil:
			return nil, err
		case f.Open != nil:
			out[id] = durable.JobOpen
		case f.End != nil && f.End.Restarted:
			out[id] = durable.JobEndedRestarted
		case f.End != nil:
			out[id] = durable.JobEnded
		default:
			out[id] = durable.JobAbsent
		}
	}
	return out, nil
}

func (k *fakeManager) PeerLost(entry string) { k.withLock(func() { k.lost = append(k.lost, entry) }) }

func (k *fakeManager) HandOver(context.Context) error {
	k.withLock(func() { k.handedOver = true })
	return nil
}

func (k *fakeManager) Status() durable.Status { return durable.Status{Epoch: k.epoch()} }

func (k *fakeManager) Workload(r *durable.Record) string {
	return fmt.Sprint(r.Account, r.Template, r.Count, r.Needs, r.Spec)
}
