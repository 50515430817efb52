package dedupe

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownersPerKey is the number of instances that remember a key.
const ownersPerKey = 3

// ranked is a peer with its rank for a key.
type ranked struct {
	Peer
	score uint64
}

// owners returns the owners of a key by rendezvous hashing: those with the
// highest scores, each from another availability zone as far as possible.
// Leaving instances own keys only if there is no other.
func owners(key string, peers []Peer) []Peer {
	list := rank(key, peers)
	chosen := make([]Peer, 0, ownersPerKey)
	zones := make([]string, 0, ownersPerKey)
	var rest []Peer
	for _, p := range list {
		if len(chosen) == ownersPerKey {
			return chosen
		}
		if slices.Contains(zones, p.AvailabilityZone) {
			rest = append(rest, p.Peer)
			continue
		}
		zones = append(zones, p.AvailabilityZone)
		chosen = append(chosen, p.Peer)
	}
	return append(chosen, rest[:min(len(rest), ownersPerKey-len(chosen))]...)
}

// rank returns the candidates for a key, the highest score first.
func rank(key string, peers []Peer) []ranked {
	list := make([]ranked, 0, len(peers))
	for _, leaving := range []bool{false, true} {
		if len(list) > 0 {
			break
		}
		for _, p := range peers {
			if p.Leaving == leaving {
				list = append(list, ranked{Peer: p, score: xxhash.Sum64String(key + "\x00" + p.ID)})
			}
		}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	return list
}
