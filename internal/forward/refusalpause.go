package forward

import "time"

const (
	// toleratedRefusals is the number of refusals in a row after which the requests that a
	// caller has sent ahead wait.
	toleratedRefusals = 8
	// minRefusalPause and maxRefusalPause bound that wait. It doubles with each refusal.
	minRefusalPause = 50 * time.Millisecond
	maxRefusalPause = 500 * time.Millisecond
)

// refusalPause slows down a caller that sends requests ahead while they are refused. Each
// refusal tells it to wait, and requests that are already on their way do not: without a
// pause they would take each place in a queue before callers that come back as told.
type refusalPause struct {
	inRow int
	until time.Time
}

// observe records a response.
func (p *refusalPause) observe(now time.Time, refused bool) {
	if !refused {
		*p = refusalPause{}
		return
	}
	if p.inRow++; p.inRow >= toleratedRefusals {
		doubled := min(p.inRow-toleratedRefusals, 8)
		p.until = now.Add(min(minRefusalPause<<doubled, maxRefusalPause))
	}
}

// active reports whether requests that were sent ahead wait.
func (p *refusalPause) active(now time.Time) bool { return now.Before(p.until) }
