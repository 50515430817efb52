// Package logqueue writes log lines to an output that may stand still, be closed or be
// full, without ever holding up those who log. Lines that find the queue full are dropped
// and counted.
package logqueue

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// maxBytes bounds the lines that wait for the output.
	maxBytes = 1 << 20
	// reservedBytes of them are for lines that must not be pushed out by those on requests.
	reservedBytes = maxBytes / 2
)

// Queue is an io.Writer that passes whole lines on to the output in the background. It is
// safe for concurrent use.
type Queue struct {
	out  io.Writer
	wake chan struct{}
	done chan struct{}

	mu      sync.Mutex
	pending []byte
	closed  bool
	dropped uint64
}

// New returns a queue in front of the output. It must be closed.
func New(out io.Writer) *Queue {
	q := &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a line, or drops it if there is no room. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.pending)+len(line) > maxBytes {
		q.dropped++
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// HasRoom reports whether there is room for a line that may be dropped in favour of others.
func (q *Queue) HasRoom() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending) < maxBytes-reservedBytes
}

// Dropped returns the number of lines that were dropped or that the output refused.
func (q *Queue) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// Close writes what is queued, for at most the given time. Lines that follow are dropped.
func (q *Queue) Close(limit time.Duration) {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.wake)
	}
	q.mu.Unlock()
	select {
	case <-q.done:
	case <-time.After(limit):
	}
}

// run writes queued lines until the queue is closed.
func (q *Queue) run() {
	defer close(q.done)
	var spare []byte
	for range q.wake {
		spare = q.writePending(spare)
	}
	q.writePending(spare)
}

// writePending writes all queued lines at once. The lines that follow are collected in the
// given buffer; the one that was written is returned.
func (q *Queue) writePending(spare []byte) []byte {
	q.mu.Lock()
	batch := q.pending
	q.pending = spare[:0]
	q.mu.Unlock()
	if len(batch) == 0 {
		return batch
	}
	if n, err := q.out.Write(batch); err != nil {
		q.mu.Lock()
		q.dropped += uint64(bytes.Count(batch[n:], []byte{'\n'}))
		q.mu.Unlock()
	}
	return batch
}
