package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Ingress serves callers at the proxy where their requests enter the fleet, the
// entry proxy. It forwards the requests to the sidecar proxies of the backend
// servers that routing chooses.
type Ingress struct {
	core  Core
	pool  *Pool
	runID string
	// local handles requests for selfAddress directly, without a network hop.
	local       *LocalForwarder
	selfAddress string
	dialect     *Dialect
	// service is the service of the local backend server.
	service string
	// OnCall, if set, is called for each call of the local backend server.
	OnCall func()
	// NoRoomRetryAfter, if set, returns the time after which a caller that is refused for
	// lack of room may return.
	NoRoomRetryAfter func() time.Duration
	// AbortsAt, if set, returns when a shutdown in progress aborts requests in flight,
	// zero if there is none.
	AbortsAt func() time.Time
}

// notAfter returns the latest time of a response, zero if there is no such limit.
func (e *Ingress) notAfter() time.Time {
	if e.AbortsAt == nil {
		return time.Time{}
	}
	return e.AbortsAt()
}

// noRoomRetryAfter returns the time after which a caller that is refused for lack of room may
// return, 0 if it is not told.
func (e *Ingress) noRoomRetryAfter() time.Duration {
	if e.NoRoomRetryAfter == nil {
		return 0
	}
	return e.NoRoomRetryAfter()
}

// RetryAfter returns the Retry-After of a request that is refused for lack of room.
func (e *Ingress) RetryAfter() string { return e.dialect.formatRetryAfter(e.noRoomRetryAfter()) }

// NewIngress returns the handler for callers. The runID must be unique to this
// start of the process, so that request identifiers are unique in the fleet.
// Requests for selfAddress are handled by local, whose dialect is used. The
// service is that of the local backend server.
func NewIngress(core Core, pool *Pool, runID string, local *LocalForwarder, selfAddress, service string) *Ingress {
	return &Ingress{core: core, pool: pool, runID: runID, local: local, selfAddress: selfAddress, dialect: local.dialect, service: service}
}

// callerRequest is one request of a caller.
type callerRequest struct {
	*Ingress
	id           uint64
	organisation string
	fingerprint  uint64
	// call means that the local backend server sent the request.
	call      bool
	w         http.ResponseWriter
	r         *http.Request
	outgoing  *outgoingRequest
	startedAt time.Time
	// detail is the error text of the current attempt for the decision log.
	detail string
	// lastRefusal is the result of the previous attempt.
	lastRefusal outcome.Refusal
	// maybeRun is set when an attempt may have run the request.
	maybeRun bool
}

// ServeHTTP implements http.Handler.
func (e *Ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	budget, refusal, ok := e.dialect.validate(r)
	if !ok {
		e.dialect.writeRefusal(w, refusal, false)
		return
	}
	c := &callerRequest{Ingress: e, w: w, r: r, organisation: e.dialect.organisation(r), call: e.dialect.isCall(r), startedAt: time.Now(), outgoing: &outgoingRequest{in: r, lease: leaseOf(w), dialect: e.dialect, fromCaller: true, callerService: e.service, expectContinue: true}}
	if c.refuseUnroutable() || !c.readBody(budget) {
		return
	}
	defer c.outgoing.upload.waitUntilFinished()
	if c.call && e.OnCall != nil {
		e.OnCall()
	}
	c.id = e.core.NextID()
	c.fingerprint = fingerprint(c.organisation, r, c.outgoing.body)
	c.serve(routing.Arrived{
		ID:           c.id,
		Organisation: c.organisation,
		Method:       r.Method,
		Path:         e.dialect.path(r),
		Budget:       budget,
		Elapsed:      time.Since(c.startedAt),
		NotAfter:     e.notAfter(),
		Fingerprint:  c.fingerprint,
		Retry:        r.Header.Get(RetryHeader) != "",
	})
}

// refuseUnroutable refuses a request with a body that has no route, before the body is read.
// It reports whether it did.
func (c *callerRequest) refuseUnroutable() bool {
	if c.r.ContentLength == 0 {
		return false
	}
	refusal, ok := unroutable(c.core, c.organisation, c.r.Method, c.dialect.path(c.r))
	if !ok {
		return false
	}
	discardArrived(c.w, c.r)
	c.logRefusal(refusal)
	c.dialect.writeRefusal(c.w, refusal, false)
	return true
}

// discardArrived reads and discards a body that has arrived completely, so that its
// connection can stay open.
func discardArrived(w http.ResponseWriter, r *http.Request) {
	if x, ok := w.(*callerExchange); ok && r.ContentLength > 0 && int64(x.conn.reader.Buffered()) >= r.ContentLength {
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// readBody reads a small body into memory and sets up the streaming of a large
// one. During a shutdown a body of unknown length counts as small if it is: its end may come
// when there is no time left to run the request. It reports false if a small body did not
// arrive within the time budget of the caller; the request is then refused.
func (c *callerRequest) readBody(budget time.Duration) bool {
	var body []byte
	var err error
	small := hasSmallBody(c.r)
	switch {
	case small:
		body, err = readSmallBody(c.w, c.r, budget, leaseOf(c.w))
	case c.r.ContentLength < 0 && len(c.r.Trailer) == 0 && !c.notAfter().IsZero():
		body, small, err = readUnsizedBody(c.w, c.r, budget, leaseOf(c.w))
	}
	if err == nil && !small && !leaseOf(c.w).Acquire(copyBufferBytes) {
		err = errNoRoom
	}
	if err == nil && !small {
		c.outgoing.upload = newUpload(c.w, c.r)
		return true
	}
	if err != nil {
		c.detail = err.Error()
		refusal := notRun(outcome.MalformedRequest, http.StatusRequestTimeout)
		switch {
		case bodyTooLarge(c.r):
			refusal = notRun(outcome.BodyTooLarge, http.StatusRequestEntityTooLarge)
		case errors.Is(err, errNoRoom):
			refusal = notRun(outcome.ClientLimit, http.StatusServiceUnavailable)
			refusal.RetryAfter = c.noRoomRetryAfter()
		}
		c.logRefusal(refusal)
		c.dialect.writeRefusal(c.w, refusal, true)
		return false
	}
	c.outgoing.body = body
	return true
}

// serve applies routing decisions until the caller has its final response.
func (c *callerRequest) serve(arrived routing.Arrived) {
	decisions, release := c.core.RouteDecisions(c.id)
	defer release()
	c.core.Route(arrived)
	for {
		select {
		case decision := <-decisions:
			if c.applyDecision(decision) {
				return
			}
		case <-c.r.Context().Done():
			c.endCancelled(c.lastRefusal)
			return
		}
	}
}

// applyDecision carries out a routing decision and reports whether the caller has
// its final response. A streamed body of which a part was sent cannot be sent
// again, so the request is then refused with the result of the previous attempt.
func (c *callerRequest) applyDecision(decision routing.Effect) bool {
	switch d := decision.(type) {
	case routing.Send:
		if c.outgoing.upload.started() {
			c.core.Route(routing.Abandoned{ID: c.id})
			c.refuse(c.lastRefusal)
			return true
		}
		return c.attempt(d)
	case routing.Refuse:
		c.refuse(d.Refusal)
		return true
	}
	return false
}

// attempt makes one attempt and reports whether the caller has its response.
func (c *callerRequest) attempt(d routing.Send) bool {
	start := time.Now()
	c.outgoing.nonRepeatable = !d.Repeatable
	c.outgoing.offerBody = d.Upload
	c.outgoing.mayEnd = func() bool { return c.mayEnd(d) }
	if c.isLocal(d) {
		return c.attemptLocal(d, start)
	}
	use := c.local.link.newUse("")
	defer use.release()
	c.outgoing.use = use
	c.setPeerHeaders(d)
	fence := c.newAttemptFence(d)
	x, err := c.pool.Do(c.r.Context(), d.Deadline, d.Address, c.outgoing)
	if err != nil {
		c.detail = err.Error()
		return c.reportFailure(d, start, fence.resolve(c.r.Context(), d.Deadline, refusalForError(err)), 0, routing.CostReport{})
	}
	c.hearVersion(d, x.Response.Header)
	if refusal, refused := parseRefusal(x.Response); refused {
		load, costs := parseLoad(x.Response.Header), c.peerCosts(d, x.Response.Header)
		x.Close(false)
		return c.reportFailure(d, start, refusal, load, costs)
	}
	if err := x.verifyResponse(c.r.Context()); err != nil {
		c.detail = err.Error()
		return c.reportFailure(d, start, refusalForError(err), 0, routing.CostReport{})
	}
	costs := c.peerCosts(d, x.Response.Header)
	defer c.reportResponse(d, x, start, costs)()
	relayResponse(c.w, c.r, x, delivery{deadline: d.Deadline, extra: versionField(d), use: use, sameMachine: sameMachine(c.w)})
	return c.endRelay(d, start, x, costs)
}

// attemptLocal makes one attempt at the local backend server.
func (c *callerRequest) attemptLocal(d routing.Send, start time.Time) bool {
	c.outgoing.retry = d.Retry
	arrived := admission.Arrived{
		Request:      c.fleetRequestID(),
		Organisation: c.slotOrganisation(),
		Key:          c.dialect.idempotencyKey(c.r),
		Fingerprint:  c.fingerprint,
		KnownCrashes: d.KnownCrashes,
		Repeatable:   d.Repeatable,
		Deadline:     d.Deadline,
		Instance:     d.Instance,
		Priority:     d.Priority,
		Call:         c.call,
		Target:       d.Target,
		Route:        d.Route,
		Patience:     d.MaxWaitShare,
		RateLimit:    d.RateLimit,
		RateLimited:  d.RateLimited,

		WarmUpPerSecond: d.WarmUpPerSecond,
	}
	use := c.local.link.newUse(routeKey(arrived))
	defer use.release()
	c.outgoing.use = use
	result := c.local.forwardRequest(c.r.Context(), c.outgoing, arrived)
	c.outgoing.expectContinue = true
	if result.exchange == nil {
		return c.reportFailure(d, start, result.refusal, 0, result.costReport())
	}
	defer c.reportResponse(d, result.exchange, start, result.costReport())()
	result.relay(c.w, c.r, delivery{extra: versionField(d), use: use, sameMachine: sameMachine(c.w)})
	return c.endRelay(d, start, result.exchange, result.costReport())
}

// endRelay reports whether the caller has the response. If none of it was forwarded, the
// attempt has failed.
func (c *callerRequest) endRelay(d routing.Send, start time.Time, x *Exchange, costs routing.CostReport) bool {
	if x.unforwarded == nil {
		return true
	}
	c.detail = x.unforwarded.Error()
	refusal := refusalForError(x.unforwarded)
	if c.isLocal(d) {
		refusal.Reason = c.local.crashReason(c.r.Context(), refusal.Reason)
	}
	return c.reportFailure(d, start, refusal, parseLoad(x.Response.Header), costs)
}

// isLocal reports whether an attempt goes to the local backend server.
func (c *callerRequest) isLocal(d routing.Send) bool {
	return d.Address == c.selfAddress && c.local != nil
}

// mayEnd reports whether the end of a streamed body may be sent.
func (c *callerRequest) mayEnd(d routing.Send) bool {
	if !stopLeavesTime(c.core, d.Route, d.Deadline) {
		return false
	}
	c.core.Route(routing.BodySent{ID: c.id})
	return true
}

// reportFailure reports a failed attempt to routing, which decides what to do
// next. If the caller has disconnected, the request is abandoned, but an attempt without a
// response until the deadline still counts. It reports whether the caller has its response,
// which is so if this proxy has cancelled the request.
func (c *callerRequest) reportFailure(d routing.Send, start time.Time, r outcome.Refusal, load float64, costs routing.CostReport) bool {
	c.logAttempt(d, start, true, "outcome", r.Outcome, "reason", r.Reason, "detail", c.detail)
	c.detail = ""
	if c.outgoing.upload.isWithheld() && r.Outcome == outcome.NotRun {
		c.core.Route(routing.Withheld{ID: c.id})
		return false
	}
	c.lastRefusal = r
	c.maybeRun = c.maybeRun || r.Outcome != outcome.NotRun
	left := c.r.Context().Err() != nil
	if left && !(r.Outcome == outcome.Unknown && r.Reason == outcome.DeadlineExpired) {
		c.endCancelled(r)
		return true
	}
	c.core.Route(routing.AttemptEnded{
		ID:         c.id,
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
		Status:     r.Status,
		Load:       load,
		Costs:      costs,
		LinkBusy:   r.LinkBusy,
	})
	if left {
		c.endCancelled(r)
	}
	return left
}

// endCancelled ends a request whose context was cancelled. If this proxy has cancelled it
// at the end of a shutdown, the caller gets a refusal with the result of the last attempt,
// and otherwise none, as it has disconnected.
func (c *callerRequest) endCancelled(last outcome.Refusal) {
	c.core.Route(routing.Abandoned{ID: c.id})
	if !errors.Is(context.Cause(c.r.Context()), errShuttingDown) {
		panic(http.ErrAbortHandler) // returning would write an empty response
	}
	if last.Status == 0 {
		last = notRun(outcome.InstanceLeaving, http.StatusServiceUnavailable)
	}
	last.Reason = outcome.InstanceLeaving
	c.refuse(last)
}

// refuse sends a refusal to the caller. If an earlier attempt may have run the
// request, the outcome is unknown even if the last attempt did not run it.
func (c *callerRequest) refuse(r outcome.Refusal) {
	r.LinkBusy = false // concerns proxies only
	if c.maybeRun && r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
		r.RetryAfter = 0
		if r.Status != http.StatusGatewayTimeout {
			r.Status = http.StatusBadGateway
		}
	}
	if bodyTooLarge(c.r) {
		r.Reason, r.Status, r.RetryAfter = outcome.BodyTooLarge, http.StatusRequestEntityTooLarge, 0
	}
	c.logRefusal(r)
	c.dialect.refuse(c.w, c.outgoing.upload, r)
}

// reportResponse logs an attempt whose response header has arrived, and reports what the
// backend server states in it. It returns the function that reports the end of the
// attempt, and whether the response was truncated; the reported latency is that until
// the header. If no part of the response was forwarded, endRelay reports the end.
func (c *callerRequest) reportResponse(d routing.Send, x *Exchange, start time.Time, costs routing.CostReport) func() {
	resp := x.Response
	report, _ := c.dialect.backendReport(resp.Header) // the proxy beside the backend server logs invalid ones
	report = report.withoutLoad()
	fields := append([]any{"outcome", outcome.Answered, "status", resp.StatusCode}, report.fields()...)
	c.logAttempt(d, start, resp.StatusCode >= http.StatusInternalServerError || d.Attempt > 1, fields...)
	if report != (backendReport{}) {
		c.core.Route(routing.Reported{ID: c.id, RateLimit: report.rateLimit, RateLimited: report.rateLimited, Leaving: report.leaving})
	}
	e := routing.AttemptEnded{
		ID:       c.id,
		Outcome:  outcome.Answered,
		Latency:  time.Since(start),
		Expected: d.Choice.Estimate.Finish(),
		Status:   resp.StatusCode,
		Load:     parseLoad(resp.Header),
		Bytes:    resp.ContentLength,
		Costs:    costs,
	}
	return func() {
		if x.unforwarded != nil {
			return // reported as a failure
		}
		if e.Truncated = x.truncation != nil; e.Truncated {
			c.logAttempt(d, start, true, "outcome", e.Outcome, "detail", "the response body did not end properly: "+x.truncation.Error())
		}
		c.core.Route(e)
	}
}

// peerCosts returns the report on costs in the response of another proxy. An invalid one
// is logged and ignored.
func (c *callerRequest) peerCosts(d routing.Send, h http.Header) routing.CostReport {
	costs, err := parseCostReport(h)
	if err != nil {
		logDecision(c.core, true, "invalid report", func() []any {
			return []any{"request", c.dialect.RequestID(c.r), "instance", d.Instance, "detail", err.Error()}
		})
	}
	return costs
}

// slotOrganisation returns the organisation whose share of the backend server's
// slots the request uses. With OrganisationFromHost it is empty: host names have
// no share of their own.
func (c *callerRequest) slotOrganisation() string {
	if c.dialect.OrganisationFromHost {
		return ""
	}
	return c.organisation
}

// fleetRequestID returns an identifier of the request that is unique in the
// fleet.
func (c *callerRequest) fleetRequestID() string {
	return c.runID + "-" + strconv.FormatUint(c.id, 36)
}

// versionField returns the header that tells the caller which version routed
// the request.
func versionField(d routing.Send) field {
	return field{VersionHeader, strconv.FormatUint(d.Version, 10)}
}

// setPeerHeaders sets the headers for the sidecar proxy of the backend server.
func (c *callerRequest) setPeerHeaders(d routing.Send) {
	now := time.Now()
	fields := append(c.outgoing.fields[:0],
		field{DeadlineHeader, formatDeadline(d.Deadline.Sub(now))},
		field{hopHeader, formatHop(d, c.fleetRequestID(), c.fingerprint, c.call, now)},
	)
	if org := c.slotOrganisation(); org != "" {
		fields = append(fields, field{OrganisationHeader, org})
	}
	if c.dialect.CallerServiceHeader != "" {
		fields = append(fields, field{c.dialect.CallerServiceHeader, c.service})
	}
	if key := c.dialect.idempotencyKey(c.r); key != "" {
		fields = append(fields, field{IdempotencyHeader, key})
	}
	if d.Retry {
		fields = append(fields, field{RetryHeader, "1"})
	}
	c.outgoing.fields = fields
}
