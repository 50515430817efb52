package admission

import (
	"cmp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// refuse gives a request that was not run its final answer.
func (a *Admission) refuse(now time.Time, r *request, reason outcome.Reason) {
	a.refuseWith(now, r, outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		Status:     refusalStatus(reason),
		RetryAfter: a.retryAfter(now),
	})
}

func (a *Admission) refuseWith(now time.Time, r *request, refusal outcome.Refusal) {
	a.counters.refused(refusal.Reason)
	a.settle(r, false)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceNotRun, 0)
	}
	a.emit(Refuse{ID: r.ID, Refusal: refusal})
}

// refuseKnown refuses a request that was fenced or has arrived before. What
// is known of the earlier arrival stays as it is.
func (a *Admission) refuseKnown(r *request, state FenceState) {
	refusal := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.Duplicate}
	if state == FenceFenced {
		refusal = outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Fenced, RetryAfter: minRetryAfter}
	}
	refusal.Status = refusalStatus(refusal.Reason)
	a.counters.refused(refusal.Reason)
	a.emit(Refuse{ID: r.ID, Refusal: refusal})
}

// settle ends the claim of a request.
func (a *Admission) settle(r *request, ran bool) {
	if r.claimed {
		r.claimed = false
		a.emit(Settled{ID: r.ID, Ran: ran})
	}
}

// refuseAll refuses every request that has not been run.
func (a *Admission) refuseAll(now time.Time) {
	for _, r := range sorted(a.pending) {
		delete(a.pending, r.ID)
		a.refuse(now, r, outcome.InstanceLeaving)
	}
	for _, r := range sorted(a.waiting) {
		a.drop(now, r, outcome.InstanceLeaving)
	}
}

func sorted(requests map[uint64]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, r := range requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// expire refuses waiting requests whose deadline has passed.
func (a *Admission) expire(now time.Time) {
	for a.queue.len() > 0 && !now.Before(a.queue.deadlines.first().Deadline) {
		a.drop(now, a.queue.deadlines.first(), outcome.DeadlineExpired)
	}
}

// hopeless reports whether a request would probably be cut at its deadline if
// it ran after the wait. While nothing runs every request is worth a try: it
// renews the estimate.
func (a *Admission) hopeless(now time.Time, r *request, wait time.Duration) bool {
	left := r.Deadline.Sub(now) - wait
	return len(a.running) > 0 && left < a.service.needed(r.Deadline.Sub(r.arrived))
}

// tooLate reports whether a new request would miss its deadline behind those
// that wait.
func (a *Admission) tooLate(now time.Time, r *request) bool {
	return a.hopeless(now, r, a.expectedWait(now, a.ahead(r.Organisation)))
}

// ahead estimates how many requests run before a new one of the organisation.
func (a *Admission) ahead(organisation string) int {
	own := 0
	if s, ok := a.queue.shares[organisation]; ok {
		own = s.waiting.Len()
	}
	return min(a.queue.len(), (own+1)*a.queue.active.Len())
}

// expectedWait returns the time until n waiting requests have got a slot.
func (a *Admission) expectedWait(now time.Time, n int) time.Duration {
	return a.service.mean * time.Duration(n) / time.Duration(max(1, a.limit(now)))
}

// retryAfter returns the time in which the queue is expected to empty.
func (a *Admission) retryAfter(now time.Time) time.Duration {
	return min(max(minRetryAfter, a.expectedWait(now, a.queue.len())), maxRetryAfter)
}
