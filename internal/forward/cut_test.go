package forward

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that ends without a response has to be counted under what ended it:
// counters by cause tell a request that crossed the end of its connection from one
// that was cut.
func TestCutsAreReportedByCause(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, tc := range []struct {
		cause CutCause
		run   func(t *testing.T, s *CallerServer, c net.Conn, handling <-chan struct{})
	}{
		{CutUnread, func(t *testing.T, s *CallerServer, c net.Conn, _ <-chan struct{}) {
			s.CloseIdle()
			_, _ = io.Copy(io.Discard, c) // until the half-close
			_, _ = io.WriteString(c, get)
		}},
		{CutByCaller, func(t *testing.T, s *CallerServer, c net.Conn, handling <-chan struct{}) {
			_, _ = io.WriteString(c, get)
			<-handling
			_ = c.Close()
		}},
		{CutByShutdown, func(t *testing.T, s *CallerServer, c net.Conn, handling <-chan struct{}) {
			_, _ = io.WriteString(c, get)
			<-handling
			s.Close()
		}},
		{CutResponse, func(t *testing.T, s *CallerServer, c net.Conn, _ <-chan struct{}) {
			_, _ = io.WriteString(c, "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n")
		}},
	} {
		t.Run(string(tc.cause), func(t *testing.T) {
			is := is.New(t)
			cuts, handling := make(chan Cut, 4), make(chan struct{}, 1)
			s := NewCallerServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/abort" {
					panic(http.ErrAbortHandler)
				}
				handling <- struct{}{}
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}), time.Second, time.Minute)
			s.OnCut = func(c Cut) { cuts <- c }
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			go func() { _ = s.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			for len(s.connections()) == 0 {
				time.Sleep(time.Millisecond)
			}
			tc.run(t, s, c, handling)
			select {
			case cut := <-cuts:
				is.Equal(cut.Cause, tc.cause)
				is.Equal(cut.Request == nil, tc.cause == CutUnread)
			case <-time.After(5 * time.Second):
				t.Fatal("no cut was reported")
			}
		})
	}
}
