package limit

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = 5 * time.Second
	// lowWater is the demand that the credits should cover while an ask is
	// under way.
	lowWater = 600 * time.Millisecond
	// askInterval is the least time between two asks for one organisation.
	askInterval = 100 * time.Millisecond
	// debtTime is the time whose static share may be admitted without credits.
	debtTime = 3 * time.Second
	minDebt  = 2
	// staticTime is how long the static share applies after both owners failed.
	staticTime = 2 * time.Second
	// refusedRetry is when a caller may come back if nothing better is known.
	refusedRetry = time.Second
)

// batch is a number of credits with their end.
type batch struct {
	credits float64
	until   time.Time
}

// share is a proxy's state of one organisation.
type share struct {
	limit float64
	// rate is the average of arrivals, in requests per second.
	rate      float64
	arrivedAt time.Time
	// batches holds the older credits first.
	batches [2]batch
	debt    float64

	asked     bool
	queued    bool
	askedAt   time.Time
	askedDebt float64
	nextAsk   time.Time
	scarceEnd time.Time

	// failures counts the owners that failed in a row.
	failures    int
	staticUntil time.Time
	static      float64
	staticAt    time.Time

	owners []Member
	view   uint64
}

// arrive counts an arrival.
func (s *share) arrive(now time.Time) {
	s.rate = s.rateAt(now) + 1/rateWindow.Seconds()
	s.arrivedAt = now
}

func (s *share) rateAt(now time.Time) float64 {
	if s.arrivedAt.IsZero() || !now.After(s.arrivedAt) {
		return s.rate
	}
	return s.rate * math.Exp(-now.Sub(s.arrivedAt).Seconds()/rateWindow.Seconds())
}

// credits returns the credits that are still valid.
func (s *share) credits(now time.Time) float64 {
	sum := 0.0
	for _, b := range s.batches {
		if now.Before(b.until) {
			sum += b.credits
		}
	}
	return sum
}

// spend takes one credit, the oldest first.
func (s *share) spend(now time.Time) bool {
	if s.credits(now) < 1 {
		return false
	}
	need := 1.0
	for i := range s.batches {
		b := &s.batches[i]
		if !now.Before(b.until) {
			b.credits = 0
			continue
		}
		n := min(need, b.credits)
		b.credits -= n
		need -= n
	}
	return true
}

// add stores new credits. Of the older ones only the latest batch is kept.
func (s *share) add(b batch) {
	if s.batches[1].credits > 0 {
		s.batches[0] = s.batches[1]
	}
	s.batches[1] = b
}

// borrow admits a request without credits while no owner has said that they
// are scarce. The debt is reported with the next ask.
func (s *share) borrow(now time.Time, members int) bool {
	if now.Before(s.scarceEnd) || s.debt+s.askedDebt >= s.maxDebt(members) {
		return false
	}
	s.debt++
	return true
}

func (s *share) maxDebt(members int) float64 {
	return max(minDebt, s.limit/float64(max(members, 1))*debtTime.Seconds())
}

// spendStatic admits a request against the static share.
func (s *share) spendStatic(now time.Time, members int) bool {
	rate := s.staticRate(members)
	if now.After(s.staticAt) {
		s.static = min(max(1, rate*burst.Seconds()), s.static+rate*now.Sub(s.staticAt).Seconds())
		s.staticAt = now
	}
	if s.static < 1 {
		return false
	}
	s.static--
	return true
}

func (s *share) staticRate(members int) float64 {
	return s.limit / float64(max(members, 1))
}

// retryAfter estimates when the next request is admitted.
func (s *share) retryAfter(now time.Time) time.Duration {
	if wait := s.nextAsk.Sub(now); wait > 0 {
		return max(wait, refusedRetry)
	}
	return refusedRetry
}

// wantsCredits reports whether it is time to ask.
func (s *share) wantsCredits(now time.Time) bool {
	if s.asked || s.queued || now.Before(s.nextAsk) {
		return false
	}
	return s.credits(now) < max(1, s.rateAt(now)*lowWater.Seconds())
}
