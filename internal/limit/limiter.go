package limit

import (
	"maps"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/routing"
)

const (
	// idleTimeout is the time after which the state of an idle organisation is
	// removed.
	idleTimeout = time.Minute
	// sweepInterval is the time between two removals of idle state.
	sweepInterval = 10 * time.Second
	// maxSentPerSecond bounds the number of CreditRequests that a proxy sends per
	// second, and with them its control traffic.
	maxSentPerSecond = 40
	// maxBuckets bounds the organisations that an owner holds buckets of.
	maxBuckets = 10_000
)

// Values of routing.LimitShare.Source.
const (
	SourceCredits = "credits"
	SourceStatic  = "static"
)

// Config holds the parameters of a Limiter.
type Config struct {
	ID string
}

// Stats holds counters since the start of the process.
type Stats struct {
	// CreditRequests counts the CreditRequests that this proxy made, Grants those
	// that it answered as an owner.
	CreditRequests uint64 `json:"asks"`
	Grants         uint64 `json:"grants"`
	// Failures counts requests to owners that got no reply.
	Failures uint64 `json:"failures"`
	// Borrowed counts requests admitted as debt, without credits.
	Borrowed uint64 `json:"borrowed"`
	// Static counts requests admitted against the static share.
	Static  uint64 `json:"static"`
	Refused uint64 `json:"refused"`
}

// pendingRequest is a request to an owner that awaits its reply.
type pendingRequest struct {
	organisations []string
	sentAt        time.Time
}

// Limiter is the state machine. It implements routing.Limiter. The zero value
// is not usable.
type Limiter struct {
	cfg           Config
	configVersion uint64
	view          view
	shares        map[string]*share
	// sendQueue holds the organisations for which credits are to be requested.
	sendQueue  []string
	pending    map[uint64]pendingRequest
	lastNumber uint64
	sendTokens float64
	tickedAt   time.Time
	sweptAt    time.Time
	buckets    map[string]*bucket
	stats      Stats
	effects    []Effect
}

// New returns a limiter that knows no other proxy.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:     cfg,
		shares:  make(map[string]*share),
		pending: make(map[uint64]pendingRequest),
		buckets: make(map[string]*bucket),
	}
}

// Stats returns the counters.
func (l *Limiter) Stats() Stats {
	return l.stats
}

// Step applies an event at the given time and returns its effects.
func (l *Limiter) Step(now time.Time, e Event) []Effect {
	l.effects = nil
	switch e := e.(type) {
	case Tick:
		l.tick(now)
	case MembersChanged:
		l.view = newView(e.Members, l.view.seq+1)
	case VersionEnforced:
		l.configVersion = e.Version
	case Received:
		l.effects = append(l.effects, SendReply{Call: e.Call, Reply: l.answer(now, e.Request)})
	case Answered:
		l.answered(now, e)
	case Failed:
		l.failed(now, e.Number)
	}
	return l.effects
}

// Allow implements routing.Limiter.
func (l *Limiter) Allow(now time.Time, org string, requestsPerSecond int) (bool, time.Duration) {
	s, ok := l.shares[org]
	if !ok {
		s = &share{}
		l.shares[org] = s
	}
	s.limit = float64(requestsPerSecond)
	s.recordArrival(now)
	ok = l.admit(now, s)
	if s.needsCredits(now) {
		s.queued = true
		l.sendQueue = append(l.sendQueue, org)
	}
	if ok {
		return true, 0
	}
	l.stats.Refused++
	return false, s.retryAfter(now)
}

func (l *Limiter) admit(now time.Time, s *share) bool {
	switch {
	case s.spendCredit(now):
		return true
	case now.Before(s.staticUntil):
		if !s.spendStatic(now, len(l.view.members)) {
			return false
		}
		l.stats.Static++
		return true
	case s.borrow(now, len(l.view.members)):
		l.stats.Borrowed++
		return true
	}
	return false
}

// Share implements routing.Limiter.
func (l *Limiter) Share(now time.Time, org string, requestsPerSecond int) routing.LimitShare {
	out := routing.LimitShare{Source: SourceCredits}
	if owners := l.view.owners(org); len(owners) > 0 {
		out.Owner = owners[0].ID
	}
	s, ok := l.shares[org]
	if !ok {
		return out
	}
	out.Demand = s.rateAt(now)
	out.Credits = s.credits(now)
	out.Scarce = now.Before(s.scarceUntil)
	if now.Before(s.staticUntil) {
		out.Source = SourceStatic
		out.RequestsPerSecond = s.staticRate(len(l.view.members))
	}
	return out
}

// tick sends the queued requests, as many as maxSentPerSecond allows, and removes
// idle state.
func (l *Limiter) tick(now time.Time) {
	if l.tickedAt.IsZero() {
		l.sendTokens = maxSentPerSecond
	} else if now.After(l.tickedAt) {
		l.sendTokens = min(maxSentPerSecond, l.sendTokens+maxSentPerSecond*now.Sub(l.tickedAt).Seconds())
	}
	l.tickedAt = now
	n := min(len(l.sendQueue), int(l.sendTokens))
	l.sendTokens -= float64(n)
	l.sendRequests(now, l.sendQueue[:n])
	l.sendQueue = slices.Clone(l.sendQueue[n:])
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
}

// answer grants credits as an owner.
func (l *Limiter) answer(now time.Time, r Request) Reply {
	var out Reply
	for _, creditRequest := range r.CreditRequests {
		b, ok := l.buckets[creditRequest.Organisation]
		if !ok {
			if len(l.buckets) >= maxBuckets {
				continue
			}
			b = newBucket(now, creditRequest)
			l.buckets[creditRequest.Organisation] = b
		}
		l.stats.Grants++
		out.Grants = append(out.Grants, b.grant(now, r.From, creditRequest, len(l.view.members)))
	}
	return out
}

// sweep removes the state of idle organisations.
func (l *Limiter) sweep(now time.Time) {
	l.sweptAt = now
	maps.DeleteFunc(l.shares, func(_ string, s *share) bool {
		return !s.requestPending && !s.queued && now.Sub(s.arrivedAt) > idleTimeout
	})
	maps.DeleteFunc(l.buckets, func(_ string, b *bucket) bool { return now.Sub(b.usedAt) > idleTimeout })
}
