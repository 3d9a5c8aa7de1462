package sched

// indexedHeap is a binary heap whose elements know their index, so that any element can
// be moved or removed in logarithmic time.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores an element's index; it is -1 outside the heap.
	setIndex func(v T, at int)
}

func (h *indexedHeap[T]) len() int { return len(h.items) }

func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) push(v T) {
	h.items = append(h.items, v)
	h.setIndex(v, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *indexedHeap[T]) remove(at int) {
	last := len(h.items) - 1
	removed := h.items[at]
	h.swap(at, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(removed, -1)
	if at < last {
		h.fix(at)
	}
}

func (h *indexedHeap[T]) fix(at int) {
	if !h.down(at) {
		h.up(at)
	}
}

func (h *indexedHeap[T]) swap(a, b int) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.setIndex(h.items[a], a)
	h.setIndex(h.items[b], b)
}

func (h *indexedHeap[T]) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !h.less(h.items[at], h.items[parent]) {
			return
		}
		h.swap(at, parent)
		at = parent
	}
}

func (h *indexedHeap[T]) down(at int) bool {
	start := at
	for {
		child := 2*at + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[at]) {
			break
		}
		h.swap(at, child)
		at = child
	}
	return at > start
}
