package source

import "time"

// minOutageFailures is the number of failed calls from which on a proxy that follows
// readers takes the store for unavailable. A single failure is usually over by the next
// call.
const minOutageFailures = 2

// outageCall returns the next call after a failed call to the store. A proxy that follows
// readers then asks these and the store by turns, at the longest interval of retries:
// the readers retry on its behalf. Its own calls find out if the store turns only the
// readers away.
func (f *Follower) outageCall(now time.Time) Call {
	call := f.callAfterReader(now)
	if reader, force := f.readerInOutage(now); reader != nil {
		call.Reader, call.Force, call.Delay = reader, force, 0
	}
	return call
}

// callAfterReader returns the call to the store after a reader could not help during an
// outage.
func (f *Follower) callAfterReader(now time.Time) Call {
	if reader, _ := f.readerInOutage(now); reader != nil {
		return f.retryCallAfter(now, f.backoff(maxDoublings))
	}
	return f.retryCall(now)
}

// readerInOutage returns the reader to ask during an outage of the store, or nil if there
// is none because this proxy is a reader itself, and whether the request must set Force.
func (f *Follower) readerInOutage(now time.Time) (*Instance, bool) {
	if !f.listed || !f.isLargeFleet() || now.Before(f.readerUntil) || f.failures < minOutageFailures {
		return nil, false
	}
	readers, force := f.electReaders()
	if len(readers) == 0 || f.isAmong(readers) {
		return nil, false
	}
	return readers[f.failures%len(readers)], force
}
