package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/node"
)

const (
	idlePollInterval = 20 * time.Millisecond
	// lingerDuration is the time for which an idle connection, half-closed
	// towards the caller, is still read. A caller that has just sent a request
	// then sees an orderly close instead of a reset.
	lingerDuration = 250 * time.Millisecond
)

// servers holds the servers for requests of callers and of other proxies.
type servers struct {
	callerServer   *forward.CallerServer
	forwardServer  *http.Server
	callerListener net.Listener
}

func (h *Host) newServers(l listeners) *servers {
	backend := h.settings.BackendServer
	local := forward.NewLocalForwarder(h, h.backendPool, backend.Address, backend.ShedNotRun, h.dialect)
	local.LimitUploads(h.settings.Platform.LinkMbps, h.metrics.countUploadOffer)
	local.PaceResponses(h.settings.Platform.LinkMbps, h.metrics.responseObserver(h.intake, responseMemoryBound(h.settings.Machine)))
	if h.reportsCosts() {
		local.ReportCosts()
	}
	entry := forward.NewIngress(h, h.peerPool, h.runID, local, h.settings.Listen.Forward, h.settings.Service)
	entry.OnCall = h.metrics.calls.Inc
	entry.AbortsAt = h.abortsAt
	callers := forward.NewCallerServer(forward.LogPanics(entry, h.log), readHeaderTimeout, idleTimeout)
	callers.LimitsInForce = h.callerLimits.Load
	callers.OnReject = h.logReject
	callers.Intake = h.intake
	callers.ReceiveBuffer = h.receiveBuffer()
	callers.RetryAfter = entry.RetryAfter
	entry.NoRoomRetryAfter = h.noRoomRetryAfter
	callers.OnCut = h.recordCut
	peers := newServer(forward.LogPanics(local, h.log))
	peers.MaxHeaderBytes = maxPeerHeaderBytes
	intake.Watch(peers)
	return &servers{callerServer: callers, forwardServer: peers, callerListener: l.callers}
}

// abortsAt returns when the shutdown in progress aborts requests in flight, zero if there
// is none.
func (h *Host) abortsAt() time.Time {
	if end := h.shutdownEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// logReject logs a request that was rejected before routing.
func (h *Host) logReject(caller string, status int) {
	h.LogDecision(true, "request rejected", func() []any { return []any{"caller", caller, "status", status} })
}

// shutDown announces the shutdown to callers and other proxies, accepts requests
// during the notice period and then closes the servers when no request is in
// flight, at the latest at the limit of the plan.
//
// From the start of the shutdown, a connection of a caller closes after the
// responses to the requests in progress, or after the next response if there are
// none. Callers have the notice period, and the time of a request still in flight
// after it, to reconnect elsewhere. Only a connection without a request until the
// end of the notice period is closed without a response.
func (h *Host) shutDown(s *servers) {
	start, plan := time.Now(), planShutdown(h.settings.Shutdown, h.shutdownBounds)
	deadline := start.Add(plan.Limit)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	h.shutdownEnd.Store(&deadline)
	h.log.Info("graceful shutdown started", "until", deadline)
	s.callerServer.Drain()
	h.step(node.Leave{Cause: "signal", AdmitUntil: start.Add(plan.AdmitPeers), EndsAt: deadline})
	h.sleep(plan.Notice)
	_ = s.callerListener.Close()
	s.callerServer.CloseIdle()
	if h.awaitIdle(ctx) {
		s.callerServer.CloseIdle()
		h.sleep(min(lingerDuration, time.Until(deadline)))
	}
	if s.callerServer.Shutdown(ctx) != nil || s.forwardServer.Shutdown(ctx) != nil {
		left := h.requestsInFlight()
		h.log.Warn("shutdown limit reached; aborting requests in flight", "after_ms", time.Since(start).Milliseconds(),
			"routed", left.Routed, "running", left.Running, "waiting", left.Waiting)
		abortRequests(s, plan.Cut-plan.Limit)
	}
	s.callerServer.Close()
	_ = s.forwardServer.Close()
}

// abortRequests ends the requests in flight. Callers of this proxy get a response within the
// given time; other proxies see that their connections close and answer their callers.
func abortRequests(s *servers, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	_ = s.forwardServer.Close()
	s.callerServer.AbortRequests()
	_ = s.callerServer.Shutdown(ctx)
}

// awaitIdle waits until no request is in progress. It returns false if ctx ends
// first.
func (h *Host) awaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(idlePollInterval)
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

func (h *Host) idle() bool { return h.requestsInFlight() == node.RequestsInFlight{} }

func (h *Host) requestsInFlight() (r node.RequestsInFlight) {
	h.view(func(n *node.Node) { r = n.InFlight() })
	return r
}
