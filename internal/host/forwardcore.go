package host

import (
	"context"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/decisionlog"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Route implements forward.Core.
func (h *Host) Route(e routing.Event) {
	if ended, ok := e.(routing.AttemptEnded); ok && ended.Outcome == outcome.Answered {
		h.metrics.attemptDuration.Observe(ended.Latency.Seconds())
		if ended.Expected > 0 {
			h.metrics.observeEstimate(ended.Expected, ended.Latency)
		}
	}
	h.mustStep(e)
}

// mustStep is step for events of a request. If the reducer panicked, it ends the
// request without a response, as no decision about it will follow.
func (h *Host) mustStep(e node.Event) {
	if !h.step(e) {
		panic(http.ErrAbortHandler)
	}
}

// LogDecision implements forward.DecisionLogger.
func (h *Host) LogDecision(notable bool, event string, fields func() []any) {
	class := decisionlog.Routine
	if notable {
		class = decisionlog.Notable
	}
	h.decisions.Add(class, event, fields)
}

// Admit implements forward.Core.
func (h *Host) Admit(e admission.Event) { h.mustStep(e) }

// RouteDecisions implements forward.Core.
func (h *Host) RouteDecisions(id uint64) (<-chan routing.Effect, func()) {
	return h.routeEffects.register(id)
}

// AdmitDecisions implements forward.Core.
func (h *Host) AdmitDecisions(id uint64) (<-chan admission.Effect, func()) {
	return h.admitEffects.register(id)
}

// NextID implements forward.Core.
func (h *Host) NextID() uint64 { return h.nextID.Add(1) }

// Gossip implements peer.Handler.
func (h *Host) Gossip(ctx context.Context, g member.Gossip) (member.Gossip, error) {
	return awaitReply[member.Gossip](ctx, h, func(call uint64) any { return member.Received{Call: call, Message: g} })
}

// Pull implements peer.Handler.
func (h *Host) Pull(ctx context.Context, r dist.PullRequest) (dist.PullReply, error) {
	return awaitReply[dist.PullReply](ctx, h, func(call uint64) any { return dist.PullReceived{Call: call, Request: r} })
}

// Announce implements peer.Handler.
func (h *Host) Announce(a dist.Announcement) {
	h.step(dist.Announced{Announcement: a})
}

// awaitReply feeds the event of a peer's call to the reducer and waits for the
// reply effect.
func awaitReply[T any](ctx context.Context, h *Host, event func(call uint64) any) (T, error) {
	call := h.NextID()
	replies, release := h.replies.register(call)
	defer release()
	if !h.step(event(call)) {
		var zero T
		return zero, errPanicked
	}
	select {
	case reply := <-replies:
		return reply.(T), nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// BackendLoad implements forward.LoadReporter.
func (h *Host) BackendLoad() (load float64) {
	h.view(func(n *node.Node) { load = n.LoadPerSlot() })
	return load
}

// RecentVersion implements forward.VersionReporter.
func (h *Host) RecentVersion() (version uint64) {
	now := time.Now()
	h.view(func(n *node.Node) { version = n.RecentVersion(now) })
	return version
}

// HearVersion implements forward.VersionReporter.
func (h *Host) HearVersion(version uint64, instance string) {
	h.step(node.VersionHeard{Version: version, From: instance})
}

// CostReport implements forward.CostReporter.
func (h *Host) CostReport(e admission.Arrived) (report admission.CostReport, ok bool) {
	now := time.Now()
	h.view(func(n *node.Node) { report, ok = n.CostReport(now, e) })
	return report, ok
}

// StopLeavesTime implements forward.StopChecker.
func (h *Host) StopLeavesTime(route string, deadline time.Time) (leaves bool) {
	if h.abortsAt().IsZero() {
		return true
	}
	h.view(func(n *node.Node) { leaves = n.StopLeavesTime(time.Now(), route, deadline) })
	return leaves
}

// Unroutable implements forward.RouteChecker.
func (h *Host) Unroutable(organisation, method, path string) (refusal outcome.Refusal, unroutable bool) {
	h.view(func(n *node.Node) { refusal, unroutable = n.Unroutable(organisation, method, path) })
	if unroutable {
		h.metrics.countRefusal(refusal)
	}
	return refusal, unroutable
}
