package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

func newGetRequest() *outgoingRequest {
	return &outgoingRequest{dialect: &Dialect{}, in: &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/a"}, Host: "a"}}
}

func TestRemainingTimeIsForwarded(t *testing.T) {
	is := is.New(t)
	g := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(DeadlineHeader))
	})
	_, body, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: 5000\r\n\r\n")
	is.NoErr(err)
	ms, err := strconv.ParseFloat(body, 64)
	is.NoErr(err)
	is.True(ms > 0 && ms < 5000)
}

func TestExpiredRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	var dials atomic.Int32
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		return DialTCP(ctx, address)
	}, 0)
	defer pool.Close()
	_, err := pool.Do(t.Context(), time.Now(), closedAddress, newGetRequest())
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrDeadlineExpired))
	is.Equal(dials.Load(), int32(0))
}

// A proxy that was paused between the routing decision and the first byte sent
// checks the deadline again.
func TestPausedProxySendsNothingAfterDeadline(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	address := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		n, _ := io.Copy(io.Discard, r)
		received.Add(n)
	})
	deadline := time.Now().Add(50 * time.Millisecond)
	pool := NewPool(func(_ context.Context, address string) (net.Conn, error) {
		c, err := net.Dial("tcp", address)
		time.Sleep(time.Until(deadline)) // simulates the pause
		return c, err
	}, 0)
	defer pool.Close()
	_, err := pool.Do(t.Context(), deadline, address, newGetRequest())
	is.True(errors.Is(err, ErrNotSent) && errors.Is(err, ErrDeadlineExpired))
	is.Equal(refusalForError(err).Reason, outcome.DeadlineExpired)
	is.Equal(received.Load(), int64(0))
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	cancelled := make(chan struct{})
	g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	c := dialRaw(t, g.callersAddr)
	c.send(t, simpleGet)
	waitFor(t, "request runs", func() bool { return g.runs.count("/a") == 1 })
	_ = c.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request at the backend server was not cancelled")
	}
	g.core.waitForFreeSlots(t)
	waitFor(t, "request reported to routing as abandoned", func() bool {
		g.core.mu.Lock()
		defer g.core.mu.Unlock()
		return g.core.abandoned == 1
	})
}

func TestDeadlineCancelsRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	g := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	resp, _, err := dialRaw(t, g.callersAddr).exchange(t, "GET /a HTTP/1.1\r\nHost: a\r\nHeatherlift-Deadline-Ms: 50\r\n\r\n")
	is.NoErr(err)
	is.Equal(resp.Header.Get(OutcomeHeader), string(outcome.Unknown))
	is.Equal(resp.Header.Get(ReasonHeader), string(outcome.DeadlineExpired))
	<-cancelled
}

func TestWaitingRequestIsRefusedAtDeadline(t *testing.T) {
	is := is.New(t)
	g := newRig(t, respondOK)
	for id := range uint64(2) { // take both slots
		g.core.AdmitDecisions(1000 + id)
		g.core.Admit(admission.Arrived{ID: 1000 + id, Request: fmt.Sprint(id), Organisation: "a", Deadline: time.Now().Add(testTimeout)})
	}
	local := NewLocalForwarder(g.core, NewPool(DialTCP, 0), g.backendAddr, true, NativeDialect())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result := local.forwardRequest(ctx, &outgoingRequest{dialect: &Dialect{}, in: newGetRequest().in}, admission.Arrived{
		Request: "waiting", Organisation: "b", Deadline: time.Now().Add(50 * time.Millisecond),
	})
	is.Equal(result.refusal.Outcome, outcome.NotRun)
	is.Equal(result.refusal.Reason, outcome.DeadlineExpired)
}
