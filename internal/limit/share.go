package limit

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the moving average of arrivals.
	rateWindow = 5 * time.Second
	// lowWatermark is the time for which the credits must cover the demand. Below
	// that, more are requested, so that those left last until the reply.
	lowWatermark = 600 * time.Millisecond
	// minRequestInterval is the least time between two requests of credits for
	// one organisation.
	minRequestInterval = 100 * time.Millisecond
	// maxDebtTime and minDebtLimit set the bound on borrowed requests: those that
	// the static share admits in maxDebtTime, but at least minDebtLimit.
	maxDebtTime  = 3 * time.Second
	minDebtLimit = 2
	// staticPeriod is how long the static share applies after all owners failed.
	// Credits are requested again after half of it.
	staticPeriod = 2 * time.Second
	// minRetryAfter is the least Retry-After of a refused request.
	minRetryAfter = time.Second
)

// creditBatch is a number of credits that expire together.
type creditBatch struct {
	credits   float64
	expiresAt time.Time
}

// share is the local state of one organisation at a proxy: its credits, its debt
// and its static share.
type share struct {
	limit float64
	// rate is the moving average of arrivals, in requests per second.
	rate      float64
	arrivedAt time.Time
	// batches is ordered from the oldest to the newest.
	batches [2]creditBatch
	// debt counts the requests admitted without credits that have not been
	// reported to an owner, reportedDebt those reported in the pending request.
	debt float64

	// requestPending is set while a request awaits its reply, queued while the
	// organisation is in Limiter.sendQueue.
	requestPending bool
	queued         bool
	requestedAt    time.Time
	reportedDebt   float64
	nextRequestAt  time.Time
	// scarceUntil is the time until which no request may borrow.
	scarceUntil time.Time

	// failures counts the requests in a row that failed. It selects the owner
	// to ask next.
	failures int
	// staticUntil is the time until which the static share applies.
	staticUntil      time.Time
	staticTokens     float64
	staticRefilledAt time.Time

	// owners is cached from the view whose seq is ownersView.
	owners     []Member
	ownersView uint64
}

// recordArrival adds an arrival to the average rate.
func (s *share) recordArrival(now time.Time) {
	s.rate = s.rateAt(now) + 1/rateWindow.Seconds()
	s.arrivedAt = now
}

func (s *share) rateAt(now time.Time) float64 {
	if s.arrivedAt.IsZero() || !now.After(s.arrivedAt) {
		return s.rate
	}
	return s.rate * math.Exp(-now.Sub(s.arrivedAt).Seconds()/rateWindow.Seconds())
}

// credits returns the credits that have not expired.
func (s *share) credits(now time.Time) float64 {
	sum := 0.0
	for _, b := range s.batches {
		if now.Before(b.expiresAt) {
			sum += b.credits
		}
	}
	return sum
}

// spendCredit uses one credit, from the oldest batch first.
func (s *share) spendCredit(now time.Time) bool {
	if s.credits(now) < 1 {
		return false
	}
	need := 1.0
	for i := range s.batches {
		b := &s.batches[i]
		if !now.Before(b.expiresAt) {
			b.credits = 0
			continue
		}
		n := min(need, b.credits)
		b.credits -= n
		need -= n
	}
	return true
}

// addCredits stores a new batch. Of the older ones only the latest that has credits
// left is kept.
func (s *share) addCredits(b creditBatch) {
	if s.batches[1].credits > 0 {
		s.batches[0] = s.batches[1]
	}
	s.batches[1] = b
}

// borrow admits a request without credits, unless an owner has reported that they
// are scarce or the debt has reached its bound. The debt is reported with the next
// CreditRequest.
func (s *share) borrow(now time.Time, members int) bool {
	if now.Before(s.scarceUntil) || s.debt+s.reportedDebt >= s.maxDebt(members) {
		return false
	}
	s.debt++
	return true
}

func (s *share) maxDebt(members int) float64 {
	return max(minDebtLimit, s.limit/float64(max(members, 1))*maxDebtTime.Seconds())
}

// spendStatic admits a request against the static share.
func (s *share) spendStatic(now time.Time, members int) bool {
	rate := s.staticRate(members)
	if now.After(s.staticRefilledAt) {
		s.staticTokens = min(max(1, rate*burst.Seconds()), s.staticTokens+rate*now.Sub(s.staticRefilledAt).Seconds())
		s.staticRefilledAt = now
	}
	if s.staticTokens < 1 {
		return false
	}
	s.staticTokens--
	return true
}

func (s *share) staticRate(members int) float64 {
	return s.limit / float64(max(members, 1))
}

// retryAfter returns the Retry-After of a refused request: the time until credits
// may be requested again, but at least minRetryAfter.
func (s *share) retryAfter(now time.Time) time.Duration {
	if wait := s.nextRequestAt.Sub(now); wait > 0 {
		return max(wait, minRetryAfter)
	}
	return minRetryAfter
}

// needsCredits reports whether to request credits now.
func (s *share) needsCredits(now time.Time) bool {
	if s.requestPending || s.queued || now.Before(s.nextRequestAt) {
		return false
	}
	return s.credits(now) < max(1, s.rateAt(now)*lowWatermark.Seconds())
}
