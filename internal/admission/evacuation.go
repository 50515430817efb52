package admission

import "time"

// evacuationGrace is the time from when this proxy learns of the evacuation of its
// availability zone until it refuses the requests that other proxies still send. Proxies
// that watch the store learn of a change within half a second of each other; those that
// have not heard yet are not refused before. Nothing may be sent to the backend server 5 s
// after the operator's write.
const evacuationGrace = 500 * time.Millisecond

func (a *Admission) handleEvacuated(now time.Time, e Evacuated) {
	switch {
	case !e.Evacuated:
		a.evacuatedSince = time.Time{}
	case a.evacuatedSince.IsZero():
		a.evacuatedSince = now
		a.emit(WakeAt{At: now.Add(evacuationGrace)})
	}
}

// refusesForEvacuation reports whether all requests that do not run are refused because
// the availability zone is evacuated.
func (a *Admission) refusesForEvacuation(now time.Time) bool {
	return !a.evacuatedSince.IsZero() && now.Sub(a.evacuatedSince) >= evacuationGrace
}
