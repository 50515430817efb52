package admission

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// smallRequestLimit makes the request table evict entries early.
const smallRequestLimit = 8

// checker drives admission with random events and checks its invariants.
type checker struct {
	*rapid.T
	admission *Admission
	now       time.Time
	lastID    uint64
	undecided map[uint64]Arrived // no decision yet
	// awaitingClaim holds the requests whose claim is not decided yet.
	awaitingClaim map[uint64]bool
	running       map[uint64]Arrived
	closedClaims  map[uint64]bool // not granted or closed
	claimsMade    map[uint64]bool
	runCount      map[string]int
	lastRun       map[string]time.Time
	provenNotRun  map[string]bool // requests proven not to be run
}

func newChecker(t *rapid.T) *checker {
	return &checker{
		T: t, now: epoch,
		admission:     New(Config{Slots: 4, QueueLength: 6, Incarnation: 1, RequestLimit: rapid.SampledFrom([]int{smallRequestLimit, 1000}).Draw(t, "limit"), ClaimKeys: true}),
		undecided:     make(map[uint64]Arrived),
		awaitingClaim: make(map[uint64]bool),
		running:       make(map[uint64]Arrived),
		closedClaims:  make(map[uint64]bool),
		claimsMade:    make(map[uint64]bool),
		runCount:      make(map[string]int),
		lastRun:       make(map[string]time.Time),
		provenNotRun:  make(map[string]bool),
	}
}

func (c *checker) step(e Event) {
	for _, effect := range c.admission.Step(c.now, e) {
		c.checkEffect(effect)
	}
	if len(c.running) > c.admission.cfg.Slots {
		c.Fatalf("%d requests run in %d slots", len(c.running), c.admission.cfg.Slots)
	}
	running, waiting := c.admission.InFlight()
	if waits := c.admission.rate.wait(c.now, 1); waits > 0 && c.admission.queue.len() > 0 && c.admission.waitsForTokens(c.now) && !c.admission.wakeAt.After(c.now) {
		c.Fatalf("requests wait for a token in %v and nothing wakes them", waits)
	}
	if running != len(c.running) || waiting != len(c.undecided) {
		c.Fatalf("%d requests running and %d waiting, want %d and %d", running, waiting, len(c.running), len(c.undecided))
	}
}

func (c *checker) checkEffect(e Effect) {
	switch e := e.(type) {
	case Run:
		r, ok := c.undecided[e.ID]
		if !ok {
			c.Fatalf("request %d runs after a decision", e.ID)
		}
		if c.awaitingClaim[e.ID] {
			c.Fatalf("request %d runs before its claim is decided", e.ID)
		}
		delete(c.undecided, e.ID)
		c.running[e.ID] = r
		c.runCount[r.Request]++
		if c.provenNotRun[r.Request] {
			c.Fatalf("fenced request %s runs", r.Request)
		}
		expired := c.now.Sub(c.lastRun[r.Request]) > requestRetention
		c.lastRun[r.Request] = c.now
		if !r.Repeatable && c.runCount[r.Request] > 1 && !expired {
			c.Fatalf("request %s runs twice", r.Request)
		}
	case Refuse:
		if _, ok := c.undecided[e.ID]; !ok {
			c.Fatalf("request %d refused after a decision", e.ID)
		}
		delete(c.undecided, e.ID)
		delete(c.awaitingClaim, e.ID)
	case Claim:
		c.awaitingClaim[e.ID] = true
		c.claimsMade[e.ID] = true
	case ClaimClosed:
		if !c.claimsMade[e.ID] || c.closedClaims[e.ID] {
			c.Fatalf("claim of request %d closed twice or never made", e.ID)
		}
		c.closedClaims[e.ID] = true
	}
}

func (c *checker) arrive(*rapid.T) {
	c.lastID++
	request := strconv.Itoa(rapid.IntRange(0, 60).Draw(c.T, "request"))
	if c.runCount[request] > 0 && c.admission.cfg.RequestLimit == smallRequestLimit {
		c.Skip("senders do not repeat a request that may have run")
	}
	e := Arrived{
		ID: c.lastID, Request: request,
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.T, "organisation"),
		Repeatable:   request[0] == '1',
		Deadline:     c.now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(c.T, "budget")) * time.Millisecond),
	}
	if rapid.Bool().Draw(c.T, "target") {
		e.Target = c.now.Add(time.Duration(rapid.IntRange(-10, 1000).Draw(c.T, "time to target")) * time.Millisecond)
		e.Patience = rapid.SampledFrom([]float64{0, 0.25, 1}).Draw(c.T, "patience")
		e.Priority = rapid.IntRange(0, 2).Draw(c.T, "priority")
	}
	if rapid.Bool().Draw(c.T, "limit known") {
		e.RateLimited, e.RateLimit = true, c.drawLimit()
	}
	if rapid.Bool().Draw(c.T, "keyed") {
		e.Key = request
	}
	c.undecided[e.ID] = e
	c.step(e)
}

// pickID draws one of the IDs in m.
func pickID[V any](c *checker, m map[uint64]V) uint64 {
	if len(m) == 0 {
		c.Skip("none")
	}
	ids := make([]uint64, 0, len(m))
	for id := range c.lastID + 1 {
		if _, ok := m[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(c.T, "id")
}

func (c *checker) decideClaim(*rapid.T) {
	id := pickID(c, c.awaitingClaim)
	granted := rapid.Bool().Draw(c.T, "granted")
	delete(c.awaitingClaim, id)
	if !granted {
		c.closedClaims[id] = true
	}
	c.step(Claimed{ID: id, Granted: granted, Refusal: outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.DuplicateKey}})
}

func (c *checker) end(*rapid.T) {
	id := pickID(c, c.running)
	end := rapid.SampledFrom([]Ended{
		{Outcome: outcome.Answered},
		{Outcome: outcome.NotRun, Reason: outcome.BackendServerShed},
		{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed},
		{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost},
		{Outcome: outcome.Unknown, Reason: outcome.BackendServerCrashed},
		{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired},
	}).Draw(c.T, "end")
	end.ID = id
	if end.Outcome == outcome.NotRun {
		c.runCount[c.running[id].Request]--
	}
	delete(c.running, id)
	c.step(end)
}

func (c *checker) drawLimit() float64 {
	return rapid.SampledFrom([]float64{0, 0.5, 3, 20, 1000}).Draw(c.T, "limit")
}

func (c *checker) reportLimit(*rapid.T) {
	c.step(Reported{ID: pickID(c, c.running), RateLimited: true, RateLimit: c.drawLimit(), Invalid: rapid.Bool().Draw(c.T, "invalid")})
}

func (c *checker) abandon(*rapid.T) {
	id := pickID(c, c.undecided)
	delete(c.undecided, id)
	delete(c.awaitingClaim, id)
	c.step(Abandoned{ID: id})
}

func (c *checker) fence(*rapid.T) {
	request := strconv.Itoa(rapid.IntRange(0, 60).Draw(c.T, "request"))
	if request[0] == '1' {
		c.Skip("repeatable requests are not fenced")
	}
	age := time.Duration(rapid.IntRange(0, 40).Draw(c.T, "age")) * time.Second
	incarnation := uint64(rapid.IntRange(1, 2).Draw(c.T, "incarnation"))
	fence := Fence{Request: request, Incarnation: incarnation, Age: age}
	for _, effect := range c.admission.Step(c.now, FenceReceived{Fence: fence}) {
		if reply, ok := effect.(ReplyFence); ok && reply.Reply.State.NotRun() {
			c.checkProof(request, incarnation, age)
			continue
		}
		c.checkEffect(effect)
	}
}

// checkProof checks a fence reply by which a request sent the given time ago was
// not run.
func (c *checker) checkProof(request string, incarnation uint64, age time.Duration) {
	if incarnation != c.admission.cfg.Incarnation {
		c.Fatalf("request to another incarnation proven not run")
	}
	if c.runCount[request] > 0 && !c.lastRun[request].Before(c.now.Add(-age)) {
		c.Fatalf("request %s ran and was proven not run", request)
	}
	c.provenNotRun[request] = true
}

func (c *checker) advance(*rapid.T) {
	c.now = c.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(c.T, "pass")) * time.Millisecond)
	c.step(Tick{})
}

func (c *checker) reportHealth(*rapid.T) {
	c.step(rapid.SampledFrom([]Event{
		Checked{Healthy},
		Checked{Healthy},
		Checked{Unhealthy},
		Checked{NoResponse},
		Checked{ConnectionRefused},
		Loaded{Slots: 3},
		Loaded{Draining: true},
		Draining{false},
		Draining{true},
	}).Draw(c.T, "signal"))
}

func (c *checker) reportWarmUp(*rapid.T) {
	c.step(rapid.SampledFrom([]Event{
		testServiceLimits(14), testServiceLimits(1), testServiceLimits(0),
		MayBeCold{Cause: string(warmup.Evacuation)},
		WarmUpListed{Left: time.Second},
		WarmUpListed{},
		WarmUpChecked{Left: time.Second, Stated: true},
		WarmUpChecked{Stated: true},
		WarmUpChecked{Refused: true},
	}).Draw(c.T, "warm-up"))
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChecker(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": c.arrive, "arrive again": c.arrive, "claim": c.decideClaim, "end": c.end,
			"limit": c.reportLimit, "abandon": c.abandon, "fence": c.fence, "pass": c.advance, "signal": c.reportHealth, "warm-up": c.reportWarmUp,
		})
		c.checkAllDecided()
	})
}

// checkAllDecided checks that no request is left without a decision after Leave.
func (c *checker) checkAllDecided() {
	c.step(Leave{})
	if len(c.undecided) > 0 {
		c.Fatalf("%d requests have no decision after Leave", len(c.undecided))
	}
}
