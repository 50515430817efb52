package admission

import (
	"time"

	"heatherlift.example/heatherlift/internal/warmup"
)

// WarmUpState describes the warm-up of the backend server for the state dump.
type WarmUpState struct {
	warmup.State
	// PerSecond is the rate that is enforced while the backend server is cold.
	PerSecond float64 `json:"per_second"`
	// Limit is the largest number of requests that may then start in a window.
	Limit int `json:"limit"`
}

// handleServiceLimited applies the warm-up that the version in force names.
func (a *Admission) handleServiceLimited(now time.Time, e ServiceLimited) {
	a.warmUp.Configure(now, e.Limits)
	a.rate.recordStarts(now, a.warmUp.Enabled())
}

// adoptWarmUp applies the warm-up that the sender of a request names, as long as this proxy
// has no version that tells.
func (a *Admission) adoptWarmUp(now time.Time, e Arrived) {
	if a.warmUp.Adopt(e.WarmUpPerSecond) {
		a.applyWarmUp(now)
	}
}

// handleWarmUpChecked records what a health check says about the warm-up.
func (a *Admission) handleWarmUpChecked(now time.Time, e WarmUpChecked) {
	a.warmUp.Checked(now, e.Left, e.Stated)
	if e.Refused {
		a.backendServerDown(now)
	}
}

// applyWarmUp applies the budget of the warm-up while the backend server is cold, and
// reports a change.
func (a *Admission) applyWarmUp(now time.Time) {
	state := a.warmUp.State(now)
	budget := a.coldBudget()
	if state.Cold {
		a.rate.setWarmUp(now, budget)
	} else {
		a.rate.setWarmUp(now, warmup.Budget{})
	}
	if state.Cold != a.warmUpState.Cold || state.Source != a.warmUpState.Source {
		a.warmUpState = state
		a.emit(WarmUpChanged{State: state, PerSecond: budget.PerSecond})
	}
}

// coldBudget returns the budget of the backend server while it is cold, zero if its
// service names no warm-up.
func (a *Admission) coldBudget() warmup.Budget {
	if !a.warmUp.Enabled() {
		return warmup.Budget{}
	}
	return a.cfg.ColdTolerance.Budget(a.warmUp.PerSecond())
}

// askWarmUp emits CheckWarmUp if a health check is due.
func (a *Admission) askWarmUp(now time.Time) {
	if a.warmUp.Ask(now, len(a.running) > 0) {
		a.counters.WarmUpChecks++
		a.emit(CheckWarmUp{Path: a.warmUp.Path()})
	}
}

// describeWarmUp returns the warm-up for the state dump, nil if the service names none.
func (a *Admission) describeWarmUp(now time.Time) *WarmUpState {
	if !a.warmUp.Enabled() {
		return nil
	}
	budget := a.coldBudget()
	return &WarmUpState{State: a.warmUp.State(now), PerSecond: budget.PerSecond, Limit: budget.Limit}
}
