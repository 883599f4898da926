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
	idleScan   = 5 * time.Minute  // while the entry has never met a durable job
	normalScan = 30 * time.Second // the longest that an orphan is overlooked
	quickScan  = time.Second      // while there are orphans, or a peer or the own epoch was lost
	// scanJitter, as a share of the interval, keeps entries that started
	// together from reading together.
	scanJitter = 0.1
	// spread of the scans that the loss of a peer causes at all entries at once.
	spread = 200 * time.Millisecond
	// peerBack is how long the epochs of a peer that is reachable again are
	// watched: twice the time to live of those of its predecessor.
	peerBack = 2 * LeaseTTL
)

// scanner is the state of the scan loop.
type scanner struct {
	k       *Manager
	orphans *Orphans
	met     bool              // the entry has met a durable job
	logged  map[string]uint64 // revisions of unreadable records by key
}

// scan looks for orphans until ctx ends.
func (k *Manager) scan(ctx context.Context) {
	s := &scanner{k: k, orphans: NewOrphans(k.options.Entry), logged: map[string]uint64{}}
	failures := 0
	for ctx.Err() == nil {
		next, err := s.look(ctx)
		if err != nil {
			failures++
			wait.For(ctx, max(quickScan/2, k.backoff(failures)), nil)
			continue
		}
		failures = 0
		due := time.Now().Add(next)
		if wait.For(ctx, next, k.wakeScan) && time.Now().Before(due) {
			wait.For(ctx, k.options.Jitter(spread), nil)
		}
	}
}

// look makes one scan and returns the wait before the next one.
func (s *scanner) look(ctx context.Context) (time.Duration, error) {
	k := s.k
	began := time.Now()
	open, err := k.list(ctx, OpenPrefix)
	if err != nil {
		return 0, err
	}
	k.mu.Lock()
	s.met = s.met || k.wanted || len(open) > 0
	peers := len(k.lost)
	k.mu.Unlock()
	owners := map[Epoch]bool{}
	if len(open) > 0 || peers > 0 {
		list, err := k.list(ctx, OwnersPrefix)
		if err != nil {
			return 0, err
		}
		for _, kv := range list {
			owners[Epoch(strings.TrimPrefix(kv.Key, OwnersPrefix))] = true
		}
	}
	watching := s.settle(began, owners)
	left := s.take(s.decode(open), owners)
	interval := idleScan
	switch {
	case left || watching:
		return quickScan, nil
	case s.met:
		interval = normalScan
	}
	return interval - k.options.Jitter(time.Duration(scanJitter*float64(interval))), nil
}

// decode returns the records that can be decoded. Others are left unchanged and
// logged once.
func (s *scanner) decode(list []store.KV) (open []OpenRecord) {
	logged := map[string]uint64{}
	for _, kv := range list {
		r, err := DecodeRecord(kv.Key, kv.Value)
		if err == nil {
			open = append(open, OpenRecord{r, kv.Revision})
			continue
		}
		if logged[kv.Key] = kv.Revision; s.logged[kv.Key] != kv.Revision {
			s.k.options.Log.Error().Str("key", kv.Key).Err(err).Msg("durable record is unreadable")
		}
	}
	s.logged = logged
	return open
}

// take begins the takeover of orphans and reports whether any are left.
func (s *scanner) take(open []OpenRecord, owners map[Epoch]bool) (left bool) {
	k := s.k
	entries := k.options.Entries()
	k.locked(func() {
		now := time.Now()
		take, waiting := s.orphans.Look(now, Scan{
			Open: open, Owners: owners, Entries: entries, Own: k.owner.epoch, Held: k.batch.Held,
		})
		left = waiting+len(take) > 0
		switch {
		case len(take) == 0 || k.stopped:
		case k.owner.Valid(now):
			for _, r := range take {
				k.batch.TakeOver(now, r)
			}
		default:
			k.want() // the scan after the beginning of the epoch takes them
		}
	})
	return left
}

// settle ends the watch of lost entries without an epoch that the scan could
// show, other than the present one of this entry, and reports whether any entry
// is watched still.
func (s *scanner) settle(began time.Time, owners map[Epoch]bool) (watching bool) {
	k := s.k
	entries := k.options.Entries()
	has := map[string]bool{}
	k.mu.Lock()
	defer k.mu.Unlock()
	for epoch := range owners {
		if epoch != k.owner.epoch {
			has[epoch.Entry()] = true
		}
	}
	for entry, since := range k.lost {
		back := entries[entry] && began.Sub(since) >= peerBack
		if !since.After(began) && (!has[entry] || back) {
			delete(k.lost, entry)
		}
	}
	return len(k.lost) > 0
}

// list reads all keys with a prefix. A list in several pages has a timeout for
// each, which the store applies.
func (k *Manager) list(ctx context.Context, prefix string) (list []store.KV, err error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeouts*k.options.CallTimeout)
	defer cancel()
	return k.options.Store.List(ctx, prefix)
}

// listTimeouts is the longest time of a list, in call timeouts. 10,000 open
// records of 1 KB come in 10 pages.
const listTimeouts = 10
