package forward

import (
	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/routing"
)

// Core is the reducer that decides about requests.
type Core interface {
	// Route feeds an event about a caller's request to the reducer.
	Route(e routing.Event)
	// Admit feeds an event about a peer's request to the reducer.
	Admit(e admission.Event)
	// RouteDecisions returns the channel on which the effects for a request
	// of this proxy arrive, until release is called.
	RouteDecisions(id uint64) (decisions <-chan routing.Effect, release func())
	// AdmitDecisions is the same for requests of peers.
	AdmitDecisions(id uint64) (decisions <-chan admission.Effect, release func())
	// NextID returns a number that no other request of this process has.
	NextID() uint64
}
