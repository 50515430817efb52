package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// crashingPath is the path prefix of requests that end each backend server that
	// runs them. The route is repeatable.
	crashingPath = repeatablePath + "crash-"
	// resendPauseMin and resendPauseMax bound the pause between two sends of a
	// crashing request.
	resendPauseMin = 250 * time.Millisecond
	resendPauseMax = time.Second
	// toleratedCrashes is the number of backend servers that a crashing request may
	// end before the bound on its further sends applies.
	toleratedCrashes = 3
	// maxLateSends is how often undisturbed proxies may send a crashing request to
	// a backend server later than undisturbedTime after the last tolerated crash.
	maxLateSends = 3
	// maxCalmCrashes is the number of backend servers that a crashing request may
	// end while no proxy is disturbed.
	maxCalmCrashes = 4
	// maxCalmSends applies instead to requests that backend servers drop before they
	// end, since further runs begin before the first end: the number of sends when all
	// proxies know of two crashes in succession.
	maxCalmSends = maxCalmCrashes - toleratedCrashes
	// crashNewsTime is the time until all undisturbed proxies know of a crash: two
	// rounds of the comparisons between proxies, and a margin.
	crashNewsTime = time.Second
)

// backendKinds are the kinds that disturb backend servers or versions but no proxy.
var backendKinds = []kind{
	kindCrashingRequest, kindCrash, kindLostAnswers, kindSlowBackend, kindRelease, kindRestartBackend, kindLimit, kindLimitService,
	kindAnnouncedEnd, kindChange, kindStorm, kindBurst, kindImpatience, kindCold, kindColdZone, kindEvacuate, kindDownloads, kindUneven,
}

func isCrashing(path string) bool { return strings.HasPrefix(path, crashingPath) }

// startCrashingRequest starts a caller that sends the same request again and again
// until c.ctx is done, each time to a random proxy. It ignores Retry-After. Requests
// with different numbers differ. The ending is that of the options or, without one,
// drawn.
func (c *cluster) startCrashingRequest(number uint64) {
	rng := c.newRand(crashingStream, number)
	ending := c.ending
	if ending == "" {
		ending = endingNames[rng.IntN(len(endingNames))]
	}
	c.callers.Go(func() { c.sendCrashingRequest(ending+"-"+formatHex(number), rng) })
}

func (c *cluster) sendCrashingRequest(name string, rng *rand.Rand) {
	for c.ctx.Err() == nil {
		m := c.machines[rng.IntN(len(c.machines))]
		r := standin.Request{ID: fmt.Sprintf("%016x", rng.Uint64()), Method: http.MethodGet, Host: hostName, Path: crashingPath + name, Deadline: requestDeadline}
		if conn, err := standin.Dial(address(m.processIP, callersPort), time.Second); err == nil {
			m.sendBatch(conn, []*attempt{{Request: r, machine: m.index, service: m.service}})
			_ = conn.Close()
		}
		time.Sleep(resendPauseMin + time.Duration(rng.Int64N(int64(resendPauseMax-resendPauseMin))))
	}
}

// crashes summarises the arrivals of one crashing request.
type crashes struct {
	path string
	// ended is the number of backend servers that the request ended, and late the
	// number of its sends beyond maxLateSends' time limit.
	ended, late int
	// known is the number of sends later than crashNewsTime after the second of two
	// crashes in succession.
	known int
}

// crashesByPath returns the crashes of each crashing request, ordered by path.
func (c *checker) crashesByPath() []crashes {
	arrivals := make(map[string][]*standin.Arrival)
	for _, r := range c.arrivals {
		if isCrashing(r.Target) {
			arrivals[r.Target] = append(arrivals[r.Target], r)
		}
	}
	var all []crashes
	for path, list := range arrivals {
		slices.SortStableFunc(list, func(a, b *standin.Arrival) int { return a.At.Compare(b.At) })
		s := crashes{path: path}
		var bound time.Time
		for _, r := range list {
			if s.ended >= toleratedCrashes && r.At.After(bound) && c.inTouch(r) {
				s.late++
			}
			if !r.Executed {
				continue
			}
			if s.ended++; s.ended == toleratedCrashes {
				bound = r.At.Add(undisturbedTime)
			}
		}
		s.known = sendsOfKnown(path, list)
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b crashes) int { return strings.Compare(a.path, b.path) })
	return all
}

// sendsOfKnown returns the number of arrivals, in the order of time, later than
// crashNewsTime after the second of two crashes in succession.
func sendsOfKnown(path string, arrivals []*standin.Arrival) int {
	ending, _ := endingOf(path)
	known, sends := 0, 0
	var knownAt time.Time
	for _, r := range arrivals {
		switch {
		case known == 2 && r.At.After(knownAt):
			sends++
		case known < 2 && r.Executed && r.At.After(knownAt):
			known++
			knownAt = r.At.Add(ending.RunFor + ending.EndsAfter + crashNewsTime)
		}
	}
	return sends
}

// inTouch reports whether the proxy that sent a request was free of disturbances for
// undisturbedTime before it arrived.
func (c *checker) inTouch(r *standin.Arrival) bool {
	a := c.attemptsByID[r.Request]
	if a == nil {
		return false
	}
	from := r.At.Add(-undisturbedTime)
	return !c.disturbed(a.machine, from, r.At, backendKinds...) && !c.disturbed(sharedComponents, from, r.At, backendKinds...)
}

// calm reports whether no proxy was disturbed in the run.
func (c *checker) calm() bool {
	return !slices.ContainsFunc(c.disturbances, func(d *disturbance) bool { return !slices.Contains(backendKinds, d.kind) })
}

// checkCrashingRequests checks that proxies stop sending requests that end backend
// servers.
func (c *checker) checkCrashingRequests() {
	for _, s := range c.crashesByPath() {
		if s.late > maxLateSends {
			c.addViolation("crashing", "%s was sent %d times later than %v after it had ended %d backend servers; %d ended in all", s.path, s.late, undisturbedTime, toleratedCrashes, s.ended)
		}
		ending, _ := endingOf(s.path)
		switch {
		case !c.calm():
		case !ending.Drops && s.ended > maxCalmCrashes:
			c.addViolation("crashing", "%s ended %d backend servers of an undisturbed fleet", s.path, s.ended)
		case ending.Drops && s.known > maxCalmSends:
			c.addViolation("crashing", "%s was sent %d times later than %v after the second of two crashes in an undisturbed fleet", s.path, s.known, crashNewsTime)
		}
	}
}
