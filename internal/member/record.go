// Package member maintains the fleet's membership list with a gossip protocol:
// SWIM-style failure detection, dissemination of updates to a few neighbours,
// and anti-entropy between tables that differ. It is a pure state machine: it
// does no I/O and reads no clock; the host feeds it events and carries out the
// effects it returns.
package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/config"
)

// State is the membership state of an instance.
type State int

// States, in increasing order of precedence at equal Incarnation and Seq.
// Suspect and Partitioned are local to one proxy and never appear in a record
// that is sent.
const (
	Alive State = iota
	Leaving
	// Suspect is the state of an instance that answered neither direct nor
	// indirect probes.
	Suspect
	// Partitioned is the state of an instance that became unreachable together
	// with a large share of the fleet or of its availability zone.
	Partitioned
	Dead
)

var stateNames = [...]string{"alive", "leaving", "suspect", "partitioned", "dead"}

func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Record describes one instance. Only the instance itself raises Incarnation
// and Seq; other proxies may only raise State.
type Record struct {
	ID string `json:"id"`
	// Incarnation increases with each start of the process.
	Incarnation uint64 `json:"inc"`
	// Seq increases with each change that the instance makes to its record.
	Seq   uint64 `json:"seq"`
	State State  `json:"state"`

	// Region is empty in a single-region fleet.
	Region           string   `json:"region,omitempty"`
	AvailabilityZone string   `json:"zone"`
	Service          string   `json:"service"`
	Calls            []string `json:"calls,omitempty"`
	// PeerAddress is where the proxy serves JSON-RPC 2.0 to other proxies.
	PeerAddress string `json:"peer"`
	// ForwardAddress is where the proxy accepts requests that other proxies
	// forward to its backend server.
	ForwardAddress string `json:"forward"`
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int `json:"slots"`

	// Version is the configuration version that the instance holds, 0 before
	// the first. It is in force there once the instance is ready.
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root,omitempty"`
	// Refused is the highest configuration version that the instance refused
	// as a whole.
	Refused uint64 `json:"refused,omitempty"`
	// Ready reports that the instance accepts requests.
	Ready bool `json:"ready"`
	// SourceFailing reports that the instance cannot read the configuration
	// source while others can.
	SourceFailing bool `json:"source_failing,omitempty"`
}

// Scope returns the services whose configuration the instance needs: its own and
// those that it calls.
func (r Record) Scope() config.Scope {
	scope := config.NewScope(r.Calls...)
	if r.Service != "" {
		scope[r.Service] = true
	}
	return scope
}

// key identifies the instance and its incarnation in deltas, digests and
// suspicions.
func (r Record) key() uint64 {
	return hashPair(xxhash.Sum64String(r.ID), r.Incarnation)
}

// hash is the record's contribution to the hash of a table. Dead records
// contribute nothing, so that tables compare equal whether or not a dead record
// has been removed.
func (r Record) hash() uint64 {
	if r.State == Dead {
		return 0
	}
	return hashPair(r.key(), r.Seq<<1|uint64(r.State&1))
}

func hashPair(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// compare orders two records of one instance by precedence. The greater record
// replaces the lesser.
func compare(a, b Record) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.State, b.State),
	)
}
