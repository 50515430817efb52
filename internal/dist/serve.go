package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// maxTransfers bounds the large transfers that are answered at once.
	maxTransfers = 8
	// smallTransfer is the size in bytes up to which a delta is not counted.
	smallTransfer = 8 << 10
	// transferRate, in bytes a second, and minTransfer give the time for
	// which a transfer occupies its place.
	transferRate = 8 << 20
	minTransfer  = 20 * time.Millisecond
	// maxRetryAfter bounds what a receiver is asked to wait.
	maxRetryAfter = 5 * time.Second
)

// serveState holds the large transfers in progress.
type serveState struct {
	// ends holds the time at which each transfer gives its place back.
	ends []time.Time
	// deferred counts the requests put off since a place was last free.
	deferred int
}

// admit takes a place for a transfer, or returns how long to wait for one. The
// wait grows with the requests that were put off before.
func (s *serveState) admit(now time.Time, size int) time.Duration {
	if size <= smallTransfer {
		return 0
	}
	s.ends = slices.DeleteFunc(s.ends, func(end time.Time) bool { return !end.After(now) })
	span := max(minTransfer, time.Duration(float64(size)/transferRate*float64(time.Second)))
	if len(s.ends) < maxTransfers {
		s.ends = append(s.ends, now.Add(span))
		s.deferred = 0
		return 0
	}
	s.deferred++
	rounds := 1 + s.deferred/maxTransfers
	return min(maxRetryAfter, span*time.Duration(rounds))
}

// answer sends a delta from what the peer has to the version held, or the part
// of its scope that is held here.
func (d *Dist) answer(now time.Time, e PullReceived) {
	reply := PullReply{Head: d.Held(), SourceCheckedMs: d.checkedMs(now)}
	if refused, _ := d.RefusedVersion(); refused > e.Request.Refused {
		reply.Refusal = d.refusal
	}
	scope := config.NewScope(e.Request.Services...)
	if e.Request.All {
		scope = nil
	}
	if d.current != nil && e.Request.Have.Version < d.current.Version {
		delta := config.Diff(d.base(e.Request.Have, scope), d.current, scope)
		if wait := d.serve.admit(now, delta.Size()); wait > 0 {
			reply.RetryAfterMs = max(1, wait.Milliseconds())
		} else {
			reply.Delta = delta
		}
	}
	d.emit(ReplyPull{Call: e.Call, Reply: reply})
}

// base returns the snapshot that the peer holds, if it is remembered here and
// both it and the present one are complete for its scope.
func (d *Dist) base(have Head, scope config.Scope) *config.Snapshot {
	for _, s := range slices.Backward(d.history) {
		if s.Version == have.Version && s.Root == have.Root && s.Complete(scope) && d.current.Complete(scope) {
			return s.Restrict(scope)
		}
	}
	return nil
}
