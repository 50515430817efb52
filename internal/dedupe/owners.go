package dedupe

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownersPerKey is the number of instances that remember a key.
const ownersPerKey = 3

// ranked is the index of a peer with its score for a key.
type ranked struct {
	index int
	score uint64
}

// owners returns the owners of a key by rendezvous hashing: those with the
// highest scores, each from another availability zone as far as possible.
// Leaving instances own keys only if there is no other.
func owners(key string, peers []Peer) []Peer {
	chosen := make([]Peer, 0, ownersPerKey)
	var rest []Peer
	for _, r := range rank(key, peers) {
		p := peers[r.index]
		switch {
		case len(chosen) == ownersPerKey:
			return chosen
		case !slices.ContainsFunc(chosen, func(c Peer) bool { return c.AvailabilityZone == p.AvailabilityZone }):
			chosen = append(chosen, p)
		case len(rest) < ownersPerKey:
			rest = append(rest, p)
		}
	}
	return append(chosen, rest[:min(len(rest), ownersPerKey-len(chosen))]...)
}

// rank returns the candidates for a key, the highest score first.
func rank(key string, peers []Peer) []ranked {
	list := make([]ranked, 0, len(peers))
	hash := xxhash.Sum64String(key)
	for _, leaving := range []bool{false, true} {
		if len(list) > 0 {
			break
		}
		for i, p := range peers {
			if p.Leaving == leaving {
				list = append(list, ranked{index: i, score: mix(hash ^ xxhash.Sum64String(p.ID))})
			}
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(peers[a.index].ID, peers[b.index].ID))
	})
	return list
}

// mix spreads each bit of x over all bits of the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
