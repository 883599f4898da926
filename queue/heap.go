package queue

// heap is a binary heap whose items store their own index, so that any of them
// can be moved or removed in logarithmic time.
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	position func(T) *int // returns the field in which an item stores its index
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	*h.position(item) = len(h.items) - 1
	h.up(len(h.items) - 1)
}

// remove removes the item at index i.
func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.swap(i, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.fix(i)
	}
}

// fix restores the heap order after the key of the item at index i changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) (moved bool) {
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return moved
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			return moved
		}
		h.swap(i, child)
		i, moved = child, true
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i
	*h.position(h.items[j]) = j
}
