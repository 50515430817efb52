package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// simAdmission is a server whose requests are admitted as by the proxy beside it.
type simAdmission struct {
	*admission.Admission
	jobs map[uint64]*job
	// speed is that of the server, slowdown what it states.
	speed float64
	// history holds what was reported, to deliver it late.
	history []agedReport
}

type agedReport struct {
	at     time.Duration
	report admission.CostReport
}

const (
	costSlots = 12
	// Fourth figures are stated in each response, reports are delivered by reportMode.
	slowFactor   = 2.5
	slowLength   = 600 * time.Millisecond
	slowShare    = 0.15
	costTick     = 100 * time.Millisecond
	longShare    = 100
	longFactor   = 5
	costWarmUp   = time.Second
	workStep     = 10 * time.Millisecond
	stoppedAfter = 1500 * time.Millisecond
)

// costRoutes have the requirements of the deployments with demanding load.
var costRoutes = []struct {
	name             string
	work             time.Duration
	target, deadline time.Duration
	priority         int
	weight           float64
}{
	{"call", 47 * time.Millisecond, 200 * time.Millisecond, 600 * time.Millisecond, 0, 0.40},
	{"read", 75 * time.Millisecond, 400 * time.Millisecond, time.Second, 0, 0.35},
	{"table", 150 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 2, 0.25},
}

// reportMode changes the reports on costs on their way.
type reportMode struct {
	name string
	age  time.Duration
	// lost is the share of reports that do not arrive.
	lost float64
	// lying is the share of servers that always report to be idle.
	lying   float64
	stopped bool
}

type costScenario struct {
	proxies, servers int
	load             float64
	length           time.Duration
	// even means that all servers have the same speed.
	even bool
	// spells means that servers are slow at times, stated that they say so.
	spells, stated bool
	mode           reportMode
	placement      routing.Placement
	seed           uint64
	// pipelined is the share of requests that waited at their callers behind others, for
	// most of the time to their target.
	pipelined float64
}

// admit passes an attempt to the admission of a server.
func (s *sim) admit(v *server, j *job) {
	s.nextID++
	id := s.nextID
	v.admission.jobs[id] = j
	s.stepAdmission(v, admission.Arrived{
		ID: id, Repeatable: true, Instance: v.ID, Deadline: j.send.Deadline, Target: j.send.Target,
		Priority: j.send.Priority, Route: j.send.Route, Patience: j.send.MaxWaitShare,
	})
}

func (s *sim) stepAdmission(v *server, e admission.Event) {
	for _, effect := range v.admission.Step(s.now(), e) {
		switch effect := effect.(type) {
		case admission.Run:
			s.runAdmitted(v, effect.ID)
		case admission.Refuse:
			j := v.admission.jobs[effect.ID]
			delete(v.admission.jobs, effect.ID)
			ended := routing.AttemptEnded{
				Outcome: effect.Refusal.Outcome, Reason: effect.Refusal.Reason, Status: effect.Refusal.Status,
				RetryAfter: effect.Refusal.RetryAfter, Load: v.load(), Costs: s.costReport(v, j, effect.ID, 0),
			}
			s.after(s.delay(), func() { s.end(j, ended) })
		}
	}
}

func (v *server) load() float64 {
	running, waiting := v.admission.InFlight()
	return float64(running+waiting) / costSlots
}

// runAdmitted runs a request until its work is done or its deadline has passed.
func (s *sim) runAdmitted(v *server, id uint64) {
	j := v.admission.jobs[id]
	took := v.timeFor(s.at, j.root.work)
	left := j.send.Deadline.Sub(s.now())
	s.after(min(took, left), func() {
		delete(v.admission.jobs, id)
		if took > left {
			s.stepAdmission(v, admission.Ended{ID: id, Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired})
			return
		}
		reported := admission.Reported{ID: id, Answered: true}
		if s.stated {
			reported.Loaded, reported.Load.Percent = true, 100*v.slowdown(s.at)
		}
		v.admission.Step(s.now(), reported)
		ended := routing.AttemptEnded{Outcome: outcome.Answered, Status: 200, Load: v.load(), Bytes: 400, Costs: s.costReport(v, j, id, took)}
		s.stepAdmission(v, admission.Ended{ID: id, Outcome: outcome.Answered})
		s.after(s.delay(), func() { s.end(j, ended) })
	})
}

// timeFor returns how long work takes that begins at the given time.
func (v *server) timeFor(at time.Duration, work time.Duration) time.Duration {
	took := time.Duration(0)
	for {
		rate := v.admission.speed / v.slowdown(at+took)
		done := time.Duration(rate * float64(workStep))
		if work <= done {
			return took + time.Duration(float64(work)/rate)
		}
		work -= done
		took += workStep
	}
}

// costReport returns the report on a request as it arrives in the scenario's mode.
func (s *sim) costReport(v *server, j *job, id uint64, service time.Duration) routing.CostReport {
	report, ok := v.admission.CostReport(s.now(), admission.Arrived{
		ID: id, Route: j.send.Route, Priority: j.send.Priority, Target: j.send.Target, Deadline: j.send.Deadline,
	})
	if !ok {
		return routing.CostReport{}
	}
	h := append(v.admission.history, agedReport{s.at, report})
	for len(h) > 1 && h[1].at <= s.at-s.mode.age {
		h = h[1:]
	}
	v.admission.history = h
	report = h[0].report
	switch {
	case s.mode.lost > 0 && s.losses.Float64() < s.mode.lost, s.mode.stopped && s.at > stoppedAfter, h[0].at > s.at-s.mode.age:
		return routing.CostReport{}
	case s.mode.lying > 0 && float64(v.number) < s.mode.lying*float64(len(s.servers)):
		report.Wait, report.Slowness = 0, 1
	}
	return routing.CostReport{
		Known: true, Wait: report.Wait.Truncate(time.Millisecond), ServiceTime: service.Truncate(time.Millisecond),
		Slowness: report.Slowness, Stated: report.Stated,
	}
}

// routeResult sums up the requests of one route.
type routeResult struct {
	sent, inTime int
	p50, p99     time.Duration
}

type costResult struct {
	routes []routeResult
	// inTime is the share of all requests, sends and remote are per request.
	inTime, sends, remote float64
	refused               int
}

// newCostFleet returns the entry proxies and servers of a scenario.
func newCostFleet(sc costScenario) (*sim, []policy) {
	s := newSim()
	s.mode, s.stated = sc.mode, sc.stated
	s.losses = rand.New(rand.NewPCG(sc.seed, 5))
	spells := rand.New(rand.NewPCG(sc.seed, 4))
	var list []routing.Instance
	for n := range sc.servers {
		v := s.newServer("s0", n)
		v.Slots, v.number = costSlots, n
		a := &simAdmission{Admission: admission.New(admission.Config{Slots: costSlots, QueueLength: 100, MinRetryAfter: 100 * time.Millisecond}), jobs: make(map[uint64]*job), speed: 1}
		a.Step(simStart, admission.Assigned{Slots: costSlots, Restarted: true})
		if !sc.even {
			a.speed = []float64{0.5, 1, 1, 1.5}[n/simZones%4]
		}
		v.admission = a
		if sc.spells {
			v.slowdown = slowSpells(spells, sc.length)
		}
		list = append(list, v.Instance)
		var tick func()
		tick = func() {
			s.stepAdmission(v, admission.Tick{})
			s.after(costTick, tick)
		}
		s.after(costTick, tick)
	}
	entries := make([]policy, sc.proxies)
	for n := range entries {
		r := routing.New(routing.Config{AvailabilityZone: zone(n), MaxAttempts: simMaxAttempts, Seed: uint64(n), Placement: sc.placement})
		r.Step(simStart, routing.SnapshotEnforced{Snapshot: costSnapshot()})
		r.Step(simStart, routing.InstancesChanged{Instances: list})
		entries[n] = r
	}
	return s, entries
}

func simulateCosts(sc costScenario) costResult {
	s, entries := newCostFleet(sc)
	s.costArrivals(entries, sc.load*sc.capacity(), sc.length, rand.New(rand.NewPCG(sc.seed, 3)))
	waits := rand.New(rand.NewPCG(sc.seed, 6))
	for _, r := range s.requests {
		if waits.Float64() < sc.pipelined {
			r.elapsed = time.Duration((0.6 + 0.35*waits.Float64()) * float64(r.target))
		}
	}
	s.run(sc.length + 3*time.Second)
	return s.summarizeCosts()
}

// capacity returns the number of requests per second that all servers together can run.
func (sc costScenario) capacity() float64 {
	mean := 0.0
	for _, r := range costRoutes {
		mean += r.weight * r.work.Seconds()
	}
	capacity := float64(sc.servers*costSlots) / (mean * (1 + float64(longFactor-1)/longShare))
	if sc.spells {
		capacity *= 1 - slowShare*(1-1/slowFactor)
	}
	return capacity
}

// slowSpells returns the slowdown of a server that is slow for slowShare of the time.
func slowSpells(rng *rand.Rand, length time.Duration) func(time.Duration) float64 {
	var starts []time.Duration
	gap := float64(slowLength) * (1 - slowShare) / slowShare
	for at := time.Duration(rng.Float64()*gap) - slowLength/2; at < length+3*time.Second; at += slowLength + time.Duration(rng.ExpFloat64()*gap) {
		starts = append(starts, at)
	}
	return func(at time.Duration) float64 {
		n, _ := slices.BinarySearch(starts, at+1)
		if n > 0 && at < starts[n-1]+slowLength {
			return slowFactor
		}
		return 1
	}
}

func costSnapshot() *config.Snapshot {
	slice := &config.Slice{
		Organisation: "o", Service: "s0", Groups: map[string]config.Group{"g": {Service: "s0"}},
		Limits: config.Limits{RequestsPerSecond: 1_000_000, Concurrency: 1_000_000},
	}
	for _, r := range costRoutes {
		slice.Routes = append(slice.Routes, config.Route{
			Methods: []string{"GET"}, Path: "/" + r.name, Name: r.name, Group: "g", Repeatable: true,
			Deadline: config.Duration(r.deadline), Target: config.Duration(r.target), Priority: r.priority, MaxAttempts: 2,
		})
	}
	sets := map[string]*config.ServiceSet{"s0": config.NewServiceSet(map[string]*config.Slice{"o": slice})}
	return config.NewSnapshot(1, sets, nil)
}

// costArrivals schedules requests with the same work for all policies.
func (s *sim) costArrivals(entries []policy, rate float64, length time.Duration, rng *rand.Rand) {
	for at := time.Duration(0); at < length; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		n, pick := 0, rng.Float64()
		for pick >= costRoutes[n].weight {
			pick -= costRoutes[n].weight
			n++
		}
		r := &request{org: "o", method: "GET", path: "/" + costRoutes[n].name, arrivedAt: at, target: costRoutes[n].target}
		r.work = time.Duration((0.5 + rng.ExpFloat64()/2) * float64(costRoutes[n].work))
		if rng.IntN(longShare) == 0 {
			r.work = longFactor * costRoutes[n].work
		}
		entry := entries[rng.IntN(len(entries))]
		s.requests = append(s.requests, r)
		s.after(at, func() {
			s.call(entry, r, r.org, false, func(o outcome.Outcome, status int) { r.outcome, r.status, r.latency = o, status, s.at-r.arrivedAt })
		})
	}
}

func (s *sim) summarizeCosts() costResult {
	out := costResult{routes: make([]routeResult, len(costRoutes))}
	total, inTime := 0, 0
	for n, route := range costRoutes {
		f := &out.routes[n]
		var latencies []time.Duration
		for _, r := range s.requests {
			if r.path != "/"+route.name || r.arrivedAt < costWarmUp {
				continue
			}
			seen := route.deadline
			if r.outcome == outcome.Answered {
				seen = r.latency
			}
			if seen <= route.target {
				f.inTime++
			}
			latencies = append(latencies, seen)
		}
		slices.Sort(latencies)
		f.sent, f.p50, f.p99 = len(latencies), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
		total += f.sent
		inTime += f.inTime
	}
	remote := 0
	for _, r := range s.requests {
		remote += r.remote
		if r.outcome == outcome.NotRun {
			out.refused++
		}
	}
	out.inTime = float64(inTime) / float64(total)
	out.sends = float64(s.sends) / float64(len(s.requests))
	out.remote = float64(remote) / float64(len(s.requests))
	return out
}

func (f costResult) String() string {
	text := fmt.Sprintf("in time %6.2f %%, %.2f sends, %.3f remote;", 100*f.inTime, f.sends, f.remote)
	for n, r := range f.routes {
		text += fmt.Sprintf("  %s %6.2f %% %3d/%4d ms", costRoutes[n].name, 100*float64(r.inTime)/float64(r.sent), r.p50.Milliseconds(), r.p99.Milliseconds())
	}
	return text
}

var fleets = []costScenario{
	{proxies: 12, servers: 12, length: 4 * time.Second},
	{proxies: 77, servers: 39, length: 2500 * time.Millisecond},
	{proxies: 300, servers: 48, length: 2000 * time.Millisecond},
}

// maxLoss is how many requests fewer than with the score may be answered in time, as a
// share of all.
const maxLoss = 0.02

// Reports that are late, lost, wrong or missing must not make placement worse than it is
// without any. All servers differ in speed and are slow at times.
func TestExpectedFinishWithFaultyReports(t *testing.T) {
	modes := []reportMode{
		{name: "5 ms old", age: 5 * time.Millisecond},
		{name: "50 ms old", age: 50 * time.Millisecond},
		{name: "500 ms old", age: 500 * time.Millisecond},
		{name: "half lost", lost: 0.5},
		{name: "a third lies", lying: 1.0 / 3},
		{name: "all lie", lying: 1},
		{name: "stopped", stopped: true},
		{name: "all lost", lost: 1},
	}
	for _, sc := range fleets {
		sc.load, sc.seed, sc.spells, sc.stated = 0.8, 1, true, true
		score := simulateCosts(sc)
		t.Logf("%3d proxies, %-12s %v", sc.proxies, "score", score)
		sc.placement = routing.PlaceByExpectedFinish
		for _, sc.mode = range modes {
			finish := simulateCosts(sc)
			t.Logf("%3d proxies, %-12s %v", sc.proxies, sc.mode.name, finish)
			if finish.inTime < score.inTime-maxLoss {
				t.Errorf("%d proxies, %s: %.2f %% in time, %.2f %% with the score", sc.proxies, sc.mode.name, 100*finish.inTime, 100*score.inTime)
			}
			if sc.mode.lost == 1 && finish.String() != score.String() {
				t.Errorf("%d proxies: without reports placement differs from the score", sc.proxies)
			}
		}
	}
}

// Run it with -v for the table of docs/design/cost.md.
func TestPlacementsAtEqualLoad(t *testing.T) {
	for _, load := range []float64{0.7, 0.85} {
		for _, kind := range []string{"speeds", "spells", "stated spells"} {
			sc := fleets[1]
			sc.load, sc.seed = load, 1
			sc.even, sc.spells, sc.stated = kind != "speeds", kind != "speeds", kind == "stated spells"
			score := simulateCosts(sc)
			sc.placement = routing.PlaceByExpectedFinish
			finish := simulateCosts(sc)
			t.Logf("load %.2f, %-13s score  %v", load, kind, score)
			t.Logf("load %.2f, %-13s finish %v", load, kind, finish)
			if finish.inTime < score.inTime-maxLoss {
				t.Errorf("load %.2f, %s: %.2f %% in time, %.2f %% with the score", load, kind, 100*finish.inTime, 100*score.inTime)
			}
		}
	}
}
