package admission

import (
	"cmp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// slowRunFactor is the multiple of a route's mean service time above which a
// running request counts as slow. On a healthy backend server few requests exceed
// it: about one in a hundred takes three to five times the mean.
const slowRunFactor = 3

// A stall needs slow requests in at least 1/minSlowSlotsDivisor of the slots: one
// or two long requests on a lightly loaded backend server are no sign of a stall.
const minSlowSlotsDivisor = 3

// refuse refuses a request that was not run.
func (a *Admission) refuse(now time.Time, r *request, reason outcome.Reason) {
	retryAfter := a.retryAfter(now)
	if reason == outcome.BackendServerLimited && r.Patience == 0 {
		retryAfter = min(max(retryAfter, a.rate.promise(now, a.queue.len())), maxRetryAfter)
	}
	a.refuseWith(now, r, outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     reason,
		Status:     refusalStatus(reason),
		RetryAfter: retryAfter,
	})
}

// refuseWith sends the refusal of a request that was not run and closes its claim.
func (a *Admission) refuseWith(now time.Time, r *request, refusal outcome.Refusal) {
	a.counters.countRefusal(refusal.Reason)
	a.closeClaim(r, false)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceNotRun, 0)
	}
	a.emit(Refuse{ID: r.ID, Refusal: refusal})
}

// refuseDuplicate refuses a request that was fenced or has arrived before. The
// table entry of the earlier arrival is not changed.
func (a *Admission) refuseDuplicate(r *request, state FenceState) {
	refusal := outcome.Refusal{Outcome: outcome.Unknown, Reason: outcome.DuplicateKey}
	if state == FenceFenced {
		refusal = outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Fenced, RetryAfter: a.cfg.MinRetryAfter}
	}
	refusal.Status = refusalStatus(refusal.Reason)
	a.counters.countRefusal(refusal.Reason)
	a.emit(Refuse{ID: r.ID, Refusal: refusal})
}

// closeClaim closes the claim of a request, if it has one.
func (a *Admission) closeClaim(r *request, ran bool) {
	if r.claimOpen {
		r.claimOpen = false
		a.emit(ClaimClosed{ID: r.ID, Ran: ran})
	}
}

// refuseAll refuses every request that has not been run.
func (a *Admission) refuseAll(now time.Time) {
	a.refuseWaiting(now, func(*request) bool { return true })
}

// refuseWaiting refuses those requests that have not been run for which concerns is true.
func (a *Admission) refuseWaiting(now time.Time, concerns func(r *request) bool) {
	for _, r := range sortedByID(a.awaitingClaim) {
		if concerns(r) {
			delete(a.awaitingClaim, r.ID)
			a.refuse(now, r, outcome.InstanceLeaving)
		}
	}
	for _, r := range sortedByID(a.waiting) {
		if concerns(r) {
			a.drop(now, r, outcome.InstanceLeaving)
		}
	}
}

func sortedByID(requests map[uint64]*request) []*request {
	list := make([]*request, 0, len(requests))
	for _, r := range requests {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// expire refuses waiting requests whose deadline has passed.
func (a *Admission) expire(now time.Time) {
	for a.queue.len() > 0 && !now.Before(a.queue.deadlines.top().Deadline) {
		a.drop(now, a.queue.deadlines.top(), outcome.DeadlineExpired)
	}
}

// likelyToMissDeadline reports whether a request that starts after the wait would
// probably not be answered before its deadline. While none runs, it is false,
// so that one is tried: only a run updates the estimate.
func (a *Admission) likelyToMissDeadline(now time.Time, r *request, wait time.Duration) bool {
	remaining := r.Deadline.Sub(now) - wait
	required := a.serviceTime.requiredTime(r.Deadline.Sub(r.arrivedAt))
	if !r.Target.IsZero() {
		required = max(required, min(a.serviceTime.expected(r.Route), r.Deadline.Sub(r.arrivedAt)/2))
	}
	return len(a.running) > 0 && remaining < required
}

// likelyToMissDeadlineInQueue is likelyToMissDeadline for a new request that waits
// behind those in the queue.
func (a *Admission) likelyToMissDeadlineInQueue(now time.Time, r *request) bool {
	return a.likelyToMissDeadline(now, r, a.estimateWait(now, r))
}

// estimateWait estimates how long a new request would wait for a slot. A request
// with a target overtakes those of lower priority and those that are late.
func (a *Admission) estimateWait(now time.Time, r *request) time.Duration {
	ahead := a.waitingBefore(r)
	return max(a.estimateSlotWait(now, r, ahead), a.tokenWait(now, r))
}

// waitingBefore estimates how many waiting requests run before a new one.
func (a *Admission) waitingBefore(r *request) int {
	if r.Target.IsZero() {
		return a.requestsAhead(r)
	}
	return a.queue.ahead(r.class(), func(queue *classQueue) int { return queue.countBefore(r) })
}

// estimateSlotWait estimates how long a new request behind others would wait for a slot.
func (a *Admission) estimateSlotWait(now time.Time, r *request, ahead int) time.Duration {
	switch {
	case r.Target.IsZero():
		return a.queueingDelay(now, ahead)
	case len(a.running)+a.queue.len() < a.concurrencyLimit(now):
		return 0
	}
	// With all slots busy, the next one becomes free after the mean service
	// time divided by the number of slots.
	return a.queueingDelay(now, ahead+1)
}

// shouldRedirect reports whether to refuse a request so that its sender tries
// another instance, which balances the load of the instances. This proxy decides it
// because it knows the current queue, while the sender has only old reports of it.
func (a *Admission) shouldRedirect(now time.Time, r *request) bool {
	if r.Patience <= 0 || !r.Target.After(now) {
		return false
	}
	if a.waitsTooLongForToken(now, r, r.Patience) {
		return true
	}
	if a.stalled(now) || a.missesTarget(now, r, 0) {
		return !a.serviceTime.stale(now, r.Route)
	}
	wait := a.estimateSlotWait(now, r, a.waitingBefore(r))
	slack := r.Target.Sub(now) - a.serviceTime.expected(r.Route)
	return float64(wait) > r.Patience*float64(slack)
}

// stalled reports whether most running requests have taken far longer than is
// usual for their routes. This shows that the backend server has become slow
// before its answers do.
func (a *Admission) stalled(now time.Time) bool {
	slow := 0
	for _, r := range a.running {
		if mean := a.serviceTime.expected(r.Route); mean > 0 && now.Sub(r.startedAt) > slowRunFactor*mean {
			slow++
		}
	}
	return slow > len(a.running)/2 && slow*minSlowSlotsDivisor >= a.concurrencyLimit(now)
}

// redirect refuses a request so that its sender tries another instance. The retry
// delay is the expected wait and service time at this instance.
func (a *Admission) redirect(now time.Time, r *request) {
	if a.tokenWait(now, r) > 0 {
		a.refuse(now, r, outcome.BackendServerLimited)
		return
	}
	a.refuseWith(now, r, outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     outcome.InstanceBusy,
		Status:     refusalStatus(outcome.InstanceBusy),
		RetryAfter: max(a.cfg.MinRetryAfter, a.estimateWait(now, r)+a.serviceTime.expected(r.Route)),
	})
}

// missesTarget reports whether a request that starts after the wait would miss its
// target.
func (a *Admission) missesTarget(now time.Time, r *request, wait time.Duration) bool {
	return !r.Target.IsZero() && now.Add(wait+a.serviceTime.expected(r.Route)).After(r.Target)
}

// queueSaturated reports whether at least as many requests wait as may run, or the rate
// limit is contended. Late
// requests then have no chance before their deadline, since others overtake them:
// they are refused at once, which leaves their callers time to retry.
func (a *Admission) queueSaturated(now time.Time) bool {
	return a.rate.contended(now) || a.queue.len() >= a.concurrencyLimit(now)
}

// missesTargetInSaturatedQueue reports whether the queue is saturated and a new
// request would miss its target behind the requests that wait. Less urgent ones do not
// count: they are dropped before it.
func (a *Admission) missesTargetInSaturatedQueue(now time.Time, r *request) bool {
	if !a.rate.contended(now) && a.queue.lenUpTo(r.class()) < a.concurrencyLimit(now) {
		return false
	}
	return a.waitsTooLongForToken(now, r, tokenWaitShare) || a.missesTarget(now, r, a.estimateWait(now, r))
}

// dropOrDemoteLate checks whether a waiting request can still meet its target. If
// not, it drops the least urgent late request when the queue is saturated, or else
// moves the request behind those that can. It reports whether a request was dropped or
// moved. Requests that wait for tokens keep their place: those that came later were
// accepted for later tokens.
func (a *Admission) dropOrDemoteLate(now time.Time, r *request) bool {
	if r.late || !a.missesTarget(now, r, 0) || a.waitsForTokens(now) {
		return false
	}
	if a.queueSaturated(now) {
		a.drop(now, a.leastUrgentLate(now, r), a.overloadReason(now))
		return true
	}
	a.queue.markLate(r)
	return true
}

// leastUrgentLate returns a late request of the least urgent class that has any, which
// is r if none is less urgent.
func (a *Admission) leastUrgentLate(now time.Time, r *request) *request {
	if a.queue.lenUpTo(r.class()) == a.queue.len() {
		return r
	}
	last := r
	for _, waiting := range a.waiting {
		if !waiting.late && !a.missesTarget(now, waiting, 0) {
			continue
		}
		if c := compareClasses(waiting.class(), last.class()); c > 0 || c == 0 && last != r && waiting.ID < last.ID {
			last = waiting
		}
	}
	return last
}

// sweepLate drops late requests that wait behind those of higher priority, where
// dispatch does not see them, while the queue is saturated: the least urgent first.
func (a *Admission) sweepLate(now time.Time) {
	if !a.queueSaturated(now) {
		return
	}
	waiting := sortedByID(a.waiting)
	slices.SortStableFunc(waiting, func(a, b *request) int { return compareClasses(b.class(), a.class()) })
	for _, r := range waiting {
		if a.waiting[r.ID] != nil {
			a.dropOrDemoteLate(now, r)
		}
	}
}

// requestsAhead estimates how many waiting requests run before a new one, whichever
// targets they have.
func (a *Admission) requestsAhead(r *request) int {
	return a.queue.ahead(r.class(), func(queue *classQueue) int { return queue.aheadOf(r.Organisation) })
}

// queueingDelay returns the expected time until n waiting requests have started.
func (a *Admission) queueingDelay(now time.Time, n int) time.Duration {
	return a.serviceTime.mean * time.Duration(n) / time.Duration(max(1, a.concurrencyLimit(now)))
}

// retryAfter returns the time in which the queue is expected to empty and the rate limit
// to allow another request, bounded by MinRetryAfter and maxRetryAfter.
func (a *Admission) retryAfter(now time.Time) time.Duration {
	wait := max(a.queueingDelay(now, a.queue.len()), a.rate.wait(now, a.queue.len()+1))
	return min(max(a.cfg.MinRetryAfter, wait), maxRetryAfter)
}
