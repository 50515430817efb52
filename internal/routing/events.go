// Package routing decides for each request that a caller hands to this proxy
// which route applies, which instance runs it, and whether it is tried again.
//
// It is a pure state machine: it does no I/O and reads no clock. Its first
// invariant is that a request that is not repeatable is sent again only after
// proof that it was not run.
package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Instance is a backend server with its proxy, as seen from here.
type Instance struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability_zone"`
	// Address is the address at which the instance's proxy takes requests.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Leaving bool   `json:"leaving"`
	Suspect bool   `json:"suspect"`
	// Incarnation grows with each start of the instance's proxy.
	Incarnation uint64 `json:"incarnation"`
	// Load is what the instance reports: requests running and waiting per
	// slot, 0 if unknown.
	Load float64 `json:"load"`
}

// Event is an input of the state machine.
type Event interface{ routingEvent() }

// Events.
type (
	// Arrived is a new request.
	Arrived struct {
		ID           uint64
		Organisation string
		Method       string
		Path         string
		// Budget is the time that the caller allows, 0 if it set none.
		Budget time.Duration
		// Fingerprint identifies equal requests.
		Fingerprint uint64
		// Retry reports that a level above makes this request as a retry.
		Retry bool
	}
	// AttemptEnded is the outcome of the Send effect.
	AttemptEnded struct {
		ID      uint64
		Outcome outcome.Outcome
		Reason  outcome.Reason
		// RetryAfter is what the instance asked for, 0 if nothing.
		RetryAfter time.Duration
		// Latency is the time from Send to the answer's header.
		Latency time.Duration
		// Status is the HTTP status of the answer or refusal, 0 if none came.
		Status int
		// Load is what the instance reports with its answer: requests running
		// and waiting per slot, 0 if unknown.
		Load float64
		// Bytes is the length of the answer's body, -1 if it is not known.
		Bytes int64
	}
	// Abandoned reports that the caller left.
	Abandoned struct{ ID uint64 }
	// Enforced is a new snapshot.
	Enforced struct{ Snapshot *config.Snapshot }
	// InstancesChanged is a new view of the instances.
	InstancesChanged struct{ Instances []Instance }
	// Tick passes time.
	Tick struct{}
)

func (Arrived) routingEvent()          {}
func (AttemptEnded) routingEvent()     {}
func (Abandoned) routingEvent()        {}
func (Enforced) routingEvent()         {}
func (InstancesChanged) routingEvent() {}
func (Tick) routingEvent()             {}

// Choice is what this proxy knew of an instance when it chose it.
type Choice struct {
	// Candidates is the number of usable instances.
	Candidates int
	// InFlight counts the requests sent there before this one.
	InFlight int
	// Load is what the instance reported, LoadAge how long ago.
	Load    float64
	LoadAge time.Duration
}

// Effect is an output of the state machine.
type Effect interface{ routingEffect() }

// Effects.
type (
	// Send sends the request to an instance; the host reports AttemptEnded.
	Send struct {
		ID         uint64
		Instance   string
		Address    string
		Route      string
		Version    uint64
		Repeatable bool
		Deadline   time.Time
		// Target is when an answer loses its full value, zero if it does not.
		Target time.Time
		// Priority is the class of the request, 0 the most urgent.
		Priority int
		// Attempt counts the attempts made at this proxy, from 1.
		Attempt int
		// Patience is the share of the spare time before Target that the
		// request may wait at the instance, 0 for no bound.
		Patience float64
		// Retry tells deeper levels that they may not retry either.
		Retry bool
		// Why is what the choice of the instance rests on.
		Why Choice
	}
	// Refuse gives the caller its final answer.
	Refuse struct {
		ID      uint64
		Refusal outcome.Refusal
	}
)

func (Send) routingEffect()   {}
func (Refuse) routingEffect() {}
