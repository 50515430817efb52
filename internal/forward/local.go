package forward

import (
	"context"
	"net/http"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Local hands requests to the backend server beside this proxy: those of
// other proxies, which it serves, and those of this proxy's own callers.
type Local struct {
	core    Core
	pool    *Pool
	address string
	// shedNotRun declares that an answer 503 with Retry-After means not run.
	shedNotRun bool
	dialect    *Dialect
}

// NewLocal returns the handler for other proxies.
func NewLocal(core Core, pool *Pool, backendServer string, shedNotRun bool, dialect Dialect) *Local {
	return &Local{core: core, pool: pool, address: backendServer, shedNotRun: shedNotRun, dialect: &dialect}
}

// maxExpirySlack bounds the time before a deadline at which a waiting request
// may be refused, so that the refusal reaches the sender in time.
const maxExpirySlack = 20 * time.Millisecond

// localCall is one request for the backend server.
type localCall struct {
	*Local
	ctx      context.Context
	deadline time.Time
	message  *message
	arrived  admission.Arrived
	began    time.Time
	// detail is the error of an exchange that failed.
	detail string
}

// localAnswer is what became of a localCall: an exchange whose answer is to be
// relayed, or else a refusal.
type localAnswer struct {
	call     *localCall
	exchange *Exchange
	refusal  outcome.Refusal
}

// ServeHTTP implements http.Handler for other proxies.
func (l *Local) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	budget, ok := remaining(r.Header)
	arrived, known := parseHop(now, r.Header)
	if !ok || !known || budget == 0 {
		l.dialect.writeRefusal(w, notRun(outcome.Malformed, http.StatusBadRequest), false)
		return
	}
	arrived.Deadline = now.Add(budget)
	arrived.Organisation = r.Header.Get(OrganisationHeader)
	arrived.Key = r.Header.Get(IdempotencyHeader)
	m := &message{in: r, dialect: l.dialect, retry: r.Header.Get(RetryHeader) != ""}
	if !isSmall(r) {
		m.upload = newUpload(w, r)
		defer m.upload.finish()
	} else {
		body, err := readSmallBody(w, r)
		if err != nil {
			panic(http.ErrAbortHandler) // the peer left before its request was whole
		}
		m.body = body
	}
	w.Header()["Date"] = nil // the entry dates its answer itself
	m.once = !arrived.Repeatable
	a := l.start(r.Context(), m, arrived)
	if a.exchange == nil {
		l.load().set(w.Header())
		l.dialect.refuse(w, m.upload, a.refusal)
		return
	}
	a.relay(w, r, l.load())
}

// start asks admission for a slot, passes the request to the backend server
// and reads the answer's header.
func (l *Local) start(ctx context.Context, m *message, arrived admission.Arrived) localAnswer {
	arrived.ID = l.core.NextID()
	c := &localCall{Local: l, ctx: ctx, deadline: arrived.Deadline, message: m, arrived: arrived, began: time.Now()}
	decisions, release := l.core.AdmitDecisions(arrived.ID)
	defer release()
	l.core.Admit(arrived)
	decision, ok := c.await(decisions)
	if !ok {
		l.core.Admit(admission.Abandoned{ID: arrived.ID})
		return c.refused(notRun(outcome.Cancelled, http.StatusServiceUnavailable))
	}
	return c.carryOut(decision)
}

// await returns the decision about the request, or false if its sender left.
// It ticks the reducer when the deadline is near and when it has passed, since
// a short deadline ends between two ticks of the host.
func (c *localCall) await(decisions <-chan admission.Effect) (admission.Effect, bool) {
	select {
	case decision := <-decisions:
		return decision, true
	default:
	}
	remaining := time.Until(c.deadline)
	expiry := time.NewTimer(remaining - min(remaining/10, maxExpirySlack))
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

func (c *localCall) refused(r outcome.Refusal) localAnswer {
	c.noteRun(r)
	return localAnswer{call: c, refusal: r}
}

func (c *localCall) carryOut(decision admission.Effect) localAnswer {
	switch d := decision.(type) {
	case admission.Run:
		return c.run()
	case admission.Refuse:
		return c.refused(d.Refusal)
	}
	return c.refused(notRun(outcome.Malformed, http.StatusInternalServerError))
}

// run passes the request to the backend server.
func (c *localCall) run() localAnswer {
	c.setFields()
	x, err := c.exchange()
	if err != nil {
		refusal := lostRefusal(err)
		c.detail = err.Error()
		refusal.Reason = c.crashReason(c.ctx, refusal.Reason)
		c.end(refusal.Outcome, refusal.Reason)
		return c.refused(refusal)
	}
	if reason, ok := c.declined(x.Response); ok {
		refusal := notRun(reason, http.StatusServiceUnavailable)
		refusal.RetryAfter = retryAfter(x.Response.Header)
		x.Close(false)
		c.end(refusal.Outcome, refusal.Reason)
		return c.refused(refusal)
	}
	return localAnswer{call: c, exchange: x}
}

// declined reports whether the backend server says that it did not run the
// request, and why.
func (c *localCall) declined(resp *http.Response) (outcome.Reason, bool) {
	switch {
	case c.dialect.Expect != "" && resp.StatusCode == http.StatusMisdirectedRequest:
		return outcome.OtherInstance, true
	case c.dialect.NotRun != "" && resp.Header.Get(c.dialect.NotRun) != "":
		return outcome.Shed, true
	case c.shedNotRun && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
		return outcome.Shed, true
	}
	return "", false
}

// exchange passes the request to the backend server and reads the answer.
func (c *localCall) exchange() (*Exchange, error) {
	x, err := c.pool.Do(c.ctx, c.deadline, c.address, c.message)
	if err != nil {
		return nil, err
	}
	return x, x.whole(c.deadline)
}

// setFields sets the headers for the backend server.
func (c *localCall) setFields() {
	c.message.expect = false
	c.message.fields = append(c.message.fields[:0],
		field{DeadlineHeader, c.dialect.deadline(time.Until(c.deadline))},
	)
	if c.dialect.Expect != "" {
		c.message.fields = append(c.message.fields, field{c.dialect.Expect, c.arrived.Instance})
	}
	if c.dialect.Caller != "" && c.message.atEntry {
		c.message.fields = append(c.message.fields, field{c.dialect.Caller, c.message.caller})
	}
	if c.dialect.HostNames {
		return
	}
	c.message.fields = append(c.message.fields, field{OrganisationHeader, c.arrived.Organisation})
	if c.message.retry {
		c.message.fields = append(c.message.fields, field{RetryHeader, "1"})
	}
	if c.arrived.Key != "" {
		c.message.fields = append(c.message.fields, field{IdempotencyHeader, c.arrived.Key})
	}
}

func (c *localCall) end(o outcome.Outcome, reason outcome.Reason) {
	c.core.Admit(admission.Ended{ID: c.arrived.ID, Outcome: o, Reason: reason})
}

// relay passes the answer on and ends the run.
func (a localAnswer) relay(w http.ResponseWriter, r *http.Request, extra field) {
	o, reason := outcome.Unknown, outcome.ConnectionLost
	defer func() { a.call.end(o, reason) }()
	relay(w, r, a.exchange, a.call.deadline, extra)
	o, reason = outcome.Answered, ""
}

// refuse answers with a refusal. What is left of a body in transit is not
// taken for a request.
func (d *Dialect) refuse(w http.ResponseWriter, u *upload, refusal outcome.Refusal) {
	d.writeRefusal(w, refusal, u.spent())
}
