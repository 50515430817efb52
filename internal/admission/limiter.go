package admission

import "time"

const (
	// The concurrency limit of a cold backend server starts at
	// maxSlots/coldStartDivisor.
	coldStartDivisor = 4
	// A reported slot count below maxSlots/reportFloorDivisor, rounded up, is
	// not trusted and raised to that value.
	reportFloorDivisor = 2
	// reportTTL is the time after which a report of the backend server's load
	// endpoint is ignored.
	reportTTL = 10 * time.Second
	// decreaseFactor is applied to the limit when the backend server sheds a
	// request.
	decreaseFactor = 0.8
	// decreaseInterval is the minimum time between two decreases.
	decreaseInterval = time.Second
)

// concurrencyLimiter sets how many requests run concurrently. As in TCP congestion
// control, the limit starts low, grows with each answered request, first quickly
// and then slowly, and decreases by a factor when the backend server sheds
// requests. It never exceeds the configured slots.
type concurrencyLimiter struct {
	maxSlots           int
	limit              float64
	slowStartThreshold float64
	reportedSlots      int
	reportedAt         time.Time
	decreasedAt        time.Time
}

func newConcurrencyLimiter(slots int) concurrencyLimiter {
	c := concurrencyLimiter{maxSlots: slots}
	c.slowStart()
	return c
}

// slowStart resets the limit for a cold backend server.
func (c *concurrencyLimiter) slowStart() {
	c.limit = float64(max(1, c.maxSlots/coldStartDivisor))
	c.slowStartThreshold = float64(c.maxSlots)
}

// increase raises the limit after an answered request: by one below the slow start
// threshold, by 1/limit above.
func (c *concurrencyLimiter) increase() {
	if c.limit < c.slowStartThreshold {
		c.limit++
	} else {
		c.limit += 1 / c.limit
	}
	c.limit = min(c.limit, float64(c.maxSlots))
}

// decrease lowers the limit after a shed request.
func (c *concurrencyLimiter) decrease(now time.Time) {
	if now.Sub(c.decreasedAt) < decreaseInterval {
		return
	}
	c.decreasedAt = now
	c.limit = max(1, c.limit*decreaseFactor)
	c.slowStartThreshold = c.limit
}

func (c *concurrencyLimiter) setReportedSlots(now time.Time, slots int) {
	c.reportedSlots = slots
	c.reportedAt = now
}

// current returns the number of requests that may run concurrently, at least one.
func (c *concurrencyLimiter) current(now time.Time) int {
	n := int(c.limit)
	if c.reportedSlots > 0 && now.Sub(c.reportedAt) < reportTTL {
		reportedLimit := max(c.reportedSlots, (c.maxSlots+reportFloorDivisor-1)/reportFloorDivisor)
		n = min(n, reportedLimit)
	}
	return max(1, n)
}
