package host

import "sync"

const (
	// decisionsAhead is the number of effects that may wait for one request.
	decisionsAhead = 4
	// waiterShards spreads the waiting requests over as many locks.
	waiterShards = 16
)

// waiters hands effects to the goroutines that wait for them. Its channels
// are used again: nothing is sent on a channel after its release.
type waiters[T any] struct {
	shards [waiterShards]waiterShard[T]
}

type waiterShard[T any] struct {
	mu      sync.Mutex
	pending map[uint64]chan T
	free    []chan T
}

// expect returns the channel for the number id until release is called.
func (w *waiters[T]) expect(id uint64) (c <-chan T, release func()) {
	s := &w.shards[id%waiterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.take()
	s.pending[id] = ch
	return ch, func() { s.release(id, ch) }
}

func (s *waiterShard[T]) take() chan T {
	if s.pending == nil {
		s.pending = make(map[uint64]chan T)
	}
	n := len(s.free)
	if n == 0 {
		return make(chan T, decisionsAhead)
	}
	ch := s.free[n-1]
	s.free = s.free[:n-1]
	return ch
}

// release takes the channel back, emptied.
func (s *waiterShard[T]) release(id uint64, ch chan T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	for len(ch) > 0 {
		<-ch
	}
	s.free = append(s.free, ch)
}

// deliver passes v on, unless nobody waits any more.
func (w *waiters[T]) deliver(id uint64, v T) {
	s := &w.shards[id%waiterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.pending[id]
	if ch == nil {
		return
	}
	select {
	case ch <- v:
	default:
	}
}
