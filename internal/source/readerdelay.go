package source

import "time"

// The times that a proxy spends on its readers add up: all of them must end, and the
// store must have answered, within the 2 s in which a version must be in force
// (node.TestVersionIsInForceInTimeBesideTwoSilentReaders).
const (
	// readerDelay is how late the reply of a reader may be before another reader is
	// asked as well. That costs a message within the zone.
	readerDelay = 200 * time.Millisecond
	// lastReaderDelay applies instead if no other reader is left. The store is asked
	// next, whose calls are priced.
	lastReaderDelay = 400 * time.Millisecond
	// lastReaderWait is the wait of a call to a reader while the other one is lost.
	lastReaderWait = 300 * time.Millisecond
	// maxAge bounds the age of what a proxy knows at the time when a reader's reply is
	// delayed. It leaves lastReaderDelay and 0.1 s for the answer of the store.
	maxAge = 1500 * time.Millisecond
	// readerDoubtPeriod is how long a reader that has not replied since its failure is
	// not asked instead of one that is silent.
	readerDoubtPeriod = 10 * time.Second
	// ageMargin is the time that a message may take beside the waits.
	ageMargin = 100 * time.Millisecond
	// minReaderWait bounds the calls to a reader whose store answers late.
	minReaderWait = 200 * time.Millisecond
)

// Age returns the time since the last answer of the store to this proxy or to the reader
// that it follows.
func (f *Follower) Age(now time.Time) time.Duration { return now.Sub(f.knownAt) }

// isTooOld reports whether the store must be asked at once, since a reader that was out of
// touch with the store is now silent itself. Without the former, the reply of a silent
// reader is delayed at maxAge, and there is time to ask another one.
func (f *Follower) isTooOld(now time.Time) bool {
	return len(f.delayed) > 0 && f.Age(now) > maxAge+ageMargin
}

// recordAge records a reply of a reader that the store answered the given time ago.
func (f *Follower) recordAge(now time.Time, age time.Duration) {
	at := now.Add(-age)
	f.sightings.record(at)
	if at.After(f.knownAt) {
		f.knownAt = at
	}
}

// isLost reports whether a reader is not asked now, because its reply to an earlier call
// is delayed or it has failed recently. While the reply of another one is delayed, there
// is no time to ask one that may still be silent.
func (f *Follower) isLost(now time.Time, id string) bool {
	failedAt, failed := f.readerFailedAt[id]
	period := readerRetryDelay
	if len(f.delayed) > 0 {
		period = readerDoubtPeriod
	}
	return f.delayed[id] || failed && now.Sub(failedAt) < period
}

// limitSilence bounds the time for which a reader may be silent before another source is
// asked. A proxy without a list has no version that could be too old; it waits
// for the reader, since it would have to read the whole store otherwise.
func (f *Follower) limitSilence(now time.Time, c *Call) {
	if c.Reader == nil || !f.listed {
		return
	}
	c.Delay = lastReaderDelay
	readers, _ := f.electReaders(now)
	for _, r := range readers {
		switch {
		case r.ID == c.Reader.ID:
		case f.isLost(now, r.ID):
			c.Wait = lastReaderWait
		default:
			c.Delay = readerDelay
		}
	}
	c.Wait = min(c.Wait, max(minReaderWait, maxAge-c.Delay-f.Age(now)))
	if _, failed := f.readerFailedAt[c.Reader.ID]; failed {
		c.Wait = 0 // it has not replied since
	}
}

// HandleReaderDelay handles a delayed reply of a reader, as defined by Call.Delay. It
// returns the call to make meanwhile, to another reader or to the store.
func (f *Follower) HandleReaderDelay(now time.Time, id string) (Update, Call) {
	var v Update
	v.addNote("reader delayed", id)
	f.delayed[id] = true
	next := f.nextCall(now)
	next.Wait = 0 // a change may have been missed since the delayed call began
	return v, next
}

// EndReaderDelay records the end of a call to a reader and reports whether its reply was
// delayed. HandleReaderDelay has returned the call that follows it then.
func (f *Follower) EndReaderDelay(id string) (wasDelayed bool) {
	wasDelayed = f.delayed[id]
	delete(f.delayed, id)
	return wasDelayed
}
