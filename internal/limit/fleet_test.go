package limit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

const (
	org       = "acme"
	simStep   = time.Millisecond
	simTick   = 20 * time.Millisecond
	simDelay  = 2 * time.Millisecond
	rpcBytes  = 70 // the frame and the envelope of JSON-RPC
	zoneCount = 7
)

// arrival is a request of a trace.
type arrival struct {
	at    time.Duration
	proxy int
}

// poisson returns arrivals at the rate over the proxies [from, to).
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

// policy decides about requests.
type policy interface {
	admit(now time.Time, proxy int) bool
	// advance passes one step of time.
	advance(now time.Time)
}

// message is on its way between two proxies.
type message struct {
	at     time.Time
	from   int
	to     int
	number uint64
	send   *Send
	reply  *Reply
}

// fleet runs limiters in virtual time.
type fleet struct {
	limit    int
	limiters []*Limiter
	wire     []message
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
		l.Step(start, View{Members: members})
		l.Step(start, Enforced{Version: 1})
	}
	return f
}

func (f *fleet) admit(now time.Time, proxy int) bool {
	ok, _ := f.limiters[proxy].Take(now, org, f.limit)
	return ok
}

func (f *fleet) advance(now time.Time) {
	f.deliver(now)
	for i, l := range f.limiters {
		phase := f.steps + i
		if phase%int(simTick/simStep) == 0 && (len(l.queue) > 0 || phase%1000 == 0) { // an idle tick does nothing
			f.carryOut(now, i, l.Step(now, Tick{}))
		}
	}
	f.steps++
}

func (f *fleet) deliver(now time.Time) {
	n := 0
	for n < len(f.wire) && !f.wire[n].at.After(now) {
		n++
	}
	due := f.wire[:n]
	f.wire = f.wire[n:]
	for _, m := range due {
		l := f.limiters[m.to]
		switch {
		case m.send != nil:
			f.nextCall++
			f.calls[f.nextCall] = m
			f.carryOut(now, m.to, l.Step(now, Received{Call: f.nextCall, Request: m.send.Request}))
		case m.reply != nil:
			f.carryOut(now, m.to, l.Step(now, Answered{Number: m.number, Reply: *m.reply}))
		default:
			f.carryOut(now, m.to, l.Step(now, Failed{Number: m.number}))
		}
	}
}

func (f *fleet) carryOut(now time.Time, from int, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Send:
			var to int
			fmt.Sscan(e.Address, &to)
			f.transmit(now, message{from: from, to: to, number: e.Number, send: &e}, e.Request)
		case Answer:
			m := f.calls[e.Call]
			delete(f.calls, e.Call)
			f.transmit(now, message{from: m.to, to: m.from, number: m.number, reply: &e.Reply}, e.Reply)
		}
	}
}

// transmit sends a message; a lost one fails at its sender.
func (f *fleet) transmit(now time.Time, m message, content any) {
	text, _ := json.Marshal(content)
	f.messages++
	f.bytes[m.from] += len(text) + rpcBytes
	f.bytes[m.to] += len(text) + rpcBytes
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
	at := len(f.wire)
	for at > 0 && f.wire[at-1].at.After(m.at) {
		at--
	}
	f.wire = append(f.wire, message{})
	copy(f.wire[at+1:], f.wire[at:])
	f.wire[at] = m
}

// central is the naive limiter: one bucket for the fleet, asked in no time.
type central struct {
	limit, tokens float64
	at            time.Time
}

func (c *central) admit(now time.Time, _ int) bool {
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

func (c *central) advance(time.Time) {}

// static gives each proxy an equal part with a burst.
type static struct {
	parts []central
}

func newStatic(n, limit int) *static {
	s := &static{parts: make([]central, n)}
	for i := range s.parts {
		s.parts[i] = central{limit: float64(limit) / float64(n), tokens: 1}
	}
	return s
}

func (s *static) admit(now time.Time, proxy int) bool {
	c := &s.parts[proxy]
	if !c.at.IsZero() { // a part below one token could never admit anything
		c.tokens = min(max(1, c.limit), c.tokens+c.limit*now.Sub(c.at).Seconds())
	}
	c.at = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

func (s *static) advance(time.Time) {}

// counts spreads the counts of requests by gossip: each proxy admits the share
// limit/demand, where demand is that of the fleet some rounds ago.
type counts struct {
	limit   float64
	rounds  int
	arrived []int
	current int
	endsAt  time.Time
	rng     *rand.Rand
}

func (c *counts) admit(time.Time, int) bool {
	c.current++
	demand := 0
	if len(c.arrived) >= c.rounds {
		demand = c.arrived[len(c.arrived)-c.rounds]
	}
	return demand == 0 || c.rng.Float64() < c.limit/float64(demand)
}

func (c *counts) advance(now time.Time) {
	if c.endsAt.IsZero() {
		c.endsAt = now.Add(time.Second)
	}
	if !now.Before(c.endsAt) {
		c.arrived = append(c.arrived, c.current)
		c.current = 0
		c.endsAt = c.endsAt.Add(time.Second)
	}
}

// replay runs a trace and returns the times of the admitted requests.
func replay(p policy, trace []arrival, length time.Duration) []arrival {
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

// excess returns by how many requests the worst window of any length exceeds
// the limit.
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
