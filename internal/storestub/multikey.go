package storestub

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"chicorytray.example/chicorytray/store"
)

// Limits of one page of a list that is served over HTTP. A page ends with the key
// that reaches one of them.
const (
	maxPageKeys  = 1000
	maxPageBytes = 1 << 20
)

// List implements store.Store. It returns all keys in one call.
func (s *Stub) List(ctx context.Context, prefix string) ([]store.KV, error) {
	return runCall(ctx, s, List, func() ([]store.KV, error) {
		list, _ := s.listAfter(prefix, "", false)
		return list, nil
	})
}

// page is a part of a list. more means that more keys follow.
type page struct {
	keys []store.KV
	more bool
}

// listPage returns the first page of the keys with the prefix that sort after the
// key after; if that is empty, of all keys with the prefix.
func (s *Stub) listPage(ctx context.Context, prefix, after string) (page, error) {
	return runCall(ctx, s, List, func() (page, error) {
		keys, more := s.listAfter(prefix, after, true)
		return page{keys, more}, nil
	})
}

// listAfter returns the keys with the prefix that sort after the key after, or
// with paged only the first page of them; the caller holds the lock.
func (s *Stub) listAfter(prefix, after string, paged bool) (list []store.KV, more bool) {
	keys := s.readableKeys()
	list = []store.KV{}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		if !strings.HasPrefix(key, prefix) || after != "" && key <= after {
			continue
		}
		if paged && (len(list) == cmp.Or(s.faults.pageKeys, maxPageKeys) || size >= maxPageBytes) {
			return list, true
		}
		list = append(list, keys[key].kv(key))
		size += len(keys[key].value)
	}
	return list, false
}

// Transact implements store.Store.
func (s *Stub) Transact(ctx context.Context, t store.Transaction) (revision uint64, err error) {
	if err := t.Validate(); err != nil {
		return 0, err
	}
	t = cloneTransaction(t)
	return runCall(ctx, s, Transact, func() (uint64, error) {
		if err := s.checkTransaction(t); err != nil {
			return 0, err
		}
		s.applyTransaction(t)
		return s.revision, nil
	})
}

// cloneTransaction copies a transaction, since the caller may change it before
// it is applied.
func cloneTransaction(t store.Transaction) store.Transaction {
	t.Expect, t.Write, t.Remove = slices.Clone(t.Expect), slices.Clone(t.Write), slices.Clone(t.Remove)
	for i := range t.Write {
		t.Write[i].Value = bytes.Clone(t.Write[i].Value)
	}
	return t
}

// checkTransaction returns an error if the transaction cannot be applied; the
// caller holds the lock.
func (s *Stub) checkTransaction(t store.Transaction) error {
	for _, w := range t.Write {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return store.ErrLeaseExpired
		}
	}
	for _, e := range t.Expect {
		if s.keys[e.Key].revision != e.Revision {
			return store.ErrConflict
		}
	}
	return nil
}

// applyTransaction makes the changes of a transaction at one new revision; the
// caller holds the lock.
func (s *Stub) applyTransaction(t store.Transaction) {
	if len(t.Write)+len(t.Remove) == 0 {
		return
	}
	s.revision++
	for _, w := range t.Write {
		s.keys[w.Key] = record{w.Value, s.revision, w.Lease}
	}
	for _, key := range t.Remove {
		delete(s.keys, key)
	}
	s.notifyWatches()
}
