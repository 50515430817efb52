package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/config"
)

const (
	// maxConcurrentTransfers is the number of transfer slots, which bounds
	// the large transfers served at once.
	maxConcurrentTransfers = 8
	// smallTransferBytes is the size up to which a delta is served without
	// a transfer slot.
	smallTransferBytes = 8 << 10
	// transferBytesPerSecond and minTransferTime determine for how long a
	// transfer is assumed to occupy its slot.
	transferBytesPerSecond = 8 << 20
	minTransferTime        = 20 * time.Millisecond
	// maxRetryAfter bounds the delay that a requester is asked to wait.
	maxRetryAfter = 5 * time.Second
)

// serveState tracks the large transfers in progress.
type serveState struct {
	// slotEnds holds the time at which each slot in use is released.
	slotEnds []time.Time
	// deferred counts the requests deferred since a slot was last granted.
	deferred int
}

// admit takes a slot for a transfer of the given size, or returns how long to
// wait for one. The wait grows with the number of requests deferred before.
func (s *serveState) admit(now time.Time, size int) time.Duration {
	if size <= smallTransferBytes {
		return 0
	}
	s.slotEnds = slices.DeleteFunc(s.slotEnds, func(end time.Time) bool { return !end.After(now) })
	duration := max(minTransferTime, time.Duration(float64(size)/transferBytesPerSecond*float64(time.Second)))
	if len(s.slotEnds) < maxConcurrentTransfers {
		s.slotEnds = append(s.slotEnds, now.Add(duration))
		s.deferred = 0
		return 0
	}
	s.deferred++
	rounds := 1 + s.deferred/maxConcurrentTransfers
	return min(maxRetryAfter, duration*time.Duration(rounds))
}

// handlePullRequest answers with a delta to the version held, limited to the
// requested scope and to the services held here. The base of the delta is the
// requester's version, or empty if that version is not in the history. If no
// transfer slot is free, the requester is asked to retry later.
func (d *Dist) handlePullRequest(now time.Time, e PullReceived) {
	reply := PullReply{Head: d.HeldHead(), SourceCheckedMs: d.sourceCheckedMs(now)}
	if refused, _ := d.RefusedVersion(); refused > e.Request.Refused {
		reply.Refusal = d.refusal
	}
	scope := config.NewScope(e.Request.Services...)
	if e.Request.All {
		scope = nil
	}
	if d.current != nil && e.Request.Have.Version < d.current.Version {
		delta := config.Diff(d.deltaBase(e.Request.Have, scope), d.current, scope)
		if wait := d.serve.admit(now, delta.Size()); wait > 0 {
			reply.RetryAfterMs = max(1, wait.Milliseconds())
		} else {
			reply.Delta = delta
		}
	}
	d.emit(ReplyPull{Call: e.Call, Reply: reply})
}

// deltaBase returns the snapshot that the peer holds, restricted to its scope.
// It returns nil unless that snapshot is in the history and both it and the
// current one are complete for the scope.
func (d *Dist) deltaBase(have Head, scope config.Scope) *config.Snapshot {
	for _, s := range slices.Backward(d.history) {
		if s.Version == have.Version && s.Root == have.Root && s.Complete(scope) && d.current.Complete(scope) {
			return s.Restrict(scope)
		}
	}
	return nil
}
