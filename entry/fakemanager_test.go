package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chicorytray.example/chicorytray/durable"
)

// recordStore holds the records that all fakeManagers of a test share.
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

// writeTime is the duration of a write by a fakeManager.
const writeTime = 20 * time.Millisecond

// fakeManager is a recordManager with scripted faults. It writes nothing while
// blocked is set.
type fakeManager struct {
	options durable.Options
	store   *recordStore

	mu          sync.Mutex
	wake        *sync.Cond
	invalid     bool
	blocked     bool
	endsUnknown bool  // end records are stored, but their answers wait until this is cleared
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
	m := &fakeManager{
		options: o, store: s, writes: map[string]int{}, waiting: map[string][]func(){}, unwritten: map[string]durable.Record{},
	}
	m.wake = sync.NewCond(&m.mu)
	return m
}

// withLock runs change with the lock held and wakes the writes that wait for
// blocked to be cleared.
func (m *fakeManager) withLock(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
	m.wake.Broadcast()
}

func (m *fakeManager) epoch() durable.Epoch {
	return durable.Epoch(fmt.Sprintf("%s-%s-1", m.options.Entry, m.options.Incarnation))
}

func (m *fakeManager) Run(ctx context.Context) {
	<-ctx.Done()
	m.withLock(func() { m.blocked, m.endsUnknown = false, false })
}

func (m *fakeManager) Valid(time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.invalid
}

// afterDelay runs write after within plus writeTime, once the fakeManager is not
// blocked.
func (m *fakeManager) afterDelay(within time.Duration, write func()) {
	time.AfterFunc(within+writeTime, func() {
		m.mu.Lock()
		for m.blocked {
			m.wake.Wait()
		}
		m.mu.Unlock()
		write()
	})
}

func (m *fakeManager) Create(r durable.Record, done func(durable.LookupResult, error)) {
	m.afterDelay(0, func() {
		m.mu.Lock()
		err := m.createErr
		m.mu.Unlock()
		if err != nil {
			done(durable.LookupResult{}, err)
			return
		}
		m.store.mu.Lock()
		old, open := m.store.open[r.Identifier]
		end, ended := m.store.ended[r.Identifier]
		found := durable.LookupResult{}
		switch {
		case open && m.Workload(&old) == m.Workload(&r):
			found.Open = &old
		case ended && end.Workload == m.Workload(&r):
			found.End = &end
		case open, ended:
			err = durable.ErrIdentifierInUse
		default:
			r.Owner = m.epoch()
			m.store.open[r.Identifier] = r
		}
		m.store.mu.Unlock()
		done(found, err)
	})
}

func (m *fakeManager) Update(r durable.Record, within time.Duration, done func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unwritten[r.Identifier] = r
	m.waiting[r.Identifier] = append(m.waiting[r.Identifier], done)
	m.afterDelay(within, func() { m.write(r.Identifier) })
}

func (m *fakeManager) write(id string) {
	m.mu.Lock()
	r, dones := m.unwritten[id], m.waiting[id]
	delete(m.unwritten, id)
	delete(m.waiting, id)
	if len(dones) > 0 {
		m.writes[id]++
	}
	m.mu.Unlock()
	if len(dones) == 0 {
		return // written with an earlier update, or given up
	}
	m.store.mu.Lock()
	r.Owner = m.epoch()
	m.store.open[id] = r
	m.store.mu.Unlock()
	for _, done := range dones {
		done()
	}
}

func (m *fakeManager) Finish(e durable.EndRecord, done func()) {
	m.mu.Lock()
	delete(m.unwritten, e.Identifier)
	delete(m.waiting, e.Identifier)
	m.mu.Unlock()
	m.afterDelay(0, func() {
		m.store.mu.Lock()
		delete(m.store.open, e.Identifier)
		m.store.ended[e.Identifier] = e
		m.store.mu.Unlock()
		m.mu.Lock()
		m.writes[e.Identifier]++
		for m.endsUnknown {
			m.wake.Wait()
		}
		m.mu.Unlock()
		done()
	})
}

func (m *fakeManager) GiveUp(id string) {
	m.withLock(func() {
		m.givenUp = append(m.givenUp, id)
		delete(m.unwritten, id)
		delete(m.waiting, id)
	})
}

func (m *fakeManager) Lookup(_ context.Context, id string) (f durable.LookupResult, err error) {
	m.mu.Lock()
	lookupFails := m.lookupFails
	m.mu.Unlock()
	if lookupFails {
		return f, context.DeadlineExceeded
	}
	m.store.mu.Lock()
	defer m.store.mu.Unlock()
	if r, ok := m.store.open[id]; ok {
		f.Open = &r
	}
	if e, ok := m.store.ended[id]; ok {
		f.End = &e
	}
	return f, nil
}

func (m *fakeManager) Presences(ctx context.Context, ids []string) (map[string]durable.Presence, error) {
	out := map[string]durable.Presence{}
	for _, id := range ids {
		f, err := m.Lookup(ctx, id)
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

func (m *fakeManager) PeerLost(entry string) { m.withLock(func() { m.lost = append(m.lost, entry) }) }

func (m *fakeManager) HandOver(context.Context) error {
	m.withLock(func() { m.handedOver = true })
	return nil
}

func (m *fakeManager) Status() durable.Status { return durable.Status{Epoch: m.epoch()} }

func (m *fakeManager) Workload(r *durable.Record) string {
	return fmt.Sprint(r.Account, r.Template, r.Count, r.Needs, r.Spec)
}
