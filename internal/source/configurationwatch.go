package source

import "time"

// configurationBatchDelay is the delay before the next configuration call after
// a version arrives. It is short because the transfer of a version over a slow
// link takes most of the time in which the version must be in force.
const configurationBatchDelay = 100 * time.Millisecond

// configurationWatchState is the state of the separate configuration call. In a
// large fleet a version is large too; the list of instances must be in force
// within a shorter time and must not be delayed by the transfer of a version.
type configurationWatchState struct {
	inFlight bool
	revision uint64
	next     Call
	failures int
}

// isLargeFleet reports whether the fleet is so large that proxies follow the
// store through readers, and readers follow instances and configuration by
// separate calls.
func (f *Follower) isLargeFleet() bool { return len(f.known) >= relayMinInstances }

// recordVersion records the arrival of a version and reports whether the
// previous one arrived within burstWindow. A watch returns every version in
// turn and in full; during a burst only the newest one is read.
func (f *Follower) recordVersion(now time.Time) bool {
	burst := !f.lastVersionAt.IsZero() && now.Sub(f.lastVersionAt) < burstWindow
	f.lastVersionAt = now
	return burst
}

// NextConfigurationCall returns the next configuration call. It returns false
// if none is due because one is in flight or because other calls return the
// configuration.
func (f *Follower) NextConfigurationCall(now time.Time) (Call, bool) {
	if f.configurationWatch.inFlight || !f.listed || !f.isLargeFleet() {
		return Call{}, false
	}
	if reader, _ := f.selectReader(now); reader != nil {
		return Call{}, false
	}
	f.configurationWatch.inFlight = true
	call := f.configurationWatch.next
	if call.Part != ConfigurationOnly || call.At.Before(now) {
		call.At = now
	}
	call.Part, call.After = ConfigurationOnly, f.configurationWatch.revision
	if f.configurationWatch.failures == 0 {
		call.Wait = watchWait
	}
	return call, true
}

// HandleConfiguration handles the result of a configuration call.
func (f *Follower) HandleConfiguration(now time.Time, c Changes) Update {
	var v Update
	f.configurationWatch = configurationWatchState{revision: max(f.configurationWatch.revision, c.Revision)}
	f.acceptConfiguration(c.Configuration, &v)
	if v.Configuration != nil {
		f.configurationWatch.next = Call{Part: ConfigurationOnly, At: now.Add(configurationBatchDelay), List: f.recordVersion(now)}
	}
	return v
}

// HandleConfigurationFailure handles the failure of a configuration call. The
// next call reads only the newest version, since the transfer of several full
// versions may have caused a timeout.
func (f *Follower) HandleConfigurationFailure(now time.Time, compacted bool, cause string) Update {
	var v Update
	v.addNote("configuration read failed", cause)
	failures := f.configurationWatch.failures + 1
	wait := backoff(failures)
	if compacted {
		wait = 0
	}
	f.configurationWatch = configurationWatchState{
		revision: f.configurationWatch.revision,
		failures: failures,
		next:     Call{Part: ConfigurationOnly, At: now.Add(wait), List: true},
	}
	return v
}
