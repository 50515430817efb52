package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// burst is the time whose tokens an idle bucket holds.
	burst = time.Second
	// maxDebt is the time whose tokens a bucket may owe.
	maxDebt = 2 * time.Second
	// quietShare is the share of the limit up to which demand counts as low.
	quietShare = 0.8
	// quietHorizon is the demand that one grant covers while demand is low,
	// and the lifetime of its credits.
	quietHorizon = 30 * time.Second
	// quietOutstanding is the time whose tokens may be out as such credits.
	quietOutstanding = 10 * time.Second
	// busyLifetime is the lifetime of all other credits.
	busyLifetime = 2 * time.Second
	// busyHorizon is the demand that one such grant covers.
	busyHorizon = time.Second
	// busyRetry is the least time between two asks for scarce credits.
	busyRetry = 500 * time.Millisecond
	// maxRetry is the most.
	maxRetry = 20 * time.Second
	// maxAsked is the number of asks per second that reach an owner for one
	// organisation.
	maxAsked = 40
	// minQuiet and minBusy are the least credits in a grant that the limit
	// has room for.
	minQuiet = 3
	minBusy  = 2
	// quietRate is the share of the limit up to which a proxy's demand is
	// covered for long.
	quietRate = 0.2
	// creditUnits is the number of parts into which a credit divides.
	creditUnits = 1000
	// growth is the growth of a proxy's demand that a grant allows for.
	growth = 1.5
	// levelInterval is the time between two computations of the fair level.
	levelInterval = 200 * time.Millisecond
)

// demand is what one proxy reported.
type demand struct {
	rate    float64
	granted time.Time
	// until is the time up to which the demand counts.
	until time.Time
}

// outstanding is a batch of quiet credits.
type outstanding struct {
	credits float64
	until   time.Time
}

// account is the owner's state of one organisation.
type account struct {
	limit    float64
	members  int
	version  uint64
	tokens   float64
	filledAt time.Time
	usedAt   time.Time

	demands map[string]*demand
	// total is the fleet's demand and level the most that one proxy gets.
	total   float64
	level   float64
	levelAt time.Time

	quiet    []outstanding
	quietSum float64
}

func newAccount(now time.Time, a Ask) *account {
	return &account{
		limit:    float64(a.Limit),
		version:  a.Version,
		tokens:   float64(a.Limit) * burst.Seconds(),
		filledAt: now,
		demands:  make(map[string]*demand),
	}
}

// grant answers an ask. Tokens leave the bucket before the credits are sent.
func (c *account) grant(now time.Time, from string, a Ask, members int) Grant {
	c.members = members
	c.usedAt = now
	c.setLimit(a)
	c.refill(now)
	c.tokens = max(c.tokens-max(a.Debt, 0), -c.limit*maxDebt.Seconds())
	d := c.report(now, from, a.Rate)
	c.expireQuiet(now)
	if c.total <= quietShare*c.limit && c.tokens > 0 {
		return c.grantQuiet(now, d, a)
	}
	return c.grantBusy(now, d, a)
}

// setLimit takes the limit of the newest version.
func (c *account) setLimit(a Ask) {
	if a.Version >= c.version {
		c.version = a.Version
		c.limit = float64(a.Limit)
	}
}

func (c *account) refill(now time.Time) {
	if !now.After(c.filledAt) {
		return
	}
	c.tokens = min(c.tokens+c.limit*now.Sub(c.filledAt).Seconds(), c.limit*burst.Seconds())
	c.filledAt = now
}

// report stores the demand of a proxy and returns it.
func (c *account) report(now time.Time, from string, rate float64) *demand {
	d, ok := c.demands[from]
	if !ok {
		d = &demand{}
		c.demands[from] = d
		c.total += rate
	}
	d.rate = max(rate, 0)
	d.until = now.Add(busyLifetime)
	if now.Sub(c.levelAt) >= levelInterval {
		c.divide(now)
	}
	return d
}

// divide computes the max-min fair level over the demands.
func (c *account) divide(now time.Time) {
	c.levelAt = now
	c.total = 0
	rates := make([]float64, 0, len(c.demands))
	for id, d := range c.demands {
		if now.After(d.until) {
			delete(c.demands, id)
			continue
		}
		rates = append(rates, d.rate)
	}
	slices.Sort(rates)
	for _, rate := range rates {
		c.total += rate
	}
	c.level = fairLevel(rates, c.limit)
}

// fairLevel returns the level at which the demands, sorted and cut to it, use
// up the capacity. Capacity that nobody demands is divided evenly.
func fairLevel(sorted []float64, capacity float64) float64 {
	for n, rate := range sorted {
		share := capacity / float64(len(sorted)-n)
		if rate >= share {
			return share
		}
		capacity -= rate
	}
	if len(sorted) == 0 {
		return capacity
	}
	return sorted[len(sorted)-1] + capacity/float64(len(sorted))
}

// grantQuiet covers a long time, since nobody else needs the tokens.
func (c *account) grantQuiet(now time.Time, d *demand, a Ask) Grant {
	lifetime := quietHorizon
	want := max(minQuiet, a.Rate*quietHorizon.Seconds())
	if c.quietSum+want > c.quietRoom() || a.Rate > c.limit*quietRate {
		lifetime = busyLifetime
		want = max(1, growth*a.Rate*busyHorizon.Seconds())
	}
	credits := c.take(min(want, max(1, c.tokens/2)))
	if lifetime == quietHorizon && credits > 0 {
		c.quiet = append(c.quiet, outstanding{credits, now.Add(lifetime)})
		c.quietSum += credits
	}
	d.granted = now
	d.until = now.Add(busyLifetime)
	return Grant{Organisation: a.Organisation, Credits: credits, LifetimeMs: lifetime.Milliseconds()}
}

// quietRoom returns the credits that may be out for long at once.
func (c *account) quietRoom() float64 {
	return max(c.limit*quietOutstanding.Seconds(), minQuiet*float64(c.members))
}

// grantBusy gives a proxy its fair share for the time since its last grant.
func (c *account) grantBusy(now time.Time, d *demand, a Ask) Grant {
	share := min(growth*d.rate, c.level)
	satisfied := d.rate < c.level
	retry := c.retry(share)
	if satisfied {
		retry = c.retry(math.Inf(1))
	}
	elapsed := min(now.Sub(d.granted), 2*retry)
	if d.granted.IsZero() {
		elapsed = busyRetry
	}
	lifetime := max(busyLifetime, 2*retry)
	want := share * elapsed.Seconds()
	if satisfied {
		want = max(want, minBusy+share*max(busyHorizon, retry).Seconds())
		lifetime = max(lifetime, maxRetry)
	} else if spare := c.tokens - c.limit*burst.Seconds()/2; spare > 0 {
		want += spare / 2
	}
	d.granted = now
	d.until = now.Add(2 * retry)
	return Grant{
		Organisation: a.Organisation,
		Credits:      c.take(want),
		LifetimeMs:   lifetime.Milliseconds(),
		Scarce:       c.total > c.limit || c.tokens < 1,
		RetryMs:      retry.Milliseconds(),
	}
}

// retry returns the time between two asks of a proxy with the given share. It
// bounds the asks that reach the owner, and is long enough for one credit.
func (c *account) retry(share float64) time.Duration {
	if share <= 0 {
		return maxRetry
	}
	seconds := max(float64(len(c.demands))/maxAsked, 1/share)
	return min(maxRetry, max(busyRetry, time.Duration(seconds*float64(time.Second))))
}

// take removes up to n tokens from the bucket.
func (c *account) take(n float64) float64 {
	n = max(0, min(n, c.tokens))
	n = math.Floor(n*creditUnits) / creditUnits
	c.tokens -= n
	return n
}

func (c *account) expireQuiet(now time.Time) {
	n := 0
	for n < len(c.quiet) && !now.Before(c.quiet[n].until) {
		c.quietSum -= c.quiet[n].credits
		n++
	}
	c.quiet = c.quiet[n:]
	if len(c.quiet) == 0 {
		c.quietSum = 0
	}
}
