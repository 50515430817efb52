package admission

import "container/heap"

// heapItem is an element that stores its index in each heap that holds it.
type heapItem interface {
	comparable
	// position returns where the heap with the given ID stores its index.
	position(heapID int) *int
}

// indexedHeap is a heap whose elements can be reordered and removed in logarithmic
// time. An element may be in several heaps with distinct IDs.
type indexedHeap[T heapItem] struct {
	items  []T
	heapID int
	less   func(a, b T) bool
}

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.items[i].position(h.heapID) = i
	*h.items[j].position(h.heapID) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*item.position(h.heapID) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	return item
}

func (h *indexedHeap[T]) add(item T)    { heap.Push(h, item) }
func (h *indexedHeap[T]) remove(item T) { heap.Remove(h, *item.position(h.heapID)) }
func (h *indexedHeap[T]) fix(item T)    { heap.Fix(h, *item.position(h.heapID)) }
func (h *indexedHeap[T]) top() T        { return h.items[0] }

// last returns a leaf of the heap, which is not necessarily the greatest element.
func (h *indexedHeap[T]) last() T { return h.items[len(h.items)-1] }
