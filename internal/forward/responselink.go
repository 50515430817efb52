package forward

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/transfer"
)

// ResponseObserver receives what happens to responses on a shared link.
type ResponseObserver struct {
	// HeldBound is the most that large responses may hold in memory, in bytes, 0 for
	// maxHeldBytes.
	HeldBound int64
	// Held is called with each change of the bytes of responses in memory.
	Held func(delta int64)
	// Paced is called with the length of each piece.
	Paced func(bytes int)
	// Decided is called for each request whose response needs link time.
	Decided func(admitted bool)
}

// responseLink shares the link of this machine among the bodies of large responses. It
// is a transfer.Pacer and a transfer.ResponseGate for concurrent use.
type responseLink struct {
	observe ResponseObserver
	memory  *responseMemory

	mu     sync.Mutex
	pacer  *transfer.Pacer
	gate   *transfer.ResponseGate
	lastID uint64
	// granted holds the channels on which the waiting pieces are granted, by body.
	granted map[uint64]chan<- struct{}
	timer   *time.Timer
}

// newResponseLink returns nil if the bandwidth is 0, which means unknown.
func newResponseLink(linkMbps float64, observe ResponseObserver) *responseLink {
	pacer := transfer.NewPacer(linkMbps)
	if pacer == nil {
		return nil
	}
	l := &responseLink{
		observe: observe,
		memory:  newResponseMemory(observe.HeldBound, observe.Held),
		pacer:   pacer,
		gate:    transfer.NewResponseGate(linkMbps),
		granted: make(map[uint64]chan<- struct{}),
	}
	l.timer = time.AfterFunc(time.Hour, l.grant)
	l.timer.Stop()
	return l
}

// grant lets the pieces leave whose turn has come.
func (l *responseLink) grant() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantLocked()
}

func (l *responseLink) grantLocked() {
	for {
		id, wait, ok := l.pacer.Next(time.Now())
		if !ok {
			if wait > 0 {
				l.timer.Reset(wait)
			}
			return
		}
		l.granted[id] <- struct{}{}
		delete(l.granted, id)
	}
}

// linkUse is what one response takes of the link and of memory. A nil linkUse stands for
// a link whose bandwidth is unknown.
type linkUse struct {
	link *responseLink
	id   uint64
	// route is the key of the estimate that learns from the response, empty for none.
	route     string
	arrivedAt time.Time
	// granted receives the turn of the waiting piece. It is nil before the first one.
	granted chan struct{}
	begun   bool
	// held is the memory of a body that is read before it is sent.
	held heldMemory
}

// newUse returns the use of a response of the given route.
func (l *responseLink) newUse(route string) *linkUse {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	return &linkUse{link: l, id: l.lastID, route: route, arrivedAt: time.Now(), held: heldMemory{memory: l.memory}}
}

// decide plans the response of another machine's request.
func (u *linkUse) decide(a admission.Arrived) transfer.ResponseDecision {
	u.link.mu.Lock()
	d := u.link.gate.Decide(u.arrivedAt, transfer.ResponseRequest{
		ID: u.id, Route: u.route, Download: a.Download, Target: a.Target, Deadline: a.Deadline, Patience: a.Patience,
	})
	u.link.mu.Unlock()
	if d.Bytes > 0 {
		u.link.observe.Decided(d.Admitted)
	}
	return d
}

// begin reports that a large response begins, whose length is negative if unknown.
func (u *linkUse) begin(bytes int64, deadline time.Time) {
	u.begun = true
	u.link.mu.Lock()
	defer u.link.mu.Unlock()
	u.link.gate.Begin(time.Now(), u.id, bytes, deadline)
}

// await waits until the next piece of the body may leave.
func (u *linkUse) await(ctx context.Context, bytes int) error {
	l := u.link
	if u.granted == nil {
		u.granted = make(chan struct{}, 1)
	}
	l.mu.Lock()
	l.gate.Await(time.Now(), u.id)
	l.granted[u.id] = u.granted
	l.pacer.Ask(u.id, bytes)
	l.grantLocked()
	l.mu.Unlock()
	select {
	case <-u.granted:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "waiting for the link")
	}
	l.mu.Lock()
	l.gate.Sent(time.Now(), u.id, bytes)
	l.mu.Unlock()
	l.observe.Paced(bytes)
	return nil
}

// learn passes the length of a response to the estimate of its route.
func (u *linkUse) learn(x *Exchange, bytes int64, ready time.Time, complete bool) {
	if u.route == "" || x.Response.StatusCode/100 != 2 || x.Response.Request.Method == http.MethodHead {
		return
	}
	u.link.mu.Lock()
	defer u.link.mu.Unlock()
	u.link.gate.Observe(time.Now(), u.route, bytes, ready.Sub(u.arrivedAt), complete)
}

// release returns the link time that is planned for the response, and its memory.
func (u *linkUse) release() {
	if u == nil {
		return
	}
	u.held.releaseAll()
	u.link.mu.Lock()
	defer u.link.mu.Unlock()
	u.link.pacer.Withdraw(u.id)
	delete(u.link.granted, u.id)
	u.link.gate.Release(u.id)
}

// PaceResponses shares a link with the given bandwidth in Mbit/s among large responses, to
// other proxies and to callers on other machines; 0 means that nothing is paced. It must
// be called before the first request.
func (l *LocalForwarder) PaceResponses(linkMbps float64, observe ResponseObserver) {
	l.link = newResponseLink(linkMbps, observe)
}

// planResponse plans the link time of the response to another machine's request. It
// returns the refusal of a request whose response would leave too late: it was not run.
func (l *LocalForwarder) planResponse(r *http.Request, use *linkUse, arrived admission.Arrived) (outcome.Refusal, bool) {
	if use == nil || use.route == "" || r.Method == http.MethodHead {
		return outcome.Refusal{}, true
	}
	d := use.decide(arrived)
	if d.Admitted {
		return outcome.Refusal{}, true
	}
	refusal := notRun(outcome.Overload, http.StatusServiceUnavailable)
	if arrived.Patience > 0 {
		refusal.Reason = outcome.InstanceBusy
	}
	refusal.RetryAfter, refusal.LinkBusy = d.RetryAfter, true
	logDecision(l.core, true, "response refused", func() []any {
		return []any{
			"request", l.dialect.RequestID(r),
			"instance", arrived.Instance,
			"route", arrived.Route,
			"expected_bytes", d.Bytes,
			"wait_ms", d.Wait.Milliseconds(),
			"reason", refusal.Reason,
			"retry_after_ms", refusal.RetryAfter.Milliseconds(),
			"left_ms", time.Until(arrived.Deadline).Milliseconds(),
		}
	})
	return refusal, false
}

// routeKey identifies a route of an organisation, empty if the sender named none.
func routeKey(a admission.Arrived) string {
	if a.Route == "" {
		return ""
	}
	return a.Organisation + "/" + a.Route
}
