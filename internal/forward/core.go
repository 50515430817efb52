package forward

import (
	"time"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/routing"
)

// Core gives access to the state machines that decide about requests.
type Core interface {
	// Route passes an event of a caller's request to the routing state machine.
	Route(e routing.Event)
	// Admit passes an event of a request for the local backend server to the
	// admission state machine.
	Admit(e admission.Event)
	// RouteDecisions returns the channel on which the routing effects for a
	// request arrive until release is called.
	RouteDecisions(id uint64) (decisions <-chan routing.Effect, release func())
	// AdmitDecisions does the same for admission effects.
	AdmitDecisions(id uint64) (decisions <-chan admission.Effect, release func())
	// NextID returns an identifier that is unique within the process.
	NextID() uint64
}

// RouteChecker is implemented by a Core that tells whether a request has a route before its
// body is read.
type RouteChecker interface {
	// Unroutable returns the refusal of a request that the version in force gives no
	// route, or false if there is a route or no version.
	Unroutable(organisation, method, path string) (outcome.Refusal, bool)
}

// StopChecker is implemented by a Core that tells whether a stop of the proxy in progress leaves
// time for a request.
type StopChecker interface {
	// StopLeavesTime reports whether a request of a route that is sent now will probably be
	// answered before the proxy ends requests.
	StopLeavesTime(route string, deadline time.Time) bool
}

func stopLeavesTime(c Core, route string, deadline time.Time) bool {
	checker, ok := c.(StopChecker)
	return !ok || checker.StopLeavesTime(route, deadline)
}

// unroutable returns the refusal of a request that has no route.
func unroutable(c Core, organisation, method, path string) (outcome.Refusal, bool) {
	if checker, ok := c.(RouteChecker); ok {
		return checker.Unroutable(organisation, method, path)
	}
	return outcome.Refusal{}, false
}
