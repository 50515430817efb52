package admission

import (
	"slices"
	"time"
)

// crashWindow is the time between the loss of a connection and the proof that
// the backend server has ended.
const crashWindow = 2 * time.Second

// lostRun is a run whose connection to the backend server was lost.
type lostRun struct {
	fingerprint uint64
	at          time.Time
}

// crashDetector tells the end of the backend server from a lost connection.
type crashDetector struct {
	recent []lostRun
	// counted holds the requests in flight at a crash already reported.
	counted map[uint64]bool
}

// lost notes a lost run, unless it belongs to a crash already reported.
func (c *crashDetector) lost(now time.Time, r *request) {
	if c.counted[r.ID] {
		delete(c.counted, r.ID)
		return
	}
	if r.Fingerprint != 0 {
		c.recent = append(c.recent, lostRun{fingerprint: r.Fingerprint, at: now})
	}
}

// answered drops the losses that the backend server outlived.
func (c *crashDetector) answered(r *request) {
	delete(c.counted, r.ID)
	c.recent = slices.DeleteFunc(c.recent, func(l lostRun) bool { return l.at.Before(r.started) })
}

// confirm returns the fingerprints that were in flight when the backend server
// ended, nil if none was lost shortly before.
func (c *crashDetector) confirm(now time.Time, running map[uint64]*request) []uint64 {
	c.recent = slices.DeleteFunc(c.recent, func(l lostRun) bool { return now.Sub(l.at) > crashWindow })
	if len(c.recent) == 0 {
		return nil
	}
	var suspects []uint64
	for _, l := range c.recent {
		suspects = append(suspects, l.fingerprint)
	}
	c.counted = make(map[uint64]bool, len(running))
	for id, r := range running {
		c.counted[id] = true
		if r.Fingerprint != 0 {
			suspects = append(suspects, r.Fingerprint)
		}
	}
	c.recent = nil
	slices.Sort(suspects)
	return slices.Compact(suspects)
}
