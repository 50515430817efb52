package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// noticeTarget is the users' bound for a leaving instance to get no new work.
const noticeTarget = 3 * time.Second

// reader returns a proxy that reads the source, other than the given one.
func (w *network) reader(t *testing.T, other string) *simProxy {
	t.Helper()
	for _, id := range w.order {
		if p := w.proxies[id]; id != other && p.node.dist.Role() == dist.Reader {
			return p
		}
	}
	t.Fatal("no reader")
	return nil
}

func TestMarkSeenByOneReaderStopsTheInstanceEverywhere(t *testing.T) {
	is := is.New(t)
	const marked = "desk-5"
	w := newNetwork(4, 12, 3)
	w.publish(snapshot(1, 10))
	w.run(healTime)
	list := w.list()
	for n := range list {
		if list[n].ID == marked {
			list[n].State = source.InstanceLeaving
		}
	}
	w.feed(w.reader(t, marked), member.Listed{Instances: list})
	w.run(noticeTarget)
	is.True(w.proxies[marked].node.Leaving())
	for _, id := range w.order {
		for _, r := range w.proxies[id].node.members.View() {
			if r.ID == marked {
				is.Equal(r.State, member.Leaving) // seen by id
			}
		}
	}

	// A new life of the instance is not concerned by the old mark.
	w.kill(marked)
	w.run(time.Second)
	w.start(marked)
	w.run(healTime)
	is.True(!w.proxies[marked].node.Leaving())
}
