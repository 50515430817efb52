// Package outcome names what became of a request. The names are part of the
// interface to callers and between proxies.
package outcome

import "time"

// Outcome tells whether a request was run.
type Outcome string

// Outcomes.
const (
	// Answered means that a backend server ran the request and its answer
	// was delivered.
	Answered Outcome = "answered"
	// NotRun means that no backend server ran the request. It is claimed
	// only if that is proven.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// Reason tells why a request was refused or given up.
type Reason string

// Reasons.
const (
	NoVersion       Reason = "no-version"
	NoOrganisation  Reason = "no-organisation"
	NoRoute         Reason = "no-route"
	NoBackendServer Reason = "no-backend-server"
	RateLimit       Reason = "rate-limit"
	Concurrency     Reason = "concurrency-limit"
	Overload        Reason = "overload"
	// Busy means that the wait at an instance is longer than the sender
	// accepts while it has other instances to turn to.
	Busy            Reason = "instance-busy"
	DeadlineExpired Reason = "deadline-expired"
	InstanceLeaving Reason = "instance-leaving"
	ConnectFailed   Reason = "connect-failed"
	ConnectionLost  Reason = "connection-lost"
	Shed            Reason = "backend-server-shed"
	Duplicate       Reason = "duplicate-key"
	Quarantined     Reason = "quarantined"
	Fenced          Reason = "fenced"
	Cancelled       Reason = "cancelled"
	Malformed       Reason = "malformed-request"
	// ClaimFailed tells that too few of the proxies that remember the
	// caller's key could be asked. It says nothing about earlier requests
	// with the same key.
	ClaimFailed Reason = "claim-failed"
	// Crashed tells that the backend server died while it ran the request.
	Crashed   Reason = "backend-server-crashed"
	BadAnswer Reason = "malformed-answer"
	// OtherInstance means that the address serves another instance now.
	OtherInstance Reason = "other-instance"
	// UpgradeUnsupported means that the caller asked for another protocol.
	UpgradeUnsupported Reason = "upgrade-unsupported"
)

// Refusal is the final answer to a request that was not answered by a backend
// server.
type Refusal struct {
	Outcome Outcome `json:"outcome"`
	Reason  Reason  `json:"reason"`
	// Status is the HTTP status code.
	Status int `json:"status"`
	// RetryAfter tells the caller when to come back; 0 if it should not.
	RetryAfter time.Duration `json:"retry_after_ns"`
}
