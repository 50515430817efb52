package limit

import "github.com/cespare/xxhash/v2"

// view is the list of proxies that may own organisations, with the hashes of
// their IDs.
type view struct {
	members []Member
	hashes  []uint64
	// seq differs between successive views.
	seq uint64
}

func newView(members []Member, seq uint64) view {
	v := view{members: members, hashes: make([]uint64, len(members)), seq: seq}
	for i, m := range members {
		v.hashes[i] = xxhash.Sum64String(m.ID)
	}
	return v
}

// owners returns the owner of the organisation and the backup owner, which is in
// another availability zone if there is one.
func (v view) owners(org string) []Member {
	h := xxhash.Sum64String(org)
	primary := v.highestWeight(h, func(Member) bool { return true })
	if primary < 0 {
		return nil
	}
	owner := v.members[primary]
	backup := v.highestWeight(h, func(m Member) bool { return m.AvailabilityZone != owner.AvailabilityZone })
	if backup < 0 {
		backup = v.highestWeight(h, func(m Member) bool { return m.ID != owner.ID })
	}
	if backup < 0 {
		return []Member{owner}
	}
	return []Member{owner, v.members[backup]}
}

// highestWeight returns the index of the allowed member with the highest weight, or
// -1 if none is allowed.
func (v view) highestWeight(h uint64, allowed func(Member) bool) int {
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

// mix is the finaliser of SplitMix64; it spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
