package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	// crashDelay is the time between the answer to the crashing request and the end of the
	// upstream that has run it, and backAfter the time until another one takes its place.
	crashDelay = 100 * time.Millisecond
	backAfter  = 3 * time.Second
	// maxRetries is how often the crashing request may reach upstreams later than
	// contactTime after it has crashed the third.
	maxRetries = 3
)

// playPoison: with the disruption, a request that ends each upstream that runs it, shortly
// after its answer, comes once a second, at the machines of one service in turn.
func playPoison(f *fleet, trouble bool) error {
	p := &poison{fleet: f, ledger: newLedger()}
	ups, err := startDesks(f, p.ledger, 6, deskRoutes(), 0)
	if err != nil {
		return err
	}
	for _, u := range ups {
		u.setRespond(p.respond)
	}
	until := time.Now().Add(22 * time.Second)
	var wg sync.WaitGroup
	if trouble {
		wg.Go(func() { p.send(until) })
	}
	t := f.send(until)
	wg.Wait()
	lost := 0
	for id, q := range t.requests {
		if q.method == http.MethodPost && t.answers[id].status != http.StatusOK && len(p.ledger.runsOf(id)) > 0 {
			lost++
			f.record.printf("LOST     booking %s ran, its client got status %d", id, t.answers[id].status)
		}
	}
	crashes, late := p.count()
	f.record.printf("the request crashed %d upstreams and was run %d times later than %v after the third crash; %d bookings that ran were lost", crashes, late, contactTime, lost)
	if late > maxRetries {
		return brokenRule{fmt.Sprintf("BUDGET: a request that crashed %d upstreams reached upstreams %d times later than %v after the third crash; %d bookings were lost", crashes, late, contactTime, lost)}
	}
	return nil
}

// poison is a request that crashes the upstreams that run it.
type poison struct {
	fleet  *fleet
	ledger *ledger

	mu      sync.Mutex
	sent    int
	crashes []time.Time
}

// send sends the request until a time. It begins at the machines of trader-desk.
func (p *poison) send(until time.Time) {
	for ; time.Now().Before(until); p.sent++ {
		q := clientRequest{id: poisonID(p.sent), method: http.MethodGet, path: "/status/poison", deadline: 1200 * time.Millisecond}
		_, _ = p.fleet.machines[p.sent*2%len(p.fleet.machines)].exchange(q) // the record holds the answer
		time.Sleep(time.Second)
	}
}

func poisonID(k int) string { return fmt.Sprintf("p%04d", k) }

// respond answers a request after the usual work, and ends the upstream if it is the one
// that crashes it.
func (p *poison) respond(u *upstream, c *upstreamConn, r *http.Request, x run) bool {
	if !strings.HasSuffix(x.Target, "/poison") {
		time.Sleep(120 * time.Millisecond)
		return u.succeed(c, x)
	}
	time.Sleep(20 * time.Millisecond)
	time.AfterFunc(crashDelay, func() { p.crash(u, x) })
	return u.succeed(c, x)
}

// crash ends an upstream and starts another one in its place later.
func (p *poison) crash(u *upstream, x run) {
	u.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashes = append(p.crashes, time.Now())
	id := fmt.Sprintf("i-7f3b%04x", len(p.crashes))
	u.record.printf("CRASH    %s ends after %s", u.id, x.Request)
	time.AfterFunc(backAfter, func() {
		next, err := startUpstream(u.machine, id, p.ledger, cap(u.slots), 0)
		if err != nil {
			u.record.printf("%s does not start: %v", id, err)
			return
		}
		next.setRespond(p.respond)
	})
}

// count returns the number of crashes, and how often the request was run later than
// contactTime after the third.
func (p *poison) count() (crashes, late int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.crashes) < 3 {
		return len(p.crashes), 0
	}
	bound := p.crashes[2].Add(contactTime)
	for k := range p.sent {
		for _, r := range p.ledger.runsOf(poisonID(k)) {
			if r.At.After(bound) {
				late++
			}
		}
	}
	return len(p.crashes), late
}
