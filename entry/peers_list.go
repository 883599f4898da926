package entry

import (
	"cmp"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/wire"
)

// maxSilentListed is the largest number of peers that have never replied in the list
// that agents and other entries get. Another writer may have registered thousands; a
// new entry that this one cannot reach, but agents can, is among the latest.
const maxSilentListed = 32

// count returns the number of known peers that have replied.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replied
}

// findEntry returns the reference of the peer with the identifier, if it is
// known.
func (p *peers) findEntry(id string) (wire.EntryRef, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.known[id]; e != nil {
		return e.ref, true
	}
	return wire.EntryRef{}, false
}

// activeEntries returns this entry, the peers that are not stopping and the last
// maxSilentListed of those that have never replied, sorted by identifier. It returns
// the same slice until the entries change.
func (p *peers) activeEntries() []wire.EntryRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active != nil {
		return p.active
	}
	p.active = []wire.EntryRef{p.self}
	var silent []*peer
	for _, e := range p.known {
		switch {
		case e.lastReplySent.IsZero():
			silent = append(silent, e)
		case !e.stopping:
			p.active = append(p.active, e.ref)
		}
	}
	slices.SortFunc(silent, func(a, b *peer) int {
		return cmp.Or(b.learntAt.Compare(a.learntAt), strings.Compare(a.ref.ID, b.ref.ID))
	})
	for _, e := range silent[:min(len(silent), maxSilentListed)] {
		p.active = append(p.active, e.ref)
	}
	slices.SortFunc(p.active, func(a, b wire.EntryRef) int { return strings.Compare(a.ID, b.ID) })
	return p.active
}
