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
	position Position
	next     Call
	failures int
	// active reports that this proxy has read the configuration from the store since
	// a reader last replied.
	active bool
}

// advance moves the position forward.
func (s *configurationWatchState) advance(to Position) {
	if s.position.Before(to) {
		s.position = to
	}
}

// isLargeFleet reports whether the fleet is so large that proxies follow the
// store through readers, and readers follow instances and configuration by
// separate calls.
func (f *Follower) isLargeFleet() bool { return f.fleetSize() >= relayMinInstances }

// NextConfigurationCall returns the next configuration call. It returns false
// if none is due because one is in flight, because the first version is still to be
// confirmed, because other calls return the configuration or because the store fails: the
// calls for the instances find out when it is back.
func (f *Follower) NextConfigurationCall(now time.Time) (Call, bool) {
	if f.configurationWatch.inFlight || f.failures > 0 || !f.listed || !f.isLargeFleet() || f.restored.unconfirmed != nil {
		return Call{}, false
	}
	// A reader that can be asked may not be asked yet, or not reply.
	if reader, _ := f.selectReader(now); reader != nil && !f.configurationWatch.active {
		return Call{}, false
	}
	if f.othersTellVersions(now) {
		return Call{}, false
	}
	f.configurationWatch.inFlight, f.configurationWatch.active = true, true
	call := f.configurationWatch.next
	if call.Part != ConfigurationOnly || call.At.Before(now) {
		call.At = now
	}
	call.Part, call.Era, call.After = ConfigurationOnly, f.configurationWatch.position.Era, f.configurationWatch.position.Revision
	if f.configurationWatch.failures == 0 {
		call.Wait = f.configurationWait() - call.At.Sub(now) // the connection may be silent by then
	}
	return call, true
}

// HandleConfiguration handles the result of a configuration call.
func (f *Follower) HandleConfiguration(now time.Time, c Changes) Update {
	if cause, ok := f.checkEra(c.Era); !ok {
		return f.HandleConfigurationFailure(now, false, cause)
	}
	var v Update
	previous := f.configurationWatch.position
	f.configurationWatch = configurationWatchState{position: previous, active: f.configurationWatch.active}
	f.configurationWatch.advance(c.Position())
	f.acceptConfiguration(c.Configuration, &v)
	f.applyEvacuationChanges(c, &v)
	f.updateEvacuations(now, &v)
	if previous.Era != 0 && c.Era > previous.Era {
		// Versions may have been written in this era before its revision reached
		// the one of the call.
		f.configurationWatch.next = Call{Part: ConfigurationOnly, At: now.Add(f.restorationJitter()), List: true}
		return v
	}
	if v.Configuration != nil || len(c.Evacuations) > 0 {
		f.configurationWatch.next = Call{Part: ConfigurationOnly, At: now.Add(configurationBatchDelay)}
	}
	if v.Configuration != nil {
		// Versions come faster than they are read. The next watch would return them in
		// turn, each in full.
		f.configurationWatch.next.List = c.Versions > 1
	}
	return v
}

// HandleInconclusiveConfigurationFailure handles the failure of a configuration call that
// tells nothing of the store. The first one is followed by the next call at once.
func (f *Follower) HandleInconclusiveConfigurationFailure(now time.Time, cause string) Update {
	return f.HandleConfigurationFailure(now, f.configurationWatch.failures == 0, cause)
}

// HandleConfigurationFailure handles the failure of a configuration call. The
// next call reads only the newest version, since the transfer of several full
// versions may have caused a timeout. If atOnce is set, as when the store has discarded
// history, it is made without a delay.
func (f *Follower) HandleConfigurationFailure(now time.Time, atOnce bool, cause string) Update {
	var v Update
	v.addNote("configuration read failed", cause)
	failures := f.configurationWatch.failures + 1
	wait := f.backoff(failures)
	if atOnce {
		wait = 0
	}
	f.configurationWatch = configurationWatchState{
		position: f.configurationWatch.position,
		active:   f.configurationWatch.active,
		failures: failures,
		next:     Call{Part: ConfigurationOnly, At: now.Add(wait), List: true},
	}
	return v
}
