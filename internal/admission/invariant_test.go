package admission

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "heatherlift.example/heatherlift/internal/fixedseed"
	"heatherlift.example/heatherlift/internal/outcome"
)

// smallLimit makes admission forget requests early.
const smallLimit = 8

// world drives admission with random events and checks its invariants.
type world struct {
	*rapid.T
	a    *Admission
	now  time.Time
	next uint64
	open map[uint64]Arrived // no decision yet
	// claims holds the requests whose claim is not decided.
	claims  map[uint64]bool
	running map[uint64]Arrived
	settled map[uint64]bool // claims that ended
	claimed map[uint64]bool
	runs    map[string]int
	lastRun map[string]time.Time
	proven  map[string]bool // requests proven not to be run
}

func newWorld(t *rapid.T) *world {
	return &world{
		T: t, now: epoch,
		a:       New(Config{Slots: 4, QueueLength: 6, Incarnation: 1, RequestLimit: rapid.SampledFrom([]int{smallLimit, 1000}).Draw(t, "limit"), ClaimKeys: true}),
		open:    make(map[uint64]Arrived),
		claims:  make(map[uint64]bool),
		running: make(map[uint64]Arrived),
		settled: make(map[uint64]bool),
		claimed: make(map[uint64]bool),
		runs:    make(map[string]int),
		lastRun: make(map[string]time.Time),
		proven:  make(map[string]bool),
	}
}

func (w *world) step(e Event) {
	for _, effect := range w.a.Step(w.now, e) {
		w.effect(effect)
	}
	if len(w.running) > w.a.cfg.Slots {
		w.Fatalf("%d requests run in %d slots", len(w.running), w.a.cfg.Slots)
	}
	running, waiting := w.a.InFlight()
	if running != len(w.running) || waiting != len(w.open) {
		w.Fatalf("in flight %d and %d, want %d and %d", running, waiting, len(w.running), len(w.open))
	}
}

func (w *world) effect(e Effect) {
	switch e := e.(type) {
	case Run:
		r, ok := w.open[e.ID]
		if !ok {
			w.Fatalf("request %d runs after a decision", e.ID)
		}
		if w.claims[e.ID] {
			w.Fatalf("request %d runs before its claim is decided", e.ID)
		}
		delete(w.open, e.ID)
		w.running[e.ID] = r
		w.runs[r.Request]++
		if w.proven[r.Request] {
			w.Fatalf("fenced request %s runs", r.Request)
		}
		old := w.now.Sub(w.lastRun[r.Request]) > requestRetention
		w.lastRun[r.Request] = w.now
		if !r.Repeatable && w.runs[r.Request] > 1 && !old {
			w.Fatalf("request %s runs twice", r.Request)
		}
	case Refuse:
		if _, ok := w.open[e.ID]; !ok {
			w.Fatalf("request %d refused after a decision", e.ID)
		}
		delete(w.open, e.ID)
		delete(w.claims, e.ID)
	case Claim:
		w.claims[e.ID] = true
		w.claimed[e.ID] = true
	case Settled:
		if !w.claimed[e.ID] || w.settled[e.ID] {
			w.Fatalf("claim of %d settled twice or never made", e.ID)
		}
		w.settled[e.ID] = true
	}
}

func (w *world) arrive(*rapid.T) {
	w.next++
	request := strconv.Itoa(rapid.IntRange(0, 60).Draw(w.T, "request"))
	if w.runs[request] > 0 && w.a.cfg.RequestLimit == smallLimit {
		w.Skip("senders do not repeat a request that may have run")
	}
	e := Arrived{
		ID: w.next, Request: request,
		Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.T, "organisation"),
		Repeatable:   request[0] == '1',
		Deadline:     w.now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(w.T, "budget")) * time.Millisecond),
	}
	if rapid.Bool().Draw(w.T, "keyed") {
		e.Key = request
	}
	w.open[e.ID] = e
	w.step(e)
}

func pick[V any](w *world, m map[uint64]V) uint64 {
	if len(m) == 0 {
		w.Skip("none")
	}
	ids := make([]uint64, 0, len(m))
	for id := range w.next + 1 {
		if _, ok := m[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(w.T, "id")
}

func (w *world) claim(*rapid.T) {
	id := pick(w, w.claims)
	granted := rapid.Bool().Draw(w.T, "granted")
	delete(w.claims, id)
	if !granted {
		w.settled[id] = true
	}
	w.step(Claimed{ID: id, Granted: granted, Refusal: outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.Duplicate}})
}

func (w *world) end(*rapid.T) {
	id := pick(w, w.running)
	end := rapid.SampledFrom([]Ended{
		{Outcome: outcome.Answered},
		{Outcome: outcome.NotRun, Reason: outcome.Shed},
		{Outcome: outcome.NotRun, Reason: outcome.ConnectFailed},
		{Outcome: outcome.Unknown, Reason: outcome.ConnectionLost},
		{Outcome: outcome.Unknown, Reason: outcome.Crashed},
		{Outcome: outcome.Unknown, Reason: outcome.DeadlineExpired},
	}).Draw(w.T, "end")
	end.ID = id
	if end.Outcome == outcome.NotRun {
		w.runs[w.running[id].Request]--
	}
	delete(w.running, id)
	w.step(end)
}

func (w *world) abandon(*rapid.T) {
	id := pick(w, w.open)
	delete(w.open, id)
	delete(w.claims, id)
	w.step(Abandoned{ID: id})
}

func (w *world) fence(*rapid.T) {
	request := strconv.Itoa(rapid.IntRange(0, 60).Draw(w.T, "request"))
	if request[0] == '1' {
		w.Skip("repeatable requests are not fenced")
	}
	age := time.Duration(rapid.IntRange(0, 40).Draw(w.T, "age")) * time.Second
	incarnation := uint64(rapid.IntRange(1, 2).Draw(w.T, "incarnation"))
	fence := Fence{Request: request, Incarnation: incarnation, Age: age}
	for _, effect := range w.a.Step(w.now, FenceReceived{Fence: fence}) {
		if reply, ok := effect.(ReplyFence); ok && reply.Reply.State.NotRun() {
			w.prove(request, incarnation, age)
			continue
		}
		w.effect(effect)
	}
}

// prove checks a proof that a request, sent at the given age, was not run.
func (w *world) prove(request string, incarnation uint64, age time.Duration) {
	if incarnation != w.a.cfg.Incarnation {
		w.Fatalf("request of another incarnation proven not run")
	}
	if w.runs[request] > 0 && !w.lastRun[request].Before(w.now.Add(-age)) {
		w.Fatalf("request %s ran and was proven not run", request)
	}
	w.proven[request] = true
}

func (w *world) pass(*rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(w.T, "pass")) * time.Millisecond)
	w.step(Tick{})
}

func (w *world) signal(*rapid.T) {
	w.step(rapid.SampledFrom([]Event{
		Checked{Healthy},
		Checked{Healthy},
		Checked{Unhealthy},
		Checked{Silent},
		Checked{Unreachable},
		Loaded{Slots: 3},
		Loaded{Draining: true},
		Draining{false},
		Draining{true},
	}).Draw(w.T, "signal"))
}

func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": w.arrive, "arrive again": w.arrive, "claim": w.claim, "end": w.end,
			"abandon": w.abandon, "fence": w.fence, "pass": w.pass, "signal": w.signal,
		})
		w.finish()
	})
}

// finish checks that every request gets its decision.
func (w *world) finish() {
	w.step(Leave{})
	if len(w.open) > 0 {
		w.Fatalf("%d requests have no decision after Leave", len(w.open))
	}
}
