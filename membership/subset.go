package membership

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/wire"
)

// Subset selects the entries to which the agent self announces itself: all of them
// if there are at most limit, and otherwise limit of them by rendezvous hashing.
// Half of the places, rounded up, are for entries in the agent's own data centre.
// The rest are for entries in other data centres, so that the loss of its own does
// not separate the agent from all entries. Places that one group cannot fill go to
// the other. The result is ordered by identifier. Adding or removing entries
// changes an agent's subset by at most that number of entries.
func Subset(self string, selfDataCentre string, entries []wire.EntryRef, limit int) []wire.EntryRef {
	entries = deduplicate(entries)
	if limit <= 0 {
		return nil
	}
	if len(entries) > limit {
		entries = chooseEntries(self, selfDataCentre, entries, limit)
	}
	sortByID(entries)
	return entries
}

func sortByID(entries []wire.EntryRef) {
	slices.SortFunc(entries, func(a, b wire.EntryRef) int { return strings.Compare(a.ID, b.ID) })
}

// deduplicate returns one reference for each identifier, the last one in the list.
func deduplicate(entries []wire.EntryRef) []wire.EntryRef {
	index := map[string]int{}
	var unique []wire.EntryRef
	for _, e := range entries {
		if i, ok := index[e.ID]; ok {
			unique[i] = e
			continue
		}
		index[e.ID] = len(unique)
		unique = append(unique, e)
	}
	return unique
}

func chooseEntries(self, dataCentre string, entries []wire.EntryRef, limit int) []wire.EntryRef {
	scores := make(map[string]uint64, len(entries))
	for _, e := range entries {
		scores[e.ID] = RendezvousWeight(self, e.ID)
	}
	slices.SortFunc(entries, func(a, b wire.EntryRef) int {
		return cmp.Or(cmp.Compare(scores[b.ID], scores[a.ID]), strings.Compare(a.ID, b.ID))
	})
	var own, others []wire.EntryRef
	for _, e := range entries {
		if e.DataCentre == dataCentre {
			own = append(own, e)
		} else {
			others = append(others, e)
		}
	}
	local := min((limit+1)/2, len(own))
	remote := min(limit-local, len(others))
	local = limit - remote
	return append(own[:local:local], others[:remote]...)
}

// RendezvousWeight returns the weight of the second name for the first in
// rendezvous hashing, such as that of an entry for an agent. The highest weights
// are selected.
func RendezvousWeight(first, second string) uint64 {
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, uint32(len(first))) // separates the two names
	_, _ = h.Write([]byte(first))
	_, _ = h.Write([]byte(second))
	x := h.Sum64()
	// FNV gives similar short names similar high bits. The finalizer of
	// SplitMix64 distributes them.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
