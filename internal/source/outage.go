package source

import (
	"slices"
	"time"
)

const (
	// minOutageFailures is the number of failed calls from which on a proxy that follows
	// readers takes the store for unavailable. A single failure is usually over by the
	// next call.
	minOutageFailures = 2
	// readerTurns is the number of calls to readers for each call to the store in an
	// outage. The readers retry on behalf of the others, so that these notice its end as
	// soon as a reader does. Their own calls find out if the store turns only the readers
	// away, which may take longer.
	readerTurns = 4
	// turnedAwayPeriod is how long a proxy that other ones keep informed does not call the
	// store, after it did not get through itself.
	turnedAwayPeriod = readerRetryDelay
)

// outageCall returns the next call after a failed call to the store. A proxy that follows
// readers then asks these at once.
func (f *Follower) outageCall(now time.Time) Call {
	f.readerTurn = 0
	if call, ok := f.outageReaderCall(now); ok {
		return call
	}
	return f.retryCall(now)
}

// callAfterReader returns the call after a reader could not help during an outage: to the
// store, or to a reader again after one that is out of touch with the store itself.
func (f *Follower) callAfterReader(now time.Time, outOfTouch bool) Call {
	call, ok := f.outageReaderCall(now)
	if !ok || f.isReader(now) {
		return f.retryCall(now) // on behalf of others
	}
	next := f.retryCallAfter(now, f.backoff(maxDoublings))
	f.readerTurn++
	if outOfTouch && f.readerTurn < readerTurns {
		call.At = next.At
		return call
	}
	return next
}

// outageReaderCall returns a call to a reader during an outage, and false if there is none
// to ask.
func (f *Follower) outageReaderCall(now time.Time) (Call, bool) {
	if !f.listed || !f.isLargeFleet() || !f.storeUnavailable() {
		return Call{}, false
	}
	readers, force := f.outageReaders(now)
	if len(readers) == 0 {
		return Call{}, false
	}
	call := f.nextCall(now)
	call.At, call.Wait, call.Delay = now, 0, 0
	call.Reader, call.Force = readers[(f.failures+f.readerTurn)%len(readers)], force
	return call, true
}

// outageReaders returns the other readers, and one of those that may take their place: the
// store may turn away this proxy and its readers alone. All proxies of a zone choose the
// same one for a time, since a proxy that is asked calls the store itself.
func (f *Follower) outageReaders(now time.Time) ([]*Instance, bool) {
	elected, force := f.electReaders(now)
	if len(elected) == 0 {
		return nil, force
	}
	zone := elected[0].AvailabilityZone
	var others []*Instance
	for _, i := range f.readerCandidates(func(i *Instance) bool { return i.AvailabilityZone == zone }) {
		if !f.declined[i.ID] && !slices.Contains(elected, i) && len(others) < maxReplacedReaders {
			others = append(others, i)
		}
	}
	if len(others) > 0 {
		elected = append(elected, others[now.UnixNano()/int64(readerRetryDelay)%int64(len(others))])
	}
	return slices.DeleteFunc(elected, func(i *Instance) bool { return i.BackendAddress == f.cfg.BackendAddress }), force
}

// storeUnavailable reports whether the store seems to be unavailable to all proxies, and not
// only for one call or to one machine.
func (f *Follower) storeUnavailable() bool {
	return f.failures >= minOutageFailures || f.failures > 0 && !f.awaitsRetry() && len(f.staleAt) > 0
}

// turnedAway reports whether the store did not answer this proxy recently, while others get
// through.
func (f *Follower) turnedAway(now time.Time) bool {
	return f.failures == 0 && !f.ownFailureAt.IsZero() && now.Sub(f.ownFailureAt) < turnedAwayPeriod
}

// isReader reports whether other proxies follow the store through this one.
func (f *Follower) isReader(now time.Time) bool {
	readers, _ := f.electReaders(now)
	return f.isAmong(readers) || now.Before(f.readerUntil)
}

// OutOfTouch reports whether a proxy that the store turns away knows nothing recent from
// others either: two such proxies that ask each other must not vouch for what they know.
func (f *Follower) OutOfTouch(now time.Time) bool {
	return f.turnedAway(now) && f.Age(now) > maxAge
}
