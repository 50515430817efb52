package admission

import "time"

// Slots of the heaps that hold a request.
const (
	byOwnDeadline = iota
	byDeadline
)

// Slots of the heaps that hold a share.
const (
	byServed = iota
	byLength
)

// request is a request that waits or runs.
type request struct {
	Arrived
	share   *share
	claimed bool
	// late tells that the target can no longer be met.
	late    bool
	arrived time.Time
	started time.Time
	// charged is the slot time charged to the share at the start.
	charged   time.Duration
	positions [2]int
}

func (r *request) position(slot int) *int { return &r.positions[slot] }

// sooner orders the requests of one share: the higher priority first, then
// those that can still be in time for their target, then by that time. It
// answers overload: a request that is late already has lost most of its value,
// and must not make the next one late as well.
func sooner(a, b *request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.late != b.late {
		return b.late
	}
	if !a.due().Equal(b.due()) {
		return a.due().Before(b.due())
	}
	return a.ID < b.ID
}

// due is the time by which a request wants its answer.
func (r *request) due() time.Time {
	if r.late || r.Target.IsZero() {
		return r.Deadline
	}
	return r.Target
}

func earlier(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

// share is what one organisation has waiting and has been served.
type share struct {
	organisation string
	waiting      indexedHeap[*request]
	running      int
	// served is the slot time used, on the queue's virtual clock.
	served    time.Duration
	lastUsed  time.Time
	positions [2]int
}

func (s *share) position(slot int) *int { return &s.positions[slot] }

func lessServed(a, b *share) bool {
	if a.served != b.served {
		return a.served < b.served
	}
	return a.organisation < b.organisation
}

func longer(a, b *share) bool {
	if a.waiting.Len() != b.waiting.Len() {
		return a.waiting.Len() > b.waiting.Len()
	}
	return a.organisation < b.organisation
}

// fairQueue shares slot time equally among the organisations that wait. The
// organisation that was served least comes first, and of its requests the one
// with the earliest deadline. An organisation that was idle starts at the
// virtual clock, so that it cannot save up service.
type fairQueue struct {
	shares map[string]*share
	// active holds the shares with waiting requests.
	active    indexedHeap[*share]
	longest   indexedHeap[*share]
	deadlines indexedHeap[*request]
	clock     time.Duration
}

func newFairQueue() *fairQueue {
	return &fairQueue{
		shares:    make(map[string]*share),
		active:    indexedHeap[*share]{slot: byServed, less: lessServed},
		longest:   indexedHeap[*share]{slot: byLength, less: longer},
		deadlines: indexedHeap[*request]{slot: byDeadline, less: earlier},
	}
}

func (q *fairQueue) len() int { return q.deadlines.Len() }

// share returns the share of an organisation.
func (q *fairQueue) share(organisation string) *share {
	s, ok := q.shares[organisation]
	if !ok {
		s = &share{organisation: organisation}
		s.waiting = indexedHeap[*request]{slot: byOwnDeadline, less: sooner}
		q.shares[organisation] = s
	}
	return s
}

func (q *fairQueue) push(now time.Time, r *request) {
	s := r.share
	s.lastUsed = now
	s.waiting.add(r)
	q.deadlines.add(r)
	if s.waiting.Len() == 1 {
		s.served = max(s.served, q.clock)
		q.active.add(s)
		q.longest.add(s)
		return
	}
	q.longest.moved(s)
}

func (q *fairQueue) remove(r *request) {
	s := r.share
	s.waiting.remove(r)
	q.deadlines.remove(r)
	if s.waiting.Len() == 0 {
		q.active.remove(s)
		q.longest.remove(s)
		return
	}
	q.longest.moved(s)
}

// postpone marks a waiting request as late.
func (q *fairQueue) postpone(r *request) {
	r.late = true
	r.share.waiting.moved(r)
}

// before returns how many requests of the same share run before r would.
func (q *fairQueue) before(s *share, r *request) int {
	n := 0
	for _, w := range s.waiting.items {
		if sooner(w, r) {
			n++
		}
	}
	return n
}

// next returns the request that is to run next.
func (q *fairQueue) next() *request {
	return q.active.first().waiting.first()
}

// pop removes the request that is to run next and charges its organisation
// the expected slot time.
func (q *fairQueue) pop(now time.Time, expected time.Duration) *request {
	r := q.next()
	s := r.share
	q.clock = max(q.clock, s.served)
	q.remove(r)
	r.started = now
	r.charged = expected
	s.running++
	s.lastUsed = now
	q.charge(s, expected)
	return r
}

// ended replaces the expected slot time of a run by the true one.
func (q *fairQueue) ended(now time.Time, r *request) {
	r.share.running--
	r.share.lastUsed = now
	q.charge(r.share, now.Sub(r.started)-r.charged)
}

func (q *fairQueue) charge(s *share, d time.Duration) {
	s.served += d
	if s.waiting.Len() > 0 {
		q.active.moved(s)
	}
}

// victim returns a request that gives way to others: one of the last of the
// organisation that has most waiting.
func (q *fairQueue) victim() *request {
	return q.longest.first().waiting.last()
}

// forget drops the shares of organisations that were idle since then.
func (q *fairQueue) forget(since time.Time) {
	for name, s := range q.shares {
		if s.waiting.Len() == 0 && s.running == 0 && s.lastUsed.Before(since) {
			delete(q.shares, name)
		}
	}
}
