package main

import (
	"math/rand/v2"
	"time"
)

const (
	// evacuationBound is the time from the store's acknowledgement of an evacuation
	// until no proxy may send a request to the availability zone.
	evacuationBound = 5 * time.Second
	// coldAfterEvacuation is the share of the backend servers that are cold when their
	// availability zone is taken back.
	coldAfterEvacuation = 0.7
)

// evacuator is a store that knows evacuations. A call returns when the write is
// acknowledged.
type evacuator interface {
	Evacuate(zone string)
	EndEvacuation(zone string)
}

// evacuation is the evacuation of an availability zone. A zero ended means that it has
// not ended.
type evacuation struct {
	zone         string
	acked, ended time.Time
}

// evacuate evacuates the machine's availability zone, unless one is evacuated, and takes
// it back. Most of its backend servers are cold then.
func (c *cluster) evacuate(s step) {
	if !c.evacuationMu.TryLock() {
		return
	}
	defer c.evacuationMu.Unlock()
	store, ok := any(c.store).(evacuator)
	if !ok {
		c.observed.recordFailure("the store knows no evacuations")
		return
	}
	zone := c.machines[s.Machine].zone()
	store.Evacuate(zone)
	e := c.observed.recordEvacuation(zone)
	time.Sleep(evacuationBound + s.Duration)
	c.observed.endEvacuation(e)
	for _, m := range c.machines {
		if m.zone() == zone && rand.Float64() < coldAfterEvacuation {
			m.cool(m.backend.Load(), 0)
		}
	}
	store.EndEvacuation(zone)
}

// rewriteEvacuations writes the evacuations again after the store was restored.
func (c *cluster) rewriteEvacuations() {
	store, ok := any(c.store).(evacuator)
	if !ok {
		return
	}
	c.observed.mu.Lock()
	list := c.observed.evacuations
	c.observed.mu.Unlock()
	for _, e := range list {
		if c.observed.evacuated(e) {
			store.Evacuate(e.zone)
		} else {
			store.EndEvacuation(e.zone)
		}
	}
}

func (o *observations) recordEvacuation(zone string) *evacuation {
	o.mu.Lock()
	defer o.mu.Unlock()
	e := &evacuation{zone: zone, acked: time.Now()}
	o.evacuations = append(o.evacuations, e)
	return e
}

func (o *observations) endEvacuation(e *evacuation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e.ended = time.Now()
}

// evacuated reports whether an evacuation has not ended.
func (o *observations) evacuated(e *evacuation) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.ended.IsZero()
}

// checkEvacuations checks that undisturbed proxies send nothing to an evacuated
// availability zone.
func (c *checker) checkEvacuations() {
	for _, e := range c.evacuations {
		late := 0
		first, last := "", time.Time{}
		for _, r := range c.sortedArrivals() {
			a := c.attemptsByID[r.Request]
			if a == nil || r.Misdirected || zoneOf(r.Machine) != e.zone || !r.At.After(e.acked.Add(evacuationBound)) || !e.ended.IsZero() && r.At.After(e.ended) {
				continue
			}
			from := e.acked.Add(-undisturbedTime)
			if c.disturbed(a.machine, from, r.At, backendKinds...) || c.disturbed(sharedComponents, from, r.At, backendKinds...) {
				continue
			}
			if late++; late == 1 {
				first = a.String()
			}
			last = r.At
		}
		if late > 0 {
			c.addViolation("evacuated", "%d requests arrived in %s, until %v after the acknowledgement of its evacuation, the first: %s", late, e.zone, last.Sub(e.acked).Round(time.Millisecond), first)
		}
	}
}
