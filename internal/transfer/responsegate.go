package transfer

import "time"

// stalledAfter is the time without progress after which the rest of a response is not
// planned any more. Its receiver does not read, or the backend server does not go on,
// and the link is free for others.
const stalledAfter = 100 * time.Millisecond

// ResponseGate plans the link time of large responses, by the length that those of their
// route have, and refuses a request before it runs if its response could not leave in
// time. It is not safe for concurrent use.
type ResponseGate struct {
	bytesPerSecond float64
	routes         map[string]*responseSize
	planned        map[uint64]*plannedResponse
	// counting holds the planned responses that use the link during a decision.
	counting []*plannedResponse
}

// plannedResponse is a large response that has not left completely.
type plannedResponse struct {
	// end is the time until which it has to leave.
	end time.Time
	// readyAt is when the response is expected to begin.
	readyAt time.Time
	// bytes is what is left to send, expected or known.
	bytes float64
	// begun is set when the response has begun. It then counts while a piece of it waits
	// for the link, and for stalledAfter from activeAt, its last progress.
	begun, waits bool
	activeAt     time.Time
}

// NewResponseGate returns the gate of a link with the given bandwidth in Mbit/s, nil if
// that is 0, which means unknown.
func NewResponseGate(linkMbps float64) *ResponseGate {
	if linkMbps <= 0 {
		return nil
	}
	return &ResponseGate{
		bytesPerSecond: responseShare * linkMbps * 1e6 / 8,
		routes:         make(map[string]*responseSize),
		planned:        make(map[uint64]*plannedResponse),
	}
}

// ResponseRequest is a request of another machine whose response would use the link.
type ResponseRequest struct {
	ID    uint64
	Route string
	// Download means that the route is declared to have large responses.
	Download bool
	// Target is the time until which a response has its full value, zero if unknown,
	// and Deadline the end of the request.
	Target, Deadline time.Time
	// Patience is the share of its slack that the response may wait for the link while
	// the sender has others to ask, 0 if it has none.
	Patience float64
}

// ResponseDecision tells whether a request may run.
type ResponseDecision struct {
	Admitted bool
	// Planned means that link time was planned, which Release returns.
	Planned bool
	// Bytes is the expected length of the response.
	Bytes int64
	// Wait is how long the response would wait for the link.
	Wait time.Duration
	// RetryAfter is the time after which a refused request would be admitted if nothing
	// else came.
	RetryAfter time.Duration
}

// Decide admits a request, and plans the link time of its response if that is expected
// to be large, or refuses it.
//
// The response has to leave by the target, or by the deadline if it would miss the
// target on a free link as well, and must not make a planned one late: a link full of
// late responses has no room for those that could be in time.
func (g *ResponseGate) Decide(now time.Time, r ResponseRequest) ResponseDecision {
	size := g.sizeOf(r.Route, r.Download)
	if size == nil || !size.large() {
		return ResponseDecision{Admitted: true}
	}
	p := &plannedResponse{readyAt: now.Add(size.ready), bytes: size.mean}
	p.end = r.end(p.readyAt.Add(g.linkTime(size.mean)))
	g.collectCounting(now)
	d := ResponseDecision{Bytes: int64(size.mean), Wait: g.wait(now, p.readyAt, size.high)}
	slack := p.end.Sub(p.readyAt) - g.linkTime(size.high)
	allowed := slack
	if r.Patience > 0 {
		allowed = time.Duration(r.Patience * float64(slack))
	}
	excess := max(d.Wait-max(0, allowed), g.delay(now, p))
	hopeless := p.readyAt.Add(d.Wait + g.linkTime(size.mean)).After(r.Deadline)
	if (d.Wait > 0 && excess > 0 || hopeless) && !(d.Wait == 0 && size.stale(now)) {
		d.RetryAfter = max(excess, pieceTime)
		return d
	}
	d.Admitted, d.Planned = true, true
	g.planned[r.ID] = p
	return d
}

// end returns the time until which a response has to leave that would do so at the given
// time on a free link.
func (r ResponseRequest) end(alone time.Time) time.Time {
	if r.Target.IsZero() || r.Target.After(r.Deadline) || alone.After(r.Target) {
		return r.Deadline
	}
	return r.Target
}

// sizeOf returns the estimate of a route, nil if there is none.
func (g *ResponseGate) sizeOf(route string, download bool) *responseSize {
	if s, ok := g.routes[route]; ok {
		return s
	}
	if download {
		return &responseSize{mean: defaultDownloadBytes, high: highFactor * defaultDownloadBytes}
	}
	return nil
}

// collectCounting sets g.counting to the planned responses that use the link.
func (g *ResponseGate) collectCounting(now time.Time) {
	g.counting = g.counting[:0]
	for _, p := range g.planned {
		if p.counts(now) {
			g.counting = append(g.counting, p)
		}
	}
}

// wait returns how long a response of the given length waits for the others from the
// time at which it is ready. The link is shared equally, so each of them takes at most as
// much of it as this one. Until then the link sends those that have begun.
func (g *ResponseGate) wait(now, readyAt time.Time, bytes float64) time.Duration {
	var begun, expected float64
	for _, p := range g.counting {
		if p.begun {
			begun += min(p.bytes, bytes)
		} else {
			expected += min(p.bytes, bytes)
		}
	}
	sent := g.bytesPerSecond * max(0, readyAt.Sub(now).Seconds())
	return g.linkTime(expected + max(0, begun-sent))
}

// delay returns by how much a further response would make a planned one late.
func (g *ResponseGate) delay(now time.Time, added *plannedResponse) time.Duration {
	var worst time.Duration
	for _, p := range g.counting {
		readyAt := p.readyAt
		if readyAt.Before(now) {
			readyAt = now
		}
		late := readyAt.Add(g.wait(now, readyAt, p.bytes)).Sub(p.end) // its own length is part of the wait
		if by := late + g.linkTime(min(added.bytes, p.bytes)); late <= 0 && by > 0 {
			worst = max(worst, by)
		}
	}
	return worst
}

func (p *plannedResponse) counts(now time.Time) bool {
	return !p.begun || p.waits || now.Sub(p.activeAt) < stalledAfter
}

// Begin reports that the response of a request has begun, and its length, negative if
// unknown. A response that was not planned, such as that of another machine which this
// proxy passes on, is added. The length is taken for at most what the link carries until
// the deadline.
func (g *ResponseGate) Begin(now time.Time, id uint64, bytes int64, deadline time.Time) {
	p, ok := g.planned[id]
	if !ok {
		p = &plannedResponse{bytes: defaultDownloadBytes, end: deadline}
		g.planned[id] = p
	}
	p.readyAt, p.begun, p.activeAt = now, true, now
	if bytes >= 0 {
		p.bytes = min(float64(bytes), g.bytesPerSecond*max(0, deadline.Sub(now).Seconds()))
	}
}

// Await reports that the next piece of a response waits for the link, and Sent that a
// piece of the given length has got it.
func (g *ResponseGate) Await(now time.Time, id uint64) {
	if p, ok := g.planned[id]; ok {
		p.waits, p.activeAt = true, now
	}
}

// Sent reports that a piece of a response has got the link.
func (g *ResponseGate) Sent(now time.Time, id uint64, bytes int) {
	if p, ok := g.planned[id]; ok {
		p.waits, p.activeAt = false, now
		p.bytes = max(0, p.bytes-float64(bytes))
	}
}

// Release returns the link time that is planned for a response. It has left, or will
// not.
func (g *ResponseGate) Release(id uint64) { delete(g.planned, id) }

// Observe learns from a successful response of a route: its length, and the time from
// the arrival of its request until it began. One that broke off counts if it was longer
// than usual until then.
func (g *ResponseGate) Observe(now time.Time, route string, bytes int64, ready time.Duration, complete bool) {
	size, ok := g.routes[route]
	if !complete && (bytes <= LargeResponseBytes || ok && float64(bytes) <= size.mean) {
		return
	}
	if !ok {
		if len(g.routes) >= maxRoutes {
			clear(g.routes)
		}
		size = &responseSize{}
		g.routes[route] = size
	}
	size.observe(now, bytes, ready)
}

// Planned returns the number of planned responses and what is left of them in bytes.
func (g *ResponseGate) Planned() (responses int, bytes int64) {
	for _, p := range g.planned {
		bytes += int64(p.bytes)
	}
	return len(g.planned), bytes
}

func (g *ResponseGate) linkTime(bytes float64) time.Duration {
	return linkTime(int64(bytes), g.bytesPerSecond)
}
