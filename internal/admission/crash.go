package admission

import (
	"slices"
	"time"
)

// crashConfirmWindow is the maximum time between the loss of a connection and the
// proof that the backend server has crashed, which is that it refuses connections.
const crashConfirmWindow = 2 * time.Second

// lostRequest is a request whose connection to the backend server was lost while
// it ran.
type lostRequest struct {
	fingerprint uint64
	at          time.Time
}

// crashDetector distinguishes a crash of the backend server from the loss of a
// single connection.
type crashDetector struct {
	lost []lostRequest
	// reported holds the IDs of requests that were in flight during a crash
	// that is already reported.
	reported map[uint64]bool
}

// recordLoss records a request whose connection was lost, unless the request has
// no fingerprint or belongs to a crash that is already reported.
func (c *crashDetector) recordLoss(now time.Time, r *request) {
	if c.reported[r.ID] {
		delete(c.reported, r.ID)
		return
	}
	if r.Fingerprint != 0 {
		c.lost = append(c.lost, lostRequest{fingerprint: r.Fingerprint, at: now})
	}
}

// recordAnswer discards the losses before the start of an answered request: the
// backend server still ran after them.
func (c *crashDetector) recordAnswer(r *request) {
	delete(c.reported, r.ID)
	c.lost = slices.DeleteFunc(c.lost, func(l lostRequest) bool { return l.at.Before(r.startedAt) })
}

// confirmCrash returns the fingerprints of the requests that were in flight when
// the backend server crashed, or nil if no loss was recorded within
// crashConfirmWindow.
func (c *crashDetector) confirmCrash(now time.Time, running map[uint64]*request) []uint64 {
	c.lost = slices.DeleteFunc(c.lost, func(l lostRequest) bool { return now.Sub(l.at) > crashConfirmWindow })
	if len(c.lost) == 0 {
		return nil
	}
	var suspects []uint64
	for _, l := range c.lost {
		suspects = append(suspects, l.fingerprint)
	}
	c.reported = make(map[uint64]bool, len(running))
	for id, r := range running {
		c.reported[id] = true
		if r.Fingerprint != 0 {
			suspects = append(suspects, r.Fingerprint)
		}
	}
	c.lost = nil
	slices.Sort(suspects)
	return slices.Compact(suspects)
}
