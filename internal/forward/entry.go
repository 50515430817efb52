package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Entry serves callers: it hands their requests to the proxies beside the
// backend servers that the reducer chooses.
type Entry struct {
	core   Core
	pool   *Pool
	origin string
}

// NewEntry returns the handler for callers. Origin is unique to this start of
// the process and makes request identifiers unique in the fleet.
func NewEntry(core Core, pool *Pool, origin string) *Entry {
	return &Entry{core: core, pool: pool, origin: origin}
}

// entryCall is one request of a caller.
type entryCall struct {
	*Entry
	id   uint64
	w    http.ResponseWriter
	r    *http.Request
	body []byte
	hash uint64
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	budget, ok := remaining(r.Header)
	if !ok || !wellFormed(r) {
		writeRefusal(w, outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Malformed, Status: http.StatusBadRequest})
		return
	}
	body, err := readSmallBody(r)
	if err != nil {
		panic(http.ErrAbortHandler) // the caller left before its request was whole
	}
	org := r.Header.Get(OrganisationHeader)
	c := &entryCall{Entry: e, id: e.core.NextID(), w: w, r: r, body: body, hash: fingerprint(org, r, body)}
	c.serve(routing.Arrived{
		ID:           c.id,
		Organisation: org,
		Method:       r.Method,
		Path:         r.URL.Path,
		Budget:       budget,
		Fingerprint:  c.hash,
	})
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
			return
		}
	}
}

// carryOut reports whether the caller has its final answer.
func (c *entryCall) carryOut(decision routing.Effect) bool {
	switch d := decision.(type) {
	case routing.Send:
		return c.send(d)
	case routing.Refuse:
		writeRefusal(c.w, d.Refusal)
		return true
	}
	return false
}

// send makes one attempt and reports whether the caller has its answer.
func (c *entryCall) send(d routing.Send) bool {
	ctx, cancel := context.WithDeadline(c.r.Context(), d.Deadline)
	defer cancel()
	start := time.Now()
	fencing := c.fencing(d)
	x, err := c.pool.Do(ctx, d.Address, outbound(c.r, c.header(d), c.body))
	if err != nil {
		o, reason := lostOutcome(err)
		if ctx.Err() != nil && c.r.Context().Err() == nil {
			reason = outcome.DeadlineExpired
		}
		o, reason = fencing.resolve(ctx, o, reason)
		c.end(routing.AttemptEnded{ID: c.id, Outcome: o, Reason: reason})
		return false
	}
	if o, reason, refused := refusalOf(x.Response); refused {
		x.Close(false)
		c.end(routing.AttemptEnded{ID: c.id, Outcome: o, Reason: reason, RetryAfter: retryAfter(x.Response.Header)})
		return false
	}
	latency := time.Since(start)
	defer c.end(routing.AttemptEnded{ID: c.id, Outcome: outcome.Answered, Latency: latency})
	relay(c.w, x, strconv.FormatUint(d.Version, 10))
	return true
}

func (c *entryCall) end(e routing.AttemptEnded) {
	c.core.Route(e)
}

// header returns the header for the proxy beside the backend server.
func (c *entryCall) header(d routing.Send) http.Header {
	h := endToEnd(c.r.Header)
	h.Set(OrganisationHeader, c.r.Header.Get(OrganisationHeader))
	h.Set(requestHeader, c.requestID())
	h.Set(DeadlineHeader, formatDeadline(time.Until(d.Deadline)))
	h.Set(VersionHeader, strconv.FormatUint(d.Version, 10))
	h.Set(fingerprintHeader, strconv.FormatUint(c.hash, 16))
	if d.Repeatable {
		h.Set(repeatableHeader, "1")
	}
	return h
}
