package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	// burstFactorMin and burstFactorMax bound the callers of a machine in a burst, as a
	// multiple of those that it always has.
	burstFactorMin, burstFactorMax = 1, 4
	// maxRepeats is how often an impatient caller repeats a request.
	maxRepeats = 5
	// maxUploadBytes is several times the size up to which proxies keep a body.
	maxUploadBytes = 300_000
	// abandonedUploads is the number of uploads of which one is abandoned.
	abandonedUploads = 8
)

// callerKind is how a caller sends its requests.
type callerKind struct {
	// pipelining sends several requests at once.
	pipelining bool
	// impatient repeats each request that was not served at once, up to maxRepeats
	// times, and ignores Retry-After.
	impatient bool
	// long sends requests with runs of seconds.
	long bool
	// pause is the mean pause between two batches, 0 for meanBatchPause.
	pause time.Duration
}

func formatHex(n uint64) string { return strconv.FormatUint(n, 16) }

// runCaller sends requests to the machine's proxy until ctx is done. It uses one
// connection at a time, and closes it when it cannot be reused and after one in ten
// batches at random.
func (m *machine) runCaller(ctx context.Context, rng *rand.Rand, kind callerKind) {
	var conn *standin.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	var repeats []*attempt
	for ctx.Err() == nil {
		if len(repeats) == 0 {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(cmp.Or(kind.pause, meanBatchPause))))
		}
		if kind.pause > 0 && conn != nil && conn.Ended() {
			_ = conn.Close()
			conn = nil
		}
		if conn == nil {
			var err error
			if conn, err = standin.Dial(address(m.processIP, callersPort), time.Second); err != nil {
				conn = nil
				m.observed.refused.Add(1)
				time.Sleep(meanBatchPause)
				continue
			}
		}
		batch := repeats
		if len(batch) == 0 {
			batch = m.nextBatch(rng, kind)
		}
		last, ok := m.sendBatch(conn, batch)
		if !ok || rng.Float64() < 0.1 {
			_ = conn.Close()
			conn = nil
		}
		if kind.impatient {
			repeats = repeatsOf(batch, rng)
			continue
		}
		time.Sleep(min(last.RetryAfter, maxRetryAfter))
	}
}

// repeatsOf returns the requests of a batch that were not served, with other IDs, unless
// they were repeated often enough.
func repeatsOf(batch []*attempt, rng *rand.Rand) []*attempt {
	var repeats []*attempt
	for _, a := range batch {
		if a.repeats == maxRepeats || a.result == answered && a.answer.Status == http.StatusOK {
			continue
		}
		again := &attempt{Request: a.Request, machine: a.machine, service: a.service, repeats: a.repeats + 1}
		again.ID = fmt.Sprintf("%016x", rng.Uint64())
		repeats = append(repeats, again)
	}
	return repeats
}

// addCallers adds callers to every machine for the duration of a step.
func (c *cluster) addCallers(s step) {
	ctx, cancel := context.WithTimeout(c.ctx, s.Duration)
	defer cancel()
	n := c.callersPerMachine
	if s.Kind == kindBurst {
		n *= burstFactorMin + c.newRand(pressureStream, uint64(s.At)).IntN(burstFactorMax)
	}
	var callers sync.WaitGroup
	for _, m := range c.machines {
		for i := range n {
			rng := c.newRand(pressureStream, uint64(s.At)+uint64(m.index*n+i)+1)
			callers.Go(func() { m.runCaller(ctx, rng, callerKind{pipelining: i%2 == 0, impatient: s.Kind == kindImpatience}) })
		}
	}
	callers.Wait()
}

// nextBatch returns one random request or, for half of the batches of a pipelining
// caller, pipelineDepth of them. Requests that are not repeatable are not
// pipelined.
func (m *machine) nextBatch(rng *rand.Rand, kind callerKind) []*attempt {
	n := 1
	if kind.pipelining && rng.Float64() < 0.5 {
		n = pipelineDepth
	}
	batch := make([]*attempt, n)
	for i := range batch {
		r := standin.Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Method: http.MethodGet, Host: hostName, Deadline: requestDeadline}
		r.Path = m.randomPath(rng) + formatHex(rng.Uint64())
		if rng.Float64() < callsShare {
			r.Path += callingSuffix(1 + rng.IntN(maxCallDepth))
		}
		batch[i] = &attempt{Request: r, machine: m.index, service: m.service}
		switch {
		case kind.long:
			batch[i].setLong(rng, n > 1)
		case !batch[i].nonRepeatable():
		case n > 1:
			batch[i].Path = repeatablePath + r.ID
		case strings.HasPrefix(r.Path, uploadPath):
			batch[i].setUpload(rng)
		default:
			batch[i].Method, batch[i].Body = http.MethodPost, strings.Repeat("b", rng.IntN(2000))
		}
	}
	return batch
}

// setUpload makes the request an upload: a body of up to maxUploadBytes, in chunks or
// with its length, which one caller in abandonedUploads does not send to its end.
func (a *attempt) setUpload(rng *rand.Rand) {
	text := formatHex(rng.Uint64())
	a.Method, a.Body = http.MethodPost, strings.Repeat(text, 1+rng.IntN(maxUploadBytes)/len(text))
	a.Chunked, a.Abandoned = rng.IntN(2) == 0, rng.IntN(abandonedUploads) == 0
}

func (m *machine) randomPath(rng *rand.Rand) string {
	switch rng.IntN(11) {
	case 0, 1, 2:
		return repeatablePath
	case 3, 4:
		return nonRepeatablePath
	case 5, 6:
		return secondServicePath
	case 7, 8:
		return movedPath
	case 9:
		return uploadPath
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
	for i, a := range batch {
		a.behind, a.startsWhenSent, a.sent = i > 0, starts, time.Now()
		_ = conn.SetWriteDeadline(time.Now().Add(a.Deadline + answerTimeoutMargin))
		switch err := conn.Send(a.Request); {
		case errors.Is(err, standin.ErrAbandoned):
			a.result = abandoned
		case err != nil:
			a.result = sendFailed
		}
		a.written = time.Now()
	}
	var last standin.Response
	cut := false
	ok := batch[0].result != abandoned
	for _, a := range batch {
		if ok {
			last, ok = m.receiveAnswer(conn, a)
			cut = a.result == connectionClosed || last.CloseAfter
		} else if a.result != sendFailed && a.result != abandoned {
			a.result, a.cutBehind = answerNotRead, cut
		}
		a.ended, a.startsWhenEnded = time.Now(), int(m.starts.Load())
		m.observed.recordAttempt(a)
	}
	return last, ok
}

func (m *machine) receiveAnswer(conn *standin.Conn, a *attempt) (standin.Response, bool) {
	_ = conn.SetReadDeadline(time.Now().Add(a.Deadline + answerTimeoutMargin))
	answer, err := conn.Receive(a.Method)
	a.err = err
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		a.result, a.answer = answered, answer
		if standin.ResponseSize(a.Path) > 0 {
			a.answer.Body = digest(answer.Body)
		}
	case errors.As(err, &timeout) && timeout.Timeout():
		a.result = timedOut
	case a.result != sendFailed:
		a.result = connectionClosed
	}
	return answer, err == nil && !answer.CloseAfter
}
