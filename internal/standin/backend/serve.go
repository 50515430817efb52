package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// stopLimit bounds the time in which the requests in flight may end.
const stopLimit = 30 * time.Second

// Serve serves until ctx is done, then drains: it refuses new work, lets the
// requests in flight end and closes the listener last.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler()}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.Drain()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer cancel()
	return errors.Wrap(server.Shutdown(limit), "stop")
}
