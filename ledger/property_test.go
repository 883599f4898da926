package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytray.example/chicorytray/wire"
)

const sessionTimeout = 3 * time.Second

type startKey struct {
	owner Owner
	key   wire.TaskKey
}

// machine calls a ledger with messages in any order, repeated and late, and
// records what the entries were told.
type machine struct {
	l           *Ledger
	now         time.Time
	highest     map[Owner]uint64
	started     map[startKey]bool
	acked       map[startKey]bool
	neverStarts map[startKey]bool // the entry was told that it never starts
}

func (m *machine) session(t *rapid.T) wire.Session {
	return wire.Session{
		Entry:       rapid.SampledFrom([]string{"a", "b"}).Draw(t, "entry"),
		Incarnation: wire.Incarnation(rapid.Uint64Range(1, 2).Draw(t, "incarnation")),
		Number:      rapid.Uint64Range(1, 5).Draw(t, "session"),
	}
}

func sequence(t *rapid.T) uint64 { return rapid.Uint64Range(1, 6).Draw(t, "sequence") }

func (m *machine) open(t *rapid.T) {
	s := m.session(t)
	res, err := m.l.OpenSession(s, m.now)
	if err != nil {
		return
	}
	if s.Number <= m.highest[OwnerOf(s)] {
		t.Fatalf("session %d opened after %d", s.Number, m.highest[OwnerOf(s)])
	}
	m.highest[OwnerOf(s)] = s.Number
	listed := map[wire.TaskKey]bool{}
	for _, r := range res.Started {
		listed[r.Key] = true
	}
	for n := uint64(1); n < s.Number; n++ {
		for seq := uint64(1); seq <= 6; seq++ {
			k := startKey{OwnerOf(s), wire.TaskKey{Session: n, Sequence: seq}}
			if listed[k.key] || res.Truncated || m.acked[k] {
				continue
			}
			if m.started[k] {
				t.Fatalf("started task %v is missing from a list that is not truncated", k)
			}
			m.neverStarts[k] = true
		}
	}
}

func (m *machine) start(t *rapid.T) {
	s, seq := m.session(t), sequence(t)
	k := startKey{OwnerOf(s), wire.TaskKey{Session: s.Number, Sequence: seq}}
	if m.l.Start(s, seq) != nil {
		return
	}
	switch {
	case m.started[k]:
		t.Fatalf("%v started twice", k)
	case m.neverStarts[k]:
		t.Fatalf("%v started after its entry was told that it never would", k)
	case s.Number < m.highest[OwnerOf(s)]:
		t.Fatalf("%v started in a fenced session", k)
	}
	m.started[k] = true
}

func (m *machine) withdraw(t *rapid.T) {
	s, seq := m.session(t), sequence(t)
	k := startKey{OwnerOf(s), wire.TaskKey{Session: s.Number, Sequence: seq}}
	if !m.l.Withdraw(s, k.key) {
		return
	}
	if m.started[k] {
		t.Fatalf("started task %v withdrawn", k)
	}
	m.neverStarts[k] = true
}

func (m *machine) drop(t *rapid.T, dropped []WithdrawnTask) {
	for _, w := range dropped {
		k := startKey{w.Owner, w.Key}
		if m.started[k] {
			t.Fatalf("started task %v dropped as queued", k)
		}
		m.neverStarts[k] = true
	}
}

// Guards against a task that is started twice, that is started after its entry
// was told that it never would be, or whose start is not reported, for any order
// of messages.
func TestAnyMessageOrderKeepsStartsUnique(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			l: New(1, rapid.IntRange(1, 8).Draw(t, "records")), now: start, highest: map[Owner]uint64{},
			started: map[startKey]bool{}, acked: map[startKey]bool{}, neverStarts: map[startKey]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"open":     m.open,
			"start":    m.start,
			"withdraw": m.withdraw,
			"enqueue": func(t *rapid.T) {
				s := m.session(t)
				_ = m.l.RecordMessage(s, m.now)
				_ = m.l.Enqueue(s, sequence(t), wire.Task{})
			},
			"finish": func(t *rapid.T) {
				s, seq := m.session(t), sequence(t)
				_ = m.l.Finish(OwnerOf(s), wire.TaskKey{Session: s.Number, Sequence: seq}, wire.Result{})
			},
			"retract": func(t *rapid.T) {
				s, seq := m.session(t), sequence(t)
				k := wire.TaskKey{Session: s.Number, Sequence: seq}
				if m.l.RevertStart(OwnerOf(s), k) == nil {
					// Counts as never started, so it must not start later.
					delete(m.started, startKey{OwnerOf(s), k})
					m.neverStarts[startKey{OwnerOf(s), k}] = true
				}
			},
			"acknowledge": func(t *rapid.T) {
				s, k := m.session(t), wire.TaskKey{Session: rapid.Uint64Range(1, 5).Draw(t, "of"), Sequence: sequence(t)}
				if _, finished, _ := m.l.Result(OwnerOf(s), k); finished {
					m.acked[startKey{OwnerOf(s), k}] = true
				}
				m.l.Acknowledge(OwnerOf(s), []wire.TaskKey{k})
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				m.drop(t, m.l.ExpireSessions(m.now, sessionTimeout))
			},
			"": func(t *rapid.T) {
				s := m.l.Stats()
				if s.Running+s.Finished != m.l.records || s.Queued < 0 || s.Running < 0 || s.Finished < 0 {
					t.Fatalf("inconsistent sizes %+v, %d records", s, m.l.records)
				}
				if s.Finished > 0 && m.l.records > m.l.maxRecords {
					t.Fatalf("%d records, at most %d", m.l.records, m.l.maxRecords)
				}
			},
		})
	})
}
