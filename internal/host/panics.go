package host

import (
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/source"
)

// errPanicked is returned to a peer whose message made the reducer panic.
var errPanicked = errors.New("internal error")

// Places of panics, as labels of the metric.
const (
	panicInReducer    = "reducer"
	panicInBackground = "background"
	panicInStoreCall  = "store call"
	panicInPeerCall   = "peer message"
)

// reportPanic logs and counts a panic that was recovered. It must be called by the
// goroutine that panicked.
func (m *metrics) reportPanic(place string, cause any) {
	m.panics.WithLabelValues(place).Inc()
	m.log.Error("panic", "place", place, "cause", cause, "stack", string(debug.Stack()))
}

// HandlerPanicked implements peer.Observer.
func (m *metrics) HandlerPanicked(cause any) { m.reportPanic(panicInPeerCall, cause) }

// reduce feeds an event to the reducer. It returns false if the reducer panicked: the
// process goes on, and only the exchange that caused the event ends.
func (h *Host) reduce(e node.Event) (effects node.Effects, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer func() {
		if cause := recover(); cause != nil {
			h.metrics.reportPanic(panicInReducer, cause)
			effects, ok = node.Effects{}, false
		}
	}()
	now := time.Now()
	effects = h.node.Step(now, e)
	h.recorder.writeEvent(now, e)
	return effects, true
}

// recoverBackground ends a background task that panicked. It must be deferred.
func (h *Host) recoverBackground() {
	if cause := recover(); cause != nil {
		h.metrics.reportPanic(panicInBackground, cause)
	}
}

// readStoreSafely makes a call to the store. A panic counts as a failure of the call,
// so that the next one is made.
func (h *Host) readStoreSafely(c source.Call) (e node.Event) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		h.metrics.reportPanic(panicInStoreCall, cause)
		failure := node.StoreFailed{Cause: errPanicked.Error()}
		switch {
		case c.Part == source.OperatorOnly:
			e = node.QuestionAnswered{Peer: c.Reader.ID, Err: failure.Cause}
		case c.Reader != nil:
			e = node.StoreRelayed{Reader: c.Reader.ID, AnyAge: c.AllowStale, Err: failure.Cause}
		case c.Part == source.ConfigurationOnly:
			e = node.VersionsFailed(failure)
		default:
			e = failure
		}
	}()
	return h.readStore(c)
}
