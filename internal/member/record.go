// Package member keeps the list of proxies by a gossip protocol. It is a pure
// state machine: it does no I/O and reads no clock; the host feeds it events
// and carries out the effects it returns.
package member

import (
	"cmp"

	"heatherlift.example/heatherlift/internal/config"
)

// State is the state of an instance as other proxies see it.
type State int

// States, in the order in which they override each other at equal Seq.
const (
	Alive State = iota
	Leaving
	Suspect
	Dead
)

var stateNames = [...]string{"alive", "leaving", "suspect", "dead"}

// String returns the state's name.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Record is what is known of one instance. Only the instance itself raises
// Incarnation and Seq; others may only raise State.
type Record struct {
	ID string `json:"id"`
	// Incarnation grows with each start of the process.
	Incarnation uint64 `json:"inc"`
	// Seq grows with each change that the instance makes to its record.
	Seq   uint64 `json:"seq"`
	State State  `json:"state"`

	AvailabilityZone string   `json:"zone"`
	Service          string   `json:"service"`
	Calls            []string `json:"calls,omitempty"`
	// PeerAddress serves jsonrpc2 to other proxies.
	PeerAddress string `json:"peer"`
	// ForwardAddress serves requests of other proxies.
	ForwardAddress string `json:"forward"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`

	// Version is the version in force at the instance, 0 before the first.
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root,omitempty"`
	// Ready reports that the instance takes requests.
	Ready bool `json:"ready"`
	// SourceFailing reports that the instance cannot read the configuration
	// source while others can.
	SourceFailing bool `json:"source_failing,omitempty"`
}

// Scope returns the services whose configuration the instance holds.
func (r Record) Scope() config.Scope {
	scope := config.NewScope(r.Calls...)
	if r.Service != "" {
		scope[r.Service] = true
	}
	return scope
}

// compare orders two records of one instance by age.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
	)
}

// Gossip is a message of the protocol and its answer.
type Gossip struct {
	From string `json:"from"`
	// Table is the hash of the sender's records.
	Table uint64 `json:"table"`
	// Records holds records that the receiver may not know.
	Records []Record `json:"records,omitempty"`
	// Pull asks the receiver for all its records.
	Pull bool `json:"pull,omitempty"`
}
