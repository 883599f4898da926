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
	idleScanInterval   = 5 * time.Minute  // while the entry has never met a durable job
	normalScanInterval = 30 * time.Second // the longest that an orphan is overlooked
	quickScanInterval  = time.Second      // while there are orphans, or a peer or the own epoch was lost
	// scanJitter, as a share of the interval, keeps entries that started
	// together from reading together.
	scanJitter = 0.1
	// peerLossSpread of the scans that the loss of a peer causes at all entries at once.
	peerLossSpread = 200 * time.Millisecond
	// returnedPeerWatch is how long the epochs of a peer that is reachable again are
	// watched: twice the time to live of those of its predecessor.
	returnedPeerWatch = 2 * LeaseTTL
)

// scanner is the state of the scan loop.
type scanner struct {
	manager         *Manager
	orphans         *Orphans
	usedDurableJobs bool              // the entry has met a durable job
	loggedRevisions map[string]uint64 // revisions of unreadable records by key
}

// scanLoop looks for orphans until ctx ends.
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
		due := time.Now().Add(next)
		if wait.For(ctx, next, m.wakeScan) && time.Now().Before(due) {
			wait.For(ctx, m.options.Jitter(peerLossSpread), nil)
		}
	}
}

// scanOnce makes one scan and returns the wait before the next one.
func (s *scanner) scanOnce(ctx context.Context) (time.Duration, error) {
	m := s.manager
	began := time.Now()
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
	remaining := s.takeOrphans(s.decode(open), owners)
	interval := idleScanInterval
	switch {
	case remaining || watching:
		return quickScanInterval, nil
	case s.usedDurableJobs:
		interval = normalScanInterval
	}
	return interval - m.options.Jitter(time.Duration(scanJitter*float64(interval))), nil
}

// decode returns the records that can be decoded. Others are left unchanged and
// logged once.
func (s *scanner) decode(list []store.KV) (open []StoredRecord) {
	logged := map[string]uint64{}
	for _, kv := range list {
		r, err := DecodeRecord(kv.Key, kv.Value)
		if err == nil {
			open = append(open, StoredRecord{r, kv.Revision})
			continue
		}
		if logged[kv.Key] = kv.Revision; s.loggedRevisions[kv.Key] != kv.Revision {
			s.manager.options.Log.Error().Str("key", kv.Key).Err(err).Msg("durable record is unreadable")
		}
	}
	s.loggedRevisions = logged
	return open
}

// takeOrphans begins the takeover of orphans and reports whether any are left.
func (s *scanner) takeOrphans(open []StoredRecord, owners map[Epoch]bool) (remaining bool) {
	m := s.manager
	entries := m.options.Entries()
	m.withLock(func() {
		now := time.Now()
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
			m.requestEpoch() // the scan after the beginning of the epoch takes them
		}
	})
	return remaining
}

// updateWatch ends the watch of lost entries without an epoch that the scan could
// show, other than the present one of this entry, and reports whether any entry
// is watched still.
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

// list reads all keys with a prefix. A list in several pages has a timeout for
// each, which the store applies.
func (m *Manager) list(ctx context.Context, prefix string) (list []store.KV, err error) {
	ctx, cancel := context.WithTimeout(ctx, maxListTimeouts*m.options.CallTimeout)
	defer cancel()
	return m.options.Store.List(ctx, prefix)
}

// maxListTimeouts is the longest time of a list, in call timeouts. 10,000 open
// records of 1 KB come in 10 pages.
const maxListTimeouts = 10
