package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// bench drives one state machine in virtual time.
type bench struct {
	a    *Admission
	now  time.Time
	next uint64
}

func newBench(cfg Config) *bench {
	return &bench{a: New(cfg), now: epoch}
}

func (b *bench) step(e Event) []Effect { return b.a.Step(b.now, e) }

func (b *bench) after(d time.Duration, e Event) []Effect {
	b.now = b.now.Add(d)
	return b.step(e)
}

func (b *bench) arrive(request string, fingerprint uint64) (uint64, []Effect) {
	b.next++
	return b.next, b.step(Arrived{
		ID: b.next, Request: request, Organisation: "a", Fingerprint: fingerprint, Deadline: b.now.Add(time.Minute),
	})
}

func (b *bench) end(id uint64, o outcome.Outcome, reason outcome.Reason) []Effect {
	return b.step(Ended{ID: id, Outcome: o, Reason: reason})
}

// serve reports whether a new request is run; it is answered at once.
func (b *bench) serve(request string) bool {
	id, effects := b.arrive(request, 0)
	if len(effects) == 0 || effects[0] != (Run{ID: id}) {
		return false
	}
	b.end(id, outcome.Answered, "")
	return true
}

func reasons(effects []Effect) map[outcome.Reason]int {
	n := make(map[outcome.Reason]int)
	for _, e := range effects {
		if r, ok := e.(Refuse); ok && r.Refusal.Outcome == outcome.NotRun {
			n[r.Refusal.Reason]++
		}
	}
	return n
}

func TestLeaveRefusesTheQueueAndLetsRunsEnd(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10})
	running, _ := b.arrive("1", 0)
	b.arrive("2", 0)
	b.arrive("3", 0)
	is.Equal(reasons(b.step(Leave{}))[outcome.InstanceLeaving], 2) // at once, so that they go elsewhere
	_, effects := b.arrive("4", 0)
	is.Equal(reasons(effects)[outcome.InstanceLeaving], 1)
	n, _ := b.a.InFlight()
	is.Equal(n, 1) // the run goes on
	b.end(running, outcome.Answered, "")
	n, _ = b.a.InFlight()
	is.Equal(n, 0)
}

func TestFlappingHealthRefusesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 4, QueueLength: 10})
	for i := range 50 {
		b.after(time.Second, Checked{Health: Health(i % 2)})
		is.True(b.serve(string(rune('a' + i))))
	}
}

func TestDrainStopsNewWork(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 4, QueueLength: 10})
	is.True(b.serve("1"))
	for range 300 {
		b.step(Loaded{Slots: 4, Draining: true})
		b.after(time.Second, Checked{Health: Unhealthy})
		if b.now.Sub(epoch) > 3*time.Second {
			is.True(!b.serve("2")) // both endpoints agree: never tested
		}
	}
	b.step(Loaded{Slots: 4})
	b.after(time.Second, Checked{Health: Healthy})
	b.after(time.Second, Checked{Health: Healthy})
	is.True(b.serve("3"))
}

func TestLyingHealthIsOverruled(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 4, QueueLength: 10})
	served := 0
	for range 30 {
		b.step(Loaded{Slots: 4})
		b.after(time.Second, Checked{Health: Unhealthy})
		for range 10 {
			if b.serve(b.now.String() + string(rune(served))) {
				served++
			}
		}
	}
	is.True(b.a.State(b.now).Overruled)
	is.True(served >= 200) // of 300; the first seconds are lost
}

func TestSilentHealthWhileRequestsSucceed(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 4, QueueLength: 10})
	for i := range 20 {
		b.after(500*time.Millisecond, Checked{Health: Silent})
		b.now = b.now.Add(500 * time.Millisecond)
		is.True(b.serve(string(rune('a' + i))))
	}
}

func TestColdBackendServerRampsUp(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 12, QueueLength: 100})
	is.Equal(b.a.State(b.now).Slots, 3)
	for i := range 20 {
		b.serve(string(rune('a' + i)))
	}
	is.Equal(b.a.State(b.now).Slots, 12)
	b.step(Loaded{Slots: 1})
	is.Equal(b.a.State(b.now).Slots, 6) // a report is trusted down to one half
	b.step(Loaded{Slots: 100})
	is.Equal(b.a.State(b.now).Slots, 12) // and never beyond the settings
	b.step(Loaded{Slots: 1})
	b.now = b.now.Add(reportLifetime)
	is.Equal(b.a.State(b.now).Slots, 12) // an old report counts for nothing
	id, _ := b.arrive("down", 0)
	b.end(id, outcome.NotRun, outcome.ConnectFailed)
	is.Equal(b.a.State(b.now).Slots, 3) // a restarted backend server is cold
}

func TestAbandonedRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10})
	first, _ := b.arrive("1", 0)
	second, _ := b.arrive("2", 0)
	b.step(Abandoned{ID: second})
	is.Equal(len(b.end(first, outcome.Unknown, outcome.DeadlineExpired)), 0) // nothing is run
}

func TestRefusedRequestMayComeAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(Config{Slots: 1, QueueLength: 10})
	b.step(Draining{Draining: true})
	is.True(!b.serve("1"))
	b.step(Draining{Draining: false})
	is.True(b.serve("1"))
	is.True(!b.serve("1")) // once it ran it is refused
}
