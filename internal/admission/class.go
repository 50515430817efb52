package admission

import (
	"slices"
	"time"
)

// guaranteedShareDivisor is the inverse of the share of slot time that a class gets
// while it waits, whatever more urgent ones want: at least a tenth. It suffices for
// ten classes that wait at once.
const guaranteedShareDivisor = 10

// class is the urgency of requests: by priority, and at the same priority calls of
// backend servers before new work, as the request that makes a call occupies a slot
// until the call has been answered.
type class struct {
	priority int
	newWork  bool
}

func (r *request) class() class { return class{priority: r.Priority, newWork: !r.Call} }

func (c class) moreUrgentThan(other class) bool {
	if c.priority != other.priority {
		return c.priority < other.priority
	}
	return !c.newWork && other.newWork
}

func compareClasses(a, b class) int {
	switch {
	case a.moreUrgentThan(b):
		return -1
	case b.moreUrgentThan(a):
		return 1
	default:
		return 0
	}
}

// classQueue holds the waiting requests of one class.
type classQueue struct {
	class class
	fairQueue
	// owed is the guaranteed share of the slot time that was charged to all classes
	// while this one waited, less what it got itself.
	owed time.Duration
	// late is the number of waiting requests that are late.
	late int
}

// priorityQueue holds all waiting requests. The most urgent class is served first,
// unless the guaranteed share of a less urgent one is due.
type priorityQueue struct {
	// classes is ordered by urgency, the most urgent one first.
	classes   []*classQueue
	deadlines indexedHeap[*request]
	// waitingOf is the number of waiting requests of each organisation.
	waitingOf map[string]int
}

func newPriorityQueue() *priorityQueue {
	return &priorityQueue{
		deadlines: indexedHeap[*request]{heapID: deadlineHeap, less: hasEarlierDeadline},
		waitingOf: make(map[string]int),
	}
}

func (q *priorityQueue) len() int { return q.deadlines.Len() }

// lenUpTo returns the number of waiting requests of a class and of more urgent ones.
func (q *priorityQueue) lenUpTo(c class) int {
	n := 0
	for _, queue := range q.classes {
		if !c.moreUrgentThan(queue.class) {
			n += queue.length
		}
	}
	return n
}

// find returns the index of a class, or where it belongs, and whether it exists.
func (q *priorityQueue) find(c class) (int, bool) {
	return slices.BinarySearchFunc(q.classes, c, func(queue *classQueue, c class) int { return compareClasses(queue.class, c) })
}

// queueOfClass returns the queue of a class. It is created if necessary.
func (q *priorityQueue) queueOfClass(c class) *classQueue {
	i, ok := q.find(c)
	if !ok {
		q.classes = slices.Insert(q.classes, i, &classQueue{class: c, fairQueue: newFairQueue()})
	}
	return q.classes[i]
}

func (q *priorityQueue) push(now time.Time, r *request) {
	queue := q.queueOfClass(r.class())
	r.queue = queue.queueOf(r.Organisation, queue)
	queue.push(now, r)
	q.deadlines.add(r)
	q.waitingOf[r.Organisation]++
}

func (q *priorityQueue) remove(r *request) {
	r.queue.class.remove(r)
	q.forget(r)
}

// forget updates the accounts of all classes after a request left its queue.
func (q *priorityQueue) forget(r *request) {
	if r.late {
		r.queue.class.late--
	}
	q.deadlines.remove(r)
	if q.waitingOf[r.Organisation]--; q.waitingOf[r.Organisation] == 0 {
		delete(q.waitingOf, r.Organisation)
	}
}

// markLate marks a waiting request as late and reorders its queue.
func (q *priorityQueue) markLate(r *request) {
	r.late = true
	r.queue.class.late++
	r.queue.waiting.fix(r)
}

// next returns the class to serve next: the one that is owed most if that covers a
// run of the expected length, or else the most urgent one.
func (q *priorityQueue) next(expected time.Duration) *classQueue {
	var first, due *classQueue
	for _, queue := range q.classes {
		switch {
		case queue.length == 0:
		case first == nil:
			first = queue
		case queue.owed > 0 && queue.owed >= expected && (due == nil || queue.owed > due.owed):
			due = queue
		}
	}
	if due != nil {
		return due
	}
	return first
}

// peek returns the request to run next, given the expected length of a run.
func (q *priorityQueue) peek(expected time.Duration) *request { return q.next(expected).peek() }

// pop removes the request to run next and charges its class and organisation the
// expected slot time.
func (q *priorityQueue) pop(now time.Time, expected time.Duration) *request {
	queue := q.next(expected)
	q.charge(queue, expected, expected)
	r := queue.pop(now, expected)
	q.forget(r)
	return r
}

// complete corrects the charge of a request from the expected to the actual slot
// time.
func (q *priorityQueue) complete(now time.Time, r *request) {
	actual := now.Sub(r.startedAt)
	q.charge(r.queue.class, actual-r.charged, actual)
	r.queue.class.complete(now, r)
}

// charge charges slot time to a class. What a class got beyond its guaranteed share
// counts against it only up to the length of one run, so that it is not kept waiting
// for the time in which no more urgent one wanted the slots.
func (q *priorityQueue) charge(charged *classQueue, d, run time.Duration) {
	for _, queue := range q.classes {
		if queue.length > 0 {
			queue.owed += d / guaranteedShareDivisor
		}
	}
	charged.owed = max(charged.owed-d, min(charged.owed, -run))
}

// evictionCandidate returns a request to drop when there are too many after one was
// added, of all organisations or only of that of the added one: a late one of the
// least urgent class that has any and is not more urgent than the added one, or else
// one of the last of the longest queue in the least urgent class.
func (q *priorityQueue) evictionCandidate(added *request, onlyOwn bool) *request {
	var last *request
	for _, class := range slices.Backward(q.classes) {
		queues := class.longest.items
		if onlyOwn {
			queues = class.queuesOf(added.Organisation)
		}
		if len(queues) == 0 {
			continue
		}
		if class.late > 0 && !class.class.moreUrgentThan(added.class()) {
			if r := firstLate(queues); r != nil {
				return r
			}
		}
		if last == nil {
			last = queues[0].waiting.last()
		}
	}
	return last
}

// queuesOf returns the queue of an organisation, if it has waiting requests.
func (q *classQueue) queuesOf(organisation string) []*organisationQueue {
	if own, ok := q.organisations[organisation]; ok && own.waiting.Len() > 0 {
		return []*organisationQueue{own}
	}
	return nil
}

// firstLate returns the oldest of the late requests in the queues, nil if there is
// none.
func firstLate(queues []*organisationQueue) *request {
	var oldest *request
	for _, queue := range queues {
		for _, r := range queue.waiting.items {
			if r.late && (oldest == nil || r.ID < oldest.ID) {
				oldest = r
			}
		}
	}
	return oldest
}

// ahead estimates how many waiting requests run before a new one of a class: those of
// its own class that count returns, all of more urgent classes, and those that run by
// the guaranteed shares of less urgent ones. The guaranteed share of its own class
// limits them.
func (q *priorityQueue) ahead(c class, count func(*classQueue) int) int {
	own, moreUrgent, guaranteed := 0, 0, 0
	for _, queue := range q.classes {
		switch {
		case queue.length == 0:
		case queue.class == c:
			own = count(queue)
		case queue.class.moreUrgentThan(c):
			moreUrgent += queue.length
		default:
			guaranteed++
		}
	}
	n := own + moreUrgent
	n += (n + 1) * guaranteed / max(1, guaranteedShareDivisor-guaranteed)
	return min(n, guaranteedShareDivisor*(own+1)-1)
}

// removeIdle removes organisations that have no requests and were last used before
// the given time, and classes without organisations.
func (q *priorityQueue) removeIdle(before time.Time) {
	for _, queue := range q.classes {
		queue.removeIdle(before)
	}
	q.classes = slices.DeleteFunc(q.classes, func(queue *classQueue) bool { return len(queue.organisations) == 0 })
}
