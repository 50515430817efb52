package admission

import "time"

// IDs of the heaps that hold a request.
const (
	organisationHeap = iota
	deadlineHeap
)

// IDs of the heaps that hold an organisation's queue.
const (
	virtualTimeHeap = iota
	lengthHeap
)

// request is a request that waits or runs.
type request struct {
	Arrived
	queue     *organisationQueue
	claimOpen bool
	// late means that the target can no longer be met.
	late      bool
	arrivedAt time.Time
	startedAt time.Time
	// responded means that the header of the response has arrived, if that was reported.
	responded bool
	// namedLimit means that the response names a rate limit.
	namedLimit bool
	// charged is the slot time charged to the organisation at the start.
	charged   time.Duration
	positions [2]int
}

func (r *request) position(heapID int) *int { return &r.positions[heapID] }

// runsBefore orders the requests of one organisation: by class, then those that
// can still meet their target before late ones, then by target or deadline. Under
// overload, a request that is late has lost most of its value and must not make
// the next one late as well.
func runsBefore(a, b *request) bool {
	if a.class() != b.class() {
		return a.class().moreUrgentThan(b.class())
	}
	if a.late != b.late {
		return b.late
	}
	if !a.due().Equal(b.due()) {
		return a.due().Before(b.due())
	}
	return a.ID < b.ID
}

// due returns the target of a request, or its deadline if it has no target or
// cannot meet it.
func (r *request) due() time.Time {
	if r.late || r.Target.IsZero() {
		return r.Deadline
	}
	return r.Target
}

func hasEarlierDeadline(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}

// organisationQueue holds the waiting requests of one organisation in one class and
// accounts for the slot time that they used.
type organisationQueue struct {
	organisation string
	class        *classQueue
	waiting      indexedHeap[*request]
	running      int
	// virtualTime is the slot time charged to the organisation. When the
	// organisation becomes active, it is raised to the virtual clock.
	virtualTime time.Duration
	lastUsed    time.Time
	positions   [2]int
}

func (o *organisationQueue) position(heapID int) *int { return &o.positions[heapID] }

func hasLessVirtualTime(a, b *organisationQueue) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.organisation < b.organisation
}

func isLonger(a, b *organisationQueue) bool {
	if a.waiting.Len() != b.waiting.Len() {
		return a.waiting.Len() > b.waiting.Len()
	}
	return a.organisation < b.organisation
}

// fairQueue holds the waiting requests of one class. It shares slot time equally
// among the organisations with waiting requests, by fair queueing with virtual time.
// The organisation with the least virtual time
// is served first; runsBefore orders its requests. An organisation that becomes
// active starts at the virtual clock, so that it gains no credit while it is idle.
type fairQueue struct {
	organisations map[string]*organisationQueue
	// length is the number of waiting requests.
	length int
	// active and longest hold the organisations with waiting requests, by
	// virtual time and by queue length.
	active       indexedHeap[*organisationQueue]
	longest      indexedHeap[*organisationQueue]
	virtualClock time.Duration
}

func newFairQueue() fairQueue {
	return fairQueue{
		organisations: make(map[string]*organisationQueue),
		active:        indexedHeap[*organisationQueue]{heapID: virtualTimeHeap, less: hasLessVirtualTime},
		longest:       indexedHeap[*organisationQueue]{heapID: lengthHeap, less: isLonger},
	}
}

// queueOf returns the queue of an organisation. It is created for the class if
// necessary.
func (q *fairQueue) queueOf(organisation string, class *classQueue) *organisationQueue {
	queue, ok := q.organisations[organisation]
	if !ok {
		queue = &organisationQueue{organisation: organisation, class: class}
		queue.waiting = indexedHeap[*request]{heapID: organisationHeap, less: runsBefore}
		q.organisations[organisation] = queue
	}
	return queue
}

func (q *fairQueue) push(now time.Time, r *request) {
	queue := r.queue
	queue.lastUsed = now
	queue.waiting.add(r)
	q.length++
	if queue.waiting.Len() == 1 {
		queue.virtualTime = max(queue.virtualTime, q.virtualClock)
		q.active.add(queue)
		q.longest.add(queue)
		return
	}
	q.longest.fix(queue)
}

func (q *fairQueue) remove(r *request) {
	queue := r.queue
	queue.waiting.remove(r)
	q.length--
	if queue.waiting.Len() == 0 {
		q.active.remove(queue)
		q.longest.remove(queue)
		return
	}
	q.longest.fix(queue)
}

// countBefore estimates how many waiting requests of the class would run before r,
// which does not wait yet: those of its organisation that are ordered before it, and
// as many of each other one.
func (q *fairQueue) countBefore(r *request) int {
	queue, ok := q.organisations[r.Organisation]
	if !ok {
		return 0
	}
	n := 0
	for _, waiting := range queue.waiting.items {
		if runsBefore(waiting, r) {
			n++
		}
	}
	return min(q.length, n*q.active.Len())
}

// peek returns the request to run next.
func (q *fairQueue) peek() *request {
	return q.active.top().waiting.top()
}

// pop removes the request to run next and charges its organisation the expected
// slot time.
func (q *fairQueue) pop(now time.Time, expected time.Duration) *request {
	r := q.peek()
	queue := r.queue
	q.virtualClock = max(q.virtualClock, queue.virtualTime)
	q.remove(r)
	r.startedAt = now
	r.charged = expected
	queue.running++
	queue.lastUsed = now
	q.charge(queue, expected)
	return r
}

// complete corrects the charge of a request from the expected to the actual slot
// time.
func (q *fairQueue) complete(now time.Time, r *request) {
	r.queue.running--
	r.queue.lastUsed = now
	q.charge(r.queue, now.Sub(r.startedAt)-r.charged)
}

func (q *fairQueue) charge(queue *organisationQueue, d time.Duration) {
	queue.virtualTime += d
	if queue.waiting.Len() > 0 {
		q.active.fix(queue)
	}
}

// aheadOf estimates how many waiting requests run before a new one of the
// organisation.
func (q *fairQueue) aheadOf(organisation string) int {
	own := 0
	if queue, ok := q.organisations[organisation]; ok {
		own = queue.waiting.Len()
	}
	return min(q.length, (own+1)*q.active.Len())
}

// removeIdle removes organisations that have no requests and were last used before
// the given time.
func (q *fairQueue) removeIdle(before time.Time) {
	for name, queue := range q.organisations {
		if queue.waiting.Len() == 0 && queue.running == 0 && queue.lastUsed.Before(before) {
			delete(q.organisations, name)
		}
	}
}
