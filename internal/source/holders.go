package source

import (
	"cmp"
	"slices"
)

// An address belongs to one backend server at a time, but the entries of the processes
// before it stay listed until they lapse. The entry that was created last holds the
// address, whatever service it names. The order of the store decides and not the start
// time in the entry: that is a reading of the backend server's own clock, which may step.

// firstWritten returns the position at which the entry was created, or that of its last
// change if the store does not name it.
func (e Entry) firstWritten() Position {
	if e.Created > 0 {
		return Position{e.Era, e.Created}
	}
	return e.Position()
}

// createdAfter reports whether the entry was created after another one with the same
// address.
func (e Entry) createdAfter(o Entry) bool {
	return cmp.Or(
		e.firstWritten().Compare(o.firstWritten()),
		cmp.Compare(e.Instance.Incarnation, o.Instance.Incarnation),
		cmp.Compare(e.ID, o.ID),
	) > 0
}

// updateHolders finds the entries that hold their addresses, and those that are superseded.
func (f *Follower) updateHolders() {
	holders := make(map[string]Entry, len(f.known))
	for _, e := range f.known {
		address := e.Instance.BackendAddress
		if h, ok := holders[address]; !ok || e.createdAfter(h) {
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
