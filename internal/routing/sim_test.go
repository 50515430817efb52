package routing_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

const (
	simProxies     = 12
	simSlots       = 10
	simQueue       = 100
	simMeanWork    = 50 * time.Millisecond
	simDeadline    = time.Second
	simZones       = 3
	simMinDelay    = 200 * time.Microsecond
	simDelayJitter = time.Millisecond
	simMaxAttempts = 3
	simLossDelay   = time.Millisecond
)

var simStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// policy is the router or the naive policy.
type policy interface {
	Step(now time.Time, e routing.Event) []routing.Effect
}

// fault is the failure mode of a server.
type fault int

const (
	healthy fault = iota
	// loseResponse runs the request and loses the connection after
	// simLossDelay, without a response.
	loseResponse
	// refuseConnection refuses connections.
	refuseConnection
)

// server is a backend server with slots and a bounded queue.
type server struct {
	routing.Instance
	number int
	busy   int
	queue  []*job
	// slowdown returns the factor by which the service time is longer, and
	// fault returns the failure mode, both at a given time.
	slowdown func(at time.Duration) float64
	fault    func(at time.Duration) fault
	// nextOrganisation is the organisation under which the next service of the
	// call chain is called.
	nextOrganisation string
	// nextPolicy routes the calls to that service.
	nextPolicy policy
	// runs counts the runs, if this is the last service of the call chain.
	runs int
	// admission, if set, takes the place of the queue.
	admission *simAdmission
}

// job is one attempt at a server.
type job struct {
	send routing.Send
	// from is the policy that sent the attempt.
	from policy
	// root is the caller's request at the beginning of the call chain.
	root   *request
	sentAt time.Duration
	ended  bool
}

// request is a request of a caller and its result.
type request struct {
	org, method string
	arrivedAt   time.Duration
	latency     time.Duration
	outcome     outcome.Outcome
	status      int
	// runs counts the runs at the last level.
	runs int
	// path and work are set for requests to servers with admission.
	path string
	work time.Duration
	// elapsed is the time that the caller has waited before it sent the request.
	elapsed time.Duration
	target  time.Duration
	// waitsUntil is when the caller gives up, 0 if it names no such time.
	waitsUntil time.Duration
	// remote counts the sends to other availability zones.
	remote int
}

func (r *request) timeLeft(now time.Duration) time.Duration {
	if r.waitsUntil == 0 {
		return 0
	}
	return r.waitsUntil - now
}

type timer struct {
	at  time.Duration
	seq int
	f   func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// sim simulates a small fleet in virtual time.
type sim struct {
	// at is the virtual time since simStart.
	at      time.Duration
	timers  timers
	seq     int
	rng     *rand.Rand
	servers map[string]*server
	// callbacks and roots hold the receiver of the result and the caller's
	// request, by the ID of each request in progress.
	callbacks map[uint64]func(o outcome.Outcome, status int)
	roots     map[uint64]*request
	nextID    uint64
	// retryAfter is that of the latest refusal.
	retryAfter time.Duration
	// requests holds the requests of the callers.
	requests []*request
	sends    int
	// mode and stated are those of a costScenario.
	mode   reportMode
	stated bool
	losses *rand.Rand
}

func newSim() *sim {
	return &sim{
		rng: rand.New(rand.NewPCG(11, 12)), servers: make(map[string]*server),
		callbacks: make(map[uint64]func(outcome.Outcome, int)), roots: make(map[uint64]*request),
	}
}

func (s *sim) now() time.Time { return simStart.Add(s.at) }

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.timers, timer{s.at + d, s.seq, f})
}

func (s *sim) run(until time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= until {
		t := heap.Pop(&s.timers).(timer)
		s.at = t.at
		t.f()
	}
}

// call passes a request to a policy; done is called with the final result.
func (s *sim) call(p policy, root *request, org string, retry bool, done func(outcome.Outcome, int)) {
	s.nextID++
	id := s.nextID
	s.callbacks[id] = done
	s.roots[id] = root
	path := "/read"
	if root.method == "POST" {
		path = "/write"
	}
	if root.path != "" {
		path = root.path
	}
	s.applyEffects(p, p.Step(s.now(), routing.Arrived{ID: id, Organisation: org, Method: root.method, Path: path, Retry: retry, Elapsed: root.elapsed, Budget: root.timeLeft(s.at)}))
}

func (s *sim) applyEffects(p policy, effects []routing.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case routing.Refuse:
			s.retryAfter = e.Refusal.RetryAfter
			s.finish(e.ID, e.Refusal.Outcome, e.Refusal.Status)
		case routing.Send:
			s.sends++
			j := &job{send: e, from: p, root: s.roots[e.ID], sentAt: s.at}
			target := s.servers[e.Instance]
			if r, ok := p.(*routing.Router); ok && r.Zone() != target.AvailabilityZone {
				j.root.remote++
			}
			if target.admission != nil {
				s.after(s.delay(), func() { s.admit(target, j) })
			} else {
				s.after(s.delay(), func() { s.enqueue(target, j) })
			}
			s.after(e.Deadline.Sub(s.now()), func() { s.endAttempt(j, outcome.Unknown, outcome.DeadlineExpired, 0, 0) })
		}
	}
}

func (s *sim) finish(id uint64, o outcome.Outcome, status int) {
	done := s.callbacks[id]
	delete(s.callbacks, id)
	delete(s.roots, id)
	done(o, status)
}

func (s *sim) delay() time.Duration {
	return simMinDelay + time.Duration(s.rng.Int64N(int64(simDelayJitter)))
}

// endAttempt reports the result of an attempt to its policy, once.
func (s *sim) endAttempt(j *job, o outcome.Outcome, reason outcome.Reason, status int, retryAfter time.Duration) {
	s.end(j, routing.AttemptEnded{Outcome: o, Reason: reason, Status: status, RetryAfter: retryAfter})
}

func (s *sim) end(j *job, e routing.AttemptEnded) {
	if j.ended {
		return
	}
	j.ended = true
	e.ID, e.Latency = j.send.ID, s.at-j.sentAt
	effects := j.from.Step(s.now(), e)
	if e.Outcome == outcome.Answered && len(effects) == 0 {
		s.finish(e.ID, e.Outcome, e.Status)
		return
	}
	s.applyEffects(j.from, effects)
}

// enqueue adds an attempt to the queue of a server, or refuses it.
func (s *sim) enqueue(v *server, j *job) {
	switch {
	case v.fault(s.at) == refuseConnection:
		s.after(s.delay(), func() { s.endAttempt(j, outcome.NotRun, outcome.ConnectFailed, 0, 0) })
	case len(v.queue) >= simQueue:
		s.after(s.delay(), func() { s.endAttempt(j, outcome.NotRun, outcome.Overload, 503, time.Second) })
	default:
		v.queue = append(v.queue, j)
		s.dispatch(v)
	}
}

func (s *sim) dispatch(v *server) {
	for v.busy < simSlots && len(v.queue) > 0 {
		j := v.queue[0]
		v.queue = v.queue[1:]
		if j.ended || !s.now().Before(j.send.Deadline) {
			s.endAttempt(j, outcome.NotRun, outcome.DeadlineExpired, 504, 0)
			continue
		}
		v.busy++
		s.runJob(v, j)
	}
}

// runJob runs an attempt and calls the next service of the call chain.
func (s *sim) runJob(v *server, j *job) {
	if v.nextOrganisation == "" {
		v.runs++
		j.root.runs++
	}
	leaveSlot := func(o outcome.Outcome, reason outcome.Reason, status int) {
		v.busy--
		s.after(s.delay(), func() { s.endAttempt(j, o, reason, status, 0) })
		s.dispatch(v)
	}
	if v.fault(s.at) == loseResponse {
		s.after(simLossDelay, func() { leaveSlot(outcome.Unknown, outcome.ConnectionLost, 0) })
		return
	}
	d := time.Duration((0.5 + s.rng.ExpFloat64()/2) * v.slowdown(s.at) * float64(simMeanWork))
	s.after(d, func() {
		if v.nextOrganisation == "" {
			leaveSlot(outcome.Answered, "", 200)
			return
		}
		s.call(v.nextPolicy, j.root, v.nextOrganisation, j.send.Retry, func(o outcome.Outcome, status int) {
			if o != outcome.Answered {
				status = 502 // the backend server's own response
			}
			leaveSlot(outcome.Answered, "", status)
		})
	})
}

// newServer adds a server without faults.
func (s *sim) newServer(service string, n int) *server {
	id := fmt.Sprintf("%s-%02d", service, n)
	v := &server{
		Instance: routing.Instance{ID: id, Service: service, AvailabilityZone: zone(n), Address: id, Slots: simSlots},
		slowdown: func(time.Duration) float64 { return 1 },
		fault:    func(time.Duration) fault { return healthy },
	}
	s.servers[id] = v
	return v
}

func zone(n int) string { return fmt.Sprintf("z%d", n%simZones) }

// simSnapshot returns a snapshot with one organisation for each service, except
// that "other" and "flood" share the first service.
func simSnapshot(services map[string]string, concurrency int) *config.Snapshot {
	sets := make(map[string]map[string]*config.Slice)
	for org, service := range services {
		if sets[service] == nil {
			sets[service] = make(map[string]*config.Slice)
		}
		route := config.Route{Methods: []string{"GET"}, Path: "/read", Name: "read", Group: "g", Deadline: config.Duration(simDeadline), Repeatable: true}
		limit := 100_000
		if org == "flood" {
			limit = concurrency
		}
		write := config.Route{Methods: []string{"POST"}, Path: "/write", Name: "write", Group: "g", Deadline: config.Duration(simDeadline)}
		sets[service][org] = &config.Slice{
			Organisation: org, Service: service, Routes: []config.Route{route, write},
			Groups: map[string]config.Group{"g": {Service: service}},
			Limits: config.Limits{RequestsPerSecond: 1_000_000, Concurrency: limit},
		}
	}
	out := make(map[string]*config.ServiceSet)
	for service, set := range sets {
		out[service] = config.NewServiceSet(set)
	}
	return config.NewSnapshot(1, out, nil)
}
