package backend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownTimeout bounds the wait for requests in flight during shutdown.
const shutdownTimeout = 30 * time.Second

// Serve serves until ctx is done. Then it refuses new requests, closes the
// listener and waits at most shutdownTimeout for the requests in flight.
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
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return errors.Wrap(server.Shutdown(shutdownCtx), "stop")
}
