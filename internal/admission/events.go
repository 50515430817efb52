package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// Event is an input of the state machine.
type Event interface{ admissionEvent() }

// Events.
type (
	// Arrived is a request that a proxy sent here.
	Arrived struct {
		// ID is unique at this proxy.
		ID uint64
		// Request is unique in the fleet, the same for each attempt.
		Request      string
		Organisation string
		// Key is the caller's idempotency key, empty if it gave none.
		Key         string
		Fingerprint uint64
		Repeatable  bool
		Deadline    time.Time
		// Instance is the instance that the sender means, empty for any.
		Instance string
		// Priority is the class of the request, 0 the most urgent.
		Priority int
		// Target is when an answer loses its full value, zero if it does not.
		Target time.Time
		// Route names the route, whose requests take alike long.
		Route string
		// Patience is the share of the spare time before Target that the
		// request may wait here before its sender turns to another instance,
		// 0 if the sender has no other.
		Patience float64
	}
	// Claimed answers the effect Claim.
	Claimed struct {
		ID      uint64
		Granted bool
		// Refusal is the final answer if the claim was not granted.
		Refusal outcome.Refusal
	}
	// Ended is the outcome of a run.
	Ended struct {
		ID      uint64
		Outcome outcome.Outcome
		Reason  outcome.Reason
	}
	// Abandoned reports that the sender left before the request was run.
	Abandoned struct{ ID uint64 }
	// Leave stops new work for good.
	Leave struct{}
	// Assigned tells which backend server is beside this proxy.
	Assigned struct {
		// Slots is the number of requests that it runs at once.
		Slots int
		// Restarted reports another backend server or a new start of it.
		Restarted bool
	}
	// Draining is the backend server's own explicit report.
	Draining struct{ Draining bool }
	// Checked is the result of one health check of the backend server.
	Checked struct{ Health Health }
	// Loaded is a reading of the backend server's load endpoint.
	Loaded struct {
		// Slots is the number of slots that it reports, 0 if none.
		Slots    int
		Draining bool
	}
	// FenceReceived is a peer's question; the effect ReplyFence answers it.
	FenceReceived struct {
		Call  uint64
		Fence Fence
	}
	// Tick passes time.
	Tick struct{}
)

func (Arrived) admissionEvent()       {}
func (Claimed) admissionEvent()       {}
func (Ended) admissionEvent()         {}
func (Abandoned) admissionEvent()     {}
func (Leave) admissionEvent()         {}
func (Assigned) admissionEvent()      {}
func (Draining) admissionEvent()      {}
func (Checked) admissionEvent()       {}
func (Loaded) admissionEvent()        {}
func (FenceReceived) admissionEvent() {}
func (Tick) admissionEvent()          {}

// Effect is an output of the state machine.
type Effect interface{ admissionEffect() }

// Effects.
type (
	// Run passes the request to the backend server; the host reports Ended.
	Run struct{ ID uint64 }
	// Refuse answers the sender.
	Refuse struct {
		ID      uint64
		Refusal outcome.Refusal
	}
	// Claim asks for the right to run a keyed request once; Claimed answers.
	Claim struct {
		ID           uint64
		Request      string
		Organisation string
		Key          string
	}
	// Settled follows a Claim when its request will not be run here any more.
	Settled struct {
		ID uint64
		// Ran reports that the request may have been run.
		Ran bool
	}
	// ReplyFence answers the question with the same Call.
	ReplyFence struct {
		Call  uint64
		Reply FenceReply
	}
	// Crashed reports that the backend server died while it ran requests
	// with these fingerprints.
	Crashed struct{ Fingerprints []uint64 }
	// Survived reports that the backend server answered a request with the
	// fingerprint.
	Survived struct{ Fingerprint uint64 }
)

func (Run) admissionEffect()        {}
func (Refuse) admissionEffect()     {}
func (Claim) admissionEffect()      {}
func (Settled) admissionEffect()    {}
func (ReplyFence) admissionEffect() {}
func (Crashed) admissionEffect()    {}
func (Survived) admissionEffect()   {}
