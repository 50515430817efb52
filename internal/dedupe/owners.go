package dedupe

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownersPerKey is the number of instances that hold the grants on a key.
const ownersPerKey = 3

// scoredPeer is the index of a peer and its rendezvous score for a key.
type scoredPeer struct {
	index int
	score uint64
}

// owners selects the owners of a key by rendezvous hashing: the peers with the
// highest scores, in distinct availability zones as far as possible. Leaving
// instances own keys only if all instances are leaving.
func owners(key string, peers []Peer) []Peer {
	chosen := make([]Peer, 0, ownersPerKey)
	var sameZone []Peer
	for _, r := range rank(key, peers) {
		p := peers[r.index]
		switch {
		case len(chosen) == ownersPerKey:
			return chosen
		case !slices.ContainsFunc(chosen, func(c Peer) bool { return c.AvailabilityZone == p.AvailabilityZone }):
			chosen = append(chosen, p)
		case len(sameZone) < ownersPerKey:
			sameZone = append(sameZone, p)
		}
	}
	return append(chosen, sameZone[:min(len(sameZone), ownersPerKey-len(chosen))]...)
}

// rank returns the peers that may own a key, the highest score first.
func rank(key string, peers []Peer) []scoredPeer {
	list := make([]scoredPeer, 0, len(peers))
	hash := xxhash.Sum64String(key)
	for _, leaving := range []bool{false, true} {
		if len(list) > 0 {
			break
		}
		for i, p := range peers {
			if p.Leaving == leaving {
				list = append(list, scoredPeer{index: i, score: mix(hash ^ xxhash.Sum64String(p.ID))})
			}
		}
	}
	slices.SortFunc(list, func(a, b scoredPeer) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(peers[a.index].ID, peers[b.index].ID))
	})
	return list
}

// mix is the 64-bit finaliser of MurmurHash3: each bit of x affects all bits of
// the result.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
