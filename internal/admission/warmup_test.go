package admission

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

const testWarmUp = 3 * time.Second

func testServiceLimits(perSecond float64) ServiceLimited {
	return ServiceLimited{Limits: config.ServiceLimits{WarmUp: config.Duration(testWarmUp), WarmUpPerSecond: perSecond, HealthPath: "/healthz"}}
}

// newColdHarness returns a harness whose backend server states that it is cold for the
// given time, with a tolerance of 14 x 1.5 + 8 = 29 requests in a second.
func newColdHarness(slots int, left time.Duration) *harness {
	h := newHarness(Config{Slots: slots, QueueLength: 100, ColdTolerance: warmup.Tolerance{Over: 1.5, Slack: 8}})
	h.step(Assigned{Slots: slots, Restarted: true})
	h.step(testServiceLimits(14))
	h.now = h.now.Add(2 * time.Second) // what an earlier process sent no longer counts
	h.step(WarmUpChecked{Left: left, Stated: true})
	return h
}

func (h *harness) cold() bool {
	w := h.admission.State(h.now).WarmUp
	return w != nil && w.Cold
}

// Guards against a proxy that counts the time before its first version as unknown, and so
// starts nothing for another 1.25 s: after a loss of power callers wait for it.
func TestRecordOfStartsBeginsWithTheProxy(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 10, QueueLength: 100, ColdTolerance: warmup.Tolerance{Over: 1.5, Slack: 8}})
	h.step(Tick{})
	h.now = h.now.Add(time.Second)
	h.step(Assigned{Slots: 10, Restarted: true})
	h.step(testServiceLimits(14))
	is.True(h.cold())
	is.Equal(h.admission.rate.starts.Wait(h.now, 1, 29), warmup.Window-time.Second)
}

// Guards against one source of a limit that ends the other.
func TestNamedLimitAndWarmUpAreKeptApart(t *testing.T) {
	is := is.New(t)
	h := newColdHarness(10, time.Second)
	is.Equal(h.admission.rate.rate(), 21.0)
	h.now = h.now.Add(100 * time.Millisecond)
	id, _ := h.arrive("1", 0)
	h.end(id, outcome.Answered, "") // names no limit
	is.True(h.cold())
	is.Equal(h.admission.rate.rate(), 21.0)
	id, _ = h.arrive("2", 0)
	h.report(id, 5)
	is.Equal(h.admission.rate.rate(), 5.0)
	h.step(WarmUpChecked{Stated: true}) // warm: an assumed warm-up ends at once
	is.True(!h.cold())
	is.Equal(h.admission.rate.rate(), 5.0)
}

// Guards against signs of a start that do not lead to a warm-up and to a check.
func TestSignsOfAStartLimitAndAsk(t *testing.T) {
	for name, sign := range map[string]func(h *harness) []Effect{
		"listed":         func(h *harness) []Effect { return h.step(Assigned{Slots: 4, Restarted: true}) },
		"evacuation end": func(h *harness) []Effect { return h.step(MayBeCold{Cause: string(warmup.Evacuation)}) },
		"entry":          func(h *harness) []Effect { return h.step(WarmUpListed{Left: time.Second}) },
		"connections lost together": func(h *harness) []Effect {
			first, _ := h.arrive("1", 0)
			second, _ := h.arrive("2", 0)
			h.end(first, outcome.Unknown, outcome.ConnectionLost)
			return h.step(Ended{ID: second, Outcome: outcome.Unknown, Reason: outcome.ConnectionLost})
		},
		"connection refused": func(h *harness) []Effect {
			id, _ := h.arrive("1", 0)
			return h.step(Ended{ID: id, Outcome: outcome.NotRun, Reason: outcome.ConnectFailed})
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newColdHarness(4, 0)
			h.now = h.now.Add(time.Minute)
			is.True(!h.cold())
			h.step(Tick{})
			h.now = h.now.Add(time.Second)
			effects := sign(h)
			is.True(h.cold())
			asked := func(e Effect) bool { return e == Effect(CheckWarmUp{Path: "/healthz"}) }
			if !slices.ContainsFunc(effects, asked) { // one of an arrival may be in flight
				h.now = h.now.Add(time.Second)
				is.True(slices.ContainsFunc(h.step(WarmUpChecked{}), asked))
			}
		})
	}
}

// The whole budget of a cold backend server is used, and what has no room is refused at
// once with the time at which there is.
func TestWholeBudgetIsUsedAndTheRestRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	h := newColdHarness(100, time.Minute)
	const length, budget = 5 * time.Second, 400 * time.Millisecond
	run, refused := 0, 0
	for end := h.now.Add(length); h.now.Before(end); h.now = h.now.Add(10 * time.Millisecond) {
		_, refusal := h.arriveIn(budget, 0)
		if refusal != nil {
			is.Equal(refusal.Reason, outcome.BackendServerLimited)
			is.True(refusal.RetryAfter > 0)
			refused++
		}
		h.step(Tick{})
		for _, r := range sortedByID(h.admission.running) {
			run++
			h.end(r.ID, outcome.Answered, "")
		}
	}
	t.Logf("%d run, %d refused", run, refused)
	is.True(run >= 21*5*9/10)
	is.True(refused >= 300)
}

// coldRun is a request sent to the simulated backend server.
type coldRun struct {
	sentAt time.Time
	// cold means that the backend server was known to be cold when the request was
	// admitted.
	cold bool
}

// sentWithASecond returns the largest number of requests that were sent within a second
// together with the last one, which was admitted last.
func sentWithASecond(runs []coldRun) int {
	last := runs[len(runs)-1].sentAt
	var sent []time.Time
	for _, r := range runs {
		if d := r.sentAt.Sub(last).Abs(); d < time.Second {
			sent = append(sent, r.sentAt)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	most := 0
	for i, from := range sent {
		n := 0
		for n < len(sent)-i && sent[i+n].Sub(from) < time.Second {
			n++
		}
		if !from.After(last) && last.Sub(from) < time.Second {
			most = max(most, n)
		}
	}
	return most
}

// In any span of one second the backend server is sent no more than the bound, if it was
// known to be cold within it: whatever arrives, however late the requests are sent, when
// it turns cold in full load, and when the proxy is restarted, also before its first version.
func TestColdBackendServerIsSentNoMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tolerance := warmup.Tolerance{
			Over: rapid.SampledFrom([]float64{0, 1, 1.5, 2}).Draw(t, "over"), Slack: float64(rapid.IntRange(0, 8).Draw(t, "slack")),
		}
		perSecond := rapid.SampledFrom([]float64{1, 5, 14, 15}).Draw(t, "rate")
		bound := int(max(1, tolerance.Rate(perSecond)+tolerance.Slack))
		var h *harness
		var runs []coldRun
		var coldUntil, knownUntil time.Time
		asked := false
		slowest := 50 // the latest time from an admission to its send, in milliseconds
		step := func(e Event) {
			for _, effect := range h.step(e) {
				switch effect.(type) {
				case Run:
					delay := time.Duration(rapid.IntRange(slowest-50, slowest).Draw(t, "delay")) * time.Millisecond
					runs = append(runs, coldRun{h.now.Add(delay), h.cold()})
					if n := sentWithASecond(runs); h.cold() && n > bound {
						t.Fatalf("%d requests sent within a second, %d allowed", n, bound)
					}
				case CheckWarmUp:
					if asked {
						t.Fatal("a second health check before the result of the first")
					}
					asked = true
				}
			}
			if h.now.Before(knownUntil) && !h.cold() {
				t.Fatalf("taken for warm %v before the end of its warm-up", knownUntil.Sub(h.now))
			}
		}
		now, startedAt := epoch, epoch
		versioned := false
		enforce := func() {
			versioned = true
			step(testServiceLimits(perSecond))
			knownUntil = coldUntil
		}
		startProxy := func() {
			h = newHarness(Config{Slots: 60, QueueLength: 100, ColdTolerance: tolerance})
			h.now, startedAt = now, now
			// The connections of the former process end with it.
			runs = slices.DeleteFunc(runs, func(r coldRun) bool { return r.sentAt.After(now) })
			asked, versioned, knownUntil = false, false, time.Time{}
			step(Assigned{Slots: 60, Restarted: true})
			if rapid.Bool().Draw(t, "versioned") {
				enforce()
			}
		}
		startProxy()
		for range 120 {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{20, 50, 100, 1}).Draw(t, "pause")) * time.Millisecond)
			h.now = now
			step(Tick{})
			left := max(0, coldUntil.Sub(now))
			switch rapid.SampledFrom([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9, 9, 9, 9, 10}).Draw(t, "event") {
			case 0:
				coldUntil = now.Add(testWarmUp)
			case 1:
				if now.Sub(startedAt) > time.Second {
					startProxy()
				}
			case 2:
				step(WarmUpListed{Left: left})
				if versioned {
					knownUntil = coldUntil
				}
			case 3, 4:
				slowest = rapid.SampledFrom([]int{250, 50, 100}).Draw(t, "slowest")
			case 5, 6, 7, 8:
				if asked {
					asked = false
					stated := rapid.Bool().Draw(t, "stated")
					step(WarmUpChecked{Left: left, Stated: stated})
					if stated {
						knownUntil = coldUntil
					}
				}
			case 10:
				if !versioned {
					enforce()
				}
			}
			for range rapid.IntRange(0, 12).Draw(t, "arrivals") {
				h.lastID++
				step(Arrived{ID: h.lastID, Repeatable: true, Deadline: now.Add(time.Second), WarmUpPerSecond: perSecond})
			}
			for _, r := range sortedByID(h.admission.running) {
				if len(h.admission.running) > 30 {
					step(Ended{ID: r.ID, Outcome: outcome.Answered})
				}
			}
		}
	})
}
