package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
	"heatherlift.example/heatherlift/internal/warmup"
)

// handleEnded records the outcome of a running request.
func (a *Admission) handleEnded(now time.Time, e Ended) {
	r, ok := a.running[e.ID]
	if !ok {
		return
	}
	delete(a.running, e.ID)
	a.queue.complete(now, r)
	ran := e.Outcome != outcome.NotRun
	a.closeClaim(r, ran)
	if !r.Repeatable {
		a.requests.set(now, r.Request, endState(ran), 0)
	}
	a.recordUnlimited(now, r, e)
	a.recordOutcome(now, r, e)
}

func endState(ran bool) FenceState {
	if ran {
		return FenceEnded
	}
	return FenceNotRun
}

// recordOutcome updates the estimates of the backend server's health, capacity and
// service time from the outcome of a request.
func (a *Admission) recordOutcome(now time.Time, r *request, e Ended) {
	duration := now.Sub(r.startedAt)
	switch {
	case e.Outcome == outcome.Answered:
		a.counters.Answered++
		a.serviceTime.recordAnswer(duration)
		a.serviceTime.recordRouteAnswer(r.Route, duration)
		a.limiter.increase()
		a.monitor.recordAnswer(now)
		a.crashes.recordAnswer(r)
		if r.Fingerprint != 0 {
			a.emit(FingerprintAnswered{Fingerprint: r.Fingerprint, KnownCrashes: r.KnownCrashes})
		}
	case e.Reason == outcome.BackendServerShed:
		a.limiter.decrease(now)
		a.monitor.recordFailure(now)
	case e.Reason == outcome.DeadlineExpired && e.Outcome == outcome.NotRun: // no statement about the service time
	case e.Reason == outcome.DeadlineExpired:
		a.serviceTime.recordTimeout(duration)
		a.recordUnfinished(now, r, duration)
		a.crashes.recordLoss(now, r, false)
	case e.Reason == outcome.ConnectFailed:
		a.monitor.recordFailure(now)
		a.limiter.slowStart()
		if !e.Inconclusive {
			a.reportCrash(now, connectionsRefused)
			a.warmUp.Sign(now, warmup.ObservedStart)
		}
	case e.Reason == outcome.BackendServerCrashed:
		a.crashes.recordLoss(now, r, true)
		a.monitor.recordFailure(now)
		a.backendServerDown(now)
	case e.Reason == outcome.ConnectionLost:
		a.crashes.recordLoss(now, r, !e.Inconclusive)
		a.monitor.recordFailure(now)
		if !e.Inconclusive && a.losses.Record(now, len(a.running)) {
			a.warmUp.Sign(now, warmup.ObservedStart)
		}
	}
}

// backendServerDown records that the backend server refuses connections: it has
// ended and will be cold after its restart.
func (a *Admission) backendServerDown(now time.Time) {
	a.limiter.slowStart()
	a.warmUp.Refused(now, warmup.ObservedStart)
	a.reportCrash(now, connectionsRefused)
}

// reportCrash emits the runs that may have crashed the backend server, if any were lost
// shortly before.
func (a *Admission) reportCrash(now time.Time, proof crashProof) {
	if crashed, ok := a.crashes.confirmCrash(now, proof, a.running); ok {
		a.counters.Crashes++
		a.emit(crashed)
	}
}

// handleAbandoned removes a request that its sender cancelled before it reached the
// backend server.
func (a *Admission) handleAbandoned(now time.Time, id uint64) {
	if r, ok := a.awaitingClaim[id]; ok {
		delete(a.awaitingClaim, id)
		a.recordAbandoned(now, r)
	}
	if r, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		a.queue.remove(r)
		a.recordAbandoned(now, r)
	}
	if r, ok := a.running[id]; ok {
		delete(a.running, id)
		a.queue.complete(now, r)
		a.crashes.recordLoss(now, r, false)
		a.recordAbandoned(now, r)
	}
}

// recordAbandoned records that a request will not be run although it was not
// refused.
func (a *Admission) recordAbandoned(now time.Time, r *request) {
	a.counters.Abandoned++
	a.closeClaim(r, false)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceNotRun, 0)
	}
}

// handleFence answers a peer that does not know the outcome of a request.
func (a *Admission) handleFence(now time.Time, e FenceReceived) {
	state := a.fenceRequest(now, e.Fence)
	a.counters.Fences++
	if state.NotRun() {
		a.counters.FencesProvenNotRun++
	}
	a.emit(ReplyFence{Call: e.Call, Reply: FenceReply{State: state}})
}

// fenceRequest returns the state of a request and fences it if it has not been run.
// The state is unknown if it may have been lost by a restart or an eviction, or if
// no more requests can be fenced.
func (a *Admission) fenceRequest(now time.Time, f Fence) FenceState {
	if f.Incarnation != a.cfg.Incarnation {
		return FenceUnknown
	}
	entry, ok := a.requests.entries[f.Request]
	switch {
	case ok && entry.waitingID != 0:
		a.refuseFenced(now, entry.waitingID)
		a.requests.set(now, f.Request, FenceFenced, 0)
		return FenceNotRun
	case ok:
		if entry.state == FenceNotRun {
			a.requests.set(now, f.Request, FenceFenced, 0)
			return FenceNotRun
		}
		return entry.state
	case a.requests.fencesFull() || a.requests.mayHaveEvicted(now, f.Age):
		return FenceUnknown
	}
	a.requests.set(now, f.Request, FenceFenced, 0)
	return FenceFenced
}

// refuseFenced refuses a waiting request whose sender has given up on it.
func (a *Admission) refuseFenced(now time.Time, id uint64) {
	if r, ok := a.awaitingClaim[id]; ok {
		delete(a.awaitingClaim, id)
		a.refuse(now, r, outcome.Fenced)
	}
	if r, ok := a.waiting[id]; ok {
		a.drop(now, r, outcome.Fenced)
	}
}
