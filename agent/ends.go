package agent

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"chicorytray.example/chicorytray/internal/wait"
	"chicorytray.example/chicorytray/lease"
	"chicorytray.example/chicorytray/ledger"
	"chicorytray.example/chicorytray/wire"
)

const (
	// ownerAckTimeout is how long an end waits for the entry that got its result,
	// and voidAfter how long an unclaimed one waits for an entry's answer
	// (design, section 14.6).
	ownerAckTimeout  = 2 * time.Second
	unclaimedTimeout = 10 * time.Second
	// heldEndsRenewInterval is the least time between renewals while ends are held. A
	// worker lists held ends again, so it may answer each renewal at once. At
	// most 40 renewals a second and 25 ms until the next end is listed.
	heldEndsRenewInterval = 25 * time.Millisecond
	// noDeadline is the remaining time of a task of a durable job, whose message
	// carries none. Longer than any process lives.
	noDeadline = 100 * 365 * 24 * time.Hour
)

// timeToDeadline is the time that a task has left.
func timeToDeadline(t wire.Task) time.Duration {
	if t.Leased != nil && t.Leased.Durable && t.Remaining == 0 {
		return noDeadline
	}
	return t.Remaining
}

// heldEnds are the results that entries got of the held heldEnds of one life, and the
// age of unclaimed ones. The agent's lock covers it.
type heldEnds struct {
	taskByTag      map[wire.RunTag]taskID
	tagByTask      map[taskID]wire.RunTag
	unclaimedSince map[wire.RunTag]time.Time // since when
}

func newHeldEnds() heldEnds {
	return heldEnds{taskByTag: map[wire.RunTag]taskID{}, tagByTask: map[taskID]wire.RunTag{}, unclaimedSince: map[wire.RunTag]time.Time{}}
}

// remove drops what is kept of an end that is settled or voided.
func (e *heldEnds) remove(tag wire.RunTag) {
	if id, ok := e.taskByTag[tag]; ok {
		delete(e.tagByTask, id)
	}
	delete(e.taskByTag, tag)
	delete(e.unclaimedSince, tag)
}

// recordEndTask notes which task's result has the tag of a held end, because the
// entry acknowledges the result by its key. The caller holds mu.
func (l *leasedExecutor) recordEndTask(id taskID, tag wire.RunTag) {
	if f := l.life; tag != 0 && f != nil && f.runs.HasHeldEnd(tag) {
		f.heldEnds.taskByTag[tag], f.heldEnds.tagByTask[id] = id, tag
	}
}

// releaseEnds settles the ends of results that an entry has stored. Neither
// the entry's session nor the ledger's record has to be left. The caller holds
// mu.
func (l *leasedExecutor) releaseEnds(owner ledger.Owner, keys []wire.TaskKey) {
	f := l.life
	if f == nil {
		return
	}
	for _, key := range keys {
		if tag, ok := f.heldEnds.tagByTask[taskID{owner, key}]; ok {
			f.runs.ReleaseEnd(tag)
			f.heldEnds.remove(tag)
		}
	}
}

// applyEndAnswers applies an entry's answers to unclaimed ends; the caller holds mu.
func (l *leasedExecutor) applyEndAnswers(now time.Time, settled, voided []wire.EndedRun) {
	f := l.life
	if f == nil {
		return
	}
	for _, end := range settled {
		if f.runs.ReleaseEnd(end.Tag) {
			f.heldEnds.remove(end.Tag)
		}
	}
	for _, end := range voided {
		l.discardEnd(f, now, end.Tag, "voided_by_entry")
	}
}

// discardEnd lets the worker's lease end before an end is acknowledged; the caller
// holds mu.
func (l *leasedExecutor) discardEnd(f *life, now time.Time, tag wire.RunTag, cause string) {
	if !f.runs.DiscardEnd(tag) {
		return
	}
	f.heldEnds.remove(tag)
	l.agent.log.Warn().Str("worker", f.announced.Life.ID).Str("tag", formatTag(tag)).Str("cause", cause).Msg("end_voided")
	l.expireLease(f, now)
	l.updateLeaving()
}

// expireLease takes out the runs of a worker whose lease has certainly ended; the
// caller holds mu.
func (l *leasedExecutor) expireLease(f *life, now time.Time) {
	l.notifyRemoved(f, f.runs.ExpireLease(now))
}

// unclaimedEnds returns the ends about which entries are asked, oldest first; the
// caller holds mu. The result of a task belongs to its entry's process as long
// as that has an open session, because a new session lists it.
func (l *leasedExecutor) unclaimedEnds(f *life, now time.Time) []lease.HeldEnd {
	var out []lease.HeldEnd
	for _, h := range f.runs.HeldEnds() {
		if h.Discarded {
			continue
		}
		id, known := f.heldEnds.taskByTag[h.Tag]
		if !h.Untracked && now.Sub(h.ListedAt) < ownerAckTimeout && (!known || l.agent.ledger.HasSession(id.owner)) {
			delete(f.heldEnds.unclaimedSince, h.Tag) // a session was opened again
			continue
		}
		if f.heldEnds.unclaimedSince[h.Tag].IsZero() {
			f.heldEnds.unclaimedSince[h.Tag] = now
		}
		out = append(out, h)
	}
	return out
}

// checkUnclaimedEnds voids the ends that have been unclaimed for too long and reports
// sizes; the caller holds mu.
func (l *leasedExecutor) checkUnclaimedEnds(now time.Time) {
	held, unclaimed := 0, 0
	if f := l.life; f != nil {
		for _, h := range l.unclaimedEnds(f, now) {
			if now.Sub(f.heldEnds.unclaimedSince[h.Tag]) >= unclaimedTimeout {
				l.discardEnd(f, now, h.Tag, "not_answered")
				continue
			}
			unclaimed++
		}
		held = f.runs.HeldEndCount()
	}
	l.agent.metrics.endsHeld.Update(float64(held))
	l.agent.metrics.endsUnclaimed.Update(float64(unclaimed))
}

// addUnclaimedEnds adds the worker's unclaimed ends to a heartbeat; the caller
// holds mu.
func (l *leasedExecutor) addUnclaimedEnds(now time.Time, r *wire.HeartbeatRequest) {
	f := l.life
	if f == nil {
		return
	}
	r.Adopted = f.runs.Adopted() && !l.orphanedRunsPending()
	unclaimed := l.unclaimedEnds(f, now)
	r.MoreUnclaimed = len(unclaimed) > wire.MaxEndedRunsPerHeartbeat || f.runs.MoreEnds()
	for _, h := range unclaimed[:min(len(unclaimed), wire.MaxEndedRunsPerHeartbeat)] {
		t := h.Run.Task
		r.Unclaimed = append(r.Unclaimed, wire.EndedRun{
			Job: t.Job, Step: t.Step, Index: t.Index, Tag: h.Tag, Done: h.Reason == lease.Done, Failed: h.Reason == lease.Failed,
		})
	}
}

// orphanedRunsPending reports whether the end of a durable task's run is not known yet
// whose entry has no open session any more; the caller holds mu.
func (l *leasedExecutor) orphanedRunsPending() bool {
	for _, t := range l.agent.tasks {
		if t.task.Leased.Durable && !t.startedAt.IsZero() && !l.agent.ledger.HasSession(t.owner) {
			return true
		}
	}
	return false
}

// paceRenewals waits between two renewals while ends are held. It returns false when
// the life or the process ends.
func (l *leasedExecutor) paceRenewals(f *life, began time.Time) bool {
	l.agent.mu.Lock()
	held := f.runs.HeldEndCount() > 0
	l.agent.mu.Unlock()
	pause := heldEndsRenewInterval - time.Since(began)
	return !held || pause <= 0 || wait.For(f.ctx, pause, f.wake)
}

// EndState is one end that is not acknowledged to the worker.
type EndState struct {
	Task     string `json:"task"` // job/step/index
	Number   uint64 `json:"number"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"how"`
	Tag      string `json:"tag"`
	HeldMS   int64  `json:"held_ms"`
	// UnclaimedMS is -1 while the end belongs to an entry's session.
	UnclaimedMS int64 `json:"unclaimed_ms"`
	Discarded   bool  `json:"voided"` // it waits for the end of the lease
}

// endStates describes the held ends, by sequence; the caller holds mu.
func (f *life) endStates(now time.Time) []EndState {
	out := []EndState{}
	for _, h := range f.runs.HeldEnds() {
		s := EndState{
			Task: runName(h.Run.Task), Number: h.Run.Number, Sequence: h.Sequence, Reason: string(h.Reason), Tag: formatTag(h.Tag),
			HeldMS: now.Sub(h.ListedAt).Milliseconds(), UnclaimedMS: -1, Discarded: h.Discarded,
		}
		if at, ok := f.heldEnds.unclaimedSince[h.Tag]; ok {
			s.UnclaimedMS = now.Sub(at).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y EndState) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return out
}

func runName(t lease.Task) string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

func formatTag(tag wire.RunTag) string { return fmt.Sprintf("%016x", uint64(tag)) }
