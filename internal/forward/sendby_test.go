package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// Guards against requests that a slow connection delays: a cold backend server then gets,
// in one second, those that started over a longer time than the limit counts.
func TestColdBackendServerIsNotSentDelayedRequests(t *testing.T) {
	is := is.New(t)
	address := rawServer(t, func(c net.Conn, r *bufio.Reader) {
		for respondOnce(c, r, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") {
		}
	})
	var dials atomic.Int32
	pool := NewPool(func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		time.Sleep(warmup.SendDelay + 20*time.Millisecond)
		return DialTCP(ctx, address)
	}, 0)
	defer pool.Close()
	core := newFakeCore()
	cold := config.ServiceLimits{WarmUp: config.Duration(time.Minute), WarmUpPerSecond: 100}
	core.admission.Step(time.Now().Add(-2*time.Second), admission.ServiceLimited{Limits: cold})
	core.Admit(admission.WarmUpChecked{Left: time.Minute, Stated: true})
	local := NewLocalForwarder(core, pool, address, false, Dialect{})
	send := func(id string) backendResult {
		out := newGetRequest()
		out.in.Header = http.Header{}
		return local.forwardRequest(t.Context(), out, admission.Arrived{Request: id, Deadline: time.Now().Add(testTimeout)})
	}
	late := send("1")
	is.True(late.exchange == nil)
	is.Equal(late.refusal.Outcome, outcome.NotRun)
	is.Equal(late.refusal.Reason, outcome.BackendServerLimited)
	core.waitForFreeSlots(t)
	result := send("2") // on the connection that came too late for the first
	is.True(result.exchange != nil)
	is.Equal(dials.Load(), int32(1))
	result.exchange.Close(true)
}
