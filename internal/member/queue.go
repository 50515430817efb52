package member

import (
	"math/bits"
	"slices"
	"time"
)

// Costs of an update in a message, in units of a compact change of a record.
const (
	beatCost          = 1
	recordCost        = 8
	rumourCost        = 2
	rumourBytesPerOne = 32
)

// Budgets of a message, in the same units.
const (
	pushBudget  = 256
	roundBudget = 64
)

// update is news that waits to be sent. Exactly one of entry, suspect and
// rumour is set.
type update struct {
	entry   *entry
	suspect *entry
	rumour  *heldRumour
	// whole sends the whole record.
	whole bool
	// hot news is pushed before the next round.
	hot  bool
	sent int
	gone bool
}

func (u *update) cost() int {
	switch {
	case u.rumour != nil:
		return rumourCost + u.rumour.size()/rumourBytesPerOne
	case u.whole:
		return recordCost
	default:
		return beatCost
	}
}

// subject identifies what an update is about; a newer update replaces it.
type subject struct {
	suspicion bool
	id        string
	rumour    string
}

func (u *update) subject() subject {
	switch {
	case u.rumour != nil:
		return subject{rumour: u.rumour.Key}
	case u.suspect != nil:
		return subject{suspicion: true, id: u.suspect.ID}
	default:
		return subject{id: u.entry.ID}
	}
}

// queue holds updates, oldest first.
type queue struct {
	updates   []*update
	bySubject map[subject]*update
	// hot counts the hot updates.
	hot int
}

func newQueue() queue {
	return queue{bySubject: make(map[subject]*update)}
}

// add appends an update and drops an older one of the same subject.
func (q *queue) add(u *update) {
	s := u.subject()
	if old, ok := q.bySubject[s]; ok {
		u.whole = u.whole || old.whole && old.sent == 0
		q.drop(old)
	}
	q.bySubject[s] = u
	q.updates = append(q.updates, u)
	if u.hot {
		q.hot++
	}
}

// drop marks an update as gone; take and settle remove it.
func (q *queue) drop(u *update) {
	if u.hot {
		u.hot = false
		q.hot--
	}
	u.gone = true
	delete(q.bySubject, u.subject())
}

// take returns updates within the budget, newest first, each counted as sent
// copies times; those sent often enough are dropped.
func (q *queue) take(budget, copies, limit int, hotOnly bool) []*update {
	var taken []*update
	for _, u := range slices.Backward(q.updates) {
		if u.gone || hotOnly && !u.hot {
			continue
		}
		if budget -= u.cost(); budget < 0 {
			break
		}
		taken = append(taken, u)
		q.sent(u, copies, limit, hotOnly)
	}
	q.compact()
	return taken
}

func (q *queue) sent(u *update, copies, limit int, pushed bool) {
	u.sent += copies
	if u.hot && pushed {
		u.hot = false
		q.hot--
	}
	if u.sent >= limit && !u.hot {
		q.drop(u)
	}
}

func (q *queue) compact() {
	q.updates = slices.DeleteFunc(q.updates, func(u *update) bool { return u.gone })
}

// settle drops what has been pushed already and is covered by the hashes of
// tables. Suspicions are not; they end by age.
func (q *queue) settle() {
	for _, u := range q.updates {
		if !u.hot && !u.gone && u.suspect == nil {
			q.drop(u)
		}
	}
	q.compact()
}

// sendLimit is how often an update is sent in a fleet of n instances.
func sendLimit(n int) int {
	return pushFanout + bits.Len(uint(n))
}

// fill adds updates to a message.
func (m *Members) fill(now time.Time, g *Gossip, updates []*update) {
	for _, u := range updates {
		switch {
		case u.rumour != nil:
			if r := u.rumour.remaining(now); r.TTL > 0 {
				g.Rumours = append(g.Rumours, r)
			}
		case u.suspect != nil:
			m.addSuspicion(now, g, u.suspect)
		case u.whole:
			g.Records = append(g.Records, u.entry.Record)
		default:
			g.addBeat(u.entry.Record)
		}
	}
}
