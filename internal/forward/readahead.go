package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// readAhead reads the body of a response into memory without waiting for its receiver,
// and ends the exchange when it has read all of it. It holds at most
// maxHeldResponseBytes; the connection then waits for the receiver.
type readAhead struct {
	x    *Exchange
	body io.Reader
	// ctx ends when the receiver has left or stop is called.
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// onRead is called once when reading has ended, with the number of bytes.
	onRead func(bytes int64, complete bool)
	done   chan struct{}
	// changed wakes the receiver's side, taken the reading one.
	changed, taken chan struct{}
	// started is set with the first chunk. Only the reading goroutine uses it.
	started bool

	mu sync.Mutex
	// memory is what chunks hold. The last chunk has filled bytes, and of the first one
	// consumed bytes have been taken.
	memory           heldMemory
	chunks           []*[]byte
	filled, consumed int
	err              error
	stopped          bool
	// complete is set when the body was read to its end.
	complete bool
	holdUp   holdUp
	// starved is set while reading waits for memory that other responses hold, and stays
	// set if it got none.
	starved bool
}

// startReadAhead replaces the body of the response by one that is read ahead. The
// function stop must be called before the response is given up.
func startReadAhead(ctx context.Context, x *Exchange, memory *responseMemory, deadline time.Time, onRead func(int64, bool)) *readAhead {
	a := &readAhead{
		x: x, body: x.Response.Body, deadline: deadline, onRead: onRead, memory: heldMemory{memory: memory},
		done: make(chan struct{}), changed: make(chan struct{}, 1), taken: make(chan struct{}, 1),
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	x.Response.Body = io.NopCloser(a)
	go a.run()
	return a
}

// run reads until the body has ended, the exchange failed or stop was called.
func (a *readAhead) run() {
	defer close(a.done)
	var total int64
	var err error
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("panic: %v", cause)
		}
		a.finish(total, err)
	}()
	for {
		var space []byte
		if space, err = a.space(); err != nil {
			return
		}
		var n int
		n, err = a.body.Read(space)
		total += int64(n)
		a.add(n)
		if err != nil {
			return
		}
	}
}

// space returns free memory at the end of the last chunk. It waits until the receiver
// or other responses have left some.
func (a *readAhead) space() ([]byte, error) {
	for {
		space, full := a.freeSpace()
		if space != nil {
			return space, nil
		}
		if full {
			if err := a.awaitTaken(); err != nil {
				return nil, err
			}
			continue
		}
		if err := a.addChunk(); err != nil {
			return nil, err
		}
	}
}

// awaitTaken waits until the receiver has taken a chunk.
func (a *readAhead) awaitTaken() (err error) {
	a.beginHoldUp(false)
	select {
	case <-a.taken:
	case <-a.ctx.Done():
		err = a.ctx.Err()
	}
	a.endHoldUp(err)
	return err
}

// beginHoldUp records that reading waits: for memory that other responses hold if starved
// is set, for the receiver otherwise.
func (a *readAhead) beginHoldUp(starved bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starved = starved
	a.holdUp.begin()
}

// endHoldUp records that the wait has ended, with an error if it was in vain.
func (a *readAhead) endHoldUp(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.starved = a.starved && err != nil
	a.holdUp.end(0)
}

// progress returns how long reading was held up, and whether the body was read to its end.
func (a *readAhead) progress() (heldUp time.Duration, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdUp.duration(), a.complete
}

// freeSpace returns the free part of the last chunk, nil if there is none, and whether
// the response holds as much as it may.
func (a *readAhead) freeSpace() (space []byte, full bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n := len(a.chunks); n > 0 && a.filled < copyBufferBytes {
		return (*a.chunks[n-1])[a.filled:], false
	}
	return nil, int64(len(a.chunks)+1)*copyBufferBytes+a.x.held.total > maxHeldResponseBytes
}

// addChunk adds a chunk. The first one does not wait for memory, since the response may
// be a short one.
func (a *readAhead) addChunk() error {
	added := heldMemory{memory: a.memory.memory}
	if a.started {
		a.beginHoldUp(true)
		err := added.acquire(a.ctx, a.deadline, copyBufferBytes)
		a.endHoldUp(err)
		if err != nil {
			return err
		}
	} else {
		a.started = true
		added.take(copyBufferBytes)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory.add(added)
	a.chunks = append(a.chunks, copyBufferPool.Get().(*[]byte))
	a.filled = 0
	return nil
}

// endError returns the error of a body that is given up since the context has ended.
func (a *readAhead) endError() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.starved {
		return errors.Mark(a.ctx.Err(), errNoMemory)
	}
	return a.ctx.Err()
}

func (a *readAhead) add(n int) {
	a.mu.Lock()
	a.filled += n
	a.mu.Unlock()
	wake(a.changed)
}

// finish ends the exchange and tells the receiver's side how the body ended.
func (a *readAhead) finish(total int64, err error) {
	a.mu.Lock()
	complete := err == io.EOF && !a.stopped
	a.stopped, a.complete = true, complete
	a.mu.Unlock()
	a.x.Close(complete)
	if cause := a.report(total, complete); cause != nil {
		err = errors.Newf("panic: %v", cause) // logged by the reducer; the response is aborted
	}
	a.mu.Lock()
	a.err = err
	a.mu.Unlock()
	wake(a.changed)
}

// report calls onRead and returns the cause if that panicked.
func (a *readAhead) report(total int64, complete bool) (cause any) {
	defer func() { cause = recover() }()
	a.onRead(total, complete)
	return nil
}

// Read implements io.Reader for the receiver's side.
func (a *readAhead) Read(p []byte) (int, error) {
	for {
		if n, err := a.take(p); n > 0 || err != nil {
			return n, err
		}
		select {
		case <-a.changed:
		case <-a.ctx.Done():
			return 0, a.endError()
		}
	}
}

// take copies what has been read to p.
func (a *readAhead) take(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.chunks) == 0 {
		return 0, a.err
	}
	first, end := a.chunks[0], copyBufferBytes
	last := len(a.chunks) == 1
	if last {
		end = a.filled
	}
	n := copy(p, (*first)[a.consumed:end])
	a.consumed += n
	if a.consumed == copyBufferBytes {
		copyBufferPool.Put(first)
		a.chunks[0] = nil
		a.chunks, a.consumed = a.chunks[1:], 0
		a.memory.release(copyBufferBytes)
		wake(a.taken)
	}
	if n == 0 && last {
		return 0, a.err
	}
	return n, nil
}

// stop interrupts reading if it has not ended, waits for its end and releases the
// memory.
func (a *readAhead) stop() {
	a.mu.Lock()
	if !a.stopped {
		a.stopped = true
		_ = a.x.conn.SetDeadline(pastDeadline)
	}
	a.mu.Unlock()
	a.cancel()
	<-a.done
	a.memory.releaseAll()
	for _, c := range a.chunks {
		copyBufferPool.Put(c)
	}
	a.chunks = nil
}

func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// hasBody reports whether a body follows the header of the response.
func hasBody(resp *http.Response) bool {
	return resp.Body != http.NoBody && resp.ContentLength != 0
}
