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
	// ownerAckTimeout is how long a held end is left to the entry that got the
	// task's result, before every entry is asked about it as an unclaimed end.
	// After unclaimedTimeout without an answer the end is discarded
	// (docs/design.md, section 14.6).
	ownerAckTimeout  = 2 * time.Second
	unclaimedTimeout = 10 * time.Second
	// heldEndsRenewInterval is the minimum time between two renewals while ends
	// are held. The worker lists held ends again in each reply, so it may answer
	// each renewal at once. The interval limits the rate to 40 renewals a second
	// and delays the next end by at most 25 ms.
	heldEndsRenewInterval = 25 * time.Millisecond
	// noDeadline is the time to the deadline for a task of a durable job, which
	// has none. No process runs for as long.
	noDeadline = 100 * 365 * 24 * time.Hour
)

// timeToDeadline returns how long a task that has just arrived may wait and run.
func timeToDeadline(t wire.Task) time.Duration {
	if t.Leased != nil && t.Leased.Durable && t.Remaining == 0 {
		return noDeadline
	}
	return t.Remaining
}

// heldEnds tracks who has to acknowledge the held ends of one worker life. A held
// end (lease.HeldEnd) is the end of a durable task's run that the worker has
// listed and that the agent must not acknowledge to it before an entry has stored
// the result.
//
// An end is left to the entry that got the task's result, and released when that
// entry acknowledges the result. An end without such an entry, or one that the
// entry does not acknowledge in time, is unclaimed: it is reported in the
// heartbeats to all entries. An entry answers that the end is settled, which
// releases it, or voided, which discards it: it may then be acknowledged only
// after the worker's lease has expired, because the task may have been started
// again. Agent.mu guards the fields.
type heldEnds struct {
	taskByTag      map[wire.RunTag]taskID
	tagByTask      map[taskID]wire.RunTag
	unclaimedSince map[wire.RunTag]time.Time // when the end was first found unclaimed
}

func newHeldEnds() heldEnds {
	return heldEnds{taskByTag: map[wire.RunTag]taskID{}, tagByTask: map[taskID]wire.RunTag{}, unclaimedSince: map[wire.RunTag]time.Time{}}
}

// remove drops an end that was released or discarded.
func (e *heldEnds) remove(tag wire.RunTag) {
	if id, ok := e.taskByTag[tag]; ok {
		delete(e.tagByTask, id)
	}
	delete(e.taskByTag, tag)
	delete(e.unclaimedSince, tag)
}

// recordEndTask records which task a held end belongs to, because the entry
// acknowledges the result by the task's key. The caller holds mu.
func (l *leasedExecutor) recordEndTask(id taskID, tag wire.RunTag) {
	if life := l.life; tag != 0 && life != nil && life.runs.HasHeldEnd(tag) {
		life.heldEnds.taskByTag[tag], life.heldEnds.tagByTask[id] = id, tag
	}
}

// releaseEnds releases the ends of results that an entry has acknowledged. It
// also works after the entry's session or the ledger's record is gone. The caller
// holds mu.
func (l *leasedExecutor) releaseEnds(owner ledger.Owner, keys []wire.TaskKey) {
	life := l.life
	if life == nil {
		return
	}
	for _, key := range keys {
		if tag, ok := life.heldEnds.tagByTask[taskID{owner, key}]; ok {
			life.runs.ReleaseEnd(tag)
			life.heldEnds.remove(tag)
		}
	}
}

// holdsEndOf reports whether an end of a task of the entry is held, which the entry
// acknowledges in its replies to heartbeats; the caller holds mu.
func (l *leasedExecutor) holdsEndOf(owner ledger.Owner) bool {
	if l.life != nil {
		for _, id := range l.life.heldEnds.taskByTag {
			if id.owner == owner {
				return true
			}
		}
	}
	return false
}

// applyEndAnswers applies an entry's answers to unclaimed ends: settled ends are
// released and voided ones discarded. The caller holds mu.
func (l *leasedExecutor) applyEndAnswers(now time.Time, settled, voided []wire.EndedRun) {
	life := l.life
	if life == nil {
		return
	}
	for _, end := range settled {
		if life.runs.ReleaseEnd(end.Tag) {
			life.heldEnds.remove(end.Tag)
		}
	}
	for _, end := range voided {
		l.discardEnd(life, now, end.Tag, "voided_by_entry")
	}
}

// discardEnd lets an end be acknowledged only after the worker's lease has
// expired. Until then no run can be started there. The caller holds mu.
func (l *leasedExecutor) discardEnd(life *life, now time.Time, tag wire.RunTag, cause string) {
	if !life.runs.DiscardEnd(tag) {
		return
	}
	life.heldEnds.remove(tag)
	l.agent.log.Warn().Str("worker", life.announced.Life.ID).Str("tag", formatTag(tag)).Str("cause", cause).Msg("end_voided")
	l.expireLease(life, now)
	l.updateLeaving()
}

// expireLease removes the runs of a worker whose lease has certainly expired; the
// caller holds mu.
func (l *leasedExecutor) expireLease(life *life, now time.Time) {
	l.notifyRemoved(life, life.runs.ExpireLease(now))
}

// unclaimedEnds returns the unclaimed ends, oldest first. While the entry process
// that sent the task has an open session, the end is left to it for
// ownerAckTimeout, because the entry gets the result in that session: as the
// reply to the task or in the list with which the session was opened. The caller
// holds mu.
func (l *leasedExecutor) unclaimedEnds(life *life, now time.Time) []lease.HeldEnd {
	var out []lease.HeldEnd
	for _, h := range life.runs.HeldEnds() {
		if h.Discarded {
			continue
		}
		id, known := life.heldEnds.taskByTag[h.Tag]
		if !h.Untracked && now.Sub(h.ListedAt) < ownerAckTimeout && (!known || l.agent.ledger.Renewed(id.owner, now, l.agent.timing.Lapse.AsDuration())) {
			delete(life.heldEnds.unclaimedSince, h.Tag) // the entry has a session again
			continue
		}
		if life.heldEnds.unclaimedSince[h.Tag].IsZero() {
			life.heldEnds.unclaimedSince[h.Tag] = now
			l.agent.entries.requestHeartbeats() // which report the end
		}
		out = append(out, h)
	}
	return out
}

// checkUnclaimedEnds discards the ends that have been unclaimed for
// unclaimedTimeout and sets the gauges of ends; the caller holds mu.
func (l *leasedExecutor) checkUnclaimedEnds(now time.Time) {
	held, unclaimed := 0, 0
	if life := l.life; life != nil {
		for _, h := range l.unclaimedEnds(life, now) {
			if now.Sub(life.heldEnds.unclaimedSince[h.Tag]) >= unclaimedTimeout {
				l.discardEnd(life, now, h.Tag, "not_answered")
				continue
			}
			unclaimed++
		}
		held = life.runs.HeldEndCount()
	}
	l.agent.metrics.endsHeld.Update(float64(held))
	l.agent.metrics.endsUnclaimed.Update(float64(unclaimed))
}

// addUnclaimedEnds adds the oldest unclaimed ends to a heartbeat and sets whether
// they are complete; the caller holds mu.
func (l *leasedExecutor) addUnclaimedEnds(now time.Time, r *wire.HeartbeatRequest) {
	life := l.life
	if life == nil {
		return
	}
	r.Adopted = life.runs.Adopted() && !l.runningWithoutSession()
	unclaimed := l.unclaimedEnds(life, now)
	r.MoreUnclaimed = len(unclaimed) > wire.MaxEndedRunsPerHeartbeat || life.runs.MoreEnds()
	for _, h := range unclaimed[:min(len(unclaimed), wire.MaxEndedRunsPerHeartbeat)] {
		t := h.Run.Task
		r.Unclaimed = append(r.Unclaimed, wire.EndedRun{
			Job: t.Job, Step: t.Step, Index: t.Index, Tag: h.Tag, Done: h.Reason == lease.Done, Failed: h.Reason == lease.Failed,
		})
	}
}

// runningWithoutSession reports whether a started durable task, whose entry has no
// open session any more, has not ended yet; the caller holds mu.
func (l *leasedExecutor) runningWithoutSession() bool {
	for _, t := range l.agent.tasks {
		if t.task.Leased.Durable && !t.startedAt.IsZero() && !l.agent.ledger.HasSession(t.owner) {
			return true
		}
	}
	return false
}

// paceRenewals waits, if ends are held, until heldEndsRenewInterval after began,
// the time of the last renewal. It returns false if the life or the process ends
// meanwhile.
func (l *leasedExecutor) paceRenewals(life *life, began time.Time) bool {
	l.agent.mu.Lock()
	held := life.runs.HeldEndCount() > 0
	l.agent.mu.Unlock()
	pause := heldEndsRenewInterval - time.Since(began)
	return !held || pause <= 0 || wait.For(life.ctx, pause, life.wake)
}

// EndState is one held end.
type EndState struct {
	Task     string `json:"task"` // job/step/index
	Number   uint64 `json:"number"`
	Sequence uint64 `json:"sequence"`
	Reason   string `json:"how"`
	Tag      string `json:"tag"`
	HeldMS   int64  `json:"held_ms"`
	// UnclaimedMS is -1 while the end is left to the entry that got the result.
	UnclaimedMS int64 `json:"unclaimed_ms"`
	Discarded   bool  `json:"voided"` // acknowledged only after the lease has expired
}

// endStates returns the held ends for the state dump, ordered by sequence; the
// caller holds mu.
func (w *life) endStates(now time.Time) []EndState {
	out := []EndState{}
	for _, h := range w.runs.HeldEnds() {
		s := EndState{
			Task: runName(h.Run.Task), Number: h.Run.Number, Sequence: h.Sequence, Reason: string(h.Reason), Tag: formatTag(h.Tag),
			HeldMS: now.Sub(h.ListedAt).Milliseconds(), UnclaimedMS: -1, Discarded: h.Discarded,
		}
		if at, ok := w.heldEnds.unclaimedSince[h.Tag]; ok {
			s.UnclaimedMS = now.Sub(at).Milliseconds()
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y EndState) int { return cmp.Compare(x.Sequence, y.Sequence) })
	return out
}

func runName(t lease.Task) string { return fmt.Sprintf("%s/%d/%d", t.Job, t.Step, t.Index) }

func formatTag(tag wire.RunTag) string { return fmt.Sprintf("%016x", uint64(tag)) }
