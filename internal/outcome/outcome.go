// Package outcome defines the outcomes of requests and the reasons for refusing
// them. The values are part of the interface to callers and of the protocol
// between proxies.
package outcome

import "time"

// Outcome states whether a request was run.
type Outcome string

// Outcomes.
const (
	// Answered means that a backend server ran the request and its response was
	// delivered.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran the request. It is reported only
	// if that is proven.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have been run.
	Unknown Outcome = "unknown"
)

// Reason states why a request was refused or aborted.
type Reason string

// Reasons.
const (
	NoVersion        Reason = "no-version"
	NoOrganisation   Reason = "no-organisation"
	NoRoute          Reason = "no-route"
	NoBackendServer  Reason = "no-backend-server"
	RateLimit        Reason = "rate-limit"
	ConcurrencyLimit Reason = "concurrency-limit"
	// Overload means that the request cannot be queued, would not be run in
	// time, or has to wait for an instance held by Retry-After.
	Overload Reason = "overload"
	// InstanceBusy means that the expected wait at an instance is longer than the
	// sender allows while it has other instances to try.
	InstanceBusy Reason = "instance-busy"
	// BackendServerLimited means that the rate limit that the backend server names
	// in its responses leaves no room for the request in time.
	BackendServerLimited Reason = "backend-server-limited"
	DeadlineExpired      Reason = "deadline-expired"
	InstanceLeaving      Reason = "instance-leaving"
	ConnectFailed        Reason = "connect-failed"
	ConnectionLost       Reason = "connection-lost"
	// BackendServerShed means that the backend server itself refused the request
	// without running it.
	BackendServerShed Reason = "backend-server-shed"
	// Evacuated means that all backend servers of the service are in evacuated
	// availability zones.
	Evacuated Reason = "evacuated"
	// DuplicateKey means that a request with the same idempotency key, or an
	// earlier arrival of the same request, may have been run or may still run.
	DuplicateKey Reason = "duplicate-key"
	// Quarantined means that the request is suspected of crashing backend
	// servers.
	Quarantined Reason = "quarantined"
	// Fenced means that the sender gave up on the request and had the instance
	// fence it, so that it is not run.
	Fenced Reason = "fenced"
	// Cancelled means that the sender disconnected before the request was run.
	Cancelled        Reason = "cancelled"
	MalformedRequest Reason = "malformed-request"
	// ClaimFailed means that too few of the proxies that store the caller's
	// idempotency key could be queried. It implies nothing about earlier
	// requests with the same key.
	ClaimFailed Reason = "claim-failed"
	// BackendServerCrashed means that the backend server crashed while it ran
	// the request.
	BackendServerCrashed Reason = "backend-server-crashed"
	// MalformedAnswer means that the bytes received are not a well-formed
	// response to the request.
	MalformedAnswer Reason = "malformed-answer"
	// OtherInstance means that the address now belongs to a different instance.
	OtherInstance Reason = "other-instance"
	// InstanceReplaced means the same, and that the proxy at the address knew it: the
	// backend server has not seen the request.
	InstanceReplaced Reason = "instance-replaced"
	// UpgradeUnsupported means that the caller requested an upgrade to another
	// protocol.
	UpgradeUnsupported Reason = "upgrade-unsupported"
	// BodyTooLarge means that the body exceeds the limit of the version in force.
	BodyTooLarge Reason = "body-too-large"
	// ClientLimit means that callers, or those at the address of this one, hold as much of
	// a proxy as they may.
	ClientLimit Reason = "client-limit"
)

// Refusal is the final response to a request that no backend server answered.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// RetryAfter is the time after which the caller may retry, 0 if it should
	// not retry.
	RetryAfter time.Duration `json:"retry_after_ns"`
	// LinkBusy means that the link of the instance's machine has no time for the
	// response. It concerns only requests with large responses.
	LinkBusy bool `json:"link_busy,omitempty"`
}
