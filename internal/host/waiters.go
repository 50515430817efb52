package host

import "sync"

const (
	// effectBuffer is the capacity of each channel. Further effects for the same
	// ID are dropped until the receiver catches up.
	effectBuffer = 4
	// waiterShards is the number of locks among which the IDs are divided.
	waiterShards = 16
)

// waiters delivers effects by ID to the goroutines that wait for them. Channels
// are pooled; nothing is sent on a channel after its release.
type waiters[T any] struct {
	shards [waiterShards]waiterShard[T]
}

type waiterShard[T any] struct {
	mu      sync.Mutex
	pending map[uint64]chan T
	free    []chan T
}

// register returns the channel on which values for id are delivered until
// release is called.
func (w *waiters[T]) register(id uint64) (c <-chan T, release func()) {
	s := &w.shards[id%waiterShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.channel()
	s.pending[id] = ch
	return ch, func() { s.release(id, ch) }
}

// channel returns a channel from the pool, or a new one. The caller holds s.mu.
func (s *waiterShard[T]) channel() chan T {
	if s.pending == nil {
		s.pending = make(map[uint64]chan T)
	}
	n := len(s.free)
	if n == 0 {
		return make(chan T, effectBuffer)
	}
	ch := s.free[n-1]
	s.free = s.free[:n-1]
	return ch
}

// release drains the channel and returns it to the pool.
func (s *waiterShard[T]) release(id uint64, ch chan T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
	for len(ch) > 0 {
		<-ch
	}
	s.free = append(s.free, ch)
}

// deliver sends v to the channel registered for id. It drops v if there is none
// or if its buffer is full.
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
