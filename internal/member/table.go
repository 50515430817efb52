package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of hash buckets by which anti-entropy compares two
// tables.
const bucketCount = 64

// entry is a record and this proxy's local observations of the instance.
// Record.State is Alive, Leaving or Dead; state adds the local observations.
type entry struct {
	Record
	key uint64
	// point is the instance's position on the hash ring from which neighbours
	// are selected.
	point uint64
	// stateSince is when the instance was added, or became dead or partitioned.
	stateSince time.Time
	// suspectedAt is when the current suspicion began, zero without one.
	suspectedAt time.Time
	partitioned bool
	// listed and listedLeaving report whether the platform's instance list
	// names the instance and marks it as leaving. delistedAt is when the
	// instance disappeared from the list, zero if it has not.
	listed, listedLeaving bool
	delistedAt            time.Time
	// lastHeard is when a message or answer of the instance itself last arrived.
	lastHeard time.Time
}

// state returns the instance's state as this proxy sees it, which may be Suspect
// or Partitioned.
func (e *entry) state() State {
	switch {
	case e.State == Dead:
		return Dead
	case e.partitioned:
		return Partitioned
	case !e.suspectedAt.IsZero():
		return Suspect
	case e.listedLeaving:
		return Leaving
	default:
		return e.State
	}
}

func (e *entry) live() bool {
	return e.state() <= Leaving
}

// view returns the record with the state that this proxy sees.
func (e *entry) view() Record {
	r := e.Record
	r.State = e.state()
	return r
}

// table holds the entries and the hashes by which tables are compared.
type table struct {
	byID  map[string]*entry
	byKey map[uint64]*entry
	// sorted holds the entries in order of ID.
	sorted  []*entry
	buckets [bucketCount]uint64
	// hash is the sum of all buckets.
	hash uint64
}

func newTable() table {
	return table{byID: make(map[string]*entry), byKey: make(map[uint64]*entry)}
}

// put inserts a record or replaces the record of the same instance.
func (t *table) put(r Record) *entry {
	e, ok := t.byID[r.ID]
	if !ok {
		e = &entry{point: xxhash.Sum64String(r.ID)}
		t.byID[r.ID] = e
		i, _ := t.search(r.ID)
		t.sorted = slices.Insert(t.sorted, i, e)
	} else {
		t.addHash(e, -e.hash())
		delete(t.byKey, e.key)
	}
	e.Record = r
	e.key = r.key()
	t.byKey[e.key] = e
	t.addHash(e, e.hash())
	return e
}

func (t *table) remove(e *entry) {
	t.addHash(e, -e.hash())
	delete(t.byID, e.ID)
	delete(t.byKey, e.key)
	if i, ok := t.search(e.ID); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

func (t *table) search(id string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(e *entry, id string) int { return cmp.Compare(e.ID, id) })
}

// addHash adds h to the hashes of the entry's bucket and of the table.
func (t *table) addHash(e *entry, h uint64) {
	t.buckets[bucketOf(e.point)] += h
	t.hash += h
}

func bucketOf(point uint64) int {
	return int(point % bucketCount)
}
