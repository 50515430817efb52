package forward

import (
	"net/http"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Entry serves callers: it hands their requests to the proxies beside the
// backend servers that the reducer chooses.
type Entry struct {
	core   Core
	pool   *Pool
	origin string
	// local takes the requests for the address self without a hop.
	local   *Local
	self    string
	dialect *Dialect
	// service is that of the backend server beside this proxy.
	service string
}

// NewEntry returns the handler for callers. Origin is unique to this start of
// the process and makes request identifiers unique in the fleet. Local serves
// the address self; its dialect is spoken. Service is that of the backend
// server beside this proxy.
func NewEntry(core Core, pool *Pool, origin string, local *Local, self, service string) *Entry {
	return &Entry{core: core, pool: pool, origin: origin, local: local, self: self, dialect: local.dialect, service: service}
}

// entryCall is one request of a caller.
type entryCall struct {
	*Entry
	id           uint64
	organisation string
	hash         uint64
	w            http.ResponseWriter
	r            *http.Request
	message      *message
	began        time.Time
	// detail is the error of the last attempt.
	detail string
	// last is the outcome of the attempt before.
	last outcome.Refusal
	// doubtful tells that an attempt may have run.
	doubtful bool
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	budget, refusal, ok := e.dialect.check(r)
	if !ok {
		e.dialect.writeRefusal(w, refusal, false)
		return
	}
	c := &entryCall{Entry: e, w: w, r: r, began: time.Now(), message: &message{in: r, dialect: e.dialect, atEntry: true, caller: e.service, expect: true}}
	if !c.readBody() {
		return
	}
	defer c.message.upload.finish()
	c.id = e.core.NextID()
	c.organisation = e.dialect.organisation(r)
	c.hash = fingerprint(c.organisation, r, c.message.body)
	c.serve(routing.Arrived{
		ID:           c.id,
		Organisation: c.organisation,
		Method:       r.Method,
		Path:         e.dialect.path(r),
		Budget:       budget,
		Fingerprint:  c.hash,
		Retry:        r.Header.Get(RetryHeader) != "",
	})
}

// readBody reads a small body and reports whether the request is whole.
func (c *entryCall) readBody() bool {
	if !isSmall(c.r) {
		c.message.upload = newUpload(c.w, c.r)
		return true
	}
	body, err := readSmallBody(c.w, c.r)
	if err != nil {
		c.dialect.writeRefusal(c.w, notRun(outcome.Malformed, http.StatusRequestTimeout), true)
		return false
	}
	c.message.body = body
	return true
}

// serve carries out the reducer's decisions until the final answer.
func (c *entryCall) serve(arrived routing.Arrived) {
	decisions, release := c.core.RouteDecisions(c.id)
	defer release()
	c.core.Route(arrived)
	for {
		select {
		case decision := <-decisions:
			if c.carryOut(decision) {
				return
			}
		case <-c.r.Context().Done():
			c.core.Route(routing.Abandoned{ID: c.id})
			panic(http.ErrAbortHandler) // a return would write an empty answer
		}
	}
}

// carryOut reports whether the caller has its final answer.
func (c *entryCall) carryOut(decision routing.Effect) bool {
	switch d := decision.(type) {
	case routing.Send:
		if c.message.upload.spent() {
			c.core.Route(routing.Abandoned{ID: c.id})
			c.refuse(c.last)
			return true
		}
		return c.send(d)
	case routing.Refuse:
		c.refuse(d.Refusal)
		return true
	}
	return false
}

// send makes one attempt and reports whether the caller has its answer.
func (c *entryCall) send(d routing.Send) bool {
	start := time.Now()
	c.message.once = !d.Repeatable
	if d.Address == c.self && c.local != nil {
		return c.sendLocal(d, start)
	}
	c.setFields(d)
	fencing := c.fencing(d)
	x, err := c.pool.Do(c.r.Context(), d.Deadline, d.Address, c.message)
	if err != nil {
		c.detail = err.Error()
		return c.failed(d, start, fencing.resolve(c.r.Context(), d.Deadline, lostRefusal(err)), 0)
	}
	if refusal, refused := refusalOf(x.Response); refused {
		load := reportedLoad(x.Response.Header)
		x.Close(false)
		return c.failed(d, start, refusal, load)
	}
	if err := x.whole(d.Deadline); err != nil {
		c.detail = err.Error()
		return c.failed(d, start, lostRefusal(err), 0)
	}
	defer c.answered(d, x.Response, start)()
	relay(c.w, c.r, x, d.Deadline, versionField(d))
	return true
}

// sendLocal makes an attempt at the backend server beside this proxy.
func (c *entryCall) sendLocal(d routing.Send, start time.Time) bool {
	c.message.retry = d.Retry
	a := c.local.start(c.r.Context(), c.message, admission.Arrived{
		Request:      c.request(),
		Organisation: c.share(),
		Key:          c.dialect.key(c.r),
		Fingerprint:  c.hash,
		Repeatable:   d.Repeatable,
		Deadline:     d.Deadline,
		Instance:     d.Instance,
		Priority:     d.Priority,
		Target:       d.Target,
		Route:        d.Route,
		Patience:     d.Patience,
	})
	c.message.expect = true
	if a.exchange == nil {
		return c.failed(d, start, a.refusal, 0)
	}
	defer c.answered(d, a.exchange.Response, start)()
	a.relay(c.w, c.r, versionField(d))
	return true
}

// failed reports an attempt without an answer to the reducer, which decides
// what follows, unless the caller has left.
func (c *entryCall) failed(d routing.Send, start time.Time, r outcome.Refusal, load float64) bool {
	c.noteAttempt(d, start, true, "outcome", r.Outcome, "reason", r.Reason, "detail", c.detail)
	c.detail = ""
	if c.r.Context().Err() != nil {
		c.core.Route(routing.Abandoned{ID: c.id})
		panic(http.ErrAbortHandler)
	}
	c.last = r
	c.doubtful = c.doubtful || r.Outcome != outcome.NotRun
	c.core.Route(routing.AttemptEnded{
		ID:         c.id,
		Outcome:    r.Outcome,
		Reason:     r.Reason,
		RetryAfter: r.RetryAfter,
		Status:     r.Status,
		Load:       load,
	})
	return false
}

// refuse gives the caller a refusal. It does not claim that the request was
// not run if that holds for the last attempt only.
func (c *entryCall) refuse(r outcome.Refusal) {
	if c.doubtful && r.Outcome == outcome.NotRun {
		r.Outcome = outcome.Unknown
		r.RetryAfter = 0
		if r.Status != http.StatusGatewayTimeout {
			r.Status = http.StatusBadGateway
		}
	}
	c.noteRefusal(r)
	c.dialect.refuse(c.w, c.message.upload, r)
}

// answered notes the time until the answer's header and returns the function
// that ends the attempt.
func (c *entryCall) answered(d routing.Send, resp *http.Response, start time.Time) func() {
	c.noteAttempt(d, start, resp.StatusCode >= http.StatusInternalServerError || d.Attempt > 1,
		"outcome", outcome.Answered, "status", resp.StatusCode)
	e := routing.AttemptEnded{
		ID:      c.id,
		Outcome: outcome.Answered,
		Latency: time.Since(start),
		Status:  resp.StatusCode,
		Load:    reportedLoad(resp.Header),
		Bytes:   resp.ContentLength,
	}
	return func() { c.core.Route(e) }
}

// share names whose slots a request uses beside the backend server. Host
// names are no organisations that slots are divided among.
func (c *entryCall) share() string {
	if c.dialect.HostNames {
		return ""
	}
	return c.organisation
}

// request names the request in the whole fleet.
func (c *entryCall) request() string {
	return c.origin + "-" + strconv.FormatUint(c.id, 36)
}

// versionField tells the caller under which version it was routed.
func versionField(d routing.Send) field {
	return field{VersionHeader, strconv.FormatUint(d.Version, 10)}
}

// setFields sets the headers for the proxy beside the backend server.
func (c *entryCall) setFields(d routing.Send) {
	now := time.Now()
	fields := append(c.message.fields[:0],
		field{DeadlineHeader, formatDeadline(d.Deadline.Sub(now))},
		field{hopHeader, hopText(d, c.request(), c.hash, now)},
	)
	if org := c.share(); org != "" {
		fields = append(fields, field{OrganisationHeader, org})
	}
	if c.dialect.Caller != "" {
		fields = append(fields, field{c.dialect.Caller, c.service})
	}
	if key := c.dialect.key(c.r); key != "" {
		fields = append(fields, field{IdempotencyHeader, key})
	}
	if d.Retry {
		fields = append(fields, field{RetryHeader, "1"})
	}
	c.message.fields = fields
}
