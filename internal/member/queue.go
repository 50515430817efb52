package member

import (
	"math/bits"
	"slices"
	"time"
)

// Costs of an update in a message, in units of one delta.
const (
	deltaCost          = 1
	recordCost         = 8
	rumourCost         = 2
	rumourBytesPerUnit = 32
)

// Budgets for the updates in one message, in the same units.
const (
	pushBudget  = 256
	roundBudget = 64
)

// update is a change queued for dissemination. Exactly one of entry, suspect and
// rumour is set.
type update struct {
	entry   *entry
	suspect *entry
	rumour  *heldRumour
	// full sends the full record instead of a delta.
	full bool
	// urgent marks an update that has yet to be pushed, before the next round.
	urgent    bool
	sendCount int
	dropped   bool
}

func (u *update) cost() int {
	switch {
	case u.rumour != nil:
		return rumourCost + u.rumour.size()/rumourBytesPerUnit
	case u.full:
		return recordCost
	default:
		return deltaCost
	}
}

// subject identifies what an update is about. A newer update of the same subject
// replaces an older one.
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

// queue holds the updates to disseminate, oldest first.
type queue struct {
	updates   []*update
	bySubject map[subject]*update
	// urgent is the number of urgent updates.
	urgent int
}

func newQueue() queue {
	return queue{bySubject: make(map[subject]*update)}
}

// add appends an update and drops an older one of the same subject. The update
// sends the full record if the older one had yet to send it.
func (q *queue) add(u *update) {
	s := u.subject()
	if old, ok := q.bySubject[s]; ok {
		u.full = u.full || old.full && old.sendCount == 0
		q.drop(old)
	}
	q.bySubject[s] = u
	q.updates = append(q.updates, u)
	if u.urgent {
		q.urgent++
	}
}

// drop marks an update as dropped. take and dropSynced remove it from the slice.
func (q *queue) drop(u *update) {
	if u.urgent {
		u.urgent = false
		q.urgent--
	}
	u.dropped = true
	delete(q.bySubject, u.subject())
}

// take returns updates within the budget, newest first, and counts each as sent
// copies times. Updates that have been sent limit times are dropped. If urgentOnly
// is set, it takes only urgent updates and marks them as pushed.
func (q *queue) take(budget, copies, limit int, urgentOnly bool) []*update {
	var taken []*update
	for _, u := range slices.Backward(q.updates) {
		if u.dropped || urgentOnly && !u.urgent {
			continue
		}
		if budget -= u.cost(); budget < 0 {
			break
		}
		taken = append(taken, u)
		q.recordSent(u, copies, limit, urgentOnly)
	}
	q.compact()
	return taken
}

func (q *queue) recordSent(u *update, copies, limit int, pushed bool) {
	u.sendCount += copies
	if u.urgent && pushed {
		u.urgent = false
		q.urgent--
	}
	if u.sendCount >= limit && !u.urgent {
		q.drop(u)
	}
}

func (q *queue) compact() {
	q.updates = slices.DeleteFunc(q.updates, func(u *update) bool { return u.dropped })
}

// dropSynced drops the updates that are known everywhere when all tables are
// equal. Urgent ones have yet to be pushed, and suspicions are not part of the
// table hash and expire by age, so both stay.
func (q *queue) dropSynced() {
	for _, u := range q.updates {
		if !u.urgent && !u.dropped && u.suspect == nil {
			q.drop(u)
		}
	}
	q.compact()
}

// sendLimit returns how many times each instance sends an update in a fleet of n
// instances. It grows with the logarithm of n.
func sendLimit(n int) int {
	return pushFanout + bits.Len(uint(n))
}

// addUpdates adds the updates to a message.
func (m *Members) addUpdates(now time.Time, g *Gossip, updates []*update) {
	for _, u := range updates {
		switch {
		case u.rumour != nil:
			if r := u.rumour.withRemainingTTL(now); r.TTL > 0 {
				g.Rumours = append(g.Rumours, r)
			}
		case u.suspect != nil:
			m.addSuspicion(now, g, u.suspect)
		case u.full:
			g.Records = append(g.Records, u.entry.Record)
		default:
			g.addDelta(u.entry.Record)
		}
	}
}
