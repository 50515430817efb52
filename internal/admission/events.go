package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// Event is an input of the state machine.
type Event interface{ admissionEvent() }

// Events.
type (
	// Arrived reports a request that a proxy sent to this instance.
	Arrived struct {
		// ID is unique at this proxy.
		ID uint64
		// Request identifies the request in the fleet; all attempts share it.
		Request      string
		Organisation string
		// Key is the caller's idempotency key, empty if it gave none.
		Key string
		// Fingerprint is equal for requests with the same content; 0 means that
		// there is none.
		Fingerprint uint64
		// KnownCrashes is the number of crashes of backend servers that were
		// known of the fingerprint when the request was sent here.
		KnownCrashes uint32
		// Repeatable means that the request may be run more than once.
		Repeatable bool
		Deadline   time.Time
		// Instance is the instance that the sender addressed, empty for any.
		Instance string
		// Priority is the priority class of the request; 0 is the most urgent.
		Priority int
		// Call means that a backend server sent the request while it runs another.
		Call bool
		// Target is the soft deadline: an answer after it is worth less. It is
		// zero if the value of an answer does not depend on time.
		Target time.Time
		// Route is the route's name. Requests of a route have similar service
		// times.
		Route string
		// Download means that the route is declared to have large responses.
		Download bool
		// Patience is the maximum wait for a slot at this instance, as a fraction
		// of the slack: the time left until Target, less the expected service
		// time. If the expected wait is longer, the request is refused so that
		// its sender can try another instance. 0 means that the sender has no
		// other instance to try.
		Patience float64
		// RateLimit is the rate limit that the backend server named in the latest
		// response that the sender passed on, in requests per second, valid if
		// RateLimited is set.
		RateLimit   float64
		RateLimited bool
		// WarmUpPerSecond is the rate of requests that a cold backend server of the
		// service can serve according to the version of the sender, 0 if it names none.
		WarmUpPerSecond float64
	}
	// Claimed is the response to the effect Claim.
	Claimed struct {
		ID      uint64
		Granted bool
		// Refusal is the final answer if the claim was not granted.
		Refusal outcome.Refusal
	}
	// Ended reports the outcome of a request that Run started.
	Ended struct {
		ID      uint64
		Outcome outcome.Outcome
		Reason  outcome.Reason
		// Inconclusive means that a failure says nothing about the process of the
		// backend server: the sender left, the response had begun or this proxy
		// could not send.
		Inconclusive bool
	}
	// Abandoned reports that the sender cancelled the request before it reached
	// the backend server.
	Abandoned struct{ ID uint64 }
	// Leave stops the admission of requests permanently.
	Leave struct{}
	// Assigned reports the platform's entry of the local backend server.
	Assigned struct {
		// Slots is the maximum number of requests that it runs concurrently.
		Slots int
		// Restarted reports a different backend server, or a restart of the
		// same one.
		Restarted bool
		// Instance identifies the backend server, Superseded the processes that ran at
		// its address before and are still listed.
		Instance   string
		Superseded []string
	}
	// Draining reports whether the platform's list of instances marks the
	// backend server as leaving or lacks it.
	Draining struct{ Draining bool }
	// Evacuated reports whether the availability zone of the backend server is
	// evacuated.
	Evacuated struct{ Evacuated bool }
	// Checked reports the result of a health check of the backend server.
	Checked struct{ Health Health }
	// Loaded reports a response of the backend server's load endpoint.
	Loaded struct {
		// Slots is the slot count in the response, 0 if there is none.
		Slots int
		// Draining reports that the backend server wants no new requests.
		Draining bool
	}
	// Reported is what the backend server states about itself in its response to a
	// running request. A response without such a statement is reported only if the
	// proxy reports costs to others.
	Reported struct {
		// ID is that of the request.
		ID uint64
		// RateLimit is the rate limit that it names, in requests per second, valid
		// if RateLimited is set.
		RateLimit   float64
		RateLimited bool
		// Leaving means that the backend server is about to end.
		Leaving bool
		// Load is the load that it states, valid if Loaded is set.
		Load   ServerLoad
		Loaded bool
		// Answered means that the backend server ran the request. It is set only if
		// the proxy reports costs to others.
		Answered bool
		// Invalid means that a statement could not be read.
		Invalid bool
	}
	// FenceReceived delivers a fence from a peer; the effect ReplyFence is the
	// response.
	FenceReceived struct {
		Call  uint64
		Fence Fence
	}
	// ServiceLimited puts the limits of the backend server's service in force.
	ServiceLimited struct{ Limits config.ServiceLimits }
	// WarmUpListed reports that a new entry of the backend server in the platform's
	// list states how long it is still cold, 0 if it is warm.
	WarmUpListed struct{ Left time.Duration }
	// WarmUpChecked is the response to the effect CheckWarmUp.
	WarmUpChecked struct {
		// Left is the remaining warm-up time that the backend server states, 0 if it
		// is warm, valid if Stated is set.
		Left   time.Duration
		Stated bool
		// Refused means that the connection was refused.
		Refused bool
	}
	// MayBeCold reports that the backend server may have become cold. Cause is a
	// warmup.Source, such as the end of an evacuation of its availability zone.
	MayBeCold struct{ Cause string }
	// Tick triggers periodic work.
	Tick struct{}
)

func (Arrived) admissionEvent()        {}
func (Claimed) admissionEvent()        {}
func (Ended) admissionEvent()          {}
func (Abandoned) admissionEvent()      {}
func (Leave) admissionEvent()          {}
func (Assigned) admissionEvent()       {}
func (Draining) admissionEvent()       {}
func (Evacuated) admissionEvent()      {}
func (Checked) admissionEvent()        {}
func (Loaded) admissionEvent()         {}
func (Reported) admissionEvent()       {}
func (FenceReceived) admissionEvent()  {}
func (ServiceLimited) admissionEvent() {}
func (WarmUpListed) admissionEvent()   {}
func (WarmUpChecked) admissionEvent()  {}
func (MayBeCold) admissionEvent()      {}
func (Tick) admissionEvent()           {}

// Effect is an output of the state machine.
type Effect interface{ admissionEffect() }

// Effects.
type (
	// Run forwards the request to the backend server; Ended reports its outcome.
	Run struct {
		ID uint64
		// SendBy is the time from which on the request must not be sent any more, since
		// the backend server is cold; zero if there is none.
		SendBy time.Time
	}
	// Refuse sends the refusal to the sender.
	Refuse struct {
		ID      uint64
		Refusal outcome.Refusal
	}
	// Claim asks for the exclusive right to run a request with an idempotency
	// key; Claimed is the response.
	Claim struct {
		ID           uint64
		Request      string
		Organisation string
		Key          string
	}
	// ClaimClosed closes an open claim once its request has ended or will not be
	// run here.
	ClaimClosed struct {
		ID uint64
		// Ran reports that the request may have been run.
		Ran bool
	}
	// ReplyFence is the response to the FenceReceived with the same Call.
	ReplyFence struct {
		Call  uint64
		Reply FenceReply
	}
	// Crashed reports that the backend server crashed, and what it ran.
	Crashed struct {
		Runs []CrashedRun
		// Lost is the number of runs that had ended without a response, Running that
		// of the others.
		Lost, Running int
	}
	// WakeAt asks for a Tick at the given time, when the rate limit lets a waiting
	// request start.
	WakeAt struct{ At time.Time }
	// RateLimitChanged reports that the backend server names another rate limit
	// than before, in requests per second, or none any more if Limited is not set.
	RateLimitChanged struct {
		Limited   bool
		PerSecond float64
	}
	// CheckWarmUp asks the backend server, by its health check at the path, how long it
	// is still cold; WarmUpChecked is the response. No further one follows before.
	CheckWarmUp struct{ Path string }
	// WarmUpChanged reports that the backend server has become cold or warm, or that
	// another source shows that it is cold.
	WarmUpChanged struct {
		// Instance is the backend server, set by package node.
		Instance string
		warmup.State
		// PerSecond is the rate that is enforced while it is cold.
		PerSecond float64
	}
	// LeavingReported reports that the backend server states in its responses that
	// it is about to end.
	LeavingReported struct{}
	// FingerprintAnswered reports that the backend server answered a request
	// with the fingerprint and the KnownCrashes of its Arrived.
	FingerprintAnswered struct {
		Fingerprint  uint64
		KnownCrashes uint32
	}
)

func (Run) admissionEffect()                 {}
func (Refuse) admissionEffect()              {}
func (Claim) admissionEffect()               {}
func (ClaimClosed) admissionEffect()         {}
func (ReplyFence) admissionEffect()          {}
func (Crashed) admissionEffect()             {}
func (FingerprintAnswered) admissionEffect() {}
func (WakeAt) admissionEffect()              {}
func (RateLimitChanged) admissionEffect()    {}
func (CheckWarmUp) admissionEffect()         {}
func (WarmUpChanged) admissionEffect()       {}
func (LeavingReported) admissionEffect()     {}
