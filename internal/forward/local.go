package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Local serves other proxies: it hands their requests to the backend server
// beside this proxy.
type Local struct {
	core    Core
	pool    *Pool
	address string
	// shedNotRun declares that an answer 503 with Retry-After means not run.
	shedNotRun bool
}

// NewLocal returns the handler for other proxies.
func NewLocal(core Core, pool *Pool, backendServer string, shedNotRun bool) *Local {
	return &Local{core: core, pool: pool, address: backendServer, shedNotRun: shedNotRun}
}

// localCall is one request of a peer.
type localCall struct {
	*Local
	id       uint64
	w        http.ResponseWriter
	r        *http.Request
	deadline time.Time
}

// ServeHTTP implements http.Handler.
func (l *Local) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	budget, ok := remaining(r.Header)
	request := r.Header.Get(requestHeader)
	if !ok || budget == 0 || request == "" {
		writeRefusal(w, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Malformed, Status: http.StatusBadRequest})
		return
	}
	hash, _ := strconv.ParseUint(r.Header.Get(fingerprintHeader), 16, 64)
	c := &localCall{Local: l, id: l.core.NextID(), w: w, r: r, deadline: time.Now().Add(budget)}
	c.serve(admission.Arrived{
		ID:           c.id,
		Request:      request,
		Organisation: r.Header.Get(OrganisationHeader),
		Key:          r.Header.Get(IdempotencyHeader),
		Fingerprint:  hash,
		Repeatable:   r.Header.Get(repeatableHeader) != "",
		Deadline:     c.deadline,
	})
}

func (c *localCall) serve(arrived admission.Arrived) {
	decisions, release := c.core.AdmitDecisions(c.id)
	defer release()
	c.core.Admit(arrived)
	select {
	case decision := <-decisions:
		c.carryOut(decision)
	case <-c.r.Context().Done():
		c.core.Admit(admission.Abandoned{ID: c.id})
	}
}

func (c *localCall) carryOut(decision admission.Effect) {
	switch d := decision.(type) {
	case admission.Run:
		c.run()
	case admission.Refuse:
		writeRefusal(c.w, d.Refusal)
	}
}

// run passes the request to the backend server and its answer back.
func (c *localCall) run() {
	end := admission.Ended{ID: c.id, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost}
	defer func() { c.core.Admit(end) }()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	x, err := c.pool.Do(ctx, c.address, c.outbound())
	if err != nil {
		end.Outcome, end.Reason = lostOutcome(err)
		if ctx.Err() != nil {
			end.Reason = outcome.DeadlineExpired
		}
		end.Reason = c.crashReason(ctx, end.Reason)
		writeRefusal(c.w, outcome.Refusal{Outcome: end.Outcome, Reason: end.Reason, Status: http.StatusBadGateway})
		return
	}
	if c.shed(x.Response) {
		end.Outcome, end.Reason = outcome.NotRun, outcome.Shed
		wait := retryAfter(x.Response.Header)
		x.Close(false)
		writeRefusal(c.w, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Shed, Status: http.StatusServiceUnavailable, RetryAfter: wait})
		return
	}
	relay(c.w, x, "")
	end.Outcome, end.Reason = outcome.Answered, ""
}

func (c *localCall) shed(resp *http.Response) bool {
	return c.shedNotRun && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
}

// outbound returns the request for the backend server.
func (c *localCall) outbound() *http.Request {
	h := endToEnd(c.r.Header)
	h.Set(OrganisationHeader, c.r.Header.Get(OrganisationHeader))
	h.Set(DeadlineHeader, formatDeadline(time.Until(c.deadline)))
	var body []byte
	if c.r.ContentLength == 0 {
		body = []byte{}
	}
	return outbound(c.r, h, body)
}
