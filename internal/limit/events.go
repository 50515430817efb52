// Package limit enforces the rate limits of organisations over the fleet without
// shared state.
//
// Each organisation has an owner among the live proxies, selected by rendezvous
// hashing. The owner holds the organisation's token bucket and grants its tokens
// to the proxies as batches of credits. A proxy decides with its local state
// alone, so that a request never waits for a message. Every credit comes from the
// bucket, which bounds what the fleet admits. A proxy that has no credits yet
// borrows a bounded number, and one that reaches no owner falls back to a static
// share of the limit.
//
// The package is a pure state machine: it does no I/O and reads no clock.
package limit

// Member is a proxy that may own organisations.
type Member struct {
	ID               string
	AvailabilityZone string
	// Address is where the proxy serves JSON-RPC 2.0 to other proxies.
	Address string
}

// CreditRequest asks for credits for one organisation and reports the demand
// for it.
type CreditRequest struct {
	Organisation string `json:"o"`
	// Limit is the organisation's limit for the whole fleet, in requests per
	// second, as of the configuration version Version.
	Limit   int    `json:"l"`
	Version uint64 `json:"v"`
	// Rate is the average rate at which the organisation's requests arrive at the
	// sender, per second.
	Rate float64 `json:"r"`
	// Debt counts requests that were admitted without credits and have not been
	// reported yet.
	Debt float64 `json:"d,omitempty"`
}

// Request asks an owner for credits.
type Request struct {
	From           string          `json:"from"`
	CreditRequests []CreditRequest `json:"asks"`
}

// Grant is the answer to a CreditRequest.
type Grant struct {
	Organisation string `json:"o"`
	// Credits is the number of requests that may be admitted.
	Credits float64 `json:"c"`
	// LifetimeMs is the lifetime of the credits, counted from the sending of
	// the CreditRequest.
	LifetimeMs int64 `json:"t"`
	// Scarce reports that demand exceeds the limit or that the bucket is empty.
	Scarce bool `json:"s,omitempty"`
	// RetryMs is the time to wait before another CreditRequest. While the limit
	// cannot meet the proxy's demand, an earlier one yields fewer credits.
	RetryMs int64 `json:"w,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Grants []Grant `json:"grants"`
}

// Event is an input of the state machine.
type Event interface{ limitEvent() }

// Events.
type (
	// Tick sends queued requests and removes idle state.
	Tick struct{}
	// MembersChanged is a new list of the proxies that are alive and ready, sorted
	// by ID. This proxy is missing from it while it is not ready itself.
	MembersChanged struct{ Members []Member }
	// VersionEnforced reports the configuration version that is now in force at
	// this proxy.
	VersionEnforced struct{ Version uint64 }
	// Received is a request from another proxy; the effect SendReply answers it.
	Received struct {
		Call    uint64
		Request Request
	}
	// Answered is the reply to the effect SendRequest with the same number.
	Answered struct {
		Number uint64
		Reply  Reply
	}
	// Failed reports that the effect SendRequest with the same number got no
	// reply.
	Failed struct{ Number uint64 }
)

func (Tick) limitEvent()            {}
func (MembersChanged) limitEvent()  {}
func (VersionEnforced) limitEvent() {}
func (Received) limitEvent()        {}
func (Answered) limitEvent()        {}
func (Failed) limitEvent()          {}

// Effect is an output of the state machine.
type Effect interface{ limitEffect() }

// Effects.
type (
	// SendRequest sends a request to an owner; the host reports Answered or
	// Failed.
	SendRequest struct {
		Number  uint64
		Address string
		Request Request
	}
	// SendReply answers the request with the same Call.
	SendReply struct {
		Call  uint64
		Reply Reply
	}
)

func (SendRequest) limitEffect() {}
func (SendReply) limitEffect()   {}
