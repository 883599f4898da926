package durable

import (
	"time"

	"chicorytray.example/chicorytray/membership"
)

// rankDelay is how long an entry waits for each reachable entry ranked before it
// to take an orphan over. It covers the interval between scans, a second, and
// the takeover.
const rankDelay = 2 * time.Second

// StoredRecord is an open record as read from the store, with the revision of
// its key.
type StoredRecord struct {
	Record
	Revision uint64
}

// ScanResult is what one scan read from the store, and the entry's own state.
type ScanResult struct {
	Open    []StoredRecord
	Owners  map[Epoch]bool               // epochs that have a key, read after Open
	Entries map[string]bool              // registered entries, and whether each is reachable
	Own     Epoch                        // of this entry; empty while there is none
	IsHeld  func(identifier string) bool // whether this entry has the job
}

// Orphans decides which open records an entry takes over: those whose owner's
// epoch has no key. It remembers when it first saw each orphan.
type Orphans struct {
	self      string
	firstSeen map[string]firstSeen
}

type firstSeen struct {
	owner Epoch
	at    time.Time
}

// NewOrphans returns an Orphans for the entry with the identifier self.
func NewOrphans(self string) *Orphans { return &Orphans{self: self, firstSeen: map[string]firstSeen{}} }

// Select returns the records to take over now, and the number of orphans that are
// left to other entries for now. An entry takes an orphan over after rankDelay
// for each reachable entry that is ranked before it.
//
// A record of the entry's own epoch whose job the entry does not have is an
// orphan, too: a write took effect after the job was given up. The entry takes
// it over after one rankDelay, because no other entry will while the epoch
// lasts.
func (o *Orphans) Select(now time.Time, s ScanResult) (take []StoredRecord, waiting int) {
	since := map[string]firstSeen{}
	for _, r := range s.Open {
		if s.IsHeld(r.Identifier) || s.Owners[r.Owner] && r.Owner != s.Own {
			continue
		}
		first, ok := o.firstSeen[r.Identifier]
		if !ok || first.owner != r.Owner {
			first = firstSeen{r.Owner, now}
		}
		since[r.Identifier] = first
		rank := 1
		if s.Own == "" || r.Owner != s.Own {
			rank = o.reachableBefore(r.Identifier, s.Entries)
		}
		if now.Sub(first.at) >= time.Duration(rank)*rankDelay {
			take = append(take, r)
		} else {
			waiting++
		}
	}
	o.firstSeen = since
	return take, waiting
}

// reachableBefore returns the number of reachable entries that are ranked before
// this one for a job. Entries are ranked by membership.RendezvousWeight, the
// highest first.
func (o *Orphans) reachableBefore(identifier string, entries map[string]bool) int {
	own, before := membership.RendezvousWeight(o.self, identifier), 0
	for entry, reachable := range entries {
		if !reachable || entry == o.self {
			continue
		}
		if w := membership.RendezvousWeight(entry, identifier); w > own || w == own && entry < o.self {
			before++
		}
	}
	return before
}

// PreferredEntry returns the reachable entry that is ranked first for a job.
// self counts as reachable.
func PreferredEntry(self, identifier string, entries map[string]bool) string {
	best, most := self, membership.RendezvousWeight(self, identifier)
	for entry, reachable := range entries {
		w := membership.RendezvousWeight(entry, identifier)
		if reachable && (w > most || w == most && entry < best) {
			best, most = entry, w
		}
	}
	return best
}
