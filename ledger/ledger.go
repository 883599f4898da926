package ledger

import (
	"cmp"
	"container/list"
	"slices"
	"time"

	"chicorytray.example/chicorytray/wire"
)

// Ledger is an agent's record of task starts. It is not safe for concurrent
// use.
type Ledger struct {
	incarnation     wire.Incarnation
	maxRecords      int
	owners          map[Owner]*owner
	records         int
	finished        *list.List // of recordRef, in the order in which the tasks finished
	stats           Stats
	requireRenewals bool // see RequireRenewals
}

// owner is the state of one entry process.
type owner struct {
	session         uint64 // number of the current or last session
	open            bool
	lastContact     time.Time
	waitingSince    time.Time // time of the last message that arrived while no task was queued
	running         int       // started tasks that have not finished, of all sessions
	usedSequences   sequences
	highestSequence uint64               // highest sequence enqueued in the current session
	queued          map[uint64]wire.Task // of the current session, by sequence
	records         map[wire.TaskKey]*record
	// truncatedIn is the last session of which records may be missing, because
	// they were evicted or the session is not known; 0 if there is none. A
	// message in a later session clears it, because the entry has then received
	// the reply that reported the loss.
	truncatedIn uint64
}

// record is one started task.
type record struct {
	result   wire.Result
	position *list.Element // in Ledger.finished; nil while the task runs
}

type recordRef struct {
	owner Owner
	key   wire.TaskKey
}

// New returns an empty ledger of the agent process. At most maxRecords started
// tasks are kept; running ones are never evicted.
func New(incarnation wire.Incarnation, maxRecords int) *Ledger {
	return &Ledger{
		incarnation: incarnation, maxRecords: maxRecords,
		owners: map[Owner]*owner{}, finished: list.New(),
	}
}

// RequireRenewals makes the tasks of a session last only as long as RenewSession
// extends it. Other messages then do not extend a session: they may have been
// delayed, and sent before the entry gave the session up. A session without tasks
// stays open without renewals; it is dormant, and its next task may start only
// when Renewed reports true.
func (l *Ledger) RequireRenewals() { l.requireRenewals = true }

// RenewSession extends the entry's session, if it is the open one. at is a time
// at which the entry had not given the session up.
func (l *Ledger) RenewSession(id Owner, session uint64, at time.Time) {
	if o, ok := l.owners[id]; ok && o.open && o.session == session && at.After(o.lastContact) {
		o.lastContact = at
	}
}

// Renewed reports whether the entry has an open session that was extended within
// the time limit, so that its tasks may start.
func (l *Ledger) Renewed(id Owner, now time.Time, limit time.Duration) bool {
	o, ok := l.owners[id]
	return ok && o.open && now.Sub(o.lastContact) <= limit
}

// Incarnation identifies the agent process whose starts are recorded.
func (l *Ledger) Incarnation() wire.Incarnation { return l.incarnation }

// OpenSession makes s the entry's current session and fences its earlier ones.
// It returns ErrFenced if s is not newer than the current session, which happens
// when a message arrives late. Sessions are numbered from 1. With
// RequireRenewals a session that follows an open one keeps the time of the last
// renewal, because the message may be older than that renewal.
func (l *Ledger) OpenSession(s wire.Session, now time.Time) (OpenResult, error) {
	id := OwnerOf(s)
	o, known := l.owners[id]
	if s.Number == 0 || known && s.Number <= o.session {
		return OpenResult{}, ErrFenced
	}
	if !known {
		o = &owner{records: map[wire.TaskKey]*record{}}
		// The starts in earlier sessions of an unknown entry process are not known.
		if s.Number > 1 {
			o.truncatedIn = s.Number - 1
		}
		l.owners[id] = o
	}
	if known {
		l.stats.Fencing++
	}
	withdrawn := l.dropQueued(id, o)
	if !o.open || !l.requireRenewals {
		o.lastContact = now
	}
	o.session, o.open = s.Number, true
	o.usedSequences, o.highestSequence, o.queued = sequences{}, 0, map[uint64]wire.Task{}
	return OpenResult{Started: o.startedTasks(), Truncated: o.truncatedIn > 0, Withdrawn: withdrawn}, nil
}

// startedTasks returns the owner's records, ordered by key.
func (o *owner) startedTasks() []wire.StartedTask {
	out := make([]wire.StartedTask, 0, len(o.records))
	for key, r := range o.records {
		out = append(out, wire.StartedTask{Key: key, Finished: r.position != nil, Result: r.result})
	}
	slices.SortFunc(out, func(a, b wire.StartedTask) int { return compareKeys(a.Key, b.Key) })
	return out
}

// compareKeys orders keys by session and sequence.
func compareKeys(a, b wire.TaskKey) int {
	return cmp.Or(cmp.Compare(a.Session, b.Session), cmp.Compare(a.Sequence, b.Sequence))
}

// dropQueued removes the owner's queued tasks and returns them, ordered by
// sequence.
func (l *Ledger) dropQueued(id Owner, o *owner) []WithdrawnTask {
	var out []WithdrawnTask
	for seq, task := range o.queued {
		out = append(out, WithdrawnTask{id, wire.TaskKey{Session: o.session, Sequence: seq}, task})
	}
	slices.SortFunc(out, func(a, b WithdrawnTask) int { return compareKeys(a.Key, b.Key) })
	l.stats.Queued -= len(out)
	o.queued = nil
	return out
}

// openOwner returns the owner of s if s is its open session.
func (l *Ledger) openOwner(s wire.Session) (*owner, error) {
	o, ok := l.owners[OwnerOf(s)]
	if !ok || !o.open || o.session != s.Number {
		return nil, ErrFenced
	}
	return o, nil
}

// RecordMessage records that a valid message arrived in session s, which extends
// the session unless RequireRenewals was called. It returns ErrFenced if s is
// not the entry's open session.
func (l *Ledger) RecordMessage(s wire.Session, now time.Time) error {
	o, err := l.openOwner(s)
	if err != nil {
		return err
	}
	if !l.requireRenewals {
		o.lastContact = now
	}
	if len(o.queued) == 0 {
		o.waitingSince = now
	}
	if o.truncatedIn < s.Number {
		o.truncatedIn = 0
	}
	return nil
}

// RecordContact extends the entry's open session because an answer on another
// connection shows that the entry process was alive at the given time. It does
// nothing after RequireRenewals.
func (l *Ledger) RecordContact(id Owner, at time.Time) {
	if o, ok := l.owners[id]; ok && o.open && !l.requireRenewals && at.After(o.lastContact) {
		o.lastContact = at
	}
}

// Enqueue adds a task to the queue of its session. It returns ErrFenced if s is
// not the entry's open session, and ErrDuplicate if the sequence was used
// before, also by a Withdraw that arrived before the task.
func (l *Ledger) Enqueue(s wire.Session, seq uint64, t wire.Task) error {
	o, err := l.openOwner(s)
	if err != nil {
		return err
	}
	if !o.usedSequences.add(seq) {
		return ErrDuplicate
	}
	o.highestSequence = max(o.highestSequence, seq)
	o.queued[seq] = t
	l.stats.Queued++
	return nil
}

// Start records that a queued task is started. No other method does so. It
// returns ErrFenced if s is not the entry's open session, ErrDuplicate if the
// task was started before, and ErrWithdrawn if it is not queued.
func (l *Ledger) Start(s wire.Session, seq uint64) error {
	o, err := l.openOwner(s)
	if err != nil {
		return err
	}
	key := wire.TaskKey{Session: s.Number, Sequence: seq}
	if _, ok := o.records[key]; ok {
		return ErrDuplicate
	}
	if _, ok := o.queued[seq]; !ok {
		return ErrWithdrawn
	}
	delete(o.queued, seq)
	o.records[key] = &record{}
	o.running++
	l.records++
	l.stats.Queued--
	l.stats.Running++
	l.evict()
	return nil
}

// Withdraw removes a task that has not started and reports whether it never
// will. A task that has not arrived yet is refused when it does. The result is
// false for a started task, and for one of which the ledger does not know
// whether it started.
func (l *Ledger) Withdraw(s wire.Session, key wire.TaskKey) bool {
	o, err := l.openOwner(s)
	if err != nil {
		return false
	}
	if _, ok := o.records[key]; ok {
		return false
	}
	if key.Session != s.Number {
		// Opening a session dropped the queue of the earlier ones; a missing
		// record means "never started" only until it was acknowledged or evicted.
		return false
	}
	if _, ok := o.queued[key.Sequence]; ok {
		delete(o.queued, key.Sequence)
		l.stats.Queued--
		return true
	}
	return o.usedSequences.add(key.Sequence)
}

// Finish stores the result of a started task until it is acknowledged, also if
// its session is fenced. It returns ErrNotFound for a task that does not run.
func (l *Ledger) Finish(id Owner, key wire.TaskKey, result wire.Result) error {
	o, ok := l.owners[id]
	if !ok {
		return ErrNotFound
	}
	r, ok := o.records[key]
	if !ok || r.position != nil {
		return ErrNotFound
	}
	r.result = result
	r.position = l.finished.PushBack(recordRef{id, key})
	o.running--
	l.stats.Running--
	l.stats.Finished++
	l.evict()
	return nil
}

// RevertStart drops the record of a started task when it is proved that nothing
// of it reached the upstream or will, so that the task counts as never started.
// Its sequence stays used. It returns ErrNotFound for a task that does not run.
func (l *Ledger) RevertStart(id Owner, key wire.TaskKey) error {
	o, ok := l.owners[id]
	if !ok {
		return ErrNotFound
	}
	r, ok := o.records[key]
	if !ok || r.position != nil {
		return ErrNotFound
	}
	delete(o.records, key)
	o.running--
	l.records--
	l.stats.Running--
	return nil
}

// Result reports whether a started task has finished, and its result if so. It
// returns ErrNotFound if the ledger has no record of the task.
func (l *Ledger) Result(id Owner, key wire.TaskKey) (result wire.Result, finished bool, err error) {
	o, ok := l.owners[id]
	if !ok {
		return wire.Result{}, false, ErrNotFound
	}
	r, ok := o.records[key]
	if !ok {
		return wire.Result{}, false, ErrNotFound
	}
	return r.result, r.position != nil, nil
}

// Acknowledge drops the records of finished tasks whose results the entry has
// received.
func (l *Ledger) Acknowledge(id Owner, keys []wire.TaskKey) {
	o, ok := l.owners[id]
	if !ok {
		return
	}
	for _, key := range keys {
		if r, ok := o.records[key]; ok && r.position != nil {
			l.remove(o, key, r)
		}
	}
}

// ExpireSessions ends the sessions that were not extended for longer than after,
// except dormant ones, and returns their queued tasks, which it drops. A task that
// arrived in a dormant session waits as long for a renewal. The records of started
// tasks stay until ownerRetention has passed, too.
func (l *Ledger) ExpireSessions(now time.Time, after time.Duration) []WithdrawnTask {
	var dropped []WithdrawnTask
	for id, o := range l.owners {
		silence := now.Sub(o.lastContact)
		if o.open && silence > after && !l.mayWait(o, now, after) {
			o.open = false
			l.stats.Lapsed++
			dropped = append(dropped, l.dropQueued(id, o)...)
		}
		if !o.open && silence > max(ownerRetention, after) {
			l.forget(id, o)
		}
	}
	return dropped
}

// mayWait reports whether a session that was not extended in time stays open: it
// has no running task, and no queued one or one that arrived recently.
func (l *Ledger) mayWait(o *owner, now time.Time, after time.Duration) bool {
	switch {
	case !l.requireRenewals || o.running > 0:
		return false
	case len(o.queued) > 0:
		return now.Sub(o.waitingSince) <= after
	}
	return now.Sub(o.lastContact) <= max(ownerRetention, after)
}

// forget drops the records of an owner's finished tasks, and the owner unless a
// task still runs.
func (l *Ledger) forget(id Owner, o *owner) {
	running := false
	for key, r := range o.records {
		if r.position == nil {
			running = true
			continue
		}
		l.remove(o, key, r)
		o.truncatedIn = o.session
	}
	if !running {
		delete(l.owners, id)
	}
}

// evict drops the records of the tasks that finished first while there are more
// than maxRecords.
func (l *Ledger) evict() {
	for l.records > l.maxRecords && l.finished.Len() > 0 {
		ref := l.finished.Front().Value.(recordRef)
		o := l.owners[ref.owner]
		l.remove(o, ref.key, o.records[ref.key])
		o.truncatedIn = o.session
		l.stats.Evicted++
	}
}

// remove drops the record of a finished task.
func (l *Ledger) remove(o *owner, key wire.TaskKey, r *record) {
	l.finished.Remove(r.position)
	delete(o.records, key)
	l.records--
	l.stats.Finished--
}

// LatestSequence returns the number of the entry's newest session and the
// highest sequence enqueued in it.
func (l *Ledger) LatestSequence(id Owner) (session, sequence uint64) {
	if o, ok := l.owners[id]; ok {
		return o.session, o.highestSequence
	}
	return 0, 0
}

// Stats returns the ledger's sizes and totals.
func (l *Ledger) Stats() Stats {
	s := l.stats
	s.Entries = len(l.owners)
	for _, o := range l.owners {
		if o.open {
			s.Sessions++
		}
	}
	return s
}

// HasSession reports whether the entry process has an open session.
func (l *Ledger) HasSession(id Owner) bool {
	o, ok := l.owners[id]
	return ok && o.open
}
