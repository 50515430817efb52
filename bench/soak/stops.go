package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

const (
	// defaultGrace is the grace period of the small deployments: the time from SIGTERM
	// until the platform kills a process.
	defaultGrace = 6 * time.Second
	// lateSendTime is the time after SIGTERM until which a request may be sent whose run is
	// cut in the last sixth of the grace period.
	lateSendTime = 3 * time.Second
	// crossingTime is the time within which the end of a connection crosses a request.
	crossingTime = 200 * time.Millisecond
	// deadlineRounding is by how much a proxy may end a request before its deadline.
	deadlineRounding = 20 * time.Millisecond
	// stoppingShare is the inverse of the largest share of machines that stop at a time in
	// a step of kindStopAll, if each takes the grace period.
	stoppingShare = 3

	// Requests with runs of seconds, to the first service and, if not repeatable, to the
	// second. Their paths name the time of the run in milliseconds.
	longPath              = "/long/"
	nonRepeatableLongPath = "/lengthy/"
	longDeadline          = 12 * time.Second
	minWork, maxWork      = 3 * time.Second, 8 * time.Second
	// idlePause is the mean pause of callers whose connections are idle during a stop.
	idlePause = 2 * time.Second
)

var drawnGraces = []time.Duration{3 * time.Second, defaultGrace, 10 * time.Second}

// stopEach stops the proxies of all machines in turn, at most one in stoppingShare at a
// time, and waits until they have started again.
func (c *cluster) stopEach() {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, m := range c.machines {
		wg.Go(m.stopProxy)
		time.Sleep(max(seriesGap, stoppingShare*c.observed.grace/time.Duration(len(c.machines))))
	}
}

// setLong gives the request a long run, which it shares with the calls that it leads to.
// One in four takes less than minWork. Pipelined requests are repeatable.
func (a *attempt) setLong(rng *rand.Rand, pipelined bool) {
	work, depth, path := minWork+time.Duration(rng.Int64N(int64(maxWork-minWork))), callDepth(a.Path), longPath
	if rng.IntN(4) == 0 {
		work = time.Duration(rng.Int64N(int64(minWork)))
	}
	if !pipelined && rng.IntN(3) == 0 {
		path = nonRepeatableLongPath
	}
	a.Method, a.Body, a.Chunked, a.Abandoned = http.MethodGet, "", false, false
	a.Deadline = longDeadline - time.Duration(rng.IntN(3000))*time.Millisecond
	a.Path = fmt.Sprintf("%s%d.%x%s", path, work.Milliseconds()/int64(depth+1), rng.Uint64(), callingSuffix(depth))
}

// longWork returns the time of a run that its path names, 0 for the usual.
func longWork(path string) time.Duration {
	if strings.HasPrefix(path, longPath) || strings.HasPrefix(path, nonRepeatableLongPath) {
		text, _, _ := strings.Cut(path[strings.LastIndex(path, "/")+1:], ".")
		ms, _ := strconv.Atoi(text) // callers send only numbers
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}

// runWork returns how long a run takes on the machine, half as long again if its backend
// server is slow, 0 for the usual.
func (m *machine) runWork(run *standin.Arrival) time.Duration {
	work := longWork(run.Target)
	if m.slowed.Load() {
		work += work / 2
	}
	return work
}

func (o *observations) recordRunEnd(r *standin.Arrival, end standin.RunEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.End, r.Ended = end, time.Now()
}

// checkStops checks that no planned stop cuts a request that was read. It returns the
// number of stops and, by kind, of the requests that were not passed on before a stop
// ended their connection.
func (c *checker) checkStops() map[string]int {
	counts := make(map[string]int)
	for _, d := range c.disturbances {
		if d.kind == kindStop {
			counts["stops"]++
		}
	}
	for _, a := range c.attempts {
		c.checkStopped(a, counts)
	}
	return counts
}

// stopAround returns the latest planned stop of the machine that may have cut a request,
// nil if there is none.
func (c *checker) stopAround(machine int, a *attempt) (latest *disturbance) {
	for _, d := range c.disturbances {
		if d.kind == kindStop && d.machine == machine && d.from.Before(a.ended) && (latest == nil || d.from.After(latest.from)) &&
			(d.to.IsZero() || d.to.After(a.sent.Add(-c.grace)) || a.ended.Before(d.from.Add(c.grace+time.Second))) {
			latest = d
		}
	}
	return latest
}

// checkStopped checks one request. It counts as read if it reached a backend server, or if
// its connection stayed open for longer than crossingTime.
func (c *checker) checkStopped(a *attempt, counts map[string]int) {
	var run *standin.Arrival // the latest
	if runs := c.arrivalsByID[a.ID]; len(runs) > 0 {
		run = runs[len(runs)-1]
	}
	cut := a.result == connectionClosed || a.result == answerNotRead && a.cutBehind
	stop := c.stopAround(a.machine, a)
	if !cut && run != nil && (stop == nil || !c.lastsTooLong(a, run, stop)) {
		stop = cmp.Or(c.stopAround(run.Machine, a), stop) // the caller's proxy answers when that beside the run is gone
	}
	if stop == nil || !cut && !replacesRun(a, run) || !a.ended.Before(a.sent.Add(a.Deadline-deadlineRounding)) ||
		c.disturbed(anyComponent, a.sent.Add(-undisturbedTime), a.ended, kindStop, kindSlowBackend, kindUneven, kindRelease, kindAnnouncedEnd) {
		return
	}
	after := a.ended.Sub(stop.from)
	switch {
	case run == nil && a.behind:
		counts["behind another"]++
	case run == nil && a.ended.Sub(a.written) <= crossingTime:
		counts["crossed"]++
	case run == nil:
		c.addViolation("lost", "%v: not passed on, cut after %v, %v after SIGTERM of machine %d: %v", a, a.ended.Sub(a.written), after, stop.machine, a.err)
	case run.End == standin.RunBroken, c.disturbed(run.Machine, run.At, a.ended, kindStop, kindSlowBackend, kindUneven): // the backend server broke off
	case c.lastsTooLong(a, run, stop):
	default:
		c.addViolation("lost", "%v: sent %v and cut %v after SIGTERM of machine %d, pipelined %t; at %s %v after it, run %v at %v: %v", a, a.sent.Sub(stop.from), after, stop.machine,
			a.behind, run.Process, run.At.Sub(stop.from), run.End, run.Ended.Sub(stop.from), a.err)
	}
}

// lastsTooLong reports whether a stop may cut the run, which the backend server was still
// at work on in the last sixth of the grace period.
func (c *checker) lastsTooLong(a *attempt, run *standin.Arrival, stop *disturbance) bool {
	lastSixth := stop.from.Add(c.grace * 5 / 6)
	return run != nil && a.sent.Before(stop.from.Add(lateSendTime)) && !a.ended.Before(lastSixth) && (run.Ended.IsZero() || !run.Ended.Before(lastSixth))
}

// replacesRun reports whether the answer is one of a proxy in place of a run at which the
// backend server was at work.
func replacesRun(a *attempt, run *standin.Arrival) bool {
	own := a.result == answered && !a.answer.Stamped && a.answer.Status >= http.StatusInternalServerError && !meansNotRun(a.answer.Status)
	return own && run != nil && run.Executed && (run.End == standin.RunCut || run.Ended.IsZero() || run.Ended.After(a.ended))
}
