package host

import "sync"

// decisionsAhead is the number of effects that may wait for one request.
const decisionsAhead = 4

// waiters hands effects to the goroutines that wait for them.
type waiters[T any] struct {
	mu      sync.Mutex
	pending map[uint64]chan T
}

// expect returns the channel for the number id until release is called.
func (w *waiters[T]) expect(id uint64) (c <-chan T, release func()) {
	ch := make(chan T, decisionsAhead)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		w.pending = make(map[uint64]chan T)
	}
	w.pending[id] = ch
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pending, id)
	}
}

// deliver passes v on, unless nobody waits any more.
func (w *waiters[T]) deliver(id uint64, v T) {
	w.mu.Lock()
	ch := w.pending[id]
	w.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- v:
	default:
	}
}
