package lease

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"chicorytray.example/chicorytray/wire"
)

const (
	// MaxEnds is the most ends that a worker lists at a time, oldest first.
	// Behind a list of as many there may be further ones.
	MaxEnds = 500
	// maxLease bounds how far an earlier agent process extended the lease:
	// workers accept no longer one (design, section 13.1).
	maxLease = time.Second
	// maxRemovals bounds each half of the runs that are remembered after they
	// left the table without a listed end. The end of a forgotten one is
	// treated as that of a run that another agent process ordered.
	maxRemovals = 1000
)

// Tag returns the tag of a run in this life; it is never 0.
func (l Life) Tag(r Run) wire.RunTag {
	var b []byte
	for _, s := range []string{l.ID, r.Task.Job} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendVarint(b, l.Born)
	b = binary.AppendVarint(b, int64(r.Task.Step))
	b = binary.AppendVarint(b, int64(r.Task.Index))
	b = binary.AppendUvarint(b, r.Number)
	sum := sha256.Sum256(b)
	return max(1, wire.RunTag(binary.BigEndian.Uint64(sum[:8])))
}

// HeldEnd is a listed end that may not be acknowledged to the worker yet.
type HeldEnd struct {
	RunEnd
	Tag      wire.RunTag
	ListedAt time.Time // when it was listed
	// Untracked means that the run was not in the table when its end was listed:
	// another agent process ordered it, or it was given up before.
	Untracked bool
	// Discarded means that the end waits for the end of the worker's lease.
	Discarded bool

	leaseExpired bool // the lease certainly ended after the run did
}

// endTable keeps the ends of one life that are not settled, and what follows
// for the sequence that is acknowledged to the worker.
type endTable struct {
	highestListed   uint64 // highest sequence that was listed
	held            []*HeldEnd
	truncated       bool       // the newest list may lack ends
	earlierLeaseEnd WorkerTime // bound of the lease's end that an earlier process requested
	removals        [2]map[Run]removal
}

// removal is a run that left the table before its end was listed.
type removal struct{ durable, leaseExpired bool }

// ackSequence is the sequence up to which all ends are settled.
func (t *endTable) ackSequence() uint64 {
	if len(t.held) == 0 {
		return t.highestListed
	}
	return t.held[0].Sequence - 1
}

// takeNew returns the ends that were not listed before, by sequence.
func (t *endTable) takeNew(l []RunEnd) []RunEnd {
	var out []RunEnd
	for _, e := range l {
		if e.Sequence > t.highestListed {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b RunEnd) int { return cmp.Compare(a.Sequence, b.Sequence) })
	if len(out) > 0 {
		t.highestListed = out[len(out)-1].Sequence
	}
	return out
}

// indexOf returns the position of the held end, or -1.
func (t *endTable) indexOf(tag wire.RunTag) int {
	return slices.IndexFunc(t.held, func(h *HeldEnd) bool { return h.Tag == tag })
}

// leaseExpired notes that the lease has certainly ended and settles the voided ends.
func (t *endTable) leaseExpired() {
	t.held = slices.DeleteFunc(t.held, func(h *HeldEnd) bool {
		h.leaseExpired = true
		return h.Discarded
	})
}

// recordRemoval remembers a run that leaves the table.
func (t *endTable) recordRemoval(run Run, d removal) {
	if t.removals[0] == nil || len(t.removals[0]) >= maxRemovals {
		t.removals[0], t.removals[1] = map[Run]removal{}, t.removals[0]
	}
	t.removals[0][run] = d
}

// takeRemoval returns what is remembered of a run, and forgets it.
func (t *endTable) takeRemoval(run Run) (removal, bool) {
	for _, half := range t.removals {
		if d, ok := half[run]; ok {
			delete(half, run)
			return d, true
		}
	}
	return removal{}, false
}

// HoldEnd makes the end of a run in the table wait for Settle or Void before it is
// acknowledged to the worker.
func (r *RunTable) HoldEnd(run Run) {
	if e := r.find(run); e != nil {
		e.durable = true
	}
}

// holdListed keeps a listed end that is not settled by being listed. Stopped and
// lapsed runs have no result that could be lost, and do not count as attempts.
func (r *RunTable) holdListed(now time.Time, end RunEnd, e *entry) {
	d, known := r.ends.takeRemoval(end.Run)
	switch {
	case end.Reason == Stopped || end.Reason == LeaseExpired || end.Run.Task.Job == "":
		return
	case e != nil && !e.durable || e == nil && known && !d.durable:
		return
	}
	r.ends.held = append(r.ends.held, &HeldEnd{
		RunEnd: end, Tag: r.options.Life.Tag(end.Run), ListedAt: now, Untracked: e == nil, leaseExpired: d.leaseExpired,
	})
}

// HeldEnds returns the ends that are not settled, oldest first.
func (r *RunTable) HeldEnds() []HeldEnd {
	out := make([]HeldEnd, len(r.ends.held))
	for i, h := range r.ends.held {
		out[i] = *h
	}
	return out
}

// HasHeldEnd reports whether an end with the tag is held.
func (r *RunTable) HasHeldEnd(tag wire.RunTag) bool { return r.ends.indexOf(tag) >= 0 }

// HeldEndCount returns the number of ends that are not settled.
func (r *RunTable) HeldEndCount() int { return len(r.ends.held) }

// MoreEnds reports whether the worker may have further ends, which it lists
// only after earlier ones are acknowledged.
func (r *RunTable) MoreEnds() bool { return r.ends.truncated }

// ReleaseEnd allows the acknowledgement of a held end and reports whether there was
// one. A voided end stays until the lease has ended.
func (r *RunTable) ReleaseEnd(tag wire.RunTag) bool {
	t := &r.ends
	i := t.indexOf(tag)
	if i < 0 || t.held[i].Discarded {
		return false
	}
	t.held = slices.Delete(t.held, i, i+1)
	return true
}

// DiscardEnd makes a held end wait for the certain end of the worker's lease, unless
// the lease has ended since the run did. It reports whether there was such an
// end. Until Lapse has settled it, the lease is not extended and Adopted is
// false.
func (r *RunTable) DiscardEnd(tag wire.RunTag) bool {
	t := &r.ends
	i := t.indexOf(tag)
	if i < 0 || t.held[i].Discarded {
		return false
	}
	if t.held[i].leaseExpired {
		return r.ReleaseEnd(tag)
	}
	t.held[i].Discarded = true
	return true
}

// AwaitsLeaseExpiry reports whether a voided end waits for the end of the lease.
func (r *RunTable) AwaitsLeaseExpiry() bool {
	return slices.ContainsFunc(r.ends.held, func(h *HeldEnd) bool { return h.Discarded })
}

// ExpireLease takes out all runs once the latest end of the lease that was ever sent
// has certainly passed, by a lower bound of the worker's clock, and the worker
// had the time to end them. It does so when the worker is silent, or when a
// voided end waits for it, which is then settled. If runs were left, the worker
// is not adopted any more.
func (r *RunTable) ExpireLease(now time.Time) []RemovedRun {
	silent, lapsing := !r.Empty() && r.Silent(now), r.AwaitsLeaseExpiry()
	reached := r.clock.min(now) - r.options.StopTime
	if !silent && !lapsing || reached <= r.latest {
		return nil
	}
	if reached > r.ends.earlierLeaseEnd {
		r.ends.leaseExpired()
	}
	if r.Empty() || !silent && r.AwaitsLeaseExpiry() {
		return nil
	}
	r.noForeign = false
	return r.removeAll(OutcomeLeaseExpired)
}
