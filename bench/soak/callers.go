package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// pause is the mean time between two requests of a caller.
	pause = 60 * time.Millisecond
	// patience is how long a caller waits beyond the time that it allows.
	patience = time.Second
	// longestReturn bounds how long a caller honours Retry-After.
	longestReturn = 400 * time.Millisecond
	// pipelineDepth is the number of requests sent at once by some callers.
	pipelineDepth = 3
)

func hexadecimal(n uint64) string { return strconv.FormatUint(n, 16) }

// call makes requests at a machine until ctx is done. A caller uses its
// connection until the connection ends.
func (m *machine) call(ctx context.Context, rng *rand.Rand, pipelines bool) {
	var conn *standin.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(pause)))
		if conn == nil {
			var err error
			if conn, err = standin.Dial(address(m.own, callersPort), time.Second); err != nil {
				conn = nil
				time.Sleep(pause)
				continue
			}
		}
		last, ok := m.exchange(conn, m.batch(rng, pipelines))
		if !ok || rng.Float64() < 0.1 {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(min(last.RetryAfter, longestReturn))
	}
}

// batch draws the next requests.
func (m *machine) batch(rng *rand.Rand, pipelines bool) []*attempt {
	n := 1
	if pipelines && rng.Float64() < 0.5 {
		n = pipelineDepth
	}
	batch := make([]*attempt, n)
	for i := range batch {
		r := standin.Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Method: http.MethodGet, Host: hostName, Deadline: timeLimit}
		r.Path = m.path(rng) + hexadecimal(rng.Uint64())
		if n == 1 && strings.HasPrefix(r.Path, bookPath) {
			r.Method, r.Body = http.MethodPost, strings.Repeat("b", rng.IntN(2000))
		} else if strings.HasPrefix(r.Path, bookPath) {
			r.Path = lookPath + r.ID
		}
		batch[i] = &attempt{Request: r, machine: m.index, service: m.service}
	}
	return batch
}

func (m *machine) path(rng *rand.Rand) string {
	switch rng.IntN(10) {
	case 0, 1, 2:
		return lookPath
	case 3, 4:
		return bookPath
	case 5, 6:
		return rotaPath
	case 7, 8:
		return movedPath
	}
	m.seen.mu.Lock()
	defer m.seen.mu.Unlock()
	newest := m.seen.versions[len(m.seen.versions)-1].number
	return addedPath(newest - min(newest-1, rng.Uint64N(3)))
}

// exchange sends requests at once and takes their answers. It returns the last
// answer, and false if the connection takes no further request.
func (m *machine) exchange(conn *standin.Conn, batch []*attempt) (standin.Answer, bool) {
	boot := int(m.boot.Load())
	for _, a := range batch {
		a.boot, a.sent = boot, time.Now()
		if err := conn.Send(a.Request); err != nil {
			a.end = notConnected
		}
	}
	var last standin.Answer
	ok := true
	for _, a := range batch {
		if ok {
			last, ok = m.receive(conn, a)
		} else if a.end != notConnected {
			a.end = behind
		}
		a.ended, a.bootEnd = time.Now(), int(m.boot.Load())
		m.seen.attempt(a)
	}
	return last, ok
}

func (m *machine) receive(conn *standin.Conn, a *attempt) (standin.Answer, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(a.Deadline + patience))
	answer, err := conn.Receive(a.Method)
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		a.end, a.answer = answered, answer
	case errors.As(err, &timeout) && timeout.Timeout():
		a.end = timedOut
	case a.end != notConnected:
		a.end = closed
	}
	return answer, err == nil && !answer.Closes
}
