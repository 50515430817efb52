package warmup

import "time"

const (
	// lossSpan is the time within which the connections of a process that ends are
	// lost.
	lossSpan = 100 * time.Millisecond
	// minLosses is the number of connections that must be lost together: a single one
	// may also have been cut by the network or by an overloaded backend server.
	minLosses = 2
)

// Losses detects that the connections of several running requests end together. The
// zero value is ready to use.
type Losses struct {
	last time.Time
	n    int
}

// Record adds a lost connection. Running is the number of requests that still run. It
// reports whether the process has probably ended: several connections were lost together,
// and at least half of all.
func (l *Losses) Record(now time.Time, running int) bool {
	if now.Sub(l.last) > lossSpan {
		l.n = 0
	}
	l.n++
	l.last = now
	return l.n >= minLosses && l.n >= running
}
