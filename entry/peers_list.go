package entry

import (
	"cmp"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/config"
	"chicorytray.example/chicorytray/forward"
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

// forwardPeers returns the peers to which jobs may be forwarded, and their references by
// identifier. Data centres of the entry's region are nearer than others.
func (p *peers) forwardPeers(v *config.View) ([]forward.Peer, map[string]wire.EntryRef) {
	regions := map[string]string{}
	for _, c := range v.Document().DataCentres {
		regions[c.Name] = c.Region
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []forward.Peer
	refs := map[string]wire.EntryRef{}
	for id, e := range p.known {
		f := forward.Peer{
			ID: id, Stopping: e.stopping || e.leaving, Heard: e.lastReplySent, Suspect: p.timing.PeerSuspect(p.replied),
			Generation: e.generation, Distance: 2, Short: e.short,
		}
		switch dc := e.ref.DataCentre; {
		case dc == p.self.DataCentre:
			f.Distance = 0
		case regions[dc] == regions[p.self.DataCentre]:
			f.Distance = 1
		}
		out, refs[id] = append(out, f), e.ref
	}
	return out, refs
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
