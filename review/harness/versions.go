package main

import (
	"net/http"
	"time"
)

const (
	// stormVersions and stormGap are a storm of versions: one each 0.33 s for 4 s.
	stormVersions = 12
	stormGap      = 330 * time.Millisecond
	// turnedAwayFor is how long the store turns the machine away.
	turnedAwayFor = 5 * time.Second
	// idleRoutes is the number of routes that no client uses.
	idleRoutes = 1700
	// probeFor is how long the clients ask after the bounds hold again.
	probeFor = 14 * time.Second
)

func fixedWork(d time.Duration) func(*http.Request) time.Duration {
	return func(*http.Request) time.Duration { return d }
}

func baseRoutes() []route {
	return []route{
		{name: "status", prefix: "/status/", kind: "idempotent", service: services[0], timeoutMs: 1200, targetMs: 200, priority: 2},
		{name: "book", prefix: "/book/", kind: protocol.NonIdempotent, service: services[0], timeoutMs: 800, targetMs: 250, priority: 1},
		{name: "lookup", prefix: "/lookup/", kind: "idempotent", service: services[1], timeoutMs: 1200, targetMs: 400, priority: 2},
	}
}

// runVersions lets the store turn one machine away while the operator sends versions in
// quick succession. The last version drops a route.
func runVersions(r *record, trouble bool) (bool, error) {
	f, err := newFleet(6, fixedWork(20*time.Millisecond))
	if err != nil {
		return false, err
	}
	defer f.close()
	f.publish(append(baseRoutes(), droppedRoute), idleRoutes)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	cut := f.machines[0]
	for _, m := range f.machines {
		a := (&client{machine: m}).do(http.MethodPost, "/promo/1", 1500*time.Millisecond, "x")
		r.printf("before: %s", a)
	}
	began := time.Now()
	if trouble {
		if err := cut.turnAway(true); err != nil {
			return false, err
		}
		r.printf("the store turns %s away with 503", cut.name)
	}
	time.Sleep(400 * time.Millisecond)
	var acked time.Time
	for i := range stormVersions {
		routes := append(baseRoutes(), droppedRoute)
		if i == stormVersions-1 {
			routes = baseRoutes()
		}
		var version string
		var size int
		version, size, acked = f.publish(routes, idleRoutes+i)
		r.printf("version %s acknowledged, %d bytes", version, size)
		if i < stormVersions-1 {
			time.Sleep(stormGap)
		}
	}
	r.printf("the last version drops /promo/")
	time.Sleep(time.Until(began.Add(turnedAwayFor)))
	if trouble {
		_ = cut.turnAway(false)
		r.printf("the store serves %s again", cut.name)
	}
	ended := time.Now()
	bound := ended.Add(contact)
	if late := acked.Add(configDeadline); late.After(bound) {
		bound = late
	}
	stretched := bound.Add(maxStretch)
	clients := make([]*client, len(f.machines))
	for i, m := range f.machines {
		clients[i] = &client{machine: m}
	}
	old, oldStretched, others, asked := 0, 0, 0, 0
	for time.Since(bound) < probeFor {
		for i, c := range clients {
			a := c.do(http.MethodPost, "/promo/1", 1500*time.Millisecond, "x")
			r.printf("%s", a)
			if a.Sent.Before(bound) || len(f.ledger.of(a.ID)) == 0 {
				continue
			}
			if i > 0 {
				others++
				continue
			}
			old++
			if a.Sent.After(stretched) {
				oldStretched++
			}
		}
		asked++
		time.Sleep(250 * time.Millisecond)
	}
	r.runs(f.ledger)
	r.say("%s: %d requests for the dropped route run later than the bound of %s, %d of them later than maxStretchMs after it; %d at other machines", cut.name, old, clock(bound), oldStretched, others)
	for _, m := range f.machines {
		r.printf("%s: %d calls of the store, %d turned away, largest answer %d bytes", m.name, m.door.calls.Load(), m.door.refused.Load(), m.door.largest.Load())
	}
	return old+others > 0, nil
}
