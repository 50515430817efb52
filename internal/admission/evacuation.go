package admission

import "time"

const (
	// maxEvacuationGrace bounds the time from when this proxy learns of the evacuation of
	// its availability zone until it refuses the requests that other proxies still send.
	// Proxies that watch the store learn of a change within half a second of each other;
	// those that have not heard yet are not refused before.
	maxEvacuationGrace = 500 * time.Millisecond
	// evacuationGraceShare is the largest share of Config.EvacuationLimit that the grace
	// takes. Beside a reader that does not respond, learning of the evacuation and sending
	// what was admitted before take up to 1.75 s.
	evacuationGraceShare = 0.1
)

// evacuationGrace returns the grace that the limit allows.
func (a *Admission) evacuationGrace() time.Duration {
	if a.cfg.EvacuationLimit == 0 {
		return maxEvacuationGrace
	}
	return min(maxEvacuationGrace, time.Duration(evacuationGraceShare*float64(a.cfg.EvacuationLimit)))
}

func (a *Admission) handleEvacuated(now time.Time, e Evacuated) {
	switch {
	case !e.Evacuated:
		a.evacuatedSince = time.Time{}
	case a.evacuatedSince.IsZero():
		a.evacuatedSince = now
		a.emit(WakeAt{At: now.Add(a.evacuationGrace())})
	}
}

// refusesForEvacuation reports whether all requests that do not run are refused because
// the availability zone is evacuated.
func (a *Admission) refusesForEvacuation(now time.Time) bool {
	return !a.evacuatedSince.IsZero() && now.Sub(a.evacuatedSince) >= a.evacuationGrace()
}
