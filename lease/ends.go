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
	// MaxEnds is the largest number of ends in one reply of a worker, which
	// lists the oldest first. A reply with this many may omit later ends.
	MaxEnds = 500
	// maxLease bounds how far an earlier agent process can have extended the
	// lease, because workers accept no longer one (docs/design.md, section
	// 13.1).
	maxLease = time.Second
	// maxRemovals bounds each of the two generations of runs that are remembered
	// after they were removed from the table without a listed end. If such a
	// run is forgotten, its end is treated like that of a run that another
	// agent process ordered.
	maxRemovals = 1000
)

// Tag returns the identifier of a run in this life of the worker, a hash that
// is never 0.
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

// HeldEnd is an end that the worker has listed and that must not be
// acknowledged to it yet, because its result may be lost. Either ReleaseEnd
// allows the acknowledgement, when the result is stored or not needed, or
// DiscardEnd gives the result up, and the acknowledgement waits until the
// worker's lease has expired. Entries call these answers settled and voided; see
// wire.HeartbeatReply.
type HeldEnd struct {
	RunEnd
	Tag      wire.RunTag
	ListedAt time.Time // when a reply first listed the end
	// Untracked means that the run was not in the table when its end was listed:
	// another agent process ordered it, or it was removed before.
	Untracked bool
	// Discarded means that DiscardEnd was called and the lease has not
	// certainly expired since.
	Discarded bool

	leaseExpired bool // the lease certainly expired after the run ended
}

// endTable holds the unacknowledged ends of one life, and determines the
// sequence that is acknowledged to the worker.
type endTable struct {
	highestListed   uint64 // highest sequence in any reply
	held            []*HeldEnd
	truncated       bool       // the newest reply may lack ends
	earlierLeaseEnd WorkerTime // latest lease end that an earlier process can have requested; 0 until a reply has a clock sample
	// removals has two generations, the newer first; the older one is dropped
	// when the newer one is full.
	removals [2]map[Run]removal
}

// removal describes a run that was removed from the table before its end was
// listed.
type removal struct {
	durable bool
	outcome Outcome
}

// RemovedAs returns the outcome with which the run was removed from the table, and
// false if it was not or is not remembered. Refused runs are not remembered.
func (r *RunTable) RemovedAs(run Run) (Outcome, bool) {
	for _, generation := range r.ends.removals {
		if removed, ok := generation[run]; ok {
			return removed.outcome, true
		}
	}
	return "", false
}

// ackSequence returns the sequence up to which no end is held.
func (t *endTable) ackSequence() uint64 {
	if len(t.held) == 0 {
		return t.highestListed
	}
	return t.held[0].Sequence - 1
}

// takeNew returns the ends that were not listed before, ordered by sequence,
// and marks them as listed.
func (t *endTable) takeNew(listed []RunEnd) []RunEnd {
	var out []RunEnd
	for _, e := range listed {
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

// indexOf returns the position of the held end with the tag, or -1.
func (t *endTable) indexOf(tag wire.RunTag) int {
	return slices.IndexFunc(t.held, func(h *HeldEnd) bool { return h.Tag == tag })
}

// leaseExpired records that the lease has certainly expired, and drops the
// discarded ends so that they can be acknowledged.
func (t *endTable) leaseExpired() {
	t.held = slices.DeleteFunc(t.held, func(h *HeldEnd) bool {
		h.leaseExpired = true
		return h.Discarded
	})
}

// recordRemoval remembers a run that is removed from the table.
func (t *endTable) recordRemoval(run Run, r removal) {
	if t.removals[0] == nil || len(t.removals[0]) >= maxRemovals {
		t.removals[0], t.removals[1] = map[Run]removal{}, t.removals[0]
	}
	t.removals[0][run] = r
}

// takeRemoval returns and forgets what is remembered of a removed run.
func (t *endTable) takeRemoval(run Run) (removal, bool) {
	for _, generation := range t.removals {
		if r, ok := generation[run]; ok {
			delete(generation, run)
			return r, true
		}
	}
	return removal{}, false
}

// HoldEnd marks a run in the table as one of a durable job: its end is held
// until ReleaseEnd or DiscardEnd before it is acknowledged to the worker.
func (r *RunTable) HoldEnd(run Run) {
	if e := r.find(run); e != nil {
		e.durable = true
	}
}

// holdListed holds a newly listed end if its run is of a durable job, or is
// unknown and may be. Ends of stopped runs and of runs whose lease expired are
// not held: they have no result that could be lost, and do not count as
// attempts.
func (r *RunTable) holdListed(now time.Time, end RunEnd, e *entry) {
	removed, known := r.ends.takeRemoval(end.Run)
	switch {
	case end.Reason == Stopped || end.Reason == LeaseExpired || end.Run.Task.Job == "":
		return
	case e != nil && !e.durable || e == nil && known && !removed.durable:
		return
	}
	r.ends.held = append(r.ends.held, &HeldEnd{
		RunEnd: end, Tag: r.Life().Tag(end.Run), ListedAt: now, Untracked: e == nil, leaseExpired: removed.outcome == OutcomeLeaseExpired,
	})
}

// HeldEnds returns copies of the held ends, oldest first.
func (r *RunTable) HeldEnds() []HeldEnd {
	out := make([]HeldEnd, len(r.ends.held))
	for i, h := range r.ends.held {
		out[i] = *h
	}
	return out
}

// HasHeldEnd reports whether an end with the tag is held.
func (r *RunTable) HasHeldEnd(tag wire.RunTag) bool { return r.ends.indexOf(tag) >= 0 }

// HeldEndCount returns the number of held ends, discarded ones included.
func (r *RunTable) HeldEndCount() int { return len(r.ends.held) }

// MoreEnds reports whether the worker may have further ends, which it lists
// only once earlier ones are acknowledged.
func (r *RunTable) MoreEnds() bool { return r.ends.truncated }

// ReleaseEnd allows the acknowledgement of a held end because its result is
// stored or not needed. It reports whether the end was held and is released now;
// a discarded end is not, because it waits for the lease to expire.
func (r *RunTable) ReleaseEnd(tag wire.RunTag) bool {
	t := &r.ends
	i := t.indexOf(tag)
	if i < 0 || t.held[i].Discarded {
		return false
	}
	t.held = slices.Delete(t.held, i, i+1)
	return true
}

// DiscardEnd gives up the result of a held end. The end is acknowledged only
// when the worker's lease has certainly expired after the run ended, which may
// be the case already. It reports whether the end was held and not discarded
// before. Until ExpireLease has dropped the end, the lease is not extended and
// Adopted returns false.
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

// AwaitsLeaseExpiry reports whether a discarded end waits for the worker's
// lease to expire.
func (r *RunTable) AwaitsLeaseExpiry() bool {
	return slices.ContainsFunc(r.ends.held, func(h *HeldEnd) bool { return h.Discarded })
}

// ExpireLease removes and returns the runs that have ended with the worker's
// lease, if that has certainly expired: a lower bound of its clock has passed the
// latest lease end that was ordered by more than Options.StopTime, in which the
// worker ends its runs. It does nothing unless the worker is silent or a discarded
// end waits for the expiry. A run that this life is not proved to have begun stays
// for releaseAfter, because a later life may still carry out its start order.
// Discarded ends are dropped if a lease that an earlier agent process can have
// requested has expired, too; until then a worker that is not silent keeps its
// runs. If the lease has expired with runs in the table, the worker is no longer
// adopted.
func (r *RunTable) ExpireLease(now time.Time) []RemovedRun {
	overdue := r.removeOverdue(now)
	silent, awaitsExpiry := !r.Empty() && r.Silent(now), r.AwaitsLeaseExpiry()
	reached := r.clock.min(now) - r.options.StopTime
	if !silent && !awaitsExpiry || reached <= r.latest {
		return overdue
	}
	if reached > r.ends.earlierLeaseEnd {
		r.ends.leaseExpired()
	}
	if r.Empty() || !silent && r.AwaitsLeaseExpiry() {
		return overdue
	}
	r.adopted = false
	return append(overdue, r.removeWhere(OutcomeLeaseExpired, ProofLeaseExpired, func(e *entry) bool {
		return e.shown || now.Sub(e.orderedAt) > releaseAfter
	})...)
}
