package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lossWindow is the maximum time between the loss of a run and the sign that the
	// backend server has ended.
	lossWindow = 5 * time.Second
	// expiryWindow applies instead to runs that expired or whose senders gave up, if
	// the sign is that connections are refused.
	expiryWindow = 2 * time.Second
	// maxLostRuns bounds the lost runs that are kept.
	maxLostRuns = 256
)

// crashProof is what shows that the backend server has ended.
type crashProof int

const (
	// connectionsRefused means that it refuses connections.
	connectionsRefused crashProof = iota
	// processReplaced means that the platform lists another process at its address,
	// which is also so after a planned replacement.
	processReplaced
)

// CrashedRun is a run that ended because the backend server crashed.
type CrashedRun struct {
	Fingerprint uint64
	// KnownCrashes is that of the request's Arrived.
	KnownCrashes uint32
	// Prime marks the prime suspect: the only request that the backend server dropped
	// before it went on serving others or, if it dropped none so, its only run.
	Prime bool
}

// lostRun is a run that ended without an answer: its connection to the backend server
// was lost, its sender gave up or its deadline expired.
type lostRun struct {
	CrashedRun
	at time.Time
	// dropped means that the backend server closed the connection, outlived that it
	// answered a run that began later.
	dropped, outlived bool
}

// suspected reports whether a run may have caused the end of the backend server. A
// backend server that drops a request may answer others until it ends. A run that only
// took long is not suspected if others were answered after it and the end may have been
// planned.
func (l lostRun) suspected(now time.Time, proof crashProof) bool {
	window := lossWindow
	if proof == connectionsRefused && !l.dropped {
		window = expiryWindow
	}
	return now.Sub(l.at) <= window && (proof == connectionsRefused || l.dropped || !l.outlived)
}

// crashDetector distinguishes a crash of the backend server from the loss of a
// single connection.
type crashDetector struct {
	lost []lostRun
	// reported holds the IDs of requests that were in flight during a crash
	// that is already reported.
	reported map[uint64]bool
}

// recordLoss records a request that ended without an answer, unless the request has
// no fingerprint or belongs to a crash that is already reported. The argument dropped
// means that the backend server closed its connection.
func (c *crashDetector) recordLoss(now time.Time, r *request, dropped bool) {
	if c.reported[r.ID] {
		delete(c.reported, r.ID)
		return
	}
	if r.Fingerprint == 0 {
		return
	}
	c.lost = slices.DeleteFunc(c.lost, func(l lostRun) bool { return now.Sub(l.at) > lossWindow })
	if len(c.lost) == maxLostRuns {
		c.evict()
	}
	c.lost = append(c.lost, lostRun{CrashedRun: r.crashedRun(), at: now, dropped: dropped})
}

// evict removes the oldest of the runs that were not dropped or, if all were, the oldest.
func (c *crashDetector) evict() {
	i := max(0, slices.IndexFunc(c.lost, func(l lostRun) bool { return !l.dropped }))
	c.lost = slices.Delete(c.lost, i, i+1)
}

func (r *request) crashedRun() CrashedRun {
	return CrashedRun{Fingerprint: r.Fingerprint, KnownCrashes: r.KnownCrashes}
}

// recordAnswer records that the backend server still ran after the losses before the
// start of an answered request.
func (c *crashDetector) recordAnswer(r *request) {
	delete(c.reported, r.ID)
	for i := range c.lost {
		c.lost[i].outlived = c.lost[i].outlived || c.lost[i].at.Before(r.startedAt)
	}
}

// confirmCrash returns the runs that may have caused the end of the backend server:
// those lost shortly before and those in flight, ordered by fingerprint and each
// fingerprint once. It returns false if none was lost.
func (c *crashDetector) confirmCrash(now time.Time, proof crashProof, running map[uint64]*request) (Crashed, bool) {
	var crashed Crashed
	for _, l := range c.lost {
		if l.suspected(now, proof) {
			run := l.CrashedRun
			run.Prime = l.dropped && l.outlived
			crashed.Runs = append(crashed.Runs, run)
		}
	}
	if len(crashed.Runs) == 0 {
		return Crashed{}, false
	}
	crashed.Lost, crashed.Running = len(crashed.Runs), len(running)
	c.reported = make(map[uint64]bool, len(running))
	for id, r := range running {
		c.reported[id] = true
		if r.Fingerprint != 0 {
			crashed.Runs = append(crashed.Runs, r.crashedRun())
		}
	}
	c.lost = nil
	crashed.Runs = distinctRuns(crashed.Runs)
	markPrime(crashed)
	return crashed, true
}

// markPrime leaves the mark of a prime suspect if there is only one and, if there is
// none, sets it for the only run.
func markPrime(c Crashed) {
	marked := 0
	for _, r := range c.Runs {
		if r.Prime {
			marked++
		}
	}
	for i := range c.Runs {
		c.Runs[i].Prime = marked == 1 && c.Runs[i].Prime || marked == 0 && c.Lost+c.Running == 1
	}
}

// distinctRuns returns the runs ordered by fingerprint. Of each fingerprint it returns
// the run with the most known crashes, as prime suspect if one of them is.
func distinctRuns(runs []CrashedRun) []CrashedRun {
	slices.SortFunc(runs, func(a, b CrashedRun) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(b.KnownCrashes, a.KnownCrashes))
	})
	distinct := runs[:0]
	for _, r := range runs {
		if n := len(distinct); n > 0 && distinct[n-1].Fingerprint == r.Fingerprint {
			distinct[n-1].Prime = distinct[n-1].Prime || r.Prime
			continue
		}
		distinct = append(distinct, r)
	}
	return distinct
}
