package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bucketCount is the number of buckets by which two tables are compared.
const bucketCount = 64

// entry is a record with what this proxy knows of the instance itself.
// Record.State is Alive, Leaving or Dead.
type entry struct {
	Record
	key uint64
	// point is the instance's place on the ring from which neighbours are chosen.
	point uint64
	// since is when the record became dead, or was marked partitioned.
	since time.Time
	// suspected is when the instance was first missed, zero if it is not.
	suspected   time.Time
	partitioned bool
	// listed and listedLeaving tell what the platform's list says; delisted
	// is when it left the list.
	listed, listedLeaving bool
	delisted              time.Time
	// heard is the last direct contact.
	heard time.Time
}

// state returns the instance's state as this proxy sees it.
func (e *entry) state() State {
	switch {
	case e.State == Dead:
		return Dead
	case e.partitioned:
		return Partitioned
	case !e.suspected.IsZero():
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

// view returns the record with the state as this proxy sees it.
func (e *entry) view() Record {
	r := e.Record
	r.State = e.state()
	return r
}

// table holds the entries with their hashes.
type table struct {
	byID  map[string]*entry
	byKey map[uint64]*entry
	// sorted holds the entries by ID.
	sorted  []*entry
	buckets [bucketCount]uint64
	// hash is the sum of all buckets.
	hash uint64
}

func newTable() table {
	return table{byID: make(map[string]*entry), byKey: make(map[uint64]*entry)}
}

// put inserts the record or replaces that of the same instance.
func (t *table) put(r Record) *entry {
	e, ok := t.byID[r.ID]
	if !ok {
		e = &entry{point: xxhash.Sum64String(r.ID)}
		t.byID[r.ID] = e
		i, _ := t.search(r.ID)
		t.sorted = slices.Insert(t.sorted, i, e)
	} else {
		t.count(e, -e.hash())
		delete(t.byKey, e.key)
	}
	e.Record = r
	e.key = r.key()
	t.byKey[e.key] = e
	t.count(e, e.hash())
	return e
}

func (t *table) remove(e *entry) {
	t.count(e, -e.hash())
	delete(t.byID, e.ID)
	delete(t.byKey, e.key)
	if i, ok := t.search(e.ID); ok {
		t.sorted = slices.Delete(t.sorted, i, i+1)
	}
}

func (t *table) search(id string) (int, bool) {
	return slices.BinarySearchFunc(t.sorted, id, func(e *entry, id string) int { return cmp.Compare(e.ID, id) })
}

// count adds to the hash of the entry's bucket.
func (t *table) count(e *entry, h uint64) {
	t.buckets[bucketOf(e.point)] += h
	t.hash += h
}

func bucketOf(point uint64) int {
	return int(point % bucketCount)
}
