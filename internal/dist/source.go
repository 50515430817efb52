package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	// fleetBlobReadRate limits the blob reads of all readers together, in
	// calls per second. The reader that ranks first in the fleet gets half
	// of it, so that one proxy compiles a version quickly after a cold start
	// and the others, which share the other half, receive it from their
	// peers before their own reads are complete.
	fleetBlobReadRate = 1000.0
	// handoverFailures is the number of consecutive failed reads after
	// which a reader hands over its role, if others can read the source.
	handoverFailures = 3
	// An answer of the source counts as fresh for the timeout of a watch
	// plus freshnessSlack.
	freshnessSlack = 10 * time.Second
)

// sourceState is the state of the access to the configuration source.
type sourceState struct {
	watching       bool
	watchStartedAt time.Time
	retry          backoff
	// answered is set once the source has answered this process.
	answered bool
	// checkedAt is the time of the latest known answer of the source, to
	// this instance or to another reader.
	checkedAt time.Time
	// peerCheckedAt is the same for answers to other readers only.
	peerCheckedAt time.Time
	// failures is the number of consecutive failed reads, failingSince the
	// time of the first of them.
	failures     int
	failingSince time.Time
	// handingOver is set once handoverFailures reads in a row have failed
	// here and other readers can read the source. It is published to the
	// fleet as SourceFailing and ranks this instance behind those readers.
	handingOver bool
	lastError   string
}

// SourceError returns the error of the last read of the source, "" if it
// succeeded or there was none yet.
func (d *Dist) SourceError() string {
	return d.source.lastError
}

// startWatch starts a watch if this instance reads the source, none is in
// progress and the backoff allows it.
func (d *Dist) startWatch(now time.Time) {
	s := &d.source
	if d.cfg.Followed || d.role.current != Reader || s.watching || !s.retry.due(now) {
		return
	}
	s.watching = true
	s.watchStartedAt = now
	d.emit(WatchSource{After: d.watchAfter(), Wait: d.watchWait(), Rate: d.blobReadRate()})
}

// watchWait returns the timeout of the next watch. The first watch of a proxy
// that already holds a version does not wait, so that the source confirms the
// version at once.
func (d *Dist) watchWait() time.Duration {
	if !d.source.answered && d.complete() {
		return 0
	}
	return d.cfg.WatchWait
}

// blobReadRate returns this reader's share of fleetBlobReadRate, 0 for no
// limit.
func (d *Dist) blobReadRate() float64 {
	if d.cfg.Naive {
		return 0
	}
	const share = fleetBlobReadRate / 2
	if len(d.fleet.readers) == 0 || d.fleet.readers[0] == d.cfg.ID {
		return share
	}
	return share / float64(len(d.fleet.readers))
}

// watchAfter returns the version above which a watch returns at once.
func (d *Dist) watchAfter() uint64 {
	refused, _ := d.RefusedVersion()
	if !d.complete() {
		return refused
	}
	return max(d.current.Version, refused)
}

func (d *Dist) stopWatch() {
	if d.source.watching {
		d.emit(StopSource{})
	}
	d.source.watching = false
	d.source.handingOver = false
	d.source.failures = 0
}

func (d *Dist) handleSourceRead(now time.Time, e SourceRead) {
	s := &d.source
	if !s.watching {
		return
	}
	s.watching = false
	s.lastError = e.Err
	if e.Err != "" {
		d.recordSourceFailure(now)
		return
	}
	s.answered = true
	s.failures = 0
	s.handingOver = false
	s.checkedAt = latestOf(s.checkedAt, d.earliestAnswerTime(now))
	s.retry.reset()
	switch {
	case e.Snapshot != nil:
		d.acceptRead(now, e)
	case e.Version > 0:
		d.recordRefusal(&Refusal{Version: e.Version, Problems: e.Refused})
	}
}

// handlePublished handles a version read by the source.Follower.
func (d *Dist) handlePublished(now time.Time, c source.Configuration) {
	d.source.answered = true
	d.source.checkedAt = now
	if c.Snapshot == nil {
		d.recordRefusal(&Refusal{Version: c.Version, Problems: c.Refused})
		return
	}
	d.accept("source", c.Snapshot)
}

// acceptRead accepts a snapshot read from the source. If the source is behind
// the fleet, the next watch is delayed by the backoff.
func (d *Dist) acceptRead(now time.Time, e SourceRead) {
	behind := e.Version <= d.HeldHead().Version
	if !d.accept("source", e.Snapshot) && behind {
		d.source.retry.fail(now, d.rng)
	}
}

// earliestAnswerTime returns the earliest time at which the source can have
// sent its answer. If the process was paused during the watch, the answer may
// be as old as the watch.
func (d *Dist) earliestAnswerTime(now time.Time) time.Time {
	if d.resumedAt.After(d.source.watchStartedAt) {
		return d.source.watchStartedAt
	}
	return now
}

// recordSourceFailure records a failed read and starts the backoff. From
// handoverFailures on, the reader hands over its role if other readers have had
// an answer of the source since the first failure.
func (d *Dist) recordSourceFailure(now time.Time) {
	s := &d.source
	if s.failures == 0 {
		s.failingSince = now
		d.pull.recheckAt = now.Add(jitter(d.rng, failingRecheckInterval))
	}
	s.failures++
	s.retry.fail(now, d.rng)
	s.handingOver = s.failures >= handoverFailures && s.peerCheckedAt.After(s.failingSince)
}

// sourceFresh reports whether the source has recently answered any reader.
func (d *Dist) sourceFresh(now time.Time) bool {
	s := &d.source
	return !s.checkedAt.IsZero() && now.Sub(s.checkedAt) <= d.cfg.WatchWait+freshnessSlack
}

// recordSourceCheck records the time of the latest answer of the source that
// the reply to a pull reports. sentAt is when the pull was sent.
func (d *Dist) recordSourceCheck(sentAt time.Time, reply PullReply) {
	if reply.SourceCheckedMs <= 0 {
		return
	}
	at := sentAt.Add(-time.Duration(reply.SourceCheckedMs-1) * time.Millisecond)
	d.source.checkedAt = latestOf(d.source.checkedAt, at)
	d.source.peerCheckedAt = latestOf(d.source.peerCheckedAt, at)
}

// sourceCheckedMs returns the value of PullReply.SourceCheckedMs.
func (d *Dist) sourceCheckedMs(now time.Time) int64 {
	if d.source.checkedAt.IsZero() {
		return 0
	}
	return max(0, now.Sub(d.source.checkedAt).Milliseconds()) + 1
}

func latestOf(a, b time.Time) time.Time {
	return slices.MaxFunc([]time.Time{a, b}, time.Time.Compare)
}
