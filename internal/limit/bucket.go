package limit

import (
	"math"
	"slices"
	"time"
)

const (
	// burst is the capacity of a bucket, as time at the rate of the limit.
	burst = time.Second
	// maxOverdraft bounds the tokens that a bucket may owe, as time at the rate
	// of the limit.
	maxOverdraft = 2 * time.Second
	// uncontendedShare is the share of the limit up to which the fleet's demand
	// counts as uncontended.
	uncontendedShare = 0.8
	// longLifetime is the lifetime of long-lived credits. A grant of them covers
	// the demand of this time.
	longLifetime = 30 * time.Second
	// maxLongOutstanding bounds the long-lived credits outstanding at once, as
	// time at the rate of the limit.
	maxLongOutstanding = 10 * time.Second
	// shortLifetime is the least lifetime of all other credits.
	shortLifetime = 2 * time.Second
	// shortCoverage is the least time for which a grant of short-lived credits
	// covers the demand of a proxy that the limit can meet.
	shortCoverage = time.Second
	// minRetry and maxRetry bound the time between two requests of a proxy for
	// contended credits.
	minRetry = 500 * time.Millisecond
	maxRetry = 20 * time.Second
	// maxReceivedPerSecond is the highest number of requests per second that an
	// owner aims to receive for one contended organisation.
	maxReceivedPerSecond = 40
	// minLongCredits is the least number of credits in a grant of long-lived
	// ones, and minContendedCredits in a contended grant to a proxy whose demand
	// the limit can meet. A bucket that is short of tokens grants fewer.
	minLongCredits      = 3
	minContendedCredits = 2
	// longLivedShare is the share of the limit up to which the demand of one
	// proxy is covered by long-lived credits.
	longLivedShare = 0.2
	// unitsPerCredit is the resolution of credits and rates: both are rounded to
	// multiples of 1/unitsPerCredit.
	unitsPerCredit = 1000
	// demandHeadroom is the factor by which the demand of a proxy may grow
	// within a grant.
	demandHeadroom = 1.5
	// levelInterval is the least time between two computations of the fair
	// level.
	levelInterval = 200 * time.Millisecond
)

// demand is the demand that one proxy reported.
type demand struct {
	rate float64
	// grantedAt is the time of the last grant to the proxy.
	grantedAt time.Time
	// expiresAt is when the demand no longer counts.
	expiresAt time.Time
}

// outstandingCredits is a grant of long-lived credits that has not expired.
type outstandingCredits struct {
	credits   float64
	expiresAt time.Time
}

// bucket is the owner's token bucket of one organisation, with the demand of each
// proxy.
type bucket struct {
	limit float64
	// members is the number of proxies in the membership list.
	members int
	// version is the configuration version that limit is from.
	version    uint64
	tokens     float64
	refilledAt time.Time
	usedAt     time.Time

	demands map[string]*demand
	// total is the demand of the fleet, and level the max-min fair level: the
	// highest rate that one proxy is granted under contention.
	total   float64
	level   float64
	levelAt time.Time

	longLived    []outstandingCredits
	longLivedSum float64
}

func newBucket(now time.Time, r CreditRequest) *bucket {
	return &bucket{
		limit:      float64(r.Limit),
		version:    r.Version,
		tokens:     float64(r.Limit) * burst.Seconds(),
		refilledAt: now,
		demands:    make(map[string]*demand),
	}
}

// grant answers a CreditRequest. Tokens are taken from the bucket before the
// credits are sent.
func (b *bucket) grant(now time.Time, from string, r CreditRequest, members int) Grant {
	b.members = members
	b.usedAt = now
	b.setLimit(r)
	b.refill(now)
	b.tokens = max(b.tokens-max(r.Debt, 0), -b.limit*maxOverdraft.Seconds())
	d := b.recordDemand(now, from, r.Rate)
	b.expireLongLived(now)
	if b.total <= uncontendedShare*b.limit && b.tokens > 0 {
		return b.grantUncontended(now, d, r)
	}
	return b.grantContended(now, d, r)
}

// setLimit applies the limit of the CreditRequest unless a newer version is known.
func (b *bucket) setLimit(r CreditRequest) {
	if r.Version >= b.version {
		b.version = r.Version
		b.limit = float64(r.Limit)
	}
}

func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.tokens = min(b.tokens+b.limit*now.Sub(b.refilledAt).Seconds(), b.limit*burst.Seconds())
	b.refilledAt = now
}

// recordDemand stores the demand of a proxy and returns its entry.
func (b *bucket) recordDemand(now time.Time, from string, rate float64) *demand {
	d, ok := b.demands[from]
	if !ok {
		d = &demand{}
		b.demands[from] = d
		b.total += rate
	}
	d.rate = max(rate, 0)
	d.expiresAt = now.Add(shortLifetime)
	if now.Sub(b.levelAt) >= levelInterval {
		b.updateLevel(now)
	}
	return d
}

// updateLevel removes expired demands and recomputes the total demand and the
// max-min fair level.
func (b *bucket) updateLevel(now time.Time) {
	b.levelAt = now
	b.total = 0
	rates := make([]float64, 0, len(b.demands))
	for id, d := range b.demands {
		if now.After(d.expiresAt) {
			delete(b.demands, id)
			continue
		}
		rates = append(rates, d.rate)
	}
	slices.Sort(rates)
	for _, rate := range rates {
		b.total += rate
	}
	b.level = fairLevel(rates, b.limit)
}

// fairLevel returns the max-min fair level of the sorted demands: capped at it,
// they use up the capacity. Spare capacity is divided evenly.
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

// grantUncontended grants long-lived credits, since no other proxy needs the
// tokens. If too many of them are outstanding or the demand of the proxy is a large
// share of the limit, it grants short-lived ones.
func (b *bucket) grantUncontended(now time.Time, d *demand, r CreditRequest) Grant {
	lifetime := longLifetime
	want := max(minLongCredits, r.Rate*longLifetime.Seconds())
	if b.longLivedSum+want > b.maxLongCredits() || r.Rate > b.limit*longLivedShare {
		lifetime = shortLifetime
		want = max(1, demandHeadroom*r.Rate*shortCoverage.Seconds())
	}
	credits := b.take(min(want, max(1, b.tokens/2)))
	if lifetime == longLifetime && credits > 0 {
		b.longLived = append(b.longLived, outstandingCredits{credits, now.Add(lifetime)})
		b.longLivedSum += credits
	}
	d.grantedAt = now
	d.expiresAt = now.Add(shortLifetime)
	return Grant{Organisation: r.Organisation, Credits: credits, LifetimeMs: lifetime.Milliseconds()}
}

// maxLongCredits returns the bound on the long-lived credits outstanding at once.
func (b *bucket) maxLongCredits() float64 {
	return max(b.limit*maxLongOutstanding.Seconds(), minLongCredits*float64(b.members))
}

// grantContended grants a proxy its fair share for the time since its last grant.
func (b *bucket) grantContended(now time.Time, d *demand, r CreditRequest) Grant {
	share := min(demandHeadroom*d.rate, b.level)
	satisfied := d.rate < b.level
	retry := b.retryInterval(share)
	if satisfied {
		retry = b.retryInterval(math.Inf(1))
	}
	elapsed := min(now.Sub(d.grantedAt), 2*retry)
	if d.grantedAt.IsZero() {
		elapsed = minRetry
	}
	lifetime := max(shortLifetime, 2*retry)
	want := share * elapsed.Seconds()
	if satisfied {
		want = max(want, minContendedCredits+share*max(shortCoverage, retry).Seconds())
		lifetime = max(lifetime, maxRetry)
	} else if spare := b.tokens - b.limit*burst.Seconds()/2; spare > 0 {
		want += spare / 2
	}
	d.grantedAt = now
	d.expiresAt = now.Add(2 * retry)
	return Grant{
		Organisation: r.Organisation,
		Credits:      b.take(want),
		LifetimeMs:   lifetime.Milliseconds(),
		Scarce:       b.total > b.limit || b.tokens < 1,
		RetryMs:      retry.Milliseconds(),
	}
}

// retryInterval returns the time between two requests of a proxy with the given
// share. It bounds the requests that reach the owner, and is long enough for the
// share to yield one credit.
func (b *bucket) retryInterval(share float64) time.Duration {
	if share <= 0 {
		return maxRetry
	}
	seconds := max(float64(len(b.demands))/maxReceivedPerSecond, 1/share)
	return min(maxRetry, max(minRetry, time.Duration(seconds*float64(time.Second))))
}

// take removes up to n tokens from the bucket and returns their number.
func (b *bucket) take(n float64) float64 {
	n = max(0, min(n, b.tokens))
	n = math.Floor(n*unitsPerCredit) / unitsPerCredit
	b.tokens -= n
	return n
}

func (b *bucket) expireLongLived(now time.Time) {
	n := 0
	for n < len(b.longLived) && !now.Before(b.longLived[n].expiresAt) {
		b.longLivedSum -= b.longLived[n].credits
		n++
	}
	b.longLived = b.longLived[n:]
	if len(b.longLived) == 0 {
		b.longLivedSum = 0
	}
}
