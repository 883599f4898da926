package durable

import (
	"time"

	"chicorytray.example/chicorytray/membership"
)

// rankDelay is the time that an entry leaves to each entry ranked before it,
// which covers a scan each second and the takeover.
const rankDelay = 2 * time.Second

// StoredRecord is an open record as read, with the revision of its key.
type StoredRecord struct {
	Record
	Revision uint64
}

// ScanResult is what one look at the store showed, and what the entry knows.
type ScanResult struct {
	Open    []StoredRecord
	Owners  map[Epoch]bool  // epochs that have a key, read after Open
	Entries map[string]bool // registered entries, and whether each is reachable
	Own     Epoch           // of this entry; empty while there is none
	IsHeld  func(identifier string) bool
}

// Orphans decides which open records an entry takes over. It remembers since
// when each orphan is known.
type Orphans struct {
	self      string
	firstSeen map[string]firstSeen
}

type firstSeen struct {
	owner Epoch
	at    time.Time
}

// NewOrphans returns the Orphans of an entry.
func NewOrphans(self string) *Orphans { return &Orphans{self: self, firstSeen: map[string]firstSeen{}} }

// Select returns the records to take over now, and the number of orphans that are
// left to other entries for the time being.
//
// A record of the entry's own epoch that it does not hold counts as an orphan of
// the second rank: a write that took effect after it was given up has left it,
// and no other entry will take it while the epoch lasts.
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

// reachableBefore returns the number of reachable entries that precede this one.
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

// PreferredEntry returns the first of the reachable entries for an identifier, with self
// included.
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
