package store

// Event is a change of a key: the key as it was written, or with Deleted set, the
// key and the revision at which it was deleted.
type Event struct {
	KV
	Deleted bool
}

// Mirror is a copy of the keys with some prefix, which the events after a list
// keep current. It is not safe for concurrent use.
type Mirror struct {
	items         map[string]KV
	at, changedAt uint64
}

// At returns the revision as of which the copy is current; 0 before the first
// Reset.
func (m *Mirror) At() uint64 { return m.at }

// ChangedAt returns the value of At after the last change.
func (m *Mirror) ChangedAt() uint64 { return m.changedAt }

// Items returns the keys, which the caller must not change.
func (m *Mirror) Items() map[string]KV { return m.items }

// Reset replaces the copy by a list of all keys, of which the first page was read
// as of a revision. Later pages may contain later changes.
func (m *Mirror) Reset(items []KV, at uint64) {
	m.items = make(map[string]KV, len(items))
	for _, kv := range items {
		m.items[kv.Key] = kv
	}
	m.at, m.changedAt = at, at
}

// Apply applies the events up to a revision, which follow a revision up to which
// the copy was current. A later list or another call may have returned some of
// them already.
func (m *Mirror) Apply(events []Event, at uint64) {
	if m.at == 0 || at <= m.at {
		return
	}
	for _, e := range events {
		if e.Revision <= m.at || e.Revision < m.items[e.Key].Revision {
			continue
		}
		m.changedAt = at
		if e.Deleted {
			delete(m.items, e.Key)
		} else {
			m.items[e.Key] = e.KV
		}
	}
	m.at = at
}
