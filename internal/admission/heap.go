package admission

import "container/heap"

// indexed is an element that knows its place in a heap.
type indexed interface {
	comparable
	// position returns where the heap with the given slot keeps its index.
	position(slot int) *int
}

// indexedHeap is a heap whose elements can be moved and removed in
// logarithmic time. An element may be in several heaps with distinct slots.
type indexedHeap[T indexed] struct {
	items []T
	slot  int
	less  func(a, b T) bool
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position(h.slot) = i
	*h.items[j].position(h.slot) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.position(h.slot) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	return item
}

func (h *indexedHeap[T]) add(item T)    { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *item.position(h.slot)) }
func (h *indexedHeap[T]) moved(item T)  { heap.Fix(h, *item.position(h.slot)) }
func (h *indexedHeap[T]) first() T      { return h.items[0] }
func (h *indexedHeap[T]) last() T       { return h.items[len(h.items)-1] }
