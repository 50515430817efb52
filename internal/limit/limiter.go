package limit

import (
	"maps"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/routing"
)

const (
	// forgetAfter is the time after which an idle organisation is dropped.
	forgetAfter = time.Minute
	// sweepInterval is the time between two searches for idle ones.
	sweepInterval = 10 * time.Second
	// maxAsksPerSecond bounds the asks of one proxy, and with them the bytes.
	maxAsksPerSecond = 40
	// maxAccounts bounds the organisations that an owner keeps.
	maxAccounts = 10_000
)

// Names of the sources of a share.
const (
	SourceCredits = "credits"
	SourceStatic  = "static"
)

// Config sets the limiter's parameters.
type Config struct {
	ID string
}

// Stats counts since the start of the process.
type Stats struct {
	// Asks and Grants count organisations in messages sent and answered.
	Asks   uint64 `json:"asks"`
	Grants uint64 `json:"grants"`
	// Failures counts requests to owners that got no reply.
	Failures uint64 `json:"failures"`
	// Borrowed counts requests admitted before credits came.
	Borrowed uint64 `json:"borrowed"`
	// Static counts requests admitted against the static share.
	Static  uint64 `json:"static"`
	Refused uint64 `json:"refused"`
}

// ask is a request under way.
type ask struct {
	organisations []string
	at            time.Time
}

// Limiter is the state machine. It implements routing.Limiter. The zero value
// is not usable.
type Limiter struct {
	cfg      Config
	version  uint64
	view     view
	shares   map[string]*share
	queue    []string
	asks     map[uint64]ask
	number   uint64
	allowed  float64
	tickedAt time.Time
	sweptAt  time.Time
	accounts map[string]*account
	stats    Stats
	effects  []Effect
}

// New returns a limiter that knows no other proxy.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:      cfg,
		shares:   make(map[string]*share),
		asks:     make(map[uint64]ask),
		accounts: make(map[string]*account),
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
	case View:
		l.view = newView(e.Members, l.view.seq+1)
	case Enforced:
		l.version = e.Version
	case Received:
		l.effects = append(l.effects, Answer{Call: e.Call, Reply: l.answer(now, e.Request)})
	case Answered:
		l.answered(now, e)
	case Failed:
		l.failed(now, e.Number)
	}
	return l.effects
}

// Take implements routing.Limiter.
func (l *Limiter) Take(now time.Time, org string, requestsPerSecond int) (bool, time.Duration) {
	s, ok := l.shares[org]
	if !ok {
		s = &share{}
		l.shares[org] = s
	}
	s.limit = float64(requestsPerSecond)
	s.arrive(now)
	ok = l.admit(now, s)
	if s.wantsCredits(now) {
		s.queued = true
		l.queue = append(l.queue, org)
	}
	if ok {
		return true, 0
	}
	l.stats.Refused++
	return false, s.retryAfter(now)
}

func (l *Limiter) admit(now time.Time, s *share) bool {
	switch {
	case s.spend(now):
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
func (l *Limiter) Share(now time.Time, org string, requestsPerSecond int) routing.Share {
	out := routing.Share{Source: SourceCredits}
	if owners := l.view.owners(org); len(owners) > 0 {
		out.Owner = owners[0].ID
	}
	s, ok := l.shares[org]
	if !ok {
		return out
	}
	out.Demand = s.rateAt(now)
	out.Credits = s.credits(now)
	out.Scarce = now.Before(s.scarceEnd)
	if now.Before(s.staticUntil) {
		out.Source = SourceStatic
		out.RequestsPerSecond = s.staticRate(len(l.view.members))
	}
	return out
}

// tick sends the queued asks, as many as the bound allows.
func (l *Limiter) tick(now time.Time) {
	if l.tickedAt.IsZero() {
		l.allowed = maxAsksPerSecond
	} else if now.After(l.tickedAt) {
		l.allowed = min(maxAsksPerSecond, l.allowed+maxAsksPerSecond*now.Sub(l.tickedAt).Seconds())
	}
	l.tickedAt = now
	n := min(len(l.queue), int(l.allowed))
	l.allowed -= float64(n)
	l.send(now, l.queue[:n])
	l.queue = slices.Clone(l.queue[n:])
	if now.Sub(l.sweptAt) >= sweepInterval {
		l.sweep(now)
	}
}

// answer grants credits as an owner.
func (l *Limiter) answer(now time.Time, r Request) Reply {
	var out Reply
	for _, a := range r.Asks {
		c, ok := l.accounts[a.Organisation]
		if !ok {
			if len(l.accounts) >= maxAccounts {
				continue
			}
			c = newAccount(now, a)
			l.accounts[a.Organisation] = c
		}
		l.stats.Grants++
		out.Grants = append(out.Grants, c.grant(now, r.From, a, len(l.view.members)))
	}
	return out
}

// sweep drops what was not used for long.
func (l *Limiter) sweep(now time.Time) {
	l.sweptAt = now
	maps.DeleteFunc(l.shares, func(_ string, s *share) bool {
		return !s.asked && !s.queued && now.Sub(s.arrivedAt) > forgetAfter
	})
	maps.DeleteFunc(l.accounts, func(_ string, c *account) bool { return now.Sub(c.usedAt) > forgetAfter })
}
