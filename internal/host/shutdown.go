package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/node"
)

const (
	pollInterval = 20 * time.Millisecond
	// lingerTime is how long a closed idle connection still takes bytes, so
	// that a caller that has just sent a request sees its end and no reset.
	lingerTime = 250 * time.Millisecond
	// admitShare is the share of the notice in which requests of other proxies
	// are still run. What is left of it is time for those runs to end.
	admitShare = 0.6
)

// servers holds what serves requests.
type servers struct {
	callers *forward.CallerServer
	local   *http.Server
	accept  net.Listener
}

func (h *Host) newServers(l listeners) *servers {
	backend := h.settings.BackendServer
	local := forward.NewLocal(h, h.backendPool, backend.Address, backend.ShedNotRun, h.dialect)
	entry := forward.NewEntry(h, h.peerPool, h.origin, local, h.settings.Listen.Forward, h.settings.Service)
	return &servers{
		callers: forward.NewCallerServer(forward.LogPanics(entry, h.log), readHeaderTimeout, idleTimeout),
		local:   newServer(forward.LogPanics(local, h.log)),
		accept:  l.callers,
	}
}

// shutDown announces the end to callers and other proxies, takes their last
// requests until they know, and closes the servers when all has ended.
//
// Every answer to a caller since the start is the last one of its connection.
// Callers thus have the notice and then the end of their request to move; only
// connections that stayed idle all that time are closed without an answer.
func (h *Host) shutDown(s *servers) {
	began, notice := time.Now(), time.Duration(h.settings.Shutdown.Notice)
	limit := began.Add(notice + time.Duration(h.settings.Shutdown.Limit))
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	h.log.Info("graceful shutdown began", "until", limit)
	s.callers.Drain()
	h.step(node.Leave{Cause: "signal", AdmitUntil: began.Add(time.Duration(admitShare * float64(notice)))})
	h.sleep(notice)
	_ = s.accept.Close()
	s.callers.CloseIdle()
	if h.awaitIdle(ctx) {
		s.callers.CloseIdle()
		h.sleep(lingerTime)
	}
	if s.callers.Shutdown(ctx) != nil || s.local.Shutdown(ctx) != nil {
		h.log.Warn("requests in flight were cut at the limit of the shutdown")
	}
	s.callers.Close()
	_ = s.local.Close()
}

// awaitIdle waits until no request is in progress and reports whether that
// was before ctx ended.
func (h *Host) awaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !h.idle() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

func (h *Host) idle() bool {
	idle := false
	h.view(func(n *node.Node) { idle = n.Idle() })
	return idle
}
