package host

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/settings"
)

// Whatever the limit of the process, what clients may use leaves a quarter of it, and each
// door has some.
func TestDescriptorsAreKeptFromClients(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(64, 1<<20).Draw(t, "descriptors")
		connections := rapid.IntRange(1, 1000).Draw(t, "connections")
		p := planDescriptors(total, connections, 0)
		ofClients := p.callers + p.admin + p.metrics + p.proxies + p.outgoing
		backend := min(connections, total/8)
		if kept := total - ofClients - backend; kept < total/4 {
			t.Fatalf("%+v keeps %d descriptors", p, kept)
		}
		for _, n := range []int{p.callers, p.admin, p.metrics, p.proxies, p.outgoing} {
			if n < 4 {
				t.Fatalf("%+v leaves a door without connections", p)
			}
		}
	})
}

func TestSettingsBoundWhatClientsHold(t *testing.T) {
	is := is.New(t)
	s := settings.Default()
	l := intakeLimits(s, planDescriptors(4100, 130, 0))
	is.Equal(l.Memory, int64(184<<20*30/100))
	is.Equal(l.ClientMemory, int64(float64(l.Memory)*0.75))
	is.True(l.Connections[intake.Callers] > 1000)
	is.True(responseMemoryBound(s.Machine) == 32<<20)
	s.Clients.MemoryMB, s.Clients.Connections = 20, 300
	l = intakeLimits(s, planDescriptors(4100, 130, s.Clients.Connections))
	is.Equal(l.Memory, int64(20<<20))
	is.Equal(l.Connections[intake.Callers], 300)
}
