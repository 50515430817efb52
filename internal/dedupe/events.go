// Package dedupe makes a request with an idempotency key run at most once,
// whichever instances its retries reach. Each key has owners among the instances
// of its service, and a majority of them must grant a claim on the key before
// the request runs. Owners keep their grants for a limited time, in memory only.
//
// The package is a pure state machine: it does no I/O and reads no clock; the
// host feeds it events and carries out the effects it returns.
package dedupe

import (
	"heatherlift.example/heatherlift/internal/outcome"
)

// Peer is an instance of the service. A list of peers includes the local instance.
type Peer struct {
	ID               string
	AvailabilityZone string
	// Address is where the instance serves JSON-RPC 2.0 to other proxies.
	Address string
	Leaving bool
}

// Vote is an owner's answer to a claim.
type Vote string

// Votes.
const (
	// Granted means that the owner knows of no other request with the key.
	Granted Vote = "granted"
	// Denied means that the key is claimed by another request, or that a request
	// with the key may have run.
	Denied Vote = "seen"
	// Abstained means that the owner cannot decide: it has not read its
	// peers' grants since its start, or has no room for another key.
	Abstained Vote = "abstained"
)

// ClaimRequest asks an owner to grant a claim.
type ClaimRequest struct {
	// Key is the digest of the organisation, the service and the idempotency key.
	Key string `json:"key"`
	// Request identifies the request. It is unique in the fleet and the same
	// for each attempt.
	Request string `json:"request"`
	// Holder identifies the claim that holds the grant. A claim that has released
	// its grants is retried with a new Holder.
	Holder string `json:"holder"`
}

// ClaimReply answers a ClaimRequest.
type ClaimReply struct {
	Vote Vote `json:"vote"`
	// Ran reports that a request with the key may have run.
	Ran bool `json:"ran,omitempty"`
}

// Settlement tells an owner that a claim has ended, or that it has released its
// grants before a retry.
type Settlement struct {
	Key    string `json:"key"`
	Holder string `json:"holder"`
	// Ran reports that the request may have run. Otherwise the owner releases the
	// grant of Holder.
	Ran bool `json:"ran"`
}

// SyncRequest asks a peer for its grants on the keys that the sender owns.
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
	// PeersChanged reports a new set of instances of the service.
	PeersChanged struct{ Peers []Peer }
	// Claim asks whether a request to the local instance may run; the effect
	// Decided answers it.
	Claim struct {
		ID           uint64
		Request      string
		Organisation string
		Key          string
	}
	// Settle ends the local Claim with the same ID: its request has ended or is
	// not going to run. Ran reports that it may have run.
	Settle struct {
		ID  uint64
		Ran bool
	}
	// ClaimReceived is a claim of a peer; the effect ReplyClaim answers it.
	ClaimReceived struct {
		Call    uint64
		Request ClaimRequest
	}
	// Settled is a Settlement received from a peer, about a claim of that peer.
	Settled struct{ Settlement Settlement }
	// SyncReceived is a sync request of a peer; the effect ReplySync answers
	// it.
	SyncReceived struct {
		Call    uint64
		Request SyncRequest
	}
	// ClaimAnswered is the result of the effect SendClaim.
	ClaimAnswered struct {
		ID   uint64
		From string
		// Holder is that of the answered request. An answer to an earlier
		// Holder of the claim is ignored.
		Holder string
		Failed bool
		Reply  ClaimReply
	}
	// SyncAnswered is the result of the effect SendSyncRequest.
	SyncAnswered struct {
		From   string
		Failed bool
		Reply  SyncReply
	}
	// Tick drives timeouts, retries and expiry.
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
	// SendClaim sends a claim to an owner; the host reports ClaimAnswered.
	SendClaim struct {
		ID          uint64
		To, Address string
		Request     ClaimRequest
	}
	// SendSyncRequest sends a SyncRequest to a peer; the host reports
	// SyncAnswered.
	SendSyncRequest struct {
		To, Address string
		Request     SyncRequest
	}
	// SendSettlement sends a Settlement to an owner; the host reports no
	// result.
	SendSettlement struct {
		Address    string
		Settlement Settlement
	}
	// ReplyClaim answers the claim with the same Call.
	ReplyClaim struct {
		Call  uint64
		Reply ClaimReply
	}
	// ReplySync answers the sync request with the same Call.
	ReplySync struct {
		Call  uint64
		Reply SyncReply
	}
	// Decided answers the claim with the same ID.
	Decided struct {
		ID      uint64
		Granted bool
		// Refusal is the final answer to the caller if the claim was not
		// granted.
		Refusal outcome.Refusal
	}
)

func (SendClaim) dedupeEffect()       {}
func (SendSyncRequest) dedupeEffect() {}
func (SendSettlement) dedupeEffect()  {}
func (ReplyClaim) dedupeEffect()      {}
func (ReplySync) dedupeEffect()       {}
func (Decided) dedupeEffect()         {}
