package warmup

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/config"
)

var start = time.Unix(1_000_000, 0)

const warmUp = 3 * time.Second

func newTracker(now time.Time) *Tracker {
	var t Tracker
	t.Configure(now, config.ServiceLimits{WarmUp: config.Duration(warmUp), WarmUpPerSecond: 14, HealthPath: "/healthz"})
	return &t
}

// Guards against a restarted proxy that takes a cold backend server for a warm one, and
// against one that limits a warm backend server for longer than it takes to ask.
func TestUnknownBackendServerIsColdUntilItHasBeenAsked(t *testing.T) {
	is := is.New(t)
	w := newTracker(start)
	is.Equal(w.State(start), State{Cold: true, Source: ProxyStart, Left: warmUp})
	is.True(w.Ask(start, false))
	is.True(!w.Ask(start.Add(time.Second), true)) // one check at a time
	w.Checked(start.Add(time.Second), 0, false)   // lost
	is.True(w.State(start.Add(time.Second)).Cold)
	is.True(!w.Ask(start.Add(2*time.Second), false)) // no further one without requests
	is.True(w.Ask(start.Add(2*time.Second), true))
	w.Checked(start.Add(2*time.Second), 0, true)
	is.True(!w.State(start.Add(2 * time.Second)).Cold)
}

// The lower rate applies while entry and health response disagree, and the next health
// response decides. An answer that is older than the sign of a start says nothing of it.
func TestNewerEvidenceDecides(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	w := newTracker(start)
	w.Ask(start, false)
	w.Checked(at(10), 0, true)
	w.Listed(at(500), 1500*time.Millisecond)
	is.Equal(w.State(at(500)), State{Cold: true, Source: Entry, Left: 1500 * time.Millisecond})
	is.True(w.Ask(at(500), false))
	w.Sign(at(600), ObservedStart)
	w.Checked(at(700), 0, true) // ends what the entry showed, not the later start
	is.Equal(w.State(at(700)), State{Cold: true, Source: ObservedStart, Left: warmUp - 100*time.Millisecond})
	is.True(w.Ask(at(800), false))
	w.Checked(at(820), 2*time.Second, true)
	is.Equal(w.State(at(820)), State{Cold: true, Source: Health, Left: 2 * time.Second})
	w.Listed(at(900), 0) // may have been written before the start
	is.True(w.State(at(900)).Cold)
	is.True(!w.State(at(2820)).Cold)
}

// Guards against a warm-up that ends early when the checks fail: the entry and the time
// since the last sign of a start apply, whichever ends later.
func TestWithoutAnswersTheLaterEndApplies(t *testing.T) {
	is := is.New(t)
	w := newTracker(start)
	w.Listed(start.Add(time.Second), 2500*time.Millisecond)
	w.Listed(start.Add(1500*time.Millisecond), 200*time.Millisecond)
	is.True(w.State(start.Add(warmUp - 1)).Cold)
	is.True(!w.State(start.Add(warmUp)).Cold)
	w.Refused(start.Add(10*time.Second), ObservedStart)
	is.True(w.State(start.Add(13*time.Second - 1)).Cold)
}

// Guards against health checks and limits where no service asks for them.
func TestServiceWithoutWarmUpIsNeverColdNorAsked(t *testing.T) {
	is := is.New(t)
	var w Tracker
	w.Configure(start, config.ServiceLimits{WarmUp: config.Duration(warmUp), HealthPath: "/healthz"})
	w.Listed(start, time.Minute)
	w.Sign(start, Evacuation)
	is.True(!w.State(start).Cold)
	is.True(!w.Ask(start, true))
	w.Configure(start.Add(time.Second), config.ServiceLimits{WarmUp: config.Duration(warmUp), WarmUpPerSecond: 14, HealthPath: "/healthz"})
	is.True(w.State(start.Add(time.Second)).Cold) // the entry and the sign count from now on
}
