package source

import "time"

// versionsGather is the pause after a version. Its transfer over a slow link
// takes most of the time in which it must be in force.
const versionsGather = 100 * time.Millisecond

// versionCall is the state of the call that follows the configuration alone.
// In a large fleet a version is large as well; the list of instances, which
// binds within a shorter time, must not wait behind it.
type versionCall struct {
	busy     bool
	revision uint64
	next     Call
	failures int
}

// large reports whether instances and configuration are followed apart.
func (f *Follower) large() bool { return len(f.known) >= relayFrom }

// storm notes a version that a watch brought, and reports whether the one
// before came shortly ago. A watch brings every version in turn, each of them
// whole; in a storm only the newest is read.
func (f *Follower) storm(now time.Time) bool {
	storm := !f.configuredAt.IsZero() && now.Sub(f.configuredAt) < stormTime
	f.configuredAt = now
	return storm
}

// Versions returns the next call for the configuration alone, or false if none
// is due: one is under way, or other calls bring the configuration.
func (f *Follower) Versions(now time.Time) (Call, bool) {
	if f.versions.busy || !f.listed || !f.large() {
		return Call{}, false
	}
	if reader, _ := f.reader(now); reader != nil {
		return Call{}, false
	}
	f.versions.busy = true
	call := f.versions.next
	if call.Part != ConfigurationOnly || call.At.Before(now) {
		call.At = now
	}
	call.Part, call.After = ConfigurationOnly, f.versions.revision
	if f.versions.failures == 0 {
		call.Wait = watchWait
	}
	return call, true
}

// VersionsRead takes the result of a call for the configuration alone.
func (f *Follower) VersionsRead(now time.Time, c Changes) View {
	var v View
	f.versions = versionCall{revision: max(f.versions.revision, c.Revision)}
	f.configure(c.Configuration, &v)
	if v.Configuration != nil {
		f.versions.next = Call{Part: ConfigurationOnly, At: now.Add(versionsGather), List: f.storm(now)}
	}
	return v
}

// VersionsFailed takes the failure of such a call. The next one reads the newest
// version alone: several whole ones may be what took too long.
func (f *Follower) VersionsFailed(now time.Time, compacted bool, cause string) View {
	var v View
	v.note("configuration not read", cause)
	failures := f.versions.failures + 1
	wait := retryWait(failures)
	if compacted {
		wait = 0
	}
	f.versions = versionCall{
		revision: f.versions.revision,
		failures: failures,
		next:     Call{Part: ConfigurationOnly, At: now.Add(wait), List: true},
	}
	return v
}
