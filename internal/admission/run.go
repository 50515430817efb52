package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/outcome"
)

// ended takes in the outcome of a run.
func (a *Admission) ended(now time.Time, e Ended) {
	r, ok := a.running[e.ID]
	if !ok {
		return
	}
	delete(a.running, e.ID)
	a.queue.ended(now, r)
	ran := e.Outcome != outcome.NotRun
	a.settle(r, ran)
	if !r.Repeatable {
		a.requests.set(now, r.Request, fenceState(ran), 0)
	}
	a.learn(now, r, e)
}

func fenceState(ran bool) FenceState {
	if ran {
		return FenceEnded
	}
	return FenceNotRun
}

// learn draws conclusions about the backend server from a run.
func (a *Admission) learn(now time.Time, r *request, e Ended) {
	took := now.Sub(r.started)
	switch {
	case e.Outcome == outcome.Answered:
		a.counters.Answered++
		a.service.answered(took)
		a.service.observeRoute(r.Route, took)
		a.capacity.answered()
		a.monitor.runAnswered(now)
		a.crashes.answered(r)
		if r.Fingerprint != 0 {
			a.emit(Survived{Fingerprint: r.Fingerprint})
		}
	case e.Reason == outcome.Shed:
		a.capacity.shed(now)
		a.monitor.runFailed(now)
	case e.Reason == outcome.DeadlineExpired:
		a.service.cut(took)
	case e.Reason == outcome.ConnectFailed:
		a.monitor.runFailed(now)
		a.backendServerDown(now)
	case e.Reason == outcome.Crashed:
		a.crashes.lost(now, r)
		a.monitor.runFailed(now)
		a.backendServerDown(now)
	case e.Reason == outcome.ConnectionLost:
		a.crashes.lost(now, r)
		a.monitor.runFailed(now)
	}
}

// backendServerDown notes that the backend server refuses connections: it has
// ended, and will be cold when it is back.
func (a *Admission) backendServerDown(now time.Time) {
	a.capacity.restart()
	suspects := a.crashes.confirm(now, a.running)
	if len(suspects) > 0 {
		a.counters.Crashes++
		a.emit(Crashed{Fingerprints: suspects})
	}
}

// abandoned drops a request whose sender left before it was run.
func (a *Admission) abandoned(now time.Time, id uint64) {
	if r, ok := a.pending[id]; ok {
		delete(a.pending, id)
		a.forgo(now, r)
	}
	if r, ok := a.waiting[id]; ok {
		delete(a.waiting, id)
		a.queue.remove(r)
		a.forgo(now, r)
	}
	if r, ok := a.running[id]; ok {
		delete(a.running, id)
		a.queue.ended(now, r)
		a.forgo(now, r)
	}
}

// forgo notes that a request will not be run although it was not refused.
func (a *Admission) forgo(now time.Time, r *request) {
	a.counters.Abandoned++
	a.settle(r, false)
	if !r.Repeatable {
		a.requests.set(now, r.Request, FenceNotRun, 0)
	}
}

// fence answers a peer that lost a request.
func (a *Admission) fence(now time.Time, e FenceReceived) {
	state := a.fenceState(now, e.Fence)
	a.counters.Fences++
	if state.NotRun() {
		a.counters.FencesProven++
	}
	a.emit(ReplyFence{Call: e.Call, Reply: FenceReply{State: state}})
}

func (a *Admission) fenceState(now time.Time, f Fence) FenceState {
	if f.Incarnation != a.cfg.Incarnation {
		return FenceUnknown
	}
	known, ok := a.requests.entries[f.Request]
	switch {
	case ok && known.id != 0:
		a.fenceWaiting(now, known.id)
		a.requests.set(now, f.Request, FenceFenced, 0)
		return FenceNotRun
	case ok:
		if known.state == FenceNotRun {
			a.requests.set(now, f.Request, FenceFenced, 0)
			return FenceNotRun
		}
		return known.state
	case a.requests.full() || a.requests.mayHaveForgotten(now, f.Age):
		return FenceUnknown
	}
	a.requests.set(now, f.Request, FenceFenced, 0)
	return FenceFenced
}

// fenceWaiting refuses a request that waits here for a sender that has gone.
func (a *Admission) fenceWaiting(now time.Time, id uint64) {
	if r, ok := a.pending[id]; ok {
		delete(a.pending, id)
		a.refuse(now, r, outcome.Fenced)
	}
	if r, ok := a.waiting[id]; ok {
		a.drop(now, r, outcome.Fenced)
	}
}
