package forward

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/routing"
)

// Guards against requests of callers that overtake others as calls: only a connection
// from the machine's own address counts, and only where callers have others.
func TestCallsComeFromTheOwnAddress(t *testing.T) {
	is := is.New(t)
	for _, test := range []struct {
		own, remote string
		declared    bool
		call        bool
	}{
		{"10.0.0.5:8000", "10.0.0.5:41000", true, true},
		{"[::ffff:10.0.0.5]:8000", "10.0.0.5:41000", true, true},
		{"10.0.0.5:8000", "10.0.0.6:41000", true, false},
		{"10.0.0.5:8000", "10.0.0.5:41000", false, false},
		{"10.0.0.5:8000", "", true, false},
	} {
		own, err := net.ResolveTCPAddr("tcp", test.own)
		is.NoErr(err)
		r := (&http.Request{RemoteAddr: test.remote}).WithContext(context.WithValue(context.Background(), http.LocalAddrContextKey, net.Addr(own)))
		d := Dialect{CallsFromOwnAddress: test.declared}
		is.Equal(d.isCall(r), test.call) // test.own, test.remote
	}
}

// Guards against a call that loses its mark between the proxies.
func TestCallIsMarkedAndCounted(t *testing.T) {
	is := is.New(t)
	for _, call := range []bool{false, true} {
		a, ok := parseHop(time.Now(), http.Header{hopHeader: {formatHop(routing.Send{Repeatable: true}, "q", 7, call, time.Now())}})
		is.True(ok)
		is.Equal(a.Call, call)
	}
	hops := make(chan string, 1)
	g := newSignedRig(t, func(c net.Conn, r *bufio.Reader) {
		respondOnce(c, r, signedResponse("r1", "Content-Length: 5\r\n\r\nhello"))
	})
	peer := rawServer(t, func(_ net.Conn, r *bufio.Reader) {
		if req, err := http.ReadRequest(r); err == nil {
			hops <- req.Header.Get(hopHeader)
		}
	})
	g.core.targets = []string{peer}
	var calls atomic.Int32
	g.ingress.OnCall = func() { calls.Add(1) }
	g.ingress.dialect.CallsFromOwnAddress = true
	_, _, _ = dialRaw(t, g.callersAddr).exchange(t, signedGet)
	is.True(strings.Contains("&"+<-hops, "&"+hopCall+"=1"))
	is.Equal(calls.Load(), int32(1))
}
