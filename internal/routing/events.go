// Package routing selects the route and the instance for each request that a
// caller sends to this proxy, and decides whether the request is retried.
//
// It is a pure state machine: it does no I/O and reads no clock. Its first
// invariant is that a request that is not repeatable is sent again only if the
// earlier attempt is proven not to have run.
package routing

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
)

// Instance is a backend server together with its proxy, as known to this proxy.
type Instance struct {
	ID               string `json:"id"`
	Service          string `json:"service"`
	AvailabilityZone string `json:"availability_zone"`
	// Address is the address on which the instance's proxy accepts requests.
	Address string `json:"address"`
	// Slots is the number of requests that the instance runs concurrently.
	Slots int `json:"slots"`
	// Leaving reports that the instance is shutting down.
	Leaving bool `json:"leaving"`
	// Evacuated reports that the availability zone is evacuated: nothing is sent to
	// the instance.
	Evacuated bool `json:"evacuated,omitempty"`
	// Suspect reports that the instance may have failed or may be separated
	// from this proxy by a network partition.
	Suspect bool `json:"suspect"`
	// Incarnation increases with each start of the instance's proxy.
	Incarnation uint64 `json:"incarnation"`
	// Load is the load that the instance reports: running and queued requests
	// per slot, 0 if unknown.
	Load float64 `json:"load"`
	// ColdUntil is the end of the warm-up of the backend server, zero if it is not known
	// to be cold.
	ColdUntil time.Time `json:"cold_until,omitzero"`
}

// Event is an input of the state machine.
type Event interface{ routingEvent() }

// Events.
type (
	// Arrived reports a new request.
	Arrived struct {
		ID           uint64
		Organisation string
		Method       string
		Path         string
		// Budget is the time that the caller allows for the request, 0 if it
		// set none.
		Budget time.Duration
		// Elapsed is the time since the header of the request was read, in which
		// its body arrived.
		Elapsed time.Duration
		// NotAfter is when the proxy aborts requests in flight, zero if it is not
		// shutting down.
		NotAfter time.Time
		// Fingerprint is the same for equal requests.
		Fingerprint uint64
		// KnownCrashes is the number of crashes of backend servers that are
		// known of the fingerprint.
		KnownCrashes uint32
		// Retry reports that the request was sent as a retry further up the call
		// chain.
		Retry bool
	}
	// CostReport is what the proxy beside an instance reports with a response or
	// refusal. Known is not set if it reports nothing.
	CostReport struct {
		Known bool `json:"known,omitempty"`
		// Wait is the expected wait there of a new request like the one that ended.
		Wait time.Duration `json:"wait_ns,omitempty"`
		// ServiceTime is the time from the start of that request to the header of its
		// response, 0 if it was refused.
		ServiceTime time.Duration `json:"service_ns,omitempty"`
		// Slowness is the factor by which work takes longer there than usual. Stated
		// means that the backend server itself states it.
		Slowness float64 `json:"slowness,omitempty"`
		Stated   bool    `json:"stated,omitempty"`
	}
	// AttemptEnded reports the result of an attempt that was started by Send.
	AttemptEnded struct {
		ID      uint64
		Outcome outcome.Outcome
		Reason  outcome.Reason
		// RetryAfter is the wait that the instance asked for, 0 if none.
		RetryAfter time.Duration
		// Latency is the time from Send to the header of the response.
		Latency time.Duration
		// Expected is the latency that was expected at the Send, 0 if none was.
		Expected time.Duration
		// Status is the HTTP status of the response or refusal, 0 if there was
		// none.
		Status int
		// Load is the load that the instance reports with its response: running
		// and queued requests per slot, 0 if unknown.
		Load float64
		// Costs is the instance's report on costs.
		Costs CostReport
		// Bytes is the length of the response body, -1 if it is unknown.
		Bytes int64
		// LinkBusy means that the instance refused the request because its machine's
		// link has no time for the response. Short requests are not concerned.
		LinkBusy bool
		// Truncated means that the body of the response did not end properly or in
		// time, after a part of it had reached the caller.
		Truncated bool
	}
	// Reported reports what the backend server states about itself in its response to
	// a request, before the AttemptEnded of the attempt. A response without such a
	// statement is not reported.
	Reported struct {
		ID uint64
		// RateLimit is the rate limit that it names, in requests per second, valid
		// if RateLimited is set.
		RateLimit   float64
		RateLimited bool
		// Leaving means that the backend server is about to end.
		Leaving bool
	}
	// BodySent reports that the end of a streamed body has been sent.
	BodySent struct{ ID uint64 }
	// Withheld reports an attempt that has ended without a run since the end of its streamed
	// body was not sent: StopLeavesTime did not hold.
	Withheld struct{ ID uint64 }
	// Abandoned reports that the caller no longer waits for the response.
	Abandoned struct{ ID uint64 }
	// SnapshotEnforced puts a new snapshot in force.
	SnapshotEnforced struct{ Snapshot *config.Snapshot }
	// VersionRefused reports a version that cannot be put in force.
	VersionRefused struct{}
	// InstancesChanged replaces the list of instances.
	InstancesChanged struct{ Instances []Instance }
	// Tick reports that time has passed.
	Tick struct{}
)

func (Arrived) routingEvent()          {}
func (AttemptEnded) routingEvent()     {}
func (Reported) routingEvent()         {}
func (BodySent) routingEvent()         {}
func (Withheld) routingEvent()         {}
func (Abandoned) routingEvent()        {}
func (SnapshotEnforced) routingEvent() {}
func (VersionRefused) routingEvent()   {}
func (InstancesChanged) routingEvent() {}
func (Tick) routingEvent()             {}

// Choice records what this proxy knew about an instance when it selected it.
type Choice struct {
	// Candidates is the number of usable instances, without those that the
	// request was already sent to and those that recently refused a request
	// because of a long wait or a full queue.
	Candidates int
	// InFlight is the number of requests in flight from this proxy to the
	// instance, without this one.
	InFlight int
	// Load is the load that the instance last reported, LoadAge the age of
	// that report.
	Load    float64
	LoadAge time.Duration
	// Estimate is what was expected of the attempt, zero if requests are placed by
	// score only.
	Estimate Estimate
}

// Effect is an output of the state machine.
type Effect interface{ routingEffect() }

// Effects.
type (
	// Send sends the request to an instance; AttemptEnded reports the result.
	Send struct {
		ID         uint64
		Instance   string
		Address    string
		Route      string
		Version    uint64
		Repeatable bool
		// Upload means that the request has a large body.
		Upload bool
		// Download means that the response is large.
		Download bool
		Deadline time.Time
		// Target is the time until which a response has its full value, zero if
		// there is no such time.
		Target time.Time
		// Priority is the priority class of the request; 0 is the most urgent.
		Priority int
		// Attempt is the number of this attempt at this proxy, from 1.
		Attempt int
		// MaxWaitShare is the largest share of its slack that the request may
		// wait in the queue of the instance, 0 for no limit. The slack is the
		// time until Target less the expected service time.
		MaxWaitShare float64
		// Retry tells services further down the call chain not to retry the
		// request again.
		Retry bool
		// KnownCrashes is that of the request's Arrived.
		KnownCrashes uint32
		// RateLimit is the rate limit that the backend server named in the latest
		// response, in requests per second, valid if RateLimited is set. The
		// proxy beside it may have been restarted since.
		RateLimit   float64
		RateLimited bool
		// WarmUpPerSecond is the rate of requests that a cold backend server of the
		// service can serve, 0 if the service names no warm-up. The proxy beside it may
		// not have a version yet.
		WarmUpPerSecond float64
		// Choice records what was known about the instance when it was
		// selected.
		Choice Choice
	}
	// InstanceLeaving reports that the backend server of an instance states that it is
	// about to end.
	InstanceLeaving struct{ Instance string }
	// Refuse ends the request with a refusal.
	Refuse struct {
		ID      uint64
		Refusal outcome.Refusal
	}
)

func (Send) routingEffect()            {}
func (InstanceLeaving) routingEffect() {}
func (Refuse) routingEffect()          {}
