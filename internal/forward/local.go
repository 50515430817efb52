package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/transfer"
)

// LocalForwarder forwards requests to the local backend server: those of other
// proxies, which it serves as an http.Handler, and those of callers of this
// proxy.
type LocalForwarder struct {
	core    Core
	pool    *Pool
	address string
	// shedNotRun means that a 503 response with Retry-After guarantees that the
	// request was not run.
	shedNotRun bool
	dialect    *Dialect
	// uploads paces the bodies that other proxies offer, nil if it does not.
	uploads *uploadGate
	// link is the link of this machine, nil if its bandwidth is unknown.
	link *responseLink
	// reportsCosts is set by ReportCosts.
	reportsCosts bool
}

// LimitUploads paces the bodies that other proxies offer over a link with the given
// bandwidth in Mbit/s, 0 for no pacing, and calls observe for each decision. It must be
// called before the first request.
func (l *LocalForwarder) LimitUploads(linkMbps float64, observe func(admitted bool)) {
	if g := transfer.NewGate(linkMbps); g != nil {
		l.uploads = &uploadGate{gate: g, observe: observe}
	}
}

// NewLocalForwarder returns a forwarder to the backend server at the address.
func NewLocalForwarder(core Core, pool *Pool, address string, shedNotRun bool, dialect Dialect) *LocalForwarder {
	return &LocalForwarder{core: core, pool: pool, address: address, shedNotRun: shedNotRun, dialect: &dialect}
}

// backendRequest is one request for the backend server.
type backendRequest struct {
	*LocalForwarder
	ctx       context.Context
	deadline  time.Time
	outgoing  *outgoingRequest
	arrived   admission.Arrived
	startedAt time.Time
	// serviceTime is the time from the start of the exchange with the backend server
	// to the header of the response.
	serviceTime time.Duration
	// detail is the error of a failed exchange.
	detail string
	// reported is set when the end of a request with a response has been reported. The
	// response may be read by another goroutine than that of its receiver.
	reported atomic.Bool
}

// backendResult is the result of a backendRequest: an exchange whose response
// is to be relayed, or a refusal if exchange is nil.
type backendResult struct {
	request  *backendRequest
	exchange *Exchange
	refusal  outcome.Refusal
}

// costReport returns the report on the request.
func (b backendResult) costReport() routing.CostReport {
	if b.exchange == nil {
		return b.request.LocalForwarder.costReport(b.request.arrived, 0)
	}
	return b.request.LocalForwarder.costReport(b.request.arrived, b.request.serviceTime)
}

// ServeHTTP implements http.Handler for other proxies.
func (l *LocalForwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	budget, ok := parseDeadline(r.Header)
	arrived, hopOK := parseHop(now, r.Header)
	if !ok || !hopOK || budget == 0 {
		l.dialect.writeRefusal(w, notRun(outcome.MalformedRequest, http.StatusBadRequest), false)
		return
	}
	l.recentVersionField().addTo(w.Header())
	lease, ok := l.leaseRequest(w, r)
	defer lease.Settle(0)
	if !ok {
		l.refuseNoRoom(w, r, arrived)
		return
	}
	arrived.Deadline = now.Add(budget)
	arrived.Organisation = r.Header.Get(OrganisationHeader)
	arrived.Key = r.Header.Get(IdempotencyHeader)
	out := &outgoingRequest{in: r, lease: &lease, dialect: l.dialect, retry: r.Header.Get(RetryHeader) != ""}
	out.mayEnd = func() bool { return stopLeavesTime(l.core, arrived.Route, arrived.Deadline) }
	if conn := intake.NetConnOf(r); conn != nil && !hasSmallBody(r) {
		// A body that is not being read hides the end of the connection from net/http.
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		go awaitWatching(conn, ctx.Done(), nil, cancel)
	}
	if refusal, ok := l.awaitUpload(r, arrived); !ok {
		l.loadField(l.costReport(arrived, 0)).addTo(w.Header())
		l.dialect.writeRefusal(w, refusal, true)
		return
	}
	if !hasSmallBody(r) {
		if !lease.Acquire(copyBufferBytes) {
			l.refuseNoRoom(w, r, arrived)
			return
		}
		out.upload = newUpload(w, r)
		defer out.upload.waitUntilFinished()
	} else {
		body, err := readSmallBody(w, r, budget, &lease)
		if errors.Is(err, errNoRoom) {
			l.refuseNoRoom(w, r, arrived)
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler) // the peer disconnected before its request was complete
		}
		out.body = body
	}
	w.Header()["Date"] = nil // the entry proxy sets Date itself
	use := l.link.newUse(routeKey(arrived))
	defer use.release()
	out.use = use
	if refusal, ok := l.planResponse(r, use, arrived); !ok {
		l.loadField(l.costReport(arrived, 0)).addTo(w.Header())
		l.dialect.refuse(w, out.upload, refusal)
		return
	}
	out.nonRepeatable = !arrived.Repeatable
	result := l.forwardRequest(r.Context(), out, arrived)
	if result.exchange == nil {
		l.loadField(result.costReport()).addTo(w.Header())
		l.dialect.refuse(w, out.upload, result.refusal)
		return
	}
	defer result.logTruncation()
	result.relay(w, r, delivery{extra: l.loadField(result.costReport()), use: use})
}

// leaseRequest charges the request of another proxy to what clients hold, since it is held for
// one of them. It reports false if there is no room for it. While there are many connections
// of other proxies, they are closed one after the other.
func (l *LocalForwarder) leaseRequest(w http.ResponseWriter, r *http.Request) (lease intake.Lease, ok bool) {
	conn := intake.ConnOf(r)
	crowding := conn.Crowding()
	if crowding == intake.Crowded {
		w.Header()["Connection"] = []string{"close"}
	}
	lease = conn.Lease()
	cost := intake.RequestCost + intake.HeaderCost(headerSize(r.Header))
	return lease, crowding != intake.Overcrowded && lease.Acquire(cost)
}

// refuseNoRoom refuses a request of another proxy for lack of room. The connection is closed,
// since its body may be unread.
func (l *LocalForwarder) refuseNoRoom(w http.ResponseWriter, r *http.Request, arrived admission.Arrived) {
	refusal := notRun(outcome.Overload, http.StatusServiceUnavailable)
	logDecision(l.core, true, "no room", func() []any {
		return []any{"request", l.dialect.RequestID(r), "instance", arrived.Instance, "reason", refusal.Reason, "proxy", r.RemoteAddr}
	})
	l.loadField(l.costReport(arrived, 0)).addTo(w.Header())
	l.dialect.writeRefusal(w, refusal, true)
}

// forwardRequest waits for a slot, forwards the request to the backend server
// and reads the response header.
func (l *LocalForwarder) forwardRequest(ctx context.Context, out *outgoingRequest, arrived admission.Arrived) backendResult {
	arrived.ID = l.core.NextID()
	c := &backendRequest{LocalForwarder: l, ctx: ctx, deadline: arrived.Deadline, outgoing: out, arrived: arrived, startedAt: time.Now()}
	decisions, release := l.core.AdmitDecisions(arrived.ID)
	defer release()
	l.core.Admit(arrived)
	decision, ok := c.waitForDecision(decisions)
	if !ok {
		l.core.Admit(admission.Abandoned{ID: arrived.ID})
		return c.refuse(notRun(outcome.Cancelled, http.StatusServiceUnavailable))
	}
	return c.applyDecision(decision)
}

// waitForDecision returns the admission decision for the request, or false if
// the sender disconnected. It triggers a tick of admission shortly before and
// at the deadline, because the periodic ticks of the host may be too far apart
// for a short deadline.
func (c *backendRequest) waitForDecision(decisions <-chan admission.Effect) (admission.Effect, bool) {
	select {
	case decision := <-decisions:
		return decision, true
	default:
	}
	remaining := time.Until(c.deadline)
	expiry := time.NewTimer(remaining - expiryMargin(remaining))
	defer expiry.Stop()
	for {
		select {
		case decision := <-decisions:
			return decision, true
		case <-expiry.C:
			c.core.Admit(admission.Tick{})
			if time.Now().Before(c.deadline) {
				expiry.Reset(time.Until(c.deadline))
			}
		case <-c.ctx.Done():
			return nil, false
		}
	}
}

func (c *backendRequest) refuse(r outcome.Refusal) backendResult {
	c.logNotServed(r)
	return backendResult{request: c, refusal: r}
}

func (c *backendRequest) applyDecision(decision admission.Effect) backendResult {
	switch d := decision.(type) {
	case admission.Run:
		return c.sendToBackend(d.SendBy)
	case admission.Refuse:
		return c.refuse(d.Refusal)
	}
	return c.refuse(notRun(outcome.MalformedRequest, http.StatusInternalServerError))
}

// sendToBackend forwards the request to the backend server, unless a stop of this proxy leaves no
// time for it or it cannot be sent by the given time, zero for no such limit.
func (c *backendRequest) sendToBackend(sendBy time.Time) backendResult {
	if !stopLeavesTime(c.core, c.arrived.Route, c.deadline) {
		c.core.Admit(admission.Ended{ID: c.arrived.ID, Outcome: outcome.NotRun, Reason: outcome.InstanceLeaving, Inconclusive: true})
		return c.refuse(notRun(outcome.InstanceLeaving, http.StatusServiceUnavailable))
	}
	c.setBackendHeaders()
	sentAt := time.Now()
	x, err := c.roundTrip(sendBy)
	c.serviceTime = time.Since(sentAt)
	if err != nil {
		refusal := c.refusalFor(err)
		c.detail = err.Error()
		reason := c.lossReason(err, refusal.Reason)
		if reason == outcome.BackendServerCrashed {
			refusal.Reason = reason
		}
		c.core.Admit(admission.Ended{ID: c.arrived.ID, Outcome: refusal.Outcome, Reason: reason, Inconclusive: c.inconclusive(err)})
		return c.refuse(refusal)
	}
	reason, refused := c.notRunReason(x.Response)
	if reason != outcome.OtherInstance {
		c.passReport(x.Response.Header, !refused)
	}
	if refused {
		refusal := notRun(reason, http.StatusServiceUnavailable)
		refusal.RetryAfter = parseRetryAfter(x.Response.Header)
		x.Close(false)
		c.reportEnd(refusal.Outcome, refusal.Reason)
		return c.refuse(refusal)
	}
	return backendResult{request: c, exchange: x}
}

// refusalFor maps the error of a failed exchange. One that the sender cancelled before the
// first byte says nothing about the connection to the backend server.
func (c *backendRequest) refusalFor(err error) outcome.Refusal {
	if c.ctx.Err() != nil && errors.Is(err, ErrNotSent) && !errors.Is(err, ErrDeadlineExpired) {
		return notRun(outcome.Cancelled, http.StatusServiceUnavailable)
	}
	return refusalForError(err)
}

// lossReason returns the reason by which admission counts a failed exchange that is refused
// for the given reason. Bytes that are no response count as a lost connection: they may be the
// last ones of a process.
func (c *backendRequest) lossReason(err error, refused outcome.Reason) outcome.Reason {
	if refused == outcome.MalformedAnswer && errors.Is(err, ErrConnectionLost) {
		refused = outcome.ConnectionLost
	}
	return c.crashReason(c.ctx, refused)
}

// inconclusive reports whether the failure of an exchange says nothing about the process
// of the backend server, since the sender left or this proxy could not send.
func (c *backendRequest) inconclusive(err error) bool {
	return c.ctx.Err() != nil || errors.Is(err, errWithheld) || errors.Is(err, ErrNotSent) && !errors.Is(err, errUnreachable)
}

// notRunReason reports whether the backend server states that it did not run
// the request, and the reason.
func (c *backendRequest) notRunReason(resp *http.Response) (outcome.Reason, bool) {
	switch {
	case c.dialect.ExpectInstanceHeader != "" && resp.StatusCode == http.StatusMisdirectedRequest:
		return outcome.OtherInstance, true
	case c.dialect.NotRunHeader != "" && resp.Header.Get(c.dialect.NotRunHeader) != "":
		return outcome.BackendServerShed, true
	case c.shedNotRun && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return outcome.BackendServerShed, true
	}
	return "", false
}

// roundTrip sends the request to the backend server, reads the response header
// and verifies the response.
func (c *backendRequest) roundTrip(sendBy time.Time) (*Exchange, error) {
	c.outgoing.sendBy = sendBy
	x, err := c.pool.Do(c.ctx, c.deadline, c.address, c.outgoing)
	c.outgoing.sendBy = time.Time{} // the next attempt may go to another proxy
	if err != nil {
		return nil, err
	}
	return x, x.verifyResponse(c.ctx)
}

// setBackendHeaders sets the headers for the backend server.
func (c *backendRequest) setBackendHeaders() {
	c.outgoing.expectContinue = false
	c.outgoing.fields = append(c.outgoing.fields[:0],
		field{DeadlineHeader, c.dialect.formatDeadline(time.Until(c.deadline))},
	)
	if c.dialect.ExpectInstanceHeader != "" {
		c.outgoing.fields = append(c.outgoing.fields, field{c.dialect.ExpectInstanceHeader, c.arrived.Instance})
	}
	if c.dialect.CallerServiceHeader != "" && c.outgoing.fromCaller {
		c.outgoing.fields = append(c.outgoing.fields, field{c.dialect.CallerServiceHeader, c.outgoing.callerService})
	}
	if c.dialect.OrganisationFromHost {
		return
	}
	c.outgoing.fields = append(c.outgoing.fields, field{OrganisationHeader, c.arrived.Organisation})
	if c.outgoing.retry {
		c.outgoing.fields = append(c.outgoing.fields, field{RetryHeader, "1"})
	}
	if c.arrived.Key != "" {
		c.outgoing.fields = append(c.outgoing.fields, field{IdempotencyHeader, c.arrived.Key})
	}
}

func (c *backendRequest) reportEnd(o outcome.Outcome, reason outcome.Reason) {
	c.core.Admit(admission.Ended{ID: c.arrived.ID, Outcome: o, Reason: reason})
}

// relay forwards the response to its receiver. It reports the end of the request to
// admission when the response has been read: the slot of the backend server is then
// free, whether or not the receiver has the response.
func (b backendResult) relay(w http.ResponseWriter, r *http.Request, d delivery) {
	defer b.request.reportRead(false)
	d.deadline, d.request = b.request.deadline, b.request
	relayResponse(w, r, b.exchange, d)
}

// reportRead reports the end of a request whose response has been read, completely or
// not. Only the first call counts.
func (c *backendRequest) reportRead(complete bool) {
	if c.reported.Swap(true) {
		return
	}
	ended := admission.Ended{ID: c.arrived.ID, Outcome: outcome.Answered}
	if !complete {
		ended.Outcome, ended.Reason, ended.Inconclusive = outcome.Unknown, outcome.ConnectionLost, true
	}
	c.core.Admit(ended)
}

// refuse writes a refusal. If part of the request body may have been read, the
// connection is closed, so that the rest of the body is not taken for a
// request.
func (d *Dialect) refuse(w http.ResponseWriter, u *upload, refusal outcome.Refusal) {
	d.writeRefusal(w, refusal, u.started())
}
