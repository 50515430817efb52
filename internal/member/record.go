// Package member keeps the list of proxies by a gossip protocol. It is a pure
// state machine: it does no I/O and reads no clock; the host feeds it events
// and carries out the effects it returns.
package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/config"
)

// State is the state of an instance as other proxies see it.
type State int

// States, in the order in which they override each other at equal Seq. Suspect
// and Partitioned are conclusions of one proxy and never part of a record that
// is sent.
const (
	Alive State = iota
	Leaving
	// Suspect did not answer, neither directly nor through other peers.
	Suspect
	// Partitioned became unreachable together with a large share of the fleet.
	Partitioned
	Dead
)

var stateNames = [...]string{"alive", "leaving", "suspect", "partitioned", "dead"}

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

	// Region is empty in a fleet of one region.
	Region           string   `json:"region,omitempty"`
	AvailabilityZone string   `json:"zone"`
	Service          string   `json:"service"`
	Calls            []string `json:"calls,omitempty"`
	// PeerAddress serves jsonrpc2 to other proxies.
	PeerAddress string `json:"peer"`
	// ForwardAddress serves requests of other proxies.
	ForwardAddress string `json:"forward"`
	// Slots is the number of requests that the backend server runs at once.
	Slots int `json:"slots"`

	// Version is the version held by the instance, 0 before the first. It is
	// in force there once the instance is ready.
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root,omitempty"`
	// Refused is the highest version that the instance refused as a whole.
	Refused uint64 `json:"refused,omitempty"`
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

// key names the instance and its incarnation in compact messages.
func (r Record) key() uint64 {
	return mix(xxhash.Sum64String(r.ID), r.Incarnation)
}

// hash is the record's part in the hash of a table. Dead records have none, so
// that tables agree whether or not a dead record has been forgotten.
func (r Record) hash() uint64 {
	if r.State == Dead {
		return 0
	}
	return mix(r.key(), r.Seq<<1|uint64(r.State&1))
}

// mix hashes two numbers.
func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// compare orders two records of one instance by age.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
	)
}
