package admission

import (
	"cmp"
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// stallFactor is the multiple of the mean time of a route that few runs exceed
// on a sound backend server: one in a hundred has a tail of three to five times.
const stallFactor = 3

// stallShare is the inverse share of the slots that slow runs must hold: one
// or two long runs of a backend server that has little to do show nothing.
const stallShare = 3

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
		refusal = outcome.Refusal{Outcome: outcome.NotRun, Reason: outcome.Fenced, RetryAfter: a.cfg.MinRetryAfter}
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
	needed := a.service.needed(r.Deadline.Sub(r.arrived))
	if !r.Target.IsZero() {
		needed = max(needed, min(a.service.of(r.Route), r.Deadline.Sub(r.arrived)/2))
	}
	return len(a.running) > 0 && left < needed
}

// tooLate reports whether a new request would miss its deadline behind those
// that wait.
func (a *Admission) tooLate(now time.Time, r *request) bool {
	return a.hopeless(now, r, a.waitOf(now, r))
}

// waitOf estimates how long a new request would wait for a slot. A request
// with a target overtakes those of lower priority, and those that are late.
func (a *Admission) waitOf(now time.Time, r *request) time.Duration {
	if r.Target.IsZero() {
		return a.expectedWait(now, a.ahead(r.Organisation))
	}
	limit := a.limit(now)
	if len(a.running)+a.queue.len() < limit {
		return 0
	}
	ahead := 0
	if s, ok := a.queue.shares[r.Organisation]; ok {
		ahead = a.queue.before(s, r)
	}
	// The next slot is free after the mean time of a run, divided by the
	// number of runs.
	return a.expectedWait(now, ahead+1)
}

// busy reports whether the sender of a request should turn to another
// instance. It answers load that is uneven among instances: the sender has
// only old reports of the queue, this proxy knows it.
func (a *Admission) busy(now time.Time, r *request) bool {
	if r.Patience <= 0 || !r.Target.After(now) {
		return false
	}
	if a.stalled(now) || a.missesTarget(now, r, 0) {
		return !a.service.stale(now, r.Route)
	}
	wait := a.waitOf(now, r)
	spare := r.Target.Sub(now) - a.service.of(r.Route)
	return float64(wait) > r.Patience*float64(spare)
}

// stalled reports whether most runs have taken far longer than their routes
// do: the backend server turned slow, which its answers will tell only later.
func (a *Admission) stalled(now time.Time) bool {
	slow := 0
	for _, r := range a.running {
		if mean := a.service.of(r.Route); mean > 0 && now.Sub(r.started) > stallFactor*mean {
			slow++
		}
	}
	return slow > len(a.running)/2 && slow*stallShare >= a.limit(now)
}

// turnAway refuses a request whose sender has other instances to turn to, and
// tells how long it would have taken here.
func (a *Admission) turnAway(now time.Time, r *request) {
	a.refuseWith(now, r, outcome.Refusal{
		Outcome:    outcome.NotRun,
		Reason:     outcome.Busy,
		Status:     refusalStatus(outcome.Busy),
		RetryAfter: max(a.cfg.MinRetryAfter, a.waitOf(now, r)+a.service.of(r.Route)),
	})
}

// missesTarget reports whether a request would be late if it ran after the wait.
func (a *Admission) missesTarget(now time.Time, r *request, wait time.Duration) bool {
	return !r.Target.IsZero() && now.Add(wait+a.service.of(r.Route)).After(r.Target)
}

// crowded reports whether at least as many requests wait as run. Those that
// are late then stand no chance before their deadline, since others overtake
// them: they are refused at once, which leaves their callers time.
func (a *Admission) crowded(now time.Time) bool {
	return a.queue.len() >= a.limit(now)
}

// lost reports whether a new request would wait in vain.
func (a *Admission) lost(now time.Time, r *request) bool {
	return a.crowded(now) && a.missesTarget(now, r, a.waitOf(now, r))
}

// sortLate takes a waiting request whose target can no longer be met from its
// place, and reports whether it did.
func (a *Admission) sortLate(now time.Time, r *request) bool {
	if r.late || !a.missesTarget(now, r, 0) {
		return false
	}
	if a.crowded(now) {
		a.drop(now, r, outcome.Overload)
		return true
	}
	a.queue.postpone(r)
	return true
}

// sweepLate looks for late requests behind those of higher priority.
func (a *Admission) sweepLate(now time.Time) {
	if !a.crowded(now) {
		return
	}
	for _, r := range sorted(a.waiting) {
		a.sortLate(now, r)
	}
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
	return min(max(a.cfg.MinRetryAfter, a.expectedWait(now, a.queue.len())), maxRetryAfter)
}
