package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := New("one", 1, 0)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	responses := make(chan string, 1)
	go func() {
		req, _ := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/a?work=200ms", nil)
		req.Header.Set(RequestKeyHeader, "k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			responses <- err.Error()
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		responses <- string(text)
	}()
	for s.RunCount("k") == 0 {
		time.Sleep(time.Millisecond)
	}
	stop()
	is.Equal(<-responses, "ok one\n")
	is.NoErr(<-ended)
}
