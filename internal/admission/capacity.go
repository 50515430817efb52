package admission

import "time"

const (
	// startFraction is the part of the slots with which a cold backend
	// server starts.
	startFraction = 4
	// trustFraction is the part of the slots below which a reported number
	// of slots is not believed.
	trustFraction = 2
	// reportLifetime is the time for which a report is used.
	reportLifetime = 10 * time.Second
	// shedFactor is applied to the slots when the backend server sheds.
	shedFactor = 0.8
	// shedInterval is the shortest time between two reductions.
	shedInterval = time.Second
)

// capacity decides how many requests run at once. It starts low, grows with
// each answer, shrinks when the backend server sheds, and never exceeds the
// configured slots.
type capacity struct {
	slots      int
	limit      float64
	threshold  float64
	reported   int
	reportedAt time.Time
	reducedAt  time.Time
}

func newCapacity(slots int) capacity {
	c := capacity{slots: slots}
	c.restart()
	return c
}

// restart expects a cold backend server.
func (c *capacity) restart() {
	c.limit = float64(max(1, c.slots/startFraction))
	c.threshold = float64(c.slots)
}

func (c *capacity) answered() {
	if c.limit < c.threshold {
		c.limit++
	} else {
		c.limit += 1 / c.limit
	}
	c.limit = min(c.limit, float64(c.slots))
}

func (c *capacity) shed(now time.Time) {
	if now.Sub(c.reducedAt) < shedInterval {
		return
	}
	c.reducedAt = now
	c.limit = max(1, c.limit*shedFactor)
	c.threshold = c.limit
}

func (c *capacity) report(now time.Time, slots int) {
	c.reported = slots
	c.reportedAt = now
}

// current returns the number of requests that may run at once.
func (c *capacity) current(now time.Time) int {
	n := int(c.limit)
	if c.reported > 0 && now.Sub(c.reportedAt) < reportLifetime {
		trusted := max(c.reported, (c.slots+trustFraction-1)/trustFraction)
		n = min(n, trusted)
	}
	return max(1, n)
}
