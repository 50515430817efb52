package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/outcome"
)

// An instance that has announced its end gets nothing more while its process lasts, also
// if the list goes on to name it as live, or lacks it for a while.
func TestInstanceThatAnnouncedItsEndIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	list := testInstances("desk", 2)
	r.Step(start, InstancesChanged{Instances: list})
	left := arrive(r, 1).(Send).Instance
	is.Equal(r.Step(start, Reported{ID: 1, Leaving: true}), []Effect{InstanceLeaving{Instance: left}})
	r.Step(start, AttemptEnded{ID: 1, Outcome: outcome.Answered, Status: 200})
	now := start
	id := uint64(1)
	usedIn := func(instances []Instance) map[string]bool {
		used := make(map[string]bool)
		r.Step(now, InstancesChanged{Instances: instances})
		for range 20 {
			id++
			now = now.Add(time.Second)
			effect := r.Step(now, Arrived{ID: id, Organisation: "a.example", Method: "GET", Path: "/a/", Budget: time.Second})[0]
			if send, ok := effect.(Send); ok {
				used[send.Instance] = true
				r.Step(now, AttemptEnded{ID: id, Outcome: outcome.Answered, Status: 200})
			}
		}
		return used
	}
	is.True(!usedIn(list)[left])
	without := []Instance{list[0]}
	if list[0].ID == left {
		without[0] = list[1]
	}
	usedIn(without)
	is.True(!usedIn(list)[left])
	for i := range list {
		if list[i].ID == left {
			is.Equal(len(usedIn(list[i:i+1])), 0) // nor as the last one
			list[i].Incarnation++
		}
	}
	is.True(usedIn(list)[left]) // started again
	is.Equal(len(r.departures), 0)
}

func TestAnnouncedEndsAreForgottenWithTheirInstances(t *testing.T) {
	is := is.New(t)
	r := newLatencyTargetRouter(t)
	arrive(r, 1)
	r.Step(start, Reported{ID: 1, Leaving: true})
	r.Step(start.Add(time.Hour), InstancesChanged{Instances: testInstances("desk", 4)})
	is.Equal(len(r.departures), 1) // listed
	r.Step(start.Add(time.Hour), InstancesChanged{})
	r.Step(start.Add(time.Hour+departureRetention), InstancesChanged{})
	is.Equal(len(r.departures), 1)
	r.Step(start.Add(time.Hour+departureRetention+1), InstancesChanged{})
	is.Equal(len(r.departures), 0)
}
