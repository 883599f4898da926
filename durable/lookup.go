package durable

import (
	"context"
	"sync"
	"time"

	"chicorytray.example/chicorytray/store"
)

// presenceInterval is the least time between the beginnings of two rounds of
// reads for Presences.
const presenceInterval = time.Second

// Lookup reads the open record of a job or, if there is none, its end record. If
// the store is not linearizable, the open record may lack recent changes. Lookup
// fails with ErrUnreadable or with the store's error.
func (m *Manager) Lookup(ctx context.Context, identifier string) (LookupResult, error) {
	kv, err := m.getOrVerifyAbsent(ctx, OpenPrefix+identifier)
	if err != nil {
		return LookupResult{}, err
	}
	if kv.Revision != 0 {
		r, err := DecodeRecord(kv.Key, kv.Value)
		if err != nil {
			return LookupResult{}, err
		}
		return LookupResult{Open: &r}, nil
	}
	if kv, err = m.getOrVerifyAbsent(ctx, EndedPrefix+identifier); err != nil || kv.Revision == 0 {
		return LookupResult{}, err
	}
	end, err := DecodeEnd(kv.Key, kv.Value)
	if err != nil {
		return LookupResult{}, err
	}
	return LookupResult{End: &end}, nil
}

// presenceReads is the schedule of the reads for Presences.
type presenceReads struct {
	nextRound *presenceRead // round that has not begun; nil if there is none
	lastBegan time.Time     // beginning of the newest round
}

// presenceRead is one round of reads, which several callers share.
type presenceRead struct {
	wanted map[string]bool
	done   chan struct{}
	found  map[string]Presence
	err    error
}

// Presences looks up the jobs with the given identifiers. The reads begin after
// the call, at most once a second; the calls since the last round share the next
// one. Presences fails with the store's error or that of ctx.
func (m *Manager) Presences(ctx context.Context, identifiers []string) (map[string]Presence, error) {
	if len(identifiers) == 0 {
		return nil, nil
	}
	r := m.joinRead(identifiers)
	select {
	case <-r.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if r.err != nil {
		return nil, r.err
	}
	found := map[string]Presence{}
	for _, id := range identifiers {
		found[id] = r.found[id]
	}
	return found, nil
}

// joinRead adds identifiers to the next round of reads, which it schedules if
// there is none.
func (m *Manager) joinRead(identifiers []string) *presenceRead {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.sharedRead.nextRound
	if r == nil {
		r = &presenceRead{wanted: map[string]bool{}, done: make(chan struct{})}
		m.sharedRead.nextRound = r
		time.AfterFunc(max(0, presenceInterval-m.options.Clock.Since(m.sharedRead.lastBegan)), func() { m.readPresences(r) })
	}
	for _, id := range identifiers {
		r.wanted[id] = true
	}
	return r
}

// readPresences makes a round of reads.
func (m *Manager) readPresences(r *presenceRead) {
	m.mu.Lock()
	m.sharedRead.nextRound, m.sharedRead.lastBegan = nil, m.options.Clock.Now()
	m.mu.Unlock()
	defer close(r.done)
	ctx := context.Background()
	list, err := m.list(ctx, OpenPrefix)
	if err != nil {
		r.err = err
		return
	}
	open := map[string]store.KV{}
	for _, kv := range list {
		open[kv.Key] = kv
	}
	r.found = map[string]Presence{}
	var missing []string
	for id := range r.wanted {
		kv, ok := open[OpenPrefix+id]
		if !ok {
			missing = append(missing, id)
			continue
		}
		r.found[id] = JobOpen
		if _, err := DecodeRecord(kv.Key, kv.Value); err != nil {
			r.found[id] = JobUnreadable
		}
	}
	r.err = m.readEnds(ctx, r, missing)
}

// endReaders is the largest number of end records that are read concurrently.
const endReaders = 8

// readEnds looks up the jobs that have no open record.
func (m *Manager) readEnds(ctx context.Context, r *presenceRead, identifiers []string) (failed error) {
	var mu sync.Mutex
	var group sync.WaitGroup
	work := make(chan string, len(identifiers))
	for _, id := range identifiers {
		work <- id
	}
	close(work)
	for range min(endReaders, len(identifiers)) {
		group.Go(func() {
			for id := range work {
				p, err := m.presenceOfEnd(ctx, id)
				mu.Lock()
				r.found[id] = p
				if err != nil {
					failed = err
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	group.Wait()
	return failed
}

// presenceOfEnd looks up a job that is missing from a list of the open records.
func (m *Manager) presenceOfEnd(ctx context.Context, identifier string) (Presence, error) {
	if !m.options.Store.Linearizable() {
		// The list may be from before the job's creation.
		if err := m.verify(ctx, OpenPrefix+identifier, 0); err != nil {
			return JobAbsent, err
		}
	}
	kv, err := m.getOrVerifyAbsent(ctx, EndedPrefix+identifier)
	if err != nil || kv.Revision == 0 {
		return JobAbsent, err
	}
	switch end, err := DecodeEnd(kv.Key, kv.Value); {
	case err != nil:
		return JobUnreadable, nil
	case end.Restarted:
		return JobEndedRestarted, nil
	default:
		return JobEnded, nil
	}
}
