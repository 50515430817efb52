package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pipelined is the number of requests that the client sends on one connection before the
	// first one is answered.
	pipelined = 36
	// slowWork is the work of a request at a slow upstream: five times 240 ms.
	slowWork = 1200 * time.Millisecond
	// leavesAfter is when the client leaves, counted from its first request.
	leavesAfter = 300 * time.Millisecond
	// goneBound is the time after which nothing of a client that has left may be in work.
	goneBound = 500 * time.Millisecond
	// maxLateArrivals are "a few" requests.
	maxLateArrivals = 3
)

// runGone lets a client leave that has sent many idempotent requests on one connection.
func runGone(r *record, trouble bool) (bool, error) {
	f, err := newFleet(6, fixedWork(slowWork))
	if err != nil {
		return false, err
	}
	defer f.close()
	var routes []route
	for _, s := range services {
		routes = append(routes, route{name: "history-" + s, prefix: "/history-" + s + "/", kind: "idempotent", service: s, timeoutMs: 2000, targetMs: 600, priority: 2})
	}
	f.publish(routes, 300)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contact)
	m := f.machines[0]
	conn, err := net.Dial("tcp", m.outbound())
	if err != nil {
		return false, err
	}
	var b strings.Builder
	for i := range pipelined {
		id, target := newID(), fmt.Sprintf("/history-%s/%d", services[i%len(services)], i)
		b.WriteString(head(id, http.MethodGet, target, 4*time.Second, ""))
		r.printf("request %s GET %s at %s", id, target, m.name)
	}
	if _, err := conn.Write([]byte(b.String())); err != nil {
		return false, err
	}
	time.Sleep(leavesAfter)
	left := time.Now()
	if trouble {
		_ = conn.Close()
		r.printf("the client closes its connection")
	}
	time.Sleep(goneBound + 3*slowWork)
	_ = conn.Close()
	long, atWork, arrived := 0, 0, 0
	for _, e := range f.ledger.all() {
		switch bound := left.Add(goneBound); {
		case e.Began.After(bound):
			arrived++
		case e.Began.Add(slowWork).After(bound):
			long++
			if e.End == "" || e.Ended.After(bound) {
				atWork++
			}
		}
	}
	r.runs(f.ledger)
	r.say("of %d requests on one connection, upstreams were at work half a second after %v on %d of the %d that last so long, and %d more began later", pipelined, leavesAfter, atWork, long, arrived)
	return trouble && (4*atWork > long || arrived > maxLateArrivals), nil
}
