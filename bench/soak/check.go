package main

import (
	"fmt"
	"hash/crc32"
	"net/http"
	"slices"
	"strings"
	"time"

	"heatherlift.example/heatherlift/platform/standin"
)

// Parameters of the checks. The bounds are the ones that the users' deployments
// require.
const (
	// undisturbedTime is how long a machine must have been free of disturbances
	// before time bounds apply to it.
	undisturbedTime = 3 * time.Second
	// versionBound is the time from the store's acknowledgement of a version until
	// every proxy must enforce it.
	versionBound = 2 * time.Second
	// drainBound is how long proxies may still send requests to an instance after
	// the store acknowledged that it leaves.
	drainBound = 2 * time.Second
	// oldVersionSlack is how long a proxy process that has served a version's route
	// may still answer from an older version.
	oldVersionSlack = 250 * time.Millisecond
	// deadlineSlack is the tolerance on the remaining deadline that a proxy passes
	// on to a backend server.
	deadlineSlack = 500 * time.Millisecond

	// In every budgetWindow, the repeated arrivals of requests at a service may be at
	// most budgetRatio of the first arrivals of callers' requests plus budgetSlack.
	budgetRatio  = 0.2
	budgetSlack  = 64
	budgetWindow = 10 * time.Second

	// maxStrayLosses is the number of answers that may be lost in a run without a
	// fault at the time. A planned stop of the caller's proxy must lose none.
	maxStrayLosses = 3
	// minServedShare is the share of requests that must be served once all faults
	// have ended.
	minServedShare = 0.95
)

// checker holds the observations of a finished run, indexed for the checks.
type checker struct {
	*observations
	attemptsByID map[string]*attempt
	// arrivalsByID holds the arrivals at backend servers by request ID,
	// executedByID those whose request the backend server ran.
	arrivalsByID, executedByID map[string][]*standin.Arrival
	violations                 []string
	now                        time.Time
}

// checkRun checks a finished run and returns the violations in the order of the
// checks. Disturbances that have not ended last until now.
func checkRun(o *observations, now time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := newChecker(o, now)
	for _, text := range o.failures {
		c.addViolation("ended", "%s", text)
	}
	for _, a := range o.attempts {
		c.checkAttempt(a)
	}
	for _, r := range o.arrivals {
		c.checkArrival(r)
	}
	c.checkRegressions()
	c.checkLostAnswers()
	c.checkRetryBudget()
	c.checkCrashingRequests()
	c.checkStatements()
	c.checkCold()
	c.checkEvacuations()
	c.checkMemory()
	c.checkStops()
	return c.violations
}

// newChecker indexes the observations. The caller holds their lock.
func newChecker(o *observations, now time.Time) *checker {
	c := &checker{
		observations: o, now: now, attemptsByID: make(map[string]*attempt),
		executedByID: make(map[string][]*standin.Arrival), arrivalsByID: make(map[string][]*standin.Arrival),
	}
	for _, a := range o.attempts {
		c.attemptsByID[a.ID] = a
	}
	for _, r := range o.arrivals {
		c.arrivalsByID[r.Request] = append(c.arrivalsByID[r.Request], r)
		if r.Executed {
			c.executedByID[r.Request] = append(c.executedByID[r.Request], r)
		}
	}
	return c
}

func (c *checker) addViolation(rule, format string, args ...any) {
	c.violations = append(c.violations, rule+": "+fmt.Sprintf(format, args...))
}

func (a *attempt) String() string {
	return fmt.Sprintf("%s %s%s at machine %d, sent %s, status %d", a.ID, a.Method, a.Path, a.machine, a.sent.Format("15:04:05.000"), a.answer.Status)
}

// nonRepeatable reports whether the request must run at most once.
func (a *attempt) nonRepeatable() bool {
	return strings.HasPrefix(a.Path, nonRepeatablePath) || strings.HasPrefix(a.Path, uploadPath) || strings.HasPrefix(a.Path, nonRepeatableLongPath)
}

// checkAttempt checks the result of one request against its arrivals at backend
// servers.
func (c *checker) checkAttempt(a *attempt) {
	if a.result == abandoned && len(c.executedByID[a.ID]) > 0 {
		c.addViolation("unasked", "%v ran, although its caller sent only half of the body", a)
	}
	if a.nonRepeatable() && len(c.executedByID[a.ID]) > 1 {
		c.addViolation("twice", "%v ran %d times", a, len(c.executedByID[a.ID]))
	}
	if len(c.arrivalsByID[a.ID]) > maxAttempts(a.Path) && !c.disturbed(anyComponent, a.sent, a.ended) {
		c.addViolation("attempts", "%v arrived %d times at backend servers", a, len(c.arrivalsByID[a.ID]))
	}
	if a.result == timedOut && !a.slowReader && c.undisturbed(a.machine, a.sent, a.ended) && a.startsWhenSent == a.startsWhenEnded {
		c.addViolation("late", "%v was not answered within its deadline and a margin of %v", a, answerTimeoutMargin)
	}
	if a.result != answered {
		return
	}
	status := a.answer.Status
	switch {
	case status == http.StatusOK:
		c.checkSuccess(a)
	case a.answer.Stamped && status == http.StatusInternalServerError && callDepth(a.Path) > 0:
		c.checkSuccess(a) // the run's call failed; all else of the answer must be right
	case a.answer.Stamped && status != http.StatusGatewayTimeout:
		c.addViolation("mixed", "%v is not a success but carries a backend server's response stamp", a)
	case meansNotRun(status) && len(c.executedByID[a.ID]) > 0:
		c.addViolation("refused", "%v was reported as not run, but a backend server ran it", a)
	case status == http.StatusNotFound:
		c.checkNotFound(a)
	case status < http.StatusInternalServerError && !meansNotRun(status):
		c.addViolation("denied", "%v", a)
	}
}

// meansNotRun reports whether a status guarantees that the request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkSuccess checks that the answer to a successful request comes from an
// instance that ran it, and is whole.
func (c *checker) checkSuccess(a *attempt) {
	run := slices.IndexFunc(c.executedByID[a.ID], func(r *standin.Arrival) bool { return a.answer.Body == a.expectedBody(r.Instance) })
	if run < 0 || !a.answer.Stamped || a.answer.ID != a.ID {
		rule := "mixed"
		if standin.ResponseSize(a.Path) > 0 {
			rule = "whole"
		}
		c.addViolation(rule, "%v: answer matches no instance that ran the request", a)
	}
}

// checkNotFound checks a status 404. It is allowed only for a route that a version
// adds, until the proxy must enforce that version, or if the machine or a shared
// component was disturbed since the version was published.
func (c *checker) checkNotFound(a *attempt) {
	for _, v := range c.versions {
		if !strings.HasPrefix(a.Path, addedPath(v.number)) {
			continue
		}
		if a.sent.After(v.acked.Add(versionBound)) && c.undisturbed(a.machine, v.acked, a.ended) {
			c.addViolation("config", "%v, %v after the store acknowledged the version", a, a.sent.Sub(v.acked).Round(time.Millisecond))
		}
		return
	}
	c.addViolation("denied", "%v: the route exists in every version", a)
}

// checkArrival checks one arrival at a backend server against the request that the
// caller sent.
func (c *checker) checkArrival(r *standin.Arrival) {
	a := c.attemptsByID[r.Request]
	switch {
	case a == nil:
		c.addViolation("unasked", "%s %s arrived at %s with the unknown request ID %q", r.Method, r.Target, r.Instance, r.Request)
		return
	case a.Method != r.Method || a.Path != r.Target || crc32.ChecksumIEEE([]byte(a.Body)) != r.Body || a.service != r.Caller:
		c.addViolation("unasked", "%v arrived altered at %s: %s %s from service %q", a, r.Instance, r.Method, r.Target, r.Caller)
	case (r.Deadline <= 0 || r.Deadline > a.Deadline-r.At.Sub(a.sent)+deadlineSlack) && c.undisturbed(a.machine, a.sent, r.At) && c.undisturbed(r.Machine, a.sent, r.At):
		c.addViolation("deadline", "%v arrived with a deadline of %v at %s, %v after it was sent", a, r.Deadline, r.Instance, r.At.Sub(a.sent))
	}
	if !r.Executed {
		return
	}
	c.checkRouting(a, r)
	for _, d := range c.departures {
		if d.instance == r.Instance && r.At.After(d.acked.Add(drainBound)) && c.undisturbed(a.machine, d.acked, r.At) {
			c.addViolation("drain", "%v ran at %s, %v after the store acknowledged that the instance leaves", a, r.Instance, r.At.Sub(d.acked).Round(time.Millisecond))
		}
	}
}

// checkRouting checks that a request ran at a service to which a version that may
// have been in force routes it.
func (c *checker) checkRouting(a *attempt, r *standin.Arrival) {
	if want := fixedService(a.Path); want != "" {
		if r.Service != want {
			c.addViolation("route", "%v ran at the wrong service %s", a, r.Service)
		}
		return
	}
	for i, v := range c.versions {
		superseded := i+1 < len(c.versions) && a.sent.After(c.versions[i+1].acked.Add(versionBound))
		if v.movedService == r.Service && !v.sent.After(r.At) && !superseded {
			return
		}
	}
	newest := c.versions[0]
	for _, v := range c.versions {
		if v.acked.Before(a.sent) {
			newest = v
		}
	}
	if c.undisturbed(a.machine, newest.acked, r.At) {
		c.addViolation("config", "%v ran at service %s, but no version in force routes it there", a, r.Service)
	}
}

// fixedService returns the service of a route that is the same in every version, or
// "" for the route whose service changes.
func fixedService(path string) string {
	switch {
	case strings.HasPrefix(path, movedPath):
		return ""
	case strings.HasPrefix(path, secondServicePath), strings.HasPrefix(path, uploadPath), strings.HasPrefix(path, nonRepeatableLongPath):
		return services[1]
	}
	return services[0]
}

// checkRegressions checks that a proxy process that has served a route does not
// answer 404 for it later, which would mean that it went back to an older version.
func (c *checker) checkRegressions() {
	type key struct {
		machine, starts int
		path            string
	}
	firstServed := make(map[key]time.Time)
	routePath := func(a *attempt) string { return a.Path[:strings.LastIndex(a.Path, "/")+1] }
	for _, a := range c.attempts {
		if a.result == answered && a.answer.Status == http.StatusOK && a.startsWhenSent == a.startsWhenEnded {
			k := key{a.machine, a.startsWhenSent, routePath(a)}
			if at, ok := firstServed[k]; !ok || a.ended.Before(at) {
				firstServed[k] = a.ended
			}
		}
	}
	for _, a := range c.attempts {
		at, ok := firstServed[key{a.machine, a.startsWhenSent, routePath(a)}]
		if ok && a.startsWhenSent == a.startsWhenEnded && a.result == answered && a.answer.Status == http.StatusNotFound && a.sent.After(at.Add(oldVersionSlack)) {
			c.addViolation("regress", "%v, but the same proxy process had served the route before", a)
		}
	}
}

// checkLostAnswers checks connections that ended without an answer to a request
// that a backend server had started to run, apart from planned stops of the caller's
// proxy. Losses near a disturbance other than a planned stop are allowed, and without
// one at most maxStrayLosses in a run.
func (c *checker) checkLostAnswers() {
	strayLosses := 0
	var first *attempt
	for _, a := range c.attempts {
		if a.result != connectionClosed || len(c.executedByID[a.ID]) == 0 || c.disturbed(anyComponent, a.sent.Add(-undisturbedTime), a.ended, kindStop) {
			continue
		}
		if c.stopAround(a.machine, a) != nil {
			continue // checkStops
		}
		strayLosses++
		if first == nil {
			first = a
		}
	}
	if strayLosses > maxStrayLosses {
		c.addViolation("lost", "%d answers lost without a fault, the first to %v", strayLosses, first)
	}
}

// undisturbed reports whether the machine and the shared components were free of
// disturbances from undisturbedTime before from until to.
func (c *checker) undisturbed(machine int, from, to time.Time) bool {
	return !c.disturbed(machine, from.Add(-undisturbedTime), to) && !c.disturbed(sharedComponents, from.Add(-undisturbedTime), to)
}

// disturbed reports whether a component was disturbed at any time between from and
// to. The parameter machine is the index of a machine, sharedComponents or
// anyComponent. Disturbances of the kinds in except do not count.
func (c *checker) disturbed(machine int, from, to time.Time, except ...kind) bool {
	for _, d := range c.disturbances {
		end := d.to
		if end.IsZero() {
			end = c.now
		}
		if (machine == anyComponent || d.machine == machine) && !slices.Contains(except, d.kind) && d.from.Before(to) && end.After(from) {
			return true
		}
	}
	return false
}

// checkRecovery checks that enough of the requests sent after since were served. All
// faults must have ended long enough before since for the fleet to recover.
func checkRecovery(o *observations, since time.Time) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	total, served := 0, 0
	for _, a := range o.attempts {
		if a.sent.After(since) && !isCrashing(a.Path) {
			total++
			if a.result == answered && a.answer.Status == http.StatusOK {
				served++
			}
		}
	}
	if total == 0 || float64(served) < minServedShare*float64(total) {
		return []string{fmt.Sprintf("recover: %d of %d requests served after all faults had ended", served, total)}
	}
	return nil
}
