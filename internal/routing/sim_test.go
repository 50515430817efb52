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
	simProxies   = 12
	simSlots     = 10
	simQueue     = 100
	simMeanWork  = 50 * time.Millisecond
	simDeadline  = time.Second
	simZones     = 3
	nearDelay    = 200 * time.Microsecond
	farDelay     = time.Millisecond
	simMaxTries  = 3
	simCutLength = time.Millisecond
)

var simStart = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// stepper is a policy: the router or the naive one.
type stepper interface {
	Step(now time.Time, e routing.Event) []routing.Effect
}

// fault is what goes wrong at a server.
type fault int

const (
	healthy fault = iota
	// cut runs the request and loses its answer at once.
	cut
	// dead refuses connections.
	dead
)

// server is a backend server with slots and a bounded queue.
type server struct {
	routing.Instance
	busy  int
	queue []*job
	// slow multiplies the work, and fault is in force, at a time.
	slow  func(at time.Duration) float64
	fault func(at time.Duration) fault
	// next is the organisation that stands for the service called below.
	next   string
	router stepper
	runs   int
}

// job is one attempt.
type job struct {
	send  routing.Send
	from  stepper
	root  *request
	sent  time.Duration
	ended bool
}

// request is a request of a caller with what became of it.
type request struct {
	org, method string
	began       time.Duration
	latency     time.Duration
	final       outcome.Outcome
	status      int
	// runs counts runs at the last level.
	runs int
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

// sim is a small fleet in virtual time.
type sim struct {
	at      time.Duration
	timers  timers
	seq     int
	rng     *rand.Rand
	servers map[string]*server
	open    map[uint64]func(o outcome.Outcome, status int)
	roots   map[uint64]*request
	nextID  uint64
	all     []*request
	sends   int
}

func newSim() *sim {
	return &sim{
		rng: rand.New(rand.NewPCG(11, 12)), servers: make(map[string]*server),
		open: make(map[uint64]func(outcome.Outcome, int)), roots: make(map[uint64]*request),
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

// call hands a request to a policy; done gets its final answer.
func (s *sim) call(p stepper, root *request, org string, retry bool, done func(outcome.Outcome, int)) {
	s.nextID++
	id := s.nextID
	s.open[id] = done
	s.roots[id] = root
	path := "/read"
	if root.method == "POST" {
		path = "/write"
	}
	s.carryOut(p, p.Step(s.now(), routing.Arrived{ID: id, Organisation: org, Method: root.method, Path: path, Retry: retry}))
}

func (s *sim) carryOut(p stepper, effects []routing.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case routing.Refuse:
			s.close(e.ID, e.Refusal.Outcome, e.Refusal.Status)
		case routing.Send:
			s.sends++
			j := &job{send: e, from: p, root: s.roots[e.ID], sent: s.at}
			target := s.servers[e.Instance]
			s.after(s.delay(), func() { s.arrive(target, j) })
			s.after(e.Deadline.Sub(s.now()), func() { s.end(j, outcome.Unknown, outcome.DeadlineExpired, 0, 0) })
		}
	}
}

func (s *sim) close(id uint64, o outcome.Outcome, status int) {
	done := s.open[id]
	delete(s.open, id)
	delete(s.roots, id)
	done(o, status)
}

func (s *sim) delay() time.Duration {
	return nearDelay + time.Duration(s.rng.Int64N(int64(farDelay)))
}

// end reports the outcome of an attempt to its policy once.
func (s *sim) end(j *job, o outcome.Outcome, reason outcome.Reason, status int, retryAfter time.Duration) {
	if j.ended {
		return
	}
	j.ended = true
	id := j.send.ID
	effects := j.from.Step(s.now(), routing.AttemptEnded{
		ID: id, Outcome: o, Reason: reason, Status: status, RetryAfter: retryAfter, Latency: s.at - j.sent,
	})
	if o == outcome.Answered && len(effects) == 0 {
		s.close(id, o, status)
		return
	}
	s.carryOut(j.from, effects)
}

// arrive queues an attempt at a server or refuses it.
func (s *sim) arrive(v *server, j *job) {
	switch {
	case v.fault(s.at) == dead:
		s.after(s.delay(), func() { s.end(j, outcome.NotRun, outcome.ConnectFailed, 0, 0) })
	case len(v.queue) >= simQueue:
		s.after(s.delay(), func() { s.end(j, outcome.NotRun, outcome.Overload, 503, time.Second) })
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
			s.end(j, outcome.NotRun, outcome.DeadlineExpired, 504, 0)
			continue
		}
		v.busy++
		s.work(v, j)
	}
}

// work runs a request and the call of the level below.
func (s *sim) work(v *server, j *job) {
	if v.next == "" {
		v.runs++
		j.root.runs++
	}
	leave := func(o outcome.Outcome, reason outcome.Reason, status int) {
		v.busy--
		s.after(s.delay(), func() { s.end(j, o, reason, status, 0) })
		s.dispatch(v)
	}
	if v.fault(s.at) == cut {
		s.after(simCutLength, func() { leave(outcome.Unknown, outcome.ConnectionLost, 0) })
		return
	}
	d := time.Duration((0.5 + s.rng.ExpFloat64()/2) * v.slow(s.at) * float64(simMeanWork))
	s.after(d, func() {
		if v.next == "" {
			leave(outcome.Answered, "", 200)
			return
		}
		s.call(v.router, j.root, v.next, j.send.Retry, func(o outcome.Outcome, status int) {
			if o != outcome.Answered {
				status = 502 // the backend server's own answer
			}
			leave(outcome.Answered, "", status)
		})
	})
}

// newServer adds a healthy server.
func (s *sim) newServer(service string, n int) *server {
	id := fmt.Sprintf("%s-%02d", service, n)
	v := &server{
		Instance: routing.Instance{ID: id, Service: service, AvailabilityZone: zone(n), Address: id, Slots: simSlots},
		slow:     func(time.Duration) float64 { return 1 },
		fault:    func(time.Duration) fault { return healthy },
	}
	s.servers[id] = v
	return v
}

func zone(n int) string { return fmt.Sprintf("z%d", n%simZones) }

// simSnapshot has one organisation for each service, besides "other" and
// "flood", which share the first service.
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
