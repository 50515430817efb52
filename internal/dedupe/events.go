// Package dedupe lets a request with a caller's idempotency key run at most
// once, wherever it is sent again. Each key has owners among the instances of
// its service; before a request is run, a majority of them must grant it.
// Owners remember their grants for a window of time, in memory only.
//
// It is a pure state machine: it does no I/O and reads no clock.
package dedupe

import (
	"heatherlift.example/heatherlift/internal/outcome"
)

// Peer is an instance of the service, this one included.
type Peer struct {
	ID               string
	AvailabilityZone string
	// Address serves jsonrpc2 to other proxies.
	Address string
	Leaving bool
}

// Vote is an owner's answer to a claim.
type Vote string

// Votes.
const (
	// Granted means that no other request with the key is known.
	Granted Vote = "granted"
	// Seen means that another request with the key may have been run.
	Seen Vote = "seen"
	// Abstained means that the owner cannot know: it has just started, or
	// it has no room to remember the claim.
	Abstained Vote = "abstained"
)

// ClaimRequest asks an owner for a grant.
type ClaimRequest struct {
	// Key is the digest of organisation, service and key.
	Key string `json:"key"`
	// Request is unique in the fleet, the same for each attempt.
	Request string `json:"request"`
	// Holder names the claim.
	Holder string `json:"holder"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Vote Vote `json:"vote"`
	// Ran reports that the other request was run to its end.
	Ran bool `json:"ran,omitempty"`
}

// Settlement tells an owner what became of a claim.
type Settlement struct {
	Key    string `json:"key"`
	Holder string `json:"holder"`
	// Ran reports that the request may have been run.
	Ran bool `json:"ran"`
}

// SyncRequest asks a peer for its grants of the keys that the sender owns.
type SyncRequest struct {
	From string `json:"from"`
}

// SyncReply answers a SyncRequest.
type SyncReply struct {
	Grants []Grant `json:"grants"`
}

// Event is an input of the state machine.
type Event interface{ dedupeEvent() }

// Events.
type (
	// PeersChanged is a new view of the instances of the service.
	PeersChanged struct{ Peers []Peer }
	// Claim asks whether a request may be run; the effect Decided answers.
	Claim struct {
		ID           uint64
		Request      string
		Organisation string
		Key          string
	}
	// Settle follows a Claim whose request will not be run any more.
	Settle struct {
		ID  uint64
		Ran bool
	}
	// ClaimReceived is a peer's claim; the effect ReplyClaim answers it.
	ClaimReceived struct {
		Call    uint64
		Request ClaimRequest
	}
	// Settled is a peer's settlement.
	Settled struct{ Settlement Settlement }
	// SyncReceived is a peer's question; the effect ReplySync answers it.
	SyncReceived struct {
		Call    uint64
		Request SyncRequest
	}
	// ClaimAnswered is the result of the effect AskClaim.
	ClaimAnswered struct {
		ID   uint64
		From string
		// Holder is that of the claim that was answered.
		Holder string
		Failed bool
		Reply  ClaimReply
	}
	// SyncAnswered is the result of the effect AskSync.
	SyncAnswered struct {
		From   string
		Failed bool
		Reply  SyncReply
	}
	// Tick passes time.
	Tick struct{}
)

func (PeersChanged) dedupeEvent()  {}
func (Claim) dedupeEvent()         {}
func (Settle) dedupeEvent()        {}
func (ClaimReceived) dedupeEvent() {}
func (Settled) dedupeEvent()       {}
func (SyncReceived) dedupeEvent()  {}
func (ClaimAnswered) dedupeEvent() {}
func (SyncAnswered) dedupeEvent()  {}
func (Tick) dedupeEvent()          {}

// Effect is an output of the state machine.
type Effect interface{ dedupeEffect() }

// Effects.
type (
	// AskClaim sends a claim; the host reports ClaimAnswered.
	AskClaim struct {
		ID          uint64
		To, Address string
		Request     ClaimRequest
	}
	// AskSync sends a SyncRequest; the host reports SyncAnswered.
	AskSync struct {
		To, Address string
		Request     SyncRequest
	}
	// Tell sends a settlement; no answer comes.
	Tell struct {
		Address    string
		Settlement Settlement
	}
	// ReplyClaim answers the claim with the same Call.
	ReplyClaim struct {
		Call  uint64
		Reply ClaimReply
	}
	// ReplySync answers the question with the same Call.
	ReplySync struct {
		Call  uint64
		Reply SyncReply
	}
	// Decided answers the claim with the same ID.
	Decided struct {
		ID      uint64
		Granted bool
		// Refusal is the final answer if the claim was not granted.
		Refusal outcome.Refusal
	}
)

func (AskClaim) dedupeEffect()   {}
func (AskSync) dedupeEffect()    {}
func (Tell) dedupeEffect()       {}
func (ReplyClaim) dedupeEffect() {}
func (ReplySync) dedupeEffect()  {}
func (Decided) dedupeEffect()    {}
