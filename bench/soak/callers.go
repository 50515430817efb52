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
	// meanBatchPause is the mean of the exponentially distributed pause between
	// two batches of a caller, and the pause after a failed dial.
	meanBatchPause = 60 * time.Millisecond
	// answerTimeoutMargin is added to the request's deadline to give the timeout of
	// reading its answer. The timeout starts with the read, that is, after the
	// answers to earlier requests of the batch.
	answerTimeoutMargin = time.Second
	// maxRetryAfter is the longest Retry-After that a caller honours.
	maxRetryAfter = 400 * time.Millisecond
	// pipelineDepth is the number of requests in a pipelined batch.
	pipelineDepth = 3
)

func formatHex(n uint64) string { return strconv.FormatUint(n, 16) }

// runCaller sends requests to the machine's proxy until ctx is done. It uses one
// connection at a time, and closes it when it cannot be reused and after one in ten
// batches at random.
func (m *machine) runCaller(ctx context.Context, rng *rand.Rand, pipelining bool) {
	var conn *standin.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.ExpFloat64() * float64(meanBatchPause)))
		if conn == nil {
			var err error
			if conn, err = standin.Dial(address(m.processIP, callersPort), time.Second); err != nil {
				conn = nil
				time.Sleep(meanBatchPause)
				continue
			}
		}
		last, ok := m.sendBatch(conn, m.nextBatch(rng, pipelining))
		if !ok || rng.Float64() < 0.1 {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(min(last.RetryAfter, maxRetryAfter))
	}
}

// nextBatch returns one random request or, for half of the batches of a pipelining
// caller, pipelineDepth of them. Requests that are not repeatable are not
// pipelined.
func (m *machine) nextBatch(rng *rand.Rand, pipelining bool) []*attempt {
	n := 1
	if pipelining && rng.Float64() < 0.5 {
		n = pipelineDepth
	}
	batch := make([]*attempt, n)
	for i := range batch {
		r := standin.Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Method: http.MethodGet, Host: hostName, Deadline: requestDeadline}
		r.Path = m.randomPath(rng) + formatHex(rng.Uint64())
		if n == 1 && strings.HasPrefix(r.Path, nonRepeatablePath) {
			r.Method, r.Body = http.MethodPost, strings.Repeat("b", rng.IntN(2000))
		} else if strings.HasPrefix(r.Path, nonRepeatablePath) {
			r.Path = repeatablePath + r.ID
		}
		batch[i] = &attempt{Request: r, machine: m.index, service: m.service}
	}
	return batch
}

func (m *machine) randomPath(rng *rand.Rand) string {
	switch rng.IntN(10) {
	case 0, 1, 2:
		return repeatablePath
	case 3, 4:
		return nonRepeatablePath
	case 5, 6:
		return secondServicePath
	case 7, 8:
		return movedPath
	}
	m.observed.mu.Lock()
	defer m.observed.mu.Unlock()
	newest := m.observed.versions[len(m.observed.versions)-1].number
	return addedPath(newest - min(newest-1, rng.Uint64N(3)))
}

// sendBatch writes all requests, then reads their answers in order and records the
// attempts. It returns the last answer, and false if the connection cannot be
// reused.
func (m *machine) sendBatch(conn *standin.Conn, batch []*attempt) (standin.Response, bool) {
	starts := int(m.starts.Load())
	for _, a := range batch {
		a.startsWhenSent, a.sent = starts, time.Now()
		if err := conn.Send(a.Request); err != nil {
			a.result = sendFailed
		}
	}
	var last standin.Response
	ok := true
	for _, a := range batch {
		if ok {
			last, ok = m.receiveAnswer(conn, a)
		} else if a.result != sendFailed {
			a.result = answerNotRead
		}
		a.ended, a.startsWhenEnded = time.Now(), int(m.starts.Load())
		m.observed.recordAttempt(a)
	}
	return last, ok
}

func (m *machine) receiveAnswer(conn *standin.Conn, a *attempt) (standin.Response, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(a.Deadline + answerTimeoutMargin))
	answer, err := conn.Receive(a.Method)
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		a.result, a.answer = answered, answer
	case errors.As(err, &timeout) && timeout.Timeout():
		a.result = timedOut
	case a.result != sendFailed:
		a.result = connectionClosed
	}
	return answer, err == nil && !answer.CloseAfter
}
