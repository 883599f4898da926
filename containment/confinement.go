package containment

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chicorytray.example/chicorytray/membership"
	"chicorytray.example/chicorytray/wire"
)

const (
	// Memory is how long a conviction counts. It is longer than a crashed worker
	// needs to return, so that a template stays confined while its tasks go on
	// crashing the few workers that are left to it.
	Memory = 10 * time.Second
	// minConvictions is the number of convictions within Memory, at all entries
	// together, that confines a template. One bad task says nothing about others.
	minConvictions = 2
	// maxConvictions is the number of convictions of a template that are kept.
	maxConvictions = 8
	// minShare is the part of the agents on which confined templates always start,
	// rounded down. It equals the part of the agents that package ejection may take
	// out of use. In a pool of up to three agents nothing is confined, because the
	// template would lose more than the others gain.
	minShare = 0.3
	// headroom is the capacity that confinement leaves to the other templates, as a
	// multiple of what they need.
	headroom = 1.5
)

// Confinement decides which templates are confined. A conviction is a task that was
// given up because workers crashed under it. Entries report their convictions to each
// other, because each sees only those of its own jobs.
type Confinement struct {
	started time.Time              // of this process
	own     map[string][]time.Time // convictions of this entry, by template, oldest first
	peers   map[Peer]Report
}

// NewConfinement returns the state of a process that starts now.
func NewConfinement(now time.Time) Confinement { return Confinement{started: now} }

// Report is what an entry reports to its peers; nil maps and slices if it has nothing
// to report.
type Report struct {
	// Convictions are the sender's own within Memory, by template.
	Convictions map[string]int
	// Confined are the templates that are confined by the convictions that the
	// sender knows. A process that started less than Memory ago relies on it, because
	// it does not know the convictions of processes that have ended.
	Confined   []string
	receivedAt time.Time
}

// Peer is a process of another entry. The convictions of a process that has ended
// count as long as they would have, although its successor does not know them.
type Peer struct {
	Entry       string
	Incarnation wire.Incarnation
}

// Convict records that a task of the template was given up. For a confined template
// it is also called when a task of it was a suspect: the few workers that are left to
// it are often all down, so that suspects do not get as far as their second crash.
func (c *Confinement) Convict(now time.Time, template string) {
	if c.own == nil {
		c.own = map[string][]time.Time{}
	}
	c.own[template] = append(c.own[template], now)
	if excess := len(c.own[template]) - maxConvictions; excess > 0 {
		c.own[template] = c.own[template][excess:]
	}
}

// Report returns what this entry reports to its peers.
func (c *Confinement) Report(now time.Time) Report {
	return Report{Convictions: c.convictions(now), Confined: c.byConvictions(now)}
}

// convictions returns the number of this entry's convictions within Memory, by
// template; nil if there are none.
func (c *Confinement) convictions(now time.Time) map[string]int {
	var out map[string]int
	for template, times := range c.own {
		times = slices.DeleteFunc(times, func(t time.Time) bool { return now.Sub(t) >= Memory })
		if len(times) == 0 {
			delete(c.own, template)
			continue
		}
		c.own[template] = times
		if out == nil {
			out = map[string]int{}
		}
		out[template] = len(times)
	}
	return out
}

// RecordReport records a peer's report. It counts until the next one, at most for
// Memory.
func (c *Confinement) RecordReport(now time.Time, peer Peer, r Report) {
	if len(r.Convictions) == 0 && len(r.Confined) == 0 {
		delete(c.peers, peer)
		return
	}
	if c.peers == nil {
		c.peers = map[Peer]Report{}
	}
	r.receivedAt = now
	c.peers[peer] = r
}

// PeerConvictions returns the convictions that peers reported within Memory, by entry
// and template.
func (c *Confinement) PeerConvictions(now time.Time) map[string]map[string]int {
	out := map[string]map[string]int{}
	for peer, r := range c.peers {
		if now.Sub(r.receivedAt) >= Memory {
			continue
		}
		if out[peer.Entry] == nil {
			out[peer.Entry] = map[string]int{}
		}
		for template, n := range r.Convictions {
			out[peer.Entry][template] += n
		}
	}
	return out
}

// Confined returns the templates that are confined now, in ascending order.
func (c *Confinement) Confined(now time.Time) []string {
	if len(c.own) == 0 && len(c.peers) == 0 {
		return nil
	}
	out := c.byConvictions(now)
	if now.Sub(c.started) < Memory {
		for _, r := range c.peers {
			out = append(out, r.Confined...)
		}
		slices.Sort(out)
		out = slices.Compact(out)
	}
	return out
}

// byConvictions returns the templates that are confined by the convictions of this
// entry and its peers, in ascending order.
func (c *Confinement) byConvictions(now time.Time) []string {
	total := c.convictions(now)
	if total == nil {
		total = map[string]int{}
	}
	maps.DeleteFunc(c.peers, func(_ Peer, r Report) bool { return now.Sub(r.receivedAt) >= Memory })
	for _, r := range c.peers {
		for template, n := range r.Convictions {
			total[template] += n
		}
	}
	maps.DeleteFunc(total, func(_ string, n int) bool { return n < minConvictions })
	return slices.Sorted(maps.Keys(total))
}

// Members returns the agents of a pool on which its confined templates start; none
// if the pool is too small to confine a template. demand is the part of the pool's
// capacity that the other templates need. What they do not need is left to the
// confined ones, because their jobs would otherwise wait beside idle workers.
//
// All entries that know the same agents choose the same ones in the same order,
// without exchanging them.
func Members(pool string, agents []string, demand float64) map[string]bool {
	type weighted struct {
		id     string
		weight uint64
	}
	byWeight := make([]weighted, 0, len(agents))
	for _, id := range agents {
		byWeight = append(byWeight, weighted{id, membership.RendezvousWeight(pool, id)})
	}
	slices.SortFunc(byWeight, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	n := int(minShare * float64(len(agents)))
	if n > 0 {
		n = min(len(agents), max(n, int(math.Round((1-headroom*demand)*float64(len(agents))))))
	}
	members := make(map[string]bool, n)
	for _, a := range byWeight[:n] {
		members[a.id] = true
	}
	return members
}
