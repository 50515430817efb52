package dist

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"heatherlift.example/heatherlift/internal/member"
)

// Role is the part that an instance takes in the distribution.
type Role int

// Roles.
const (
	// Leaf holds its own scope and pulls from relays and readers.
	Leaf Role = iota
	// Relay holds every service and pulls from readers.
	Relay
	// Reader holds every service and reads the source.
	Reader
)

var roleNames = [...]string{"leaf", "relay", "reader"}

// String returns the role's name.
func (r Role) String() string {
	return roleNames[r]
}

const (
	readersPerZone = 2
	leavesPerRelay = 64
)

// ranking orders the eligible instances of a zone by rendezvous hashing.
// Two instances with the same view compute the same order; different views
// differ only by extra or missing holders, which is harmless.
func ranking(records []member.Record, zone string) []member.Record {
	var ranked []member.Record
	for _, r := range records {
		if r.AvailabilityZone == zone && r.State <= member.Leaving {
			ranked = append(ranked, r)
		}
	}
	slices.SortFunc(ranked, func(a, b member.Record) int {
		return cmp.Or(
			cmp.Compare(a.State, b.State),
			cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ranked
}

// holders returns the number of readers and relays of a zone with n instances.
func holders(n int) (readers, relays int) {
	readers = min(n, readersPerZone)
	if n > leavesPerRelay {
		relays = n / leavesPerRelay
	}
	return readers, relays
}

// roleOf returns the role of the instance at the given rank of n.
func roleOf(rank, n int) Role {
	readers, relays := holders(n)
	switch {
	case rank < 0:
		return Leaf
	case rank < readers:
		return Reader
	case rank < readers+relays:
		return Relay
	default:
		return Leaf
	}
}
