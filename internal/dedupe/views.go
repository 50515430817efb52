package dedupe

import (
	"slices"
	"time"
)

// maxFormerViews bounds the former views that are kept. Dropping a view within the
// window makes all claims fail until the window has passed.
const maxFormerViews = 128

// formerView is a set of peers that has been replaced.
type formerView struct {
	peers      []Peer
	replacedAt time.Time
}

// views holds the current set of peers and the sets replaced within the window.
type views struct {
	window  time.Duration
	current []Peer
	former  []formerView
	// truncatedAt is the replacement time of the latest view that was dropped
	// within the window, because of maxFormerViews.
	truncatedAt time.Time
}

// update makes a new set of peers current. It reports whether a peer of the old
// set is missing from the new one or has changed, for example to leaving. The old
// set is kept as a former view if keepFormer is set.
func (v *views) update(now time.Time, peers []Peer, keepFormer bool) (removedOrChanged bool) {
	peers = slices.Clone(peers)
	slices.SortFunc(peers, func(a, b Peer) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if slices.Equal(peers, v.current) {
		return false
	}
	removedOrChanged = slices.ContainsFunc(v.current, func(p Peer) bool { return !slices.Contains(peers, p) })
	if keepFormer && len(v.current) > 0 {
		v.former = append(v.former, formerView{peers: v.current, replacedAt: now})
	}
	v.current = peers
	v.expire(now)
	if len(v.former) > maxFormerViews {
		v.truncatedAt = v.former[0].replacedAt
		v.former = v.former[1:]
	}
	return removedOrChanged
}

func (v *views) expire(now time.Time) {
	for len(v.former) > 0 && now.Sub(v.former[0].replacedAt) > v.window {
		v.former = v.former[1:]
	}
}

// complete reports whether all views of the window are still known.
func (v *views) complete(now time.Time) bool {
	return v.truncatedAt.IsZero() || now.Sub(v.truncatedAt) > v.window
}

// lookup returns the peer with the ID if it is in the current view.
func (v *views) lookup(id string) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.current, id, func(p Peer, id string) int {
		switch {
		case p.ID < id:
			return -1
		case p.ID > id:
			return 1
		}
		return 0
	})
	if !ok {
		return Peer{}, false
	}
	return v.current[i], true
}

// ownerSets returns the distinct owner sets of a key in the current and the former
// views, as sorted peer IDs.
func (v *views) ownerSets(key string) [][]string {
	sets := [][]string{peerIDs(owners(key, v.current))}
	for _, former := range v.former {
		set := peerIDs(owners(key, former.peers))
		if !slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) }) {
			sets = append(sets, set)
		}
	}
	return sets
}

func peerIDs(peers []Peer) []string {
	ids := make([]string, len(peers))
	for i, p := range peers {
		ids[i] = p.ID
	}
	slices.Sort(ids)
	return ids
}
