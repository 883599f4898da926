package speed

import "container/list"

// bounded maps strings to values and evicts the least recently used one above its
// limit.
type bounded[V any] struct {
	limit  int
	values map[string]*list.Element // of *boundedValue[V]
	used   *list.List               // most recently used first
}

type boundedValue[V any] struct {
	key   string
	value V
}

func newBounded[V any](limit int) *bounded[V] {
	return &bounded[V]{limit: limit, values: map[string]*list.Element{}, used: list.New()}
}

// get returns the value of the key, or nil.
func (b *bounded[V]) get(key string) *V {
	e := b.values[key]
	if e == nil {
		return nil
	}
	b.used.MoveToFront(e)
	return &e.Value.(*boundedValue[V]).value
}

// getOrAdd returns the value of the key, which is zero at first.
func (b *bounded[V]) getOrAdd(key string) *V {
	if v := b.get(key); v != nil {
		return v
	}
	if b.used.Len() >= b.limit {
		oldest := b.used.Back()
		delete(b.values, oldest.Value.(*boundedValue[V]).key)
		b.used.Remove(oldest)
	}
	e := b.used.PushFront(&boundedValue[V]{key: key})
	b.values[key] = e
	return &e.Value.(*boundedValue[V]).value
}
