package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/source"
)

// replaceAll starts all backend servers and proxies again. The backend servers have new
// identifiers at their old addresses, and the entries of the old ones stay listed. Their
// clocks are set back.
func (f *storeFleet) replaceAll() {
	for i := range f.nodes {
		old := f.content.entries[f.id(i)]
		f.content.revision++
		e := source.Entry{ID: f.id(i) + "-next", Revision: f.content.revision}
		instance := *old.Instance
		instance.ID, instance.Incarnation = e.ID, old.Instance.Incarnation-1
		e.Instance = &instance
		f.content.entries[e.ID] = e
		f.history = append(f.history, e)
		f.start(i)
	}
}

// Guards against sends to processes that are gone. For 1.9 s after a loss of power the list
// held each address twice, and half of all sends got 421, which no retry budget of a young
// process covers.
func TestRequestsGoToTheProcessThatHoldsAnAddress(t *testing.T) {
	t.Parallel()
	for _, n := range []int{12, 75, 295} {
		f := newStoreFleet(uint64(n), n)
		f.replaceAll()
		f.run(600 * time.Millisecond)
		sends, former, id := 0, 0, uint64(1<<40)
		for _, node := range f.nodes {
			for range 20 {
				id++
				for _, effect := range node.Step(f.now, routing.Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/s-0/x"}).Routing {
					if send, ok := effect.(routing.Send); ok {
						sends++
						if !strings.HasSuffix(send.Instance, "-next") {
							former++
						}
					}
				}
			}
		}
		if sends != 20*n || former > 0 {
			t.Errorf("%d proxies: %d sends for %d requests, %d of them to processes that are gone", n, sends, 20*n, former)
		}
	}
}

func TestRequestForAFormerProcessIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newStoreFleet(2, 12)
	f.replaceAll()
	f.run(600 * time.Millisecond)
	for i, former := range map[int]bool{0: true, 1: false} {
		instance := f.id(i)
		if !former {
			instance += "-next"
		}
		out := f.nodes[i].Step(f.now, admission.Arrived{ID: 7, Request: fmt.Sprint(i), Instance: instance, Deadline: f.now.Add(time.Second)})
		is.Equal(len(out.Admission), 1)
		refusal, refused := out.Admission[0].(admission.Refuse)
		is.Equal(refused, former)
		if refused {
			is.Equal(refusal.Refusal.Reason, outcome.InstanceReplaced)
			is.Equal(refusal.Refusal.Outcome, outcome.NotRun)
		}
	}
}

// A process that starts again under its old identifier is not refused as its own
// predecessor.
func TestProcessKeepsItsIdentifier(t *testing.T) {
	t.Parallel()
	f := newStoreFleet(2, 12)
	f.put(0, source.InstanceLive)
	f.run(2 * time.Second)
	out := f.nodes[0].Step(f.now, admission.Arrived{ID: 7, Request: "r", Instance: f.id(0), Deadline: f.now.Add(time.Second)})
	if _, ok := out.Admission[0].(admission.Run); !ok {
		t.Errorf("got %+v, want the request to run", out.Admission[0])
	}
}
