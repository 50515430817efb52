package limit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	org           = "acme"
	simStep       = time.Millisecond
	simTick       = 20 * time.Millisecond
	simDelay      = 2 * time.Millisecond
	envelopeBytes = 70 // frame and JSON-RPC envelope of a message
	zoneCount     = 7
)

// arrival is a request in a trace.
type arrival struct {
	at    time.Duration
	proxy int
}

// poisson returns the arrivals of a Poisson process at the proxies [from, to).
func poisson(seed uint64, rate float64, begin, end time.Duration, from, to int) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	var out []arrival
	at := begin
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return out
		}
		out = append(out, arrival{at, from + rng.IntN(to-from)})
	}
}

// limitPolicy decides which requests are admitted.
type limitPolicy interface {
	admit(now time.Time, proxy int) bool
	// advance moves the time forward by one step.
	advance(now time.Time)
}

// message is a message in flight between two proxies.
type message struct {
	at     time.Time
	from   int
	to     int
	number uint64
	send   *SendRequest
	reply  *Reply
}

// fleet simulates a fleet of limiters in virtual time.
type fleet struct {
	limit    int
	limiters []*Limiter
	inFlight []message
	calls    map[uint64]message
	nextCall uint64
	bytes    []int
	messages int
	// delay returns the delay of a message, or false if it is lost.
	delay func(from, to int) (time.Duration, bool)
	steps int
}

func newFleet(n, limit int) *fleet {
	f := &fleet{
		limit: limit, bytes: make([]int, n), calls: make(map[uint64]message),
		delay: func(int, int) (time.Duration, bool) { return simDelay, true },
	}
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{ID: fmt.Sprintf("p-%03d", i), AvailabilityZone: fmt.Sprintf("z%d", i%zoneCount), Address: fmt.Sprint(i)}
		f.limiters = append(f.limiters, New(Config{ID: members[i].ID}))
	}
	for _, l := range f.limiters {
		l.Step(start, MembersChanged{Members: members})
		l.Step(start, VersionEnforced{Version: 1})
	}
	return f
}

func (f *fleet) admit(now time.Time, proxy int) bool {
	ok, _ := f.limiters[proxy].Allow(now, org, f.limit)
	return ok
}

func (f *fleet) advance(now time.Time) {
	f.deliver(now)
	for i, l := range f.limiters {
		phase := f.steps + i
		// A tick without queued requests only removes idle state: one a second is enough.
		if phase%int(simTick/simStep) == 0 && (len(l.sendQueue) > 0 || phase%1000 == 0) {
			f.execute(now, i, l.Step(now, Tick{}))
		}
	}
	f.steps++
}

func (f *fleet) deliver(now time.Time) {
	n := 0
	for n < len(f.inFlight) && !f.inFlight[n].at.After(now) {
		n++
	}
	due := f.inFlight[:n]
	f.inFlight = f.inFlight[n:]
	for _, m := range due {
		l := f.limiters[m.to]
		switch {
		case m.send != nil:
			f.nextCall++
			f.calls[f.nextCall] = m
			f.execute(now, m.to, l.Step(now, Received{Call: f.nextCall, Request: m.send.Request}))
		case m.reply != nil:
			f.execute(now, m.to, l.Step(now, Answered{Number: m.number, Reply: *m.reply}))
		default:
			f.execute(now, m.to, l.Step(now, Failed{Number: m.number}))
		}
	}
}

func (f *fleet) execute(now time.Time, from int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case SendRequest:
			var to int
			fmt.Sscan(e.Address, &to)
			f.transmit(now, message{from: from, to: to, number: e.Number, send: &e}, e.Request)
		case SendReply:
			m := f.calls[e.Call]
			delete(f.calls, e.Call)
			f.transmit(now, message{from: m.to, to: m.from, number: m.number, reply: &e.Reply}, e.Reply)
		}
	}
}

// transmit sends a message. If it is lost, the request fails at the proxy that made
// it after 100 ms.
func (f *fleet) transmit(now time.Time, m message, content any) {
	text, _ := json.Marshal(content)
	f.messages++
	f.bytes[m.from] += len(text) + envelopeBytes
	f.bytes[m.to] += len(text) + envelopeBytes
	delay, ok := f.delay(m.from, m.to)
	if !ok {
		origin := m.from
		if m.reply != nil {
			origin = m.to
		}
		m = message{to: origin, number: m.number}
		delay = 100 * time.Millisecond
	}
	m.at = now.Add(delay)
	at := len(f.inFlight)
	for at > 0 && f.inFlight[at-1].at.After(m.at) {
		at--
	}
	f.inFlight = append(f.inFlight, message{})
	copy(f.inFlight[at+1:], f.inFlight[at:])
	f.inFlight[at] = m
}

// centralBucket is the reference policy: one token bucket for the fleet, reached
// without delay.
type centralBucket struct {
	limit, tokens float64
	at            time.Time
}

func (c *centralBucket) admit(now time.Time, _ int) bool {
	if !c.at.IsZero() {
		c.tokens = min(c.limit*burst.Seconds(), c.tokens+c.limit*now.Sub(c.at).Seconds())
	}
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (c *centralBucket) advance(time.Time) {}

// staticShares is the policy of an equal static share for each proxy, with a burst.
type staticShares struct {
	shares []centralBucket
}

func newStaticShares(n, limit int) *staticShares {
	s := &staticShares{shares: make([]centralBucket, n)}
	for i := range s.shares {
		s.shares[i] = centralBucket{limit: float64(limit) / float64(n), tokens: 1}
	}
	return s
}

func (s *staticShares) admit(now time.Time, proxy int) bool {
	c := &s.shares[proxy]
	if !c.at.IsZero() { // a capacity below one token would never admit a request
		c.tokens = min(max(1, c.limit), c.tokens+c.limit*now.Sub(c.at).Seconds())
	}
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (s *staticShares) advance(time.Time) {}

// gossipedCounts is the policy of gossiping request counts: each proxy admits the
// fraction limit/demand, where demand is that of the fleet some seconds ago.
type gossipedCounts struct {
	limit float64
	// rounds is the age of the known demand, in rounds of one second.
	rounds  int
	arrived []int
	current int
	endsAt  time.Time
	rng     *rand.Rand
}

func (c *gossipedCounts) admit(time.Time, int) bool {
	c.current++
	demand := 0
	if len(c.arrived) >= c.rounds {
		demand = c.arrived[len(c.arrived)-c.rounds]
	}
	return demand == 0 || c.rng.Float64() < c.limit/float64(demand)
}

func (c *gossipedCounts) advance(now time.Time) {
	if c.endsAt.IsZero() {
		c.endsAt = now.Add(time.Second)
	}
	if !now.Before(c.endsAt) {
		c.arrived = append(c.arrived, c.current)
		c.current = 0
		c.endsAt = c.endsAt.Add(time.Second)
	}
}

// replay runs a trace and returns the admitted requests.
func replay(p limitPolicy, trace []arrival, length time.Duration) []arrival {
	var admitted []arrival
	next := 0
	for at := time.Duration(0); at < length; at += simStep {
		now := start.Add(at)
		p.advance(now)
		for next < len(trace) && trace[next].at < at+simStep {
			if p.admit(start.Add(trace[next].at), trace[next].proxy) {
				admitted = append(admitted, trace[next])
			}
			next++
		}
	}
	return admitted
}

// excess returns the number of requests by which the worst window, of any length,
// exceeds the limit.
func excess(admitted []arrival, limit int) float64 {
	worst, lowest := 0.0, 0.0
	for n, a := range admitted {
		balance := float64(n) - float64(limit)*a.at.Seconds()
		lowest = min(lowest, balance)
		if n == 0 {
			lowest = balance
		}
		worst = max(worst, balance+1-lowest)
	}
	return worst
}
