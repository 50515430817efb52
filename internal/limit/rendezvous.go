package limit

import "github.com/cespare/xxhash/v2"

// view is the list of live proxies with the hashes of their names.
type view struct {
	members []Member
	hashes  []uint64
	seq     uint64
}

func newView(members []Member, seq uint64) view {
	v := view{members: members, hashes: make([]uint64, len(members)), seq: seq}
	for i, m := range members {
		v.hashes[i] = xxhash.Sum64String(m.ID)
	}
	return v
}

// owners returns the proxy that owns the organisation and the one that stands
// in for it, in another availability zone where there is one.
func (v view) owners(org string) []Member {
	h := xxhash.Sum64String(org)
	first := v.highest(h, func(Member) bool { return true })
	if first < 0 {
		return nil
	}
	owner := v.members[first]
	second := v.highest(h, func(m Member) bool { return m.AvailabilityZone != owner.AvailabilityZone })
	if second < 0 {
		second = v.highest(h, func(m Member) bool { return m.ID != owner.ID })
	}
	if second < 0 {
		return []Member{owner}
	}
	return []Member{owner, v.members[second]}
}

// highest returns the index of the allowed member with the highest weight.
func (v view) highest(h uint64, allowed func(Member) bool) int {
	best, weight := -1, uint64(0)
	for i, m := range v.members {
		if !allowed(m) {
			continue
		}
		if w := mix(h ^ v.hashes[i]); best < 0 || w > weight {
			best, weight = i, w
		}
	}
	return best
}

// mix spreads the bits of a hash (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
