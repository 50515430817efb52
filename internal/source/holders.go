package source

import (
	"cmp"
	"slices"
)

// An address belongs to one backend server at a time, but the entries of the processes
// before it stay listed until they lapse. The entry that was created last holds the
// address, whatever service it names. The order of the store decides and not the start
// time in the entry: that is a reading of the backend server's own clock, which may step.

// startedAt returns the revision at which the process of the entry first wrote it, given
// the entry that was known before: the creation, or the first revision seen if the store
// does not name that or if another process writes under the same identifier now.
func (e Entry) startedAt(known Entry) uint64 {
	switch {
	case known.Instance == nil || known.Era != e.Era:
		return cmp.Or(e.Created, e.Revision)
	case known.Instance.Incarnation != e.Instance.Incarnation:
		return e.Revision
	}
	return known.Created
}

// startedAfter reports whether the process of the entry started after that of another one
// with the same address.
func (e Entry) startedAfter(o Entry) bool {
	return cmp.Or(
		Position{e.Era, e.Created}.Compare(Position{o.Era, o.Created}),
		cmp.Compare(e.Instance.Incarnation, o.Instance.Incarnation),
		cmp.Compare(e.ID, o.ID),
	) > 0
}

// updateHolders finds the entries that hold their addresses, and those that are superseded.
func (f *Follower) updateHolders() {
	holders := make(map[string]Entry, len(f.known))
	for _, e := range f.known {
		address := e.Instance.BackendAddress
		if h, ok := holders[address]; !ok || e.startedAfter(h) {
			holders[address] = e
		}
	}
	clear(f.superseded)
	for _, e := range f.known {
		if address := e.Instance.BackendAddress; address != "" && holders[address].ID != e.ID {
			f.superseded[e.ID] = address
		}
	}
}

// Superseded returns the identifiers of the listed processes that ran at the address before
// the one that holds it, sorted.
func (f *Follower) Superseded(address string) []string {
	var ids []string
	for id, a := range f.superseded {
		if a == address {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isSuperseded reports whether another process holds the address of the entry.
func (f *Follower) isSuperseded(id string) bool {
	_, ok := f.superseded[id]
	return ok
}

// fleetSize returns the number of listed instances that hold their addresses.
func (f *Follower) fleetSize() int { return len(f.known) - len(f.superseded) }
