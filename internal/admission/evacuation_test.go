package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Proxies that have not heard of the evacuation yet must not be refused at once; after the
// grace nothing more may reach the backend server, also if it starts again.
func TestEvacuatedBackendServerCompletesWhatRuns(t *testing.T) {
	is := is.New(t)
	for limit, grace := range map[time.Duration]time.Duration{0: 500 * time.Millisecond, 2 * time.Second: 200 * time.Millisecond, 5 * time.Second: 500 * time.Millisecond, 10 * time.Second: 500 * time.Millisecond} {
		h := newHarness(Config{Slots: 1, QueueLength: 10, EvacuationLimit: limit})
		running, _ := h.arrive("1", 0)
		is.Equal(h.step(Evacuated{Evacuated: true}), []Effect{WakeAt{At: h.now.Add(grace)}})
		h.arrive("2", 0) // waits behind the first one
		is.Equal(len(h.stepAfter(grace-1, Tick{})), 0)
		is.Equal(notRunReasons(h.stepAfter(1, Tick{}))[outcome.InstanceLeaving], 1)
		_, effects := h.arrive("3", 0)
		is.Equal(notRunReasons(effects)[outcome.InstanceLeaving], 1)
		is.Equal(len(h.end(running, outcome.Answered, "")), 0)
		h.step(Assigned{Slots: 1, Restarted: true})
		h.step(Evacuated{Evacuated: true})
		is.True(!h.serve("4"))
		h.step(Evacuated{})
		is.True(h.serve("5"))
	}
}
