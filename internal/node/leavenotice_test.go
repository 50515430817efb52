package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// leaveTarget is the required bound on the time until a leaving instance receives
// no new requests.
const leaveTarget = 3 * time.Second

// findReader returns a proxy other than the given one that reads the source.
func (w *network) findReader(t *testing.T, other string) *simProxy {
	t.Helper()
	for _, id := range w.order {
		if p := w.proxies[id]; id != other && p.node.dist.Role() == dist.Reader {
			return p
		}
	}
	t.Fatal("no proxy has the reader role")
	return nil
}

func TestLeavingStateSeenByOneReaderReachesFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const marked = "desk-5"
	w := newNetwork(4, 12, 3)
	w.publish(snapshot(1, 10))
	w.run(recoveryTime)
	list := w.list()
	for n := range list {
		if list[n].ID == marked {
			list[n].State = source.InstanceLeaving
		}
	}
	w.feed(w.findReader(t, marked), member.Listed{Instances: list})
	w.run(leaveTarget)
	is.True(w.proxies[marked].node.Leaving())
	for _, id := range w.order {
		for _, r := range w.proxies[id].node.members.View() {
			if r.ID == marked {
				is.Equal(r.State, member.Leaving) // in the view of proxy id
			}
		}
	}

	// The notice does not apply to the instance after a restart.
	w.kill(marked)
	w.run(time.Second)
	w.start(marked)
	w.run(recoveryTime)
	is.True(!w.proxies[marked].node.Leaving())
}
