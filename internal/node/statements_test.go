package node

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
)

const (
	// limitWindow is the window over which the rate at a backend server is counted,
	// limitSlack the requests allowed in it beyond the rate limit.
	limitWindow = 4 * time.Second
	limitSlack  = 5
	// toldAfter is the time after an entry proxy has passed on a response with a
	// statement from which on its requests count.
	toldAfter = 500 * time.Millisecond
	// limitReact is the time within which a lower limit must be in force.
	limitReact = 500 * time.Millisecond
	// leavingBound is the time after a response that announces the end of a backend
	// server from which on a proxy that passed it on must send it no new request.
	leavingBound = 2 * time.Second
)

// statement is what a backend server states about itself in its responses.
type statement struct {
	limited   bool
	perSecond float64
	leaving   bool
}

func (s statement) reported(run uint64) admission.Reported {
	return admission.Reported{ID: run, RateLimited: s.limited, RateLimit: s.perSecond, Leaving: s.leaving}
}

// limitChange is a change of the rate limit that a backend server names.
type limitChange struct {
	at        time.Time
	limited   bool
	perSecond float64
}

// observedServer is what one process of a backend server has seen.
type observedServer struct {
	// stated is what its latest response stated, firstNamed when a response first
	// named the current limit after one without.
	stated     statement
	firstNamed time.Time
	// limits holds the limits by the time from which they bind.
	limits []limitChange
	// told holds, by entry proxy, when it first passed on the statements in force
	// since its last disturbance.
	toldLimit, toldLeaving map[toldProxy]time.Time
	// counted holds the arrivals that count towards the limit, all every arrival.
	counted, all []time.Time
}

// toldProxy is a process of an entry proxy.
type toldProxy struct{ index, generation int }

// statementObserver judges the requests to backend servers by what those have stated.
type statementObserver struct {
	servers map[string]*observedServer
	// lossRate is the fraction of responses that are lost, delay the longest time that
	// a response takes, so that later ones overtake it.
	lossRate float64
	delay    time.Duration
	// worst is the largest number of requests in limitWindow above the limit itself,
	// and the window it occurred in; breaches counts windows beyond limitSlack.
	worst     float64
	worstText string
	breaches  int
	// trace holds a line for each arrival at a backend server.
	trace strings.Builder
	// afterLeaving counts the requests to a backend server from proxies that had passed
	// on that it leaves, late those later than leavingBound.
	afterLeaving, late int
}

func newStatementObserver() *statementObserver {
	return &statementObserver{servers: make(map[string]*observedServer)}
}

func (o *statementObserver) server(instance string) *observedServer {
	s, ok := o.servers[instance]
	if !ok {
		s = &observedServer{toldLimit: make(map[toldProxy]time.Time), toldLeaving: make(map[toldProxy]time.Time)}
		o.servers[instance] = s
	}
	return s
}

func (o *statementObserver) loses(rng *rand.Rand) bool {
	return o.lossRate > 0 && rng.Float64() < o.lossRate
}

// responded records that the backend server sent a response.
func (o *statementObserver) responded(now time.Time, p *crashProxy) {
	s := o.server(p.instance())
	if p.stated.limited && !s.stated.limited {
		s.firstNamed = now
		clear(s.toldLimit)
	}
	if p.stated.limited && (!s.stated.limited || p.stated.perSecond != s.stated.perSecond) {
		s.limits = append(s.limits, limitChange{at: now, limited: true, perSecond: p.stated.perSecond})
	}
	s.stated = p.stated
}

// state changes what a backend server states in its responses from now on. The end and
// a rise of a limit count at once, the others from the first response.
func (f *crashFleet) state(p *crashProxy, next statement) {
	s := f.statements.server(p.instance())
	if s.stated.limited && (!next.limited || next.perSecond > s.stated.perSecond) {
		s.limits = append(s.limits, limitChange{at: f.now, limited: next.limited, perSecond: next.perSecond})
		if !next.limited {
			s.stated.limited = false
			clear(s.toldLimit)
		}
	}
	p.stated = next
}

// passedOn records that an entry proxy passed a response on to a caller.
func (o *statementObserver) passedOn(now time.Time, entry *crashProxy, result attemptResult) {
	if result.instance == "" {
		return
	}
	s, key := o.server(result.instance), toldProxy{entry.index, entry.generation}
	record := func(told map[toldProxy]time.Time) {
		if at, ok := told[key]; !ok || at.Before(entry.undisturbedSince) {
			told[key] = now
		}
	}
	if result.stated.limited && s.stated.limited {
		record(s.toldLimit)
	}
	if result.stated.leaving {
		record(s.toldLeaving)
	}
}

// arrived records the arrival of a request at a backend server and judges it.
func (o *statementObserver) arrived(r *crashRequest, p *crashProxy) {
	s, key := o.server(p.instance()), toldProxy{r.entry.index, r.entry.generation}
	inTouch := func(told time.Time, ok bool) bool {
		return ok && !r.entry.cut && !r.entry.paused && !told.Before(r.entry.undisturbedSince)
	}
	s.all = append(s.all, r.now)
	fmt.Fprintf(&o.trace, "%d %d %s %d\n", r.now.UnixNano(), r.id, p.instance(), r.entry.index)
	if told, ok := s.toldLeaving[key]; inTouch(told, ok) && r.sentAt.After(told) {
		o.afterLeaving++
		if r.sentAt.Sub(told) > leavingBound {
			o.late++
		}
	}
	if told, ok := s.toldLimit[key]; inTouch(told, ok) && r.now.Sub(told) >= toldAfter {
		s.counted = append(s.counted, r.now)
		o.judge(r.now, p.instance(), s)
	}
}

// judge checks the window that ends now against the limit itself.
func (o *statementObserver) judge(now time.Time, instance string, s *observedServer) {
	limit, ok := s.highestLimit(now)
	if !ok {
		return
	}
	n := 0
	for i := len(s.counted) - 1; i >= 0 && now.Sub(s.counted[i]) < limitWindow; i-- {
		n++
	}
	over := float64(n) - limit*limitWindow.Seconds()
	if over > limitSlack {
		o.breaches++
	}
	if o.worstText == "" || over > o.worst {
		o.worst, o.worstText = over, fmt.Sprintf("%s got %d requests in %v, limit %g a second", instance, n, limitWindow, limit)
	}
}

// highestLimit returns the highest limit that was in force in the window that ends now,
// or false if there was a time without one since the limit was first named.
func (s *observedServer) highestLimit(now time.Time) (limit float64, ok bool) {
	from := now.Add(-limitWindow - limitReact)
	for i := len(s.limits) - 1; i >= 0; i-- {
		c := s.limits[i]
		if !c.limited {
			return limit, ok && c.at.Before(from)
		}
		limit, ok = max(limit, c.perSecond), true
		if c.at.Before(from) {
			return limit, true
		}
	}
	return limit, ok
}
