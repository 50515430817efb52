package dedupe

import (
	"slices"
	"time"
)

// maxViews bounds the former views that are kept.
const maxViews = 128

// view is a former set of peers.
type view struct {
	peers []Peer
	until time.Time
}

// views holds the present set of peers and those of the last window.
type views struct {
	window  time.Duration
	current []Peer
	former  []view
	// lost is the end of the youngest view that was dropped too early.
	lost time.Time
}

// change puts a new set of peers in force, and reports whether one has gone or
// is leaving. The old set is kept if record is set.
func (v *views) change(now time.Time, peers []Peer, record bool) (gone bool) {
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
	gone = slices.ContainsFunc(v.current, func(p Peer) bool { return !slices.Contains(peers, p) })
	if record && len(v.current) > 0 {
		v.former = append(v.former, view{peers: v.current, until: now})
	}
	v.current = peers
	v.expire(now)
	if len(v.former) > maxViews {
		v.lost = v.former[0].until
		v.former = v.former[1:]
	}
	return gone
}

func (v *views) expire(now time.Time) {
	for len(v.former) > 0 && now.Sub(v.former[0].until) > v.window {
		v.former = v.former[1:]
	}
}

// complete reports whether all views of the last window are known.
func (v *views) complete(now time.Time) bool {
	return v.lost.IsZero() || now.Sub(v.lost) > v.window
}

// live returns the peer with the identifier, if it is in the present view.
func (v *views) live(id string) (Peer, bool) {
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

// quorums returns the distinct sets of owners of a key, by identifier.
func (v *views) quorums(key string) [][]string {
	sets := [][]string{identifiers(owners(key, v.current))}
	for _, former := range v.former {
		set := identifiers(owners(key, former.peers))
		if !slices.ContainsFunc(sets, func(s []string) bool { return slices.Equal(s, set) }) {
			sets = append(sets, set)
		}
	}
	return sets
}

func identifiers(peers []Peer) []string {
	ids := make([]string, len(peers))
	for i, p := range peers {
		ids[i] = p.ID
	}
	slices.Sort(ids)
	return ids
}
