package durable

import (
	"context"
	"strings"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/store"
)

// Intervals of scans.
const (
	idleScanInterval   = 5 * time.Minute  // while the entry has never had or seen a durable job
	normalScanInterval = 30 * time.Second // bounds the time until an orphan is detected
	quickScanInterval  = time.Second      // while there are orphans or watched entries
	// scanJitter is the largest fraction by which an interval is shortened at
	// random, so that entries that started together do not scan together.
	scanJitter = 0.1
	// peerLossSpread is the longest random delay of a scan that was requested by
	// PeerLost, because all entries notice the loss of a peer at once.
	peerLossSpread = 200 * time.Millisecond
	// returnedPeerWatch is how long the epochs of a lost peer are watched after
	// the loss although the peer is reachable again: twice the time to live of
	// the epochs of its earlier process.
	returnedPeerWatch = 2 * LeaseTTL
)

// scanner is the state of the scan loop.
type scanner struct {
	manager         *Manager
	orphans         *Orphans
	usedDurableJobs bool              // the entry has had or seen a durable job
	loggedRevisions map[string]uint64 // revisions of unreadable records by key
}

// scanLoop scans for orphans until ctx ends.
func (m *Manager) scanLoop(ctx context.Context) {
	s := &scanner{manager: m, orphans: NewOrphans(m.options.Entry), loggedRevisions: map[string]uint64{}}
	failures := 0
	for ctx.Err() == nil {
		next, err := s.scanOnce(ctx)
		if err != nil {
			failures++
			wait.For(ctx, max(quickScanInterval/2, m.backoff(failures)), nil)
			continue
		}
		failures = 0
		due := m.options.Clock.Now().Add(next)
		if wait.For(ctx, next, m.wakeScan) && m.options.Clock.Now().Before(due) {
			wait.For(ctx, m.options.Jitter(peerLossSpread), nil)
		}
	}
}

// scanOnce reads the open records and, if needed, the epochs, begins the takeover
// of orphans, and returns the wait before the next scan.
func (s *scanner) scanOnce(ctx context.Context) (time.Duration, error) {
	m := s.manager
	began := m.options.Clock.Now()
	open, err := m.list(ctx, OpenPrefix)
	if err != nil {
		return 0, err
	}
	m.mu.Lock()
	s.usedDurableJobs = s.usedDurableJobs || m.epochWanted || len(open) > 0
	peers := len(m.watchedEntries)
	m.mu.Unlock()
	owners := map[Epoch]bool{}
	if len(open) > 0 || peers > 0 {
		list, err := m.list(ctx, OwnersPrefix)
		if err != nil {
			return 0, err
		}
		for _, kv := range list {
			owners[Epoch(strings.TrimPrefix(kv.Key, OwnersPrefix))] = true
		}
	}
	watching := s.updateWatch(began, owners)
	records := s.decode(open)
	m.withLock(func() { m.queueCallback(func() { m.options.Handler.Scanned(began, records) }) })
	remaining := s.takeOrphans(records, owners)
	interval := idleScanInterval
	switch {
	case remaining || watching:
		return quickScanInterval, nil
	case s.usedDurableJobs:
		interval = normalScanInterval
	}
	return interval - m.options.Jitter(time.Duration(scanJitter*float64(interval))), nil
}

// maxUnreadableLines is the largest number of log lines of one scan about records
// that are unreadable.
const maxUnreadableLines = 10

// decode returns the records that can be decoded. The others stay unchanged in
// the store. They are counted once for each revision, and the first ones are logged.
func (s *scanner) decode(list []store.KV) (open []StoredRecord) {
	logged, fresh := map[string]uint64{}, 0
	for _, kv := range list {
		r, err := DecodeRecord(kv.Key, kv.Value)
		if err == nil {
			open = append(open, StoredRecord{r, kv.Revision})
			continue
		}
		if logged[kv.Key] = kv.Revision; s.loggedRevisions[kv.Key] == kv.Revision {
			continue
		}
		if fresh++; fresh <= maxUnreadableLines {
			s.manager.options.Log.Error().Str("key", kv.Key).Err(err).Msg("durable record is unreadable")
		}
	}
	if fresh > maxUnreadableLines {
		s.manager.options.Log.Error().Int("count", fresh).Msg("durable records are unreadable")
	}
	s.manager.unreadable.Inc(int64(fresh))
	s.loggedRevisions = logged
	return open
}

// takeOrphans begins the takeover of orphans. It reports whether there are any,
// including those that are left to other entries.
func (s *scanner) takeOrphans(open []StoredRecord, owners map[Epoch]bool) (remaining bool) {
	m := s.manager
	entries := m.options.Entries()
	m.withLock(func() {
		now := m.options.Clock.Now()
		take, waiting := s.orphans.Select(now, ScanResult{
			Open: open, Owners: owners, Entries: entries, Own: m.ownership.epoch, IsHeld: m.batch.Has,
		})
		remaining = waiting+len(take) > 0
		switch {
		case len(take) == 0 || m.stopped:
		case m.ownership.Valid(now):
			for _, r := range take {
				m.batch.TakeOver(now, r)
			}
		default:
			m.requestEpoch() // the scan at the beginning of the epoch takes them over
		}
	})
	return remaining
}

// updateWatch stops watching the entries that were lost before the scan began and
// that have no epoch in owners, which does not count the present epoch of this
// entry. It also stops watching a returned peer after returnedPeerWatch. It
// reports whether any entry is still watched.
func (s *scanner) updateWatch(began time.Time, owners map[Epoch]bool) (watching bool) {
	m := s.manager
	entries := m.options.Entries()
	has := map[string]bool{}
	m.mu.Lock()
	defer m.mu.Unlock()
	for epoch := range owners {
		if epoch != m.ownership.epoch {
			has[epoch.Entry()] = true
		}
	}
	for entry, since := range m.watchedEntries {
		back := entries[entry] && began.Sub(since) >= returnedPeerWatch
		if !since.After(began) && (!has[entry] || back) {
			delete(m.watchedEntries, entry)
		}
	}
	return len(m.watchedEntries) > 0
}

// list reads all keys with a prefix. The store limits the time for each page, and
// maxListTimeouts limits the total time.
func (m *Manager) list(ctx context.Context, prefix string) (list []store.KV, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxListTimeouts*m.options.CallTimeout)
	defer cancel()
	return m.options.Store.List(ctx, prefix)
}

// maxListTimeouts is the time limit of a list, in call timeouts. 10,000 open
// records of 1 KB are read in 10 pages.
const maxListTimeouts = 10
