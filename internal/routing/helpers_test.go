package routing

import (
	"fmt"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

const testZone = "tanga"

var start = time.Date(2026, 1, 1, 4, 0, 0, 0, time.UTC)

// testSlice returns the slice of one organisation with a repeatable read route
// and a write route that is not repeatable.
func testSlice(org, service string) *config.Slice {
	return &config.Slice{
		Organisation: org,
		Service:      service,
		Routes: []config.Route{
			{Name: "read", Methods: []string{"GET"}, Path: "/read", Group: "g", Deadline: config.Duration(time.Second), Repeatable: true},
			{Name: "write", Methods: []string{"POST"}, Path: "/write", Group: "g", Deadline: config.Duration(time.Second)},
		},
		Groups: map[string]config.Group{"g": {Service: service}},
		Limits: config.Limits{RequestsPerSecond: 1000, Concurrency: 1000},
	}
}

func testSnapshot(version uint64, list ...*config.Slice) *config.Snapshot {
	sets := make(map[string]map[string]*config.Slice)
	for _, s := range list {
		if sets[s.Service] == nil {
			sets[s.Service] = make(map[string]*config.Slice)
		}
		sets[s.Service][s.Organisation] = s
	}
	out := make(map[string]*config.ServiceSet)
	for service, set := range sets {
		out[service] = config.NewServiceSet(set)
	}
	return config.NewSnapshot(version, out, nil)
}

func testInstances(service string, n int) []Instance {
	list := make([]Instance, n)
	for i := range list {
		zone := testZone
		if i%2 == 1 {
			zone = "kilwa"
		}
		id := fmt.Sprintf("%s-%02d", service, i)
		list[i] = Instance{ID: id, Service: service, AvailabilityZone: zone, Address: id, Slots: 10}
	}
	return list
}

// newTestRouter returns a router with one organisation and n instances.
func newTestRouter(n int) *Router {
	r := New(Config{AvailabilityZone: testZone, MaxAttempts: 3, Seed: 1})
	r.Step(start, SnapshotEnforced{Snapshot: testSnapshot(1, testSlice("acme", "desk"))})
	r.Step(start, InstancesChanged{Instances: testInstances("desk", n)})
	return r
}

func read(id uint64) Arrived {
	return Arrived{ID: id, Organisation: "acme", Method: "GET", Path: "/read"}
}

func write(id uint64) Arrived {
	return Arrived{ID: id, Organisation: "acme", Method: "POST", Path: "/write"}
}

func ended(id uint64, o outcome.Outcome, reason outcome.Reason) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: o, Reason: reason}
}

func answered(id uint64, latency time.Duration) AttemptEnded {
	return AttemptEnded{ID: id, Outcome: outcome.Answered, Latency: latency, Status: 200}
}
