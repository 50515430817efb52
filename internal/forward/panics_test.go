package forward

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"
)

// A panic in a handler closes one connection and is logged; an intended abort
// is not logged.
func TestPanicIsLoggedAndClosesConnection(t *testing.T) {
	is := is.New(t)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("broken invariant")
	})
	for path, lines := range map[string]int{"/abort": 0, "/fault": 1} {
		var text bytes.Buffer
		logger := log.NewWithOptions(&text, log.Options{Formatter: log.JSONFormatter})
		s := NewCallerServer(LogPanics(handler, logger), time.Second, time.Second)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		go func() { _ = s.Serve(l) }()
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		_, err = http.ReadResponse(bufio.NewReader(c), nil)
		is.True(err != nil)
		_ = c.Close()
		_ = l.Close()
		s.Close() // waits until the connection is closed
		is.Equal(strings.Count(text.String(), "broken invariant"), lines)
		is.Equal(strings.Count(text.String(), "\n"), lines)
	}
}
