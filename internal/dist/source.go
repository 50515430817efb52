package dist

import (
	"slices"
	"time"

	"heatherlift.example/heatherlift/internal/source"
)

const (
	// sourceBudget is the rate of blob reads of all readers together, in
	// calls a second. The first reader of the fleet has half of it, so that
	// one proxy compiles a cold version fast and the others learn it from
	// their peers before their own reads end.
	sourceBudget = 1000.0
	// failingAfter is the number of failed reads in a row from which a
	// reader hands over, if others can read the source.
	failingAfter = 3
	// checkSlack is how long, beyond the wait of a watch, an answer of the
	// source counts as fresh.
	checkSlack = 10 * time.Second
)

// sourceState is the use of the configuration source.
type sourceState struct {
	watching bool
	since    time.Time
	retry    backoff
	// answered reports an answer of the source in this life.
	answered bool
	// checked is the time of the newest answer of the source that is known
	// of, to this instance or to another reader.
	checked time.Time
	// peerChecked is checked, of other readers alone.
	peerChecked  time.Time
	failures     int
	failingSince time.Time
	failing      bool
	lastErr      string
}

// SourceError returns the error of the last read of the source, "" if it
// succeeded or there was none.
func (d *Dist) SourceError() string {
	return d.source.lastErr
}

func (d *Dist) watchSource(now time.Time) {
	s := &d.source
	if d.cfg.Followed || d.role.current != Reader || s.watching || !s.retry.due(now) {
		return
	}
	s.watching = true
	s.since = now
	d.emit(WatchSource{After: d.watchAfter(), Wait: d.watchWait(), Rate: d.sourceRate()})
}

// watchWait returns no wait for the first watch of a proxy that holds a
// version, so that the source confirms it at once.
func (d *Dist) watchWait() time.Duration {
	if !d.source.answered && d.complete() {
		return 0
	}
	return d.cfg.WatchWait
}

// sourceRate is this reader's share of the budget, 0 for no bound.
func (d *Dist) sourceRate() float64 {
	if d.cfg.Naive {
		return 0
	}
	const share = sourceBudget / 2
	if len(d.fleet.readers) == 0 || d.fleet.readers[0] == d.cfg.ID {
		return share
	}
	return share / float64(len(d.fleet.readers))
}

// watchAfter is the version above which a watch answers at once.
func (d *Dist) watchAfter() uint64 {
	refused, _ := d.RefusedVersion()
	if !d.complete() {
		return refused
	}
	return max(d.current.Version, refused)
}

func (d *Dist) stopSource() {
	if d.source.watching {
		d.emit(StopSource{})
	}
	d.source.watching = false
	d.source.failing = false
	d.source.failures = 0
}

func (d *Dist) sourceRead(now time.Time, e SourceRead) {
	s := &d.source
	if !s.watching {
		return
	}
	s.watching = false
	s.lastErr = e.Err
	if e.Err != "" {
		d.sourceFailed(now)
		return
	}
	s.answered = true
	s.failures = 0
	s.failing = false
	s.checked = later(s.checked, d.answeredAt(now))
	s.retry.reset()
	switch {
	case e.Snapshot != nil:
		d.readSnapshot(now, e)
	case e.Version > 0:
		d.refuse(&Refusal{Version: e.Version, Problems: e.Refused})
	}
}

// published takes a version that a follower of the source read.
func (d *Dist) published(now time.Time, c source.Configuration) {
	d.source.answered = true
	d.source.checked = now
	if c.Snapshot == nil {
		d.refuse(&Refusal{Version: c.Version, Problems: c.Refused})
		return
	}
	d.accept("source", c.Snapshot)
}

// readSnapshot accepts what was read. A source behind the fleet is not asked
// again at once.
func (d *Dist) readSnapshot(now time.Time, e SourceRead) {
	behind := e.Version <= d.Held().Version
	if !d.accept("source", e.Snapshot) && behind {
		d.source.retry.fail(now, d.rng)
	}
}

// answeredAt is when the source answered at the earliest: a process that was
// paused meanwhile may act on an old answer.
func (d *Dist) answeredAt(now time.Time) time.Time {
	if d.wokeAt.After(d.source.since) {
		return d.source.since
	}
	return now
}

// sourceFailed backs off. The reader hands over if others reach the source.
func (d *Dist) sourceFailed(now time.Time) {
	s := &d.source
	if s.failures == 0 {
		s.failingSince = now
		d.pull.recheck = now.Add(jitter(d.rng, failingInterval))
	}
	s.failures++
	s.retry.fail(now, d.rng)
	s.failing = s.failures >= failingAfter && s.peerChecked.After(s.failingSince)
}

// sourceFresh reports whether some reader heard from the source lately.
func (d *Dist) sourceFresh(now time.Time) bool {
	s := &d.source
	return !s.checked.IsZero() && now.Sub(s.checked) <= d.cfg.WatchWait+checkSlack
}

// learnCheck takes over what a reply, asked for at the given time, tells of
// the source.
func (d *Dist) learnCheck(asked time.Time, reply PullReply) {
	if reply.SourceCheckedMs <= 0 {
		return
	}
	at := asked.Add(-time.Duration(reply.SourceCheckedMs-1) * time.Millisecond)
	d.source.checked = later(d.source.checked, at)
	d.source.peerChecked = later(d.source.peerChecked, at)
}

// checkedMs is the value of PullReply.SourceCheckedMs.
func (d *Dist) checkedMs(now time.Time) int64 {
	if d.source.checked.IsZero() {
		return 0
	}
	return max(0, now.Sub(d.source.checked).Milliseconds()) + 1
}

func later(a, b time.Time) time.Time {
	return slices.MaxFunc([]time.Time{a, b}, time.Time.Compare)
}
