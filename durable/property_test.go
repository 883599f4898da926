package durable

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/store"
)

// init fixes the seed so that CI results are deterministic; the flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// model simulates a store whose transactions may take effect late, and entries
// that write to it.
type model struct {
	t                *rapid.T
	now              time.Time
	revision         uint64
	keys             map[string]store.KV
	lateTransactions []store.Transaction
	entries          []*modelEntry
	accepted         map[string]bool
	answers          map[string]int // number of calls of each callback
	recordsMade      int64          // number of records, which is also the time of acceptance of the newest
	refused          map[int64]bool // records that were reported as not stored, by time of acceptance
}

type modelEntry struct {
	m     *model
	name  string
	batch *Batch
	epoch EpochInfo
	n     uint64
	owns  map[string]Record // jobs whose tasks it may start
}

func (m *model) apply(t store.Transaction) (uint64, error) {
	for _, e := range t.Expect {
		if m.keys[e.Key].Revision != e.Revision {
			return 0, store.ErrConflict
		}
	}
	m.revision++
	for _, w := range t.Write {
		m.keys[w.Key] = store.KV{Key: w.Key, Value: w.Value, Revision: m.revision}
	}
	for _, key := range t.Remove {
		delete(m.keys, key)
	}
	return m.revision, nil
}

// singleCallback returns a function that fails the test at its second call.
func (m *model) singleCallback() func() {
	name := fmt.Sprint(len(m.answers))
	m.answers[name] = 0
	return func() {
		if m.answers[name]++; m.answers[name] > 1 {
			m.t.Fatalf("callback %s was called twice", name)
		}
	}
}

func (e *modelEntry) beginEpoch() {
	e.n++
	e.epoch.Own = newEpoch(e.name, "1", e.n)
	e.epoch.Revision, _ = e.m.apply(store.Transaction{Write: []store.Write{{Key: e.epoch.Own.Key()}}})
	e.epoch.EndLease = 1
}

func (e *modelEntry) recordOwned(r Record) {
	for _, other := range e.m.entries { // e included
		if _, owns := other.owns[r.Identifier]; owns {
			e.m.t.Fatalf("%s owns %s, and %s is told that it owns it", other.name, r.Identifier, e.name)
		}
	}
	e.owns[r.Identifier] = r
}

// invalidate ends the epoch; its key stays until the model removes it.
func (e *modelEntry) invalidate() {
	e.epoch = EpochInfo{}
	e.owns = map[string]Record{}
	e.batch.Reset()
}

func (m *model) add(name string) {
	e := &modelEntry{m: m, name: name, owns: map[string]Record{}}
	e.batch = NewBatch(Events{
		TakenOver:     e.recordOwned,
		Lost:          func(id string, _ error) { delete(e.owns, id) },
		Unwritable:    func(id string, err error) { m.t.Fatalf("%s cannot be written: %v", id, err) },
		EpochMissing:  e.invalidate,
		QueueCallback: func(f func()) { f() },
	})
	m.entries = append(m.entries, e)
	e.beginEpoch()
}

func (m *model) record(id string) (StoredRecord, bool) {
	kv, ok := m.keys[OpenPrefix+id]
	if !ok {
		return StoredRecord{}, false
	}
	r, err := DecodeRecord(kv.Key, kv.Value)
	if err != nil {
		m.t.Fatal(err)
	}
	return StoredRecord{r, kv.Revision}, true
}

// change makes a random call of the entry's Batch for a job.
func (e *modelEntry) change(id string) {
	m := e.m
	r, owns := e.owns[id]
	switch action := rapid.IntRange(0, 4).Draw(m.t, "action"); {
	case action == 0 && !owns:
		r := sample(id)
		r.Spec = rapid.SampledFrom([]string{"same", "same", "other"}).Draw(m.t, "spec")
		m.recordsMade++
		made := m.recordsMade
		r.Accepted = time.UnixMilli(made)
		called := m.singleCallback()
		e.batch.Create(m.now, r, func(f LookupResult, err error) {
			called()
			m.refused[made] = errors.Is(err, ErrNotStored) || errors.Is(err, ErrInvalidEpoch)
			if err != nil {
				return
			}
			m.accepted[id] = true
			if f == (LookupResult{}) {
				e.recordOwned(r)
			}
		})
	case action == 1 && owns:
		r.Started = true
		if len(r.Done) < r.Count {
			r.Done = append(r.Done[:len(r.Done):len(r.Done)], TaskRun{len(r.Done), 1})
		}
		done := len(r.Done)
		e.owns[id] = r
		called := m.singleCallback()
		e.batch.Update(r, m.now.Add(time.Duration(rapid.IntRange(0, 1).Draw(m.t, "due"))*time.Second), func() {
			called()
			if stored, ok := m.record(id); ok && len(stored.Done) < done {
				m.t.Fatalf("%s: %d done tasks were reported as stored; the record has %d", id, done, len(stored.Done))
			}
		})
	case action == 2 && owns:
		called := m.singleCallback()
		e.batch.Finish(m.now, sampleEnd(id), func() {
			called()
			delete(e.owns, id)
			if _, ok := m.keys[EndedPrefix+id]; !ok {
				m.t.Fatalf("%s: the end was reported as stored, but is not", id)
			}
		})
	case action == 3 && rapid.IntRange(0, 5).Draw(m.t, "give up") == 0:
		delete(e.owns, id)
		e.batch.GiveUp(id)
	case action == 4:
		old, ok := m.record(id)
		// An older state of the store may lack the owner's key.
		_, alive := m.keys[old.Owner.Key()]
		if ok && (!alive || old.Owner == e.epoch.Own || rapid.Bool().Draw(m.t, "stale")) {
			e.batch.TakeOver(m.now, old)
		}
	}
}

// step executes the next plan, with a random outcome if faults is set.
func (e *modelEntry) step(faults bool) {
	m := e.m
	p := e.batch.Next(m.now, e.epoch)
	if p == nil {
		return
	}
	if p.Resolve != "" {
		e.batch.Resolve(m.now, p, e.readConflict(p.Resolve))
		return
	}
	if err := p.Transaction.Validate(); err != nil {
		m.t.Fatal(err)
	}
	fault := 0
	if faults {
		fault = rapid.IntRange(0, 6).Draw(m.t, "fault")
	}
	var revision uint64
	var err error
	switch fault {
	case 1:
		err = store.ErrUnavailable
	case 2: // the answer is lost
		_, _ = m.apply(p.Transaction)
		err = store.ErrUnknownOutcome
	case 3: // it takes effect late, or never
		m.lateTransactions = append(m.lateTransactions, p.Transaction)
		err = store.ErrUnknownOutcome
	case 4:
		err = store.ErrLeaseExpired
	default:
		revision, err = m.apply(p.Transaction)
	}
	e.batch.Outcome(m.now, p, revision, err)
}

func (e *modelEntry) readConflict(id string) (v ConflictRead) {
	if r, ok := e.m.record(id); ok {
		v.Open, v.Revision = &r.Record, r.Revision
	} else if kv, ok := e.m.keys[EndedPrefix+id]; ok {
		end, err := DecodeEnd(kv.Key, kv.Value)
		if err != nil {
			e.m.t.Fatal(err)
		}
		v.End = &end
	}
	v.EpochMissing = e.m.keys[e.epoch.Own.Key()].Revision != e.epoch.Revision
	return v
}

// replaceEpoch invalidates the entry's epoch, removes the keys of some of its
// epochs, and begins a new one.
func (m *model) replaceEpoch(e *modelEntry) {
	e.invalidate()
	for n := range e.n {
		if rapid.Bool().Draw(m.t, "removed") {
			delete(m.keys, newEpoch(e.name, "1", n+1).Key())
		}
	}
	e.beginEpoch()
}

// Guards against two valid owners of one job, an accepted job without a record, a
// reported result that differs from the store, and a callback that is called
// twice, for any interleaving of three entries with lost answers, late effects,
// conflicts and expired leases. In the end the outcome of each change must be
// known.
func TestBatchProperties(t *testing.T) {
	ids := []string{"j1", "j2", "j3", "j4"}
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{
			t: rt, now: time.Unix(1000, 0), keys: map[string]store.KV{},
			accepted: map[string]bool{}, answers: map[string]int{}, refused: map[int64]bool{},
		}
		for _, name := range []string{"a", "b", "c"} {
			m.add(name)
		}
		for range rapid.IntRange(1, 150).Draw(rt, "steps") {
			e := m.entries[rapid.IntRange(0, 2).Draw(rt, "entry")]
			switch what := rapid.IntRange(0, 20).Draw(rt, "what"); {
			case what < 9:
				e.change(rapid.SampledFrom(ids).Draw(rt, "job"))
			case what < 17:
				e.step(true)
			case what == 17:
				m.replaceEpoch(e)
			case what == 18 && len(m.lateTransactions) > 0:
				i := rapid.IntRange(0, len(m.lateTransactions)-1).Draw(rt, "late")
				_, _ = m.apply(m.lateTransactions[i])
				m.lateTransactions = append(m.lateTransactions[:i:i], m.lateTransactions[i+1:]...)
			default:
				m.now = m.now.Add(500 * time.Millisecond)
			}
			m.checkRecords(ids)
		}
		for range 200 {
			m.now = m.now.Add(time.Second)
			for _, e := range m.entries {
				e.step(false)
			}
		}
		m.checkRecords(ids)
		for _, e := range m.entries {
			if _, pending := e.batch.Len(); pending > 0 {
				rt.Fatalf("%s has %d changes whose outcome is not known", e.name, pending)
			}
		}
	})
}

func (m *model) checkRecords(ids []string) {
	for _, id := range ids {
		_, ended := m.keys[EndedPrefix+id]
		r, open := m.record(id)
		if open == ended && (open || m.accepted[id]) {
			m.t.Fatalf("%s: accepted %v, open %v, ended %v", id, m.accepted[id], open, ended)
		}
		if open && m.refused[r.Accepted.UnixMilli()] {
			m.t.Fatalf("%s is stored, but its creation was refused", id)
		}
	}
}

// Guards against a transaction that has too many entries or expects the key of an
// old epoch twice, and against a job that is never written because others
// overtake it.
func TestBatchFills(t *testing.T) {
	m := &model{keys: map[string]store.KV{}}
	var taken int
	b := NewBatch(Events{TakenOver: func(Record) { taken++ }, QueueCallback: func(f func()) { f() }})
	for i := range 100 {
		r := sample(fmt.Sprint(i))
		r.Owner = Epoch(fmt.Sprintf("old-1-%d", i/50))
		value, _ := r.Encode()
		m.revision++
		m.keys[OpenPrefix+r.Identifier] = store.KV{Revision: m.revision, Value: value}
		b.TakeOver(time.Unix(1, 0), StoredRecord{r, m.revision})
	}
	m.keys["durable/owners/e-1-1"] = store.KV{Revision: 1}
	plans := 0
	for p := b.Next(time.Unix(1, 0), EpochInfo{Own: "e-1-1", Revision: 1}); p != nil; p = b.Next(time.Unix(1, 0), EpochInfo{Own: "e-1-1", Revision: 1}) {
		if err := p.Transaction.Validate(); err != nil {
			t.Fatal(err)
		}
		revision, err := m.apply(p.Transaction)
		if err != nil {
			t.Fatal(err)
		}
		b.Outcome(time.Unix(1, 0), p, revision, err)
		plans++
	}
	if taken != 100 || plans != 7 { // 15 takeovers fit beside two expectations of epochs
		t.Fatalf("%d of 100 jobs taken over in %d transactions", taken, plans)
	}
}

// Guards against a wrong answer to a submission whose creation conflicts.
func TestCreateConflicts(t *testing.T) {
	same, other, end := sample("j"), sample("j"), sampleEnd("j")
	other.Spec = "other"
	for name, f := range map[string]struct {
		evidence ConflictRead
		want     error
		found    LookupResult
	}{
		"same work":       {ConflictRead{Open: &same, Revision: 9}, nil, LookupResult{Open: &same}},
		"other work":      {ConflictRead{Open: &other, Revision: 9}, ErrIdentifierInUse, LookupResult{}},
		"unreadable":      {ConflictRead{OpenError: ErrUnreadable, Revision: 9}, ErrUnreadable, LookupResult{}},
		"same work ended": {ConflictRead{End: &end}, nil, LookupResult{End: &end}},
		"unreadable end":  {ConflictRead{EndError: ErrUnreadable}, ErrUnreadable, LookupResult{}},
	} {
		b := NewBatch(Events{QueueCallback: func(f func()) { f() }})
		calls := 0
		b.Create(time.Unix(1, 0), same, func(found LookupResult, err error) {
			calls++
			if !errors.Is(err, f.want) || found != f.found {
				t.Errorf("%s: found %+v, error %v", name, found, err)
			}
		})
		conflictOnNext(b, f.evidence)
		if jobs, _ := b.Len(); calls != 1 || jobs != 0 {
			t.Errorf("%s: %d answers, %d jobs left", name, calls, jobs)
		}
	}
}

// conflictOnNext makes the next transaction conflict and passes the given records
// to Resolve.
func conflictOnNext(b *Batch, e ConflictRead) {
	epochs := EpochInfo{Own: "e-1-1", Revision: 1, EndLease: 1}
	b.Outcome(time.Unix(1, 0), b.Next(time.Unix(1, 0), epochs), 0, store.ErrConflict)
	b.Resolve(time.Unix(1, 0), b.Next(time.Unix(1, 0), epochs), e)
}

// Guards against a state or an end that counts as stored, or a job that counts as
// lost, in contradiction to the records that were read after the conflict.
func TestWriteConflicts(t *testing.T) {
	own, older, foreign := sample("j"), sample("j"), sample("j")
	own.Owner, own.Serial, older.Owner, older.Serial, foreign.Owner = "e-1-1", 2, "e-1-1", 1, "f-1-1"
	end, other := sampleEnd("j"), sampleEnd("j")
	other.State = Cancelled
	for name, f := range map[string]struct {
		evidence       ConflictRead
		written, ended string // expected results for an update and for an end
	}{
		"took effect": {ConflictRead{Open: &own, Revision: 9}, "stored", "again"},
		"older state": {ConflictRead{Open: &older, Revision: 9}, "again", "again"},
		"other owner": {ConflictRead{Open: &foreign, Revision: 9}, "lost", "lost"},
		"unreadable":  {ConflictRead{OpenError: ErrUnreadable, Revision: 9}, "lost", "lost"},
		"same end":    {ConflictRead{End: &end}, "lost", "stored"},
		"other end":   {ConflictRead{End: &other}, "lost", "lost"},
		"nothing":     {ConflictRead{}, "lost", "lost"},
	} {
		for _, ends := range []bool{false, true} {
			got, want := "again", f.written
			b := NewBatch(Events{QueueCallback: func(f func()) { f() }, Lost: func(string, error) { got = "lost" }})
			b.Create(time.Unix(1, 0), sample("j"), func(LookupResult, error) {})
			b.Outcome(time.Unix(1, 0), b.Next(time.Unix(1, 0), EpochInfo{Own: "e-1-1", Revision: 1}), 5, nil)
			if done := func() { got = "stored" }; ends {
				want = f.ended
				b.Finish(time.Unix(1, 0), end, done)
			} else {
				b.Update(sample("j"), time.Unix(1, 0), done)
			}
			conflictOnNext(b, f.evidence)
			if _, pending := b.Len(); got != want || pending != map[string]int{"again": 1}[want] {
				t.Errorf("%s, end %v: %s with %d changes left; want %s", name, ends, got, pending, want)
			}
		}
	}
}
