package main

import (
	"hash/crc32"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/platform/standin"
)

// failedSeeds maps the seeds of earlier runs with violations to the cause of these;
// TestShortSoak repeats them.
var failedSeeds = map[uint64]string{}

// buildProxy builds the proxy and returns the directory that holds it.
func buildProxy(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "heatherlift"), "../../cmd/heatherlift")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		t.Fatal(err)
	}
	return bin
}

// TestShortSoak performs a short run of each seed with proxy processes.
func TestShortSoak(t *testing.T) {
	bin := buildProxy(t)
	seeds := []uint64{1}
	for seed := range failedSeeds {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		r, err := runSeed(options{bin: bin, seed: seed, machines: defaultMachines, length: 8 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		if len(r.violations) > 0 {
			t.Error(r)
		}
	}
}

func TestPlanIsDeterministicPerSeed(t *testing.T) {
	is := is.New(t)
	kinds := make(map[kind]bool)
	for seed := range uint64(20) {
		plan := newPlan(seed, time.Minute, defaultMachines)
		is.Equal(plan, newPlan(seed, time.Minute, defaultMachines))
		for _, s := range plan {
			kinds[s.Kind] = true
			is.True(s.Machine < defaultMachines)
		}
	}
	is.Equal(len(kinds), len(allWeights)) // every kind occurs
	optional := newPlan(1, time.Minute, defaultMachines, kindsOf(optionalWeights)...)
	is.True(slices.ContainsFunc(optional, func(s step) bool { return s.Kind == kindEvacuate }))
}

func TestIncludedKindsAreInEveryPlan(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		o := options{seed: seed, length: 10 * time.Second, machines: defaultMachines, include: []kind{kindRestore}}
		plan := includeSteps(newPlan(seed, o.length, o.machines, kindStop), o)
		is.True(slices.ContainsFunc(plan, func(s step) bool { return s.Kind == kindRestore }))
		is.True(slices.IsSortedFunc(plan, func(a, b step) int { return int(a.At - b.At) }))
	}
}

var testStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// testRun returns a run of one request without violations.
func testRun() (*observations, *attempt, *standin.Arrival) {
	a := &attempt{
		Request: standin.Request{ID: "q", Method: http.MethodPost, Host: hostName, Path: nonRepeatablePath + "1", Body: "b", Deadline: requestDeadline},
		service: services[1], sent: testStart, ended: testStart.Add(50 * time.Millisecond), result: answered,
		answer: standin.Response{Status: http.StatusOK, Stamped: true, ID: "q", Body: standin.ResponseBody("q", "i-0-1")},
	}
	r := &standin.Arrival{
		Request: "q", Instance: "i-0-1", Process: "i-0-1/1", Service: services[0], Method: a.Method, Target: a.Path, Caller: services[1],
		Body: crc32.ChecksumIEEE([]byte("b")), At: testStart.Add(10 * time.Millisecond), Deadline: requestDeadline - 10*time.Millisecond, Executed: true,
	}
	v := version{number: 1, movedService: services[0], sent: testStart.Add(-time.Minute), acked: testStart.Add(-time.Minute)}
	return &observations{grace: defaultGrace, attempts: []*attempt{a}, arrivals: []*standin.Arrival{r}, versions: []version{v}}, a, r
}

// For each rule, a correct run is changed so that it breaks the rule. The check must
// report the rule then, and the unchanged run must have no violations.
func TestChecksDetectEachViolation(t *testing.T) {
	copyRun := func(o *observations, change func(r *standin.Arrival)) {
		r := *o.arrivals[0]
		change(&r)
		o.arrivals = append(o.arrivals, &r)
	}
	for want, corrupt := range map[string]func(o *observations, a *attempt, r *standin.Arrival){
		"":      func(*observations, *attempt, *standin.Arrival) {},
		"ended": func(o *observations, _ *attempt, _ *standin.Arrival) { o.recordFailure("desk-1 exited unexpectedly") },
		"twice": func(o *observations, _ *attempt, _ *standin.Arrival) {
			copyRun(o, func(r *standin.Arrival) { r.Instance = "i-2-1" })
		},
		"refused": func(_ *observations, a *attempt, _ *standin.Arrival) {
			a.answer = standin.Response{Status: http.StatusServiceUnavailable}
		},
		"denied": func(_ *observations, a *attempt, _ *standin.Arrival) {
			a.answer = standin.Response{Status: http.StatusNotFound}
		},
		"late":     func(_ *observations, a *attempt, _ *standin.Arrival) { a.result = timedOut },
		"route":    func(_ *observations, _ *attempt, r *standin.Arrival) { r.Service = services[1] },
		"deadline": func(_ *observations, _ *attempt, r *standin.Arrival) { r.At = r.At.Add(time.Second) },
		"unasked":  func(_ *observations, _ *attempt, r *standin.Arrival) { r.Caller = "other" },
		"mixed": func(_ *observations, a *attempt, _ *standin.Arrival) {
			a.answer.Body = standin.ResponseBody("q", "i-2-1")
		},
		"drain": func(o *observations, _ *attempt, _ *standin.Arrival) {
			o.departures = []departure{{instance: "i-0-1", acked: testStart.Add(-drainBound)}}
		},
		"attempts": func(o *observations, _ *attempt, _ *standin.Arrival) {
			for range maxAttempts(nonRepeatablePath) {
				copyRun(o, func(r *standin.Arrival) { r.Executed = false })
			}
		},
		"config": func(o *observations, a *attempt, r *standin.Arrival) {
			o.versions = append(o.versions, version{number: 2, movedService: services[1], sent: testStart.Add(-versionBound - 1), acked: testStart.Add(-versionBound - 1)})
			a.Method, a.Path, a.Body = http.MethodGet, movedPath+"1", ""
			r.Method, r.Target, r.Body = a.Method, a.Path, 0
		},
		"regress": func(o *observations, a *attempt, r *standin.Arrival) {
			o.versions = append(o.versions, version{number: 2, movedService: services[1], sent: testStart.Add(-1), acked: testStart.Add(-1)})
			a.Method, a.Path, a.Body = http.MethodGet, addedPath(2)+"1", ""
			r.Method, r.Target, r.Body = a.Method, a.Path, 0
			later := *a
			later.ID, later.sent, later.answer = "later", a.ended.Add(2*oldVersionSlack), standin.Response{Status: http.StatusNotFound}
			o.attempts = append(o.attempts, &later)
		},
		"crashing": func(o *observations, a *attempt, r *standin.Arrival) {
			a.Method, a.Path, a.Body = http.MethodGet, crashingPath+"0", ""
			r.Method, r.Target, r.Body = a.Method, a.Path, 0
			for range maxCalmCrashes {
				copyRun(o, func(*standin.Arrival) {})
			}
		},
		"limit": func(o *observations, a *attempt, r *standin.Arrival) {
			a.answer.Process, a.answer.Limited = r.Process, true
			o.limits = []limitChange{{process: r.Process, at: testStart, limited: true, perSecond: 1}}
			for i := range 12 {
				copyRun(o, func(r *standin.Arrival) { r.At = a.ended.Add(limitGrace + time.Duration(i)*time.Millisecond) })
			}
		},
		"cold": func(o *observations, _ *attempt, r *standin.Arrival) {
			o.cold = []coldPeriod{{process: r.Process, from: testStart, to: testStart.Add(warmUpTime), noticed: testStart}}
			for i := range int(allowedCold()) {
				copyRun(o, func(r *standin.Arrival) {
					r.Executed = false
					r.At = r.At.Add(time.Duration(i) * coldWindow / (1 + time.Duration(allowedCold())))
				})
			}
		},
		"evacuated": func(o *observations, a *attempt, r *standin.Arrival) {
			o.evacuations = []*evacuation{{zone: zoneOf(r.Machine), acked: r.At.Add(-evacuationBound - 1)}}
		},
		"whole": func(_ *observations, a *attempt, r *standin.Arrival) {
			a.Method, a.Body, a.Path = http.MethodGet, "", downloadPath+standin.SizeSuffix(1000)
			r.Method, r.Body, r.Target = a.Method, 0, a.Path
			a.answer.Body = digest(standin.ResponseBodyOf(a.ID, r.Instance, a.Path)[:999])
		},
		"memory": func(o *observations, _ *attempt, _ *standin.Arrival) { o.recordMemory("desk-0", memoryLimit+1) },
		"leaving": func(o *observations, a *attempt, r *standin.Arrival) {
			a.answer.Process, a.answer.Leaving = r.Process, true
			later := *a
			later.ID, later.sent = "later", a.ended.Add(drainBound+time.Millisecond)
			o.attempts = append(o.attempts, &later)
			copyRun(o, func(r *standin.Arrival) { r.Request, r.At = "later", later.sent.Add(time.Millisecond) })
		},
		"lost": func(o *observations, a *attempt, _ *standin.Arrival) {
			a.result = connectionClosed
			o.disturbances = []*disturbance{{kind: kindStop, from: testStart.Add(-time.Second), to: testStart.Add(time.Minute)}}
		},
		"budget": func(o *observations, a *attempt, _ *standin.Arrival) {
			a.Path = repeatablePath + "1"
			for _, r := range o.arrivals {
				r.Target = a.Path
			}
			for range budgetSlack + 1 {
				copyRun(o, func(r *standin.Arrival) { r.Executed = false })
			}
		},
	} {
		o, a, r := testRun()
		corrupt(o, a, r)
		violations := checkRun(o, testStart.Add(time.Hour))
		rules := make(map[string]bool)
		for _, b := range violations {
			rule, _, _ := strings.Cut(b, ":")
			rules[rule] = true
		}
		if want == "" && len(violations) > 0 || want != "" && !rules[want] {
			t.Errorf("want %q, got %v", want, violations)
		}
	}
}

// Time bounds do not apply to a machine that was disturbed; checks such as that of
// the request body do.
func TestDisturbedMachinesAreExemptFromTimeBounds(t *testing.T) {
	is := is.New(t)
	o, a, r := testRun()
	o.disturbances = []*disturbance{{kind: kindPause, from: testStart.Add(-undisturbedTime), to: testStart.Add(-time.Second)}}
	a.result = timedOut
	is.Equal(len(checkRun(o, testStart.Add(time.Hour))), 0)
	r.Body++
	is.Equal(len(checkRun(o, testStart.Add(time.Hour))), 1)
}

// The last sixth of the grace period excuses only a run that still lasts then, and only
// requests sent soon after SIGTERM; a proxy's own answer counts like a cut.
func TestRequestsCutByStopsAreCounted(t *testing.T) {
	is := is.New(t)
	o, a, r := testRun()
	o.grace = 10 * time.Second
	o.disturbances = []*disturbance{{kind: kindStop, from: testStart}}
	a.result, a.Deadline, r.End = connectionClosed, longDeadline, standin.RunCut
	cut := func(sent, ended time.Duration) int {
		a.sent, a.ended, r.At, r.Ended = testStart.Add(sent), testStart.Add(ended), testStart.Add(sent), testStart.Add(ended)
		return len(checkRun(o, testStart.Add(time.Hour)))
	}
	is.Equal(cut(-time.Second, 5*time.Second), 1)
	is.Equal(cut(-time.Second, 9*time.Second), 0)     // in the last sixth
	is.Equal(cut(4*time.Second, 9*time.Second), 1)    // sent too late for that
	is.Equal(cut(-longDeadline, time.Millisecond), 0) // the deadline was reached
	a.result, a.answer = answered, standin.Response{Status: http.StatusBadGateway}
	is.Equal(cut(-time.Second, 5*time.Second), 1)
	a.result, o.arrivals = connectionClosed, nil // not passed on
	is.Equal(cut(-time.Second, 5*time.Second), 1)
	a.behind = true
	is.Equal(cut(-time.Second, 5*time.Second), 0)
}

// Sends of a crashing request count as late only after the bound and from proxies that
// were undisturbed.
func TestLateSendsOfCrashingRequestsAreCounted(t *testing.T) {
	is := is.New(t)
	o, a, r := testRun()
	a.Path, r.Target = crashingPath+"0", crashingPath+"0"
	o.disturbances = []*disturbance{{machine: a.machine, kind: kindKill, from: testStart.Add(-time.Minute), to: testStart.Add(-30 * time.Second)}}
	arrive := func(at time.Duration) {
		later := *r
		later.At = testStart.Add(at)
		o.arrivals = append(o.arrivals, &later)
	}
	late := func() int { return newChecker(o, testStart.Add(time.Hour)).crashesByPath()[0].late }
	arrive(time.Second)
	arrive(2 * time.Second)
	arrive(2*time.Second + undisturbedTime) // not later than the bound
	is.Equal(late(), 0)
	arrive(3*time.Second + undisturbedTime)
	is.Equal(late(), 1)
	o.disturbances[0].to = testStart.Add(4 * time.Second) // within undisturbedTime before the send
	is.Equal(late(), 0)
}

func TestRecoveryCountsRequestsSentAfterSettling(t *testing.T) {
	is := is.New(t)
	o, a, _ := testRun()
	is.Equal(len(checkRecovery(o, testStart.Add(-time.Second))), 0)
	is.Equal(len(checkRecovery(o, testStart.Add(time.Second))), 1) // no requests
	a.answer.Status = http.StatusServiceUnavailable
	is.Equal(len(checkRecovery(o, testStart.Add(-time.Second))), 1)
}

// A request that ended three backend servers was sent on by proxies that had not seen
// a crash of their own.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	r, err := runSeed(options{bin: buildProxy(t), seed: 1, machines: 12, length: 4 * time.Second, calm: true, crashing: 1, ending: "at-once"})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.violations) > 0 {
		t.Error(r)
	}
}

// A backend server that named a rate limit got as much as before.
func TestNamedLimitsAreKept(t *testing.T) {
	r, err := runSeed(options{bin: buildProxy(t), seed: 1, machines: 12, length: 6 * time.Second, calm: true, rateLimit: 8})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.violations) > 0 || r.statements.windows == 0 {
		t.Error(r)
	}
}

// A backend server got requests from machines that had passed on that it leaves.
func TestAnnouncedEndsAreHeeded(t *testing.T) {
	r, err := runSeed(options{bin: buildProxy(t), seed: 1, machines: 12, length: 6 * time.Second, kinds: []kind{kindAnnouncedEnd}})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.violations) > 0 {
		t.Error(r)
	}
}

// A step that outlives the process on which it began must not hide that the limit of the
// next one ends.
func TestLimitsOfSuccessiveProcessesAreRecordedApart(t *testing.T) {
	is := is.New(t)
	m := &machine{cluster: &cluster{observed: &observations{}}}
	former, next := standin.NewBackend("a", services[0], 0, 1, 0, nil), standin.NewBackend("b", services[0], 0, 1, 0, nil)
	m.state(former, standin.Statement{Limited: true, RateLimit: 8})
	m.state(next, standin.Statement{Limited: true, RateLimit: 20})
	m.state(former, standin.Statement{})
	m.state(next, standin.Statement{})
	is.Equal(len(m.observed.limits), 2)
	is.Equal(m.observed.limits[1].process, next.Process)
}

// Windows are judged by the highest limit in force in them, and not at all if there was
// none for a time.
func TestLimitOfAWindowIsTheHighestInForce(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return testStart.Add(time.Duration(s) * time.Second) }
	c := newChecker(&observations{limits: []limitChange{
		{"i", at(10), true, 8}, {"other", at(10), true, 99}, {"i", at(20), true, 20}, {"i", at(30), true, 5}, {"i", at(40), false, 0}, {"i", at(50), true, 2},
	}}, at(100))
	for _, w := range []struct {
		from, to int
		limit    float64
	}{{0, 9, -1}, {6, 11, 8}, {12, 16, 8}, {18, 21, 20}, {28, 31, 20}, {32, 36, 5}, {38, 41, -1}, {45, 49, -1}, {48, 52, 2}} {
		limit, _, ok := c.limitIn("i", at(w.from), at(w.to))
		if !ok {
			limit = -1
		}
		is.Equal(limit, w.limit)
	}
}

// Spans of a second in which a cold backend server may not be known to be cold, or in
// which its proxy was disturbed, are reported and are no violation.
func TestColdSpansAreJudgedOnceTheyMustBeKnown(t *testing.T) {
	is := is.New(t)
	o, _, r := testRun()
	o.cold = []coldPeriod{{process: r.Process, from: testStart, to: testStart.Add(warmUpTime), noticed: testStart.Add(coldNotice)}}
	for range int(allowedCold()) {
		again := *r
		o.arrivals = append(o.arrivals, &again)
	}
	summary := func() coldSummary { return newChecker(o, testStart.Add(time.Hour)).summariseCold() }
	is.Equal(summary().worst, 1+int(allowedCold()))
	is.Equal(summary().breach, "")
	o.cold[0].noticed = testStart
	is.True(summary().breach != "")
	o.disturbances = []*disturbance{{machine: r.Machine, kind: kindKill, from: testStart.Add(-time.Second), to: testStart}}
	is.Equal(summary().breach, "")
}

// builtKinds are the optional kinds that the proxy is built for; TestOptionalKinds draws
// from them.
var builtKinds = []kind{kindCold, kindColdZone, kindEvacuate, kindDownloads, kindUneven}

// No cold backend server gets more than its bound, nothing reaches an evacuated zone late,
// large responses arrive whole, also with slow readers, and the memory of the proxies
// stays within its limit.
func TestOptionalKinds(t *testing.T) {
	r, err := runSeed(options{bin: buildProxy(t), seed: 1, machines: defaultMachines, length: 6 * time.Second, kinds: builtKinds, downloadKind: "download"})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	if len(r.violations) > 0 || r.memory == 0 {
		t.Error(r)
	}
}
