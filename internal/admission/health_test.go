package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// harness drives an Admission in virtual time.
type harness struct {
	admission *Admission
	now       time.Time
	lastID    uint64
}

func newHarness(cfg Config) *harness {
	return &harness{admission: New(cfg), now: epoch}
}

func (h *harness) step(e Event) []Effect { return h.admission.Step(h.now, e) }

func (h *harness) stepAfter(d time.Duration, e Event) []Effect {
	h.now = h.now.Add(d)
	return h.step(e)
}

func (h *harness) arrive(request string, fingerprint uint64) (uint64, []Effect) {
	h.lastID++
	return h.lastID, h.step(Arrived{
		ID: h.lastID, Request: request, Organisation: "a", Fingerprint: fingerprint, Deadline: h.now.Add(time.Minute),
	})
}

func (h *harness) end(id uint64, o outcome.Outcome, reason outcome.Reason) []Effect {
	return h.step(Ended{ID: id, Outcome: o, Reason: reason})
}

// serve reports whether a new request is run at once, and answers it if so.
func (h *harness) serve(request string) bool {
	id, effects := h.arrive(request, 0)
	if len(effects) == 0 || effects[0] != (Run{ID: id}) {
		return false
	}
	h.end(id, outcome.Answered, "")
	return true
}

// notRunReasons counts the refusals with the outcome NotRun by reason.
func notRunReasons(effects []Effect) map[outcome.Reason]int {
	n := make(map[outcome.Reason]int)
	for _, e := range effects {
		if r, ok := e.(Refuse); ok && r.Refusal.Outcome == outcome.NotRun {
			n[r.Refusal.Reason]++
		}
	}
	return n
}

func TestLeaveRefusesTheQueueAndKeepsRunning(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 1, QueueLength: 10})
	running, _ := h.arrive("1", 0)
	h.arrive("2", 0)
	h.arrive("3", 0)
	is.Equal(notRunReasons(h.step(Leave{}))[outcome.InstanceLeaving], 2) // at once, so that senders can try other instances
	_, effects := h.arrive("4", 0)
	is.Equal(notRunReasons(effects)[outcome.InstanceLeaving], 1)
	n, _ := h.admission.InFlight()
	is.Equal(n, 1) // the running request continues
	h.end(running, outcome.Answered, "")
	n, _ = h.admission.InFlight()
	is.Equal(n, 0)
}

func TestFlappingHealthChecksRefuseNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 4, QueueLength: 10})
	for i := range 50 {
		h.stepAfter(time.Second, Checked{Health: Health(i % 2)})
		is.True(h.serve(string(rune('a' + i))))
	}
}

func TestDrainStopsNewWork(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 4, QueueLength: 10})
	is.True(h.serve("1"))
	for range 300 {
		h.step(Loaded{Slots: 4, Draining: true})
		h.stepAfter(time.Second, Checked{Health: Unhealthy})
		if h.now.Sub(epoch) > 3*time.Second {
			is.True(!h.serve("2")) // not probed while both endpoints report the drain
		}
	}
	h.step(Loaded{Slots: 4})
	h.stepAfter(time.Second, Checked{Health: Healthy})
	h.stepAfter(time.Second, Checked{Health: Healthy})
	is.True(h.serve("3"))
}

func TestFalseUnhealthyChecksAreOverruled(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 4, QueueLength: 10})
	served := 0
	for range 30 {
		h.step(Loaded{Slots: 4})
		h.stepAfter(time.Second, Checked{Health: Unhealthy})
		for range 10 {
			if h.serve(h.now.String() + string(rune(served))) {
				served++
			}
		}
	}
	is.True(h.admission.State(h.now).HealthOverruled)
	is.True(served >= 200) // of 300; those before the first probes are refused
}

func TestUnansweredHealthChecksWhileRequestsSucceed(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 4, QueueLength: 10})
	for i := range 20 {
		h.stepAfter(500*time.Millisecond, Checked{Health: NoResponse})
		h.now = h.now.Add(500 * time.Millisecond)
		is.True(h.serve(string(rune('a' + i))))
	}
}

func TestColdBackendServerRampsUp(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 12, QueueLength: 100})
	is.Equal(h.admission.State(h.now).Slots, 3)
	for i := range 20 {
		h.serve(string(rune('a' + i)))
	}
	is.Equal(h.admission.State(h.now).Slots, 12)
	h.step(Loaded{Slots: 1})
	is.Equal(h.admission.State(h.now).Slots, 6) // a report is trusted down to half of the slots
	h.step(Loaded{Slots: 100})
	is.Equal(h.admission.State(h.now).Slots, 12) // and never above the configured slots
	h.step(Loaded{Slots: 1})
	h.now = h.now.Add(reportTTL)
	is.Equal(h.admission.State(h.now).Slots, 12) // the report has expired
	id, _ := h.arrive("down", 0)
	h.end(id, outcome.NotRun, outcome.ConnectFailed)
	is.Equal(h.admission.State(h.now).Slots, 3) // a restarted backend server is cold
}

func TestAbandonedRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 1, QueueLength: 10})
	first, _ := h.arrive("1", 0)
	second, _ := h.arrive("2", 0)
	h.step(Abandoned{ID: second})
	is.Equal(len(h.end(first, outcome.Unknown, outcome.DeadlineExpired)), 0) // nothing is run
}

func TestRefusedRequestMayBeRetried(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 1, QueueLength: 10})
	h.step(Draining{Draining: true})
	is.True(!h.serve("1"))
	h.step(Draining{Draining: false})
	is.True(h.serve("1"))
	is.True(!h.serve("1")) // refused as a duplicate after it ran
}

// A request whose connection could not be opened before its deadline did not run, so it
// must not lengthen the service time that others are refused for.
func TestRequestThatDidNotRunIsNoTimeout(t *testing.T) {
	is := is.New(t)
	h := newHarness(Config{Slots: 4, QueueLength: 4})
	is.True(h.serve("answered"))
	before := h.admission.serviceTime
	id, _ := h.arrive("unsent", 0)
	h.now = h.now.Add(time.Minute)
	h.end(id, outcome.NotRun, outcome.DeadlineExpired)
	is.Equal(h.admission.serviceTime, before)
}
