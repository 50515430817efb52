// Package dist distributes configuration versions among the proxies. It decides
// which proxies read the configuration source, which peer announces and
// transfers a version to which, and which version this instance enforces.
//
// The package is a pure state machine: it does no I/O and reads no clock. Its
// main invariant is that the version enforced never decreases.
package dist

import (
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// Event is an input of the state machine.
type Event interface{ distEvent() }

// Events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// MembershipChanged is a new membership view, which includes this instance.
	MembershipChanged struct{ Records []member.Record }
	// InstancesListed is a new reading of the platform's list of instances.
	InstancesListed struct{ Instances []source.Instance }
	// Announced is an announcement received from a peer.
	Announced struct{ Announcement }
	// PullReceived is a pull request from a peer, answered by the effect
	// ReplyPull.
	PullReceived struct {
		Call    uint64
		Request PullRequest
	}
	// Pulled is the result of the Pull effect with the same Call.
	Pulled struct {
		Call  uint64
		From  string
		Reply PullReply
		// Err is empty if the call succeeded.
		Err string
	}
	// Published is a version read by the source.Follower. If
	// Config.Followed is set, versions arrive by this event only, and
	// WatchSource is not emitted.
	Published struct{ Configuration source.Configuration }
	// SourceRead is the result of the WatchSource effect. Without Err, a
	// zero Version means that nothing changed.
	SourceRead struct {
		Version  uint64
		Snapshot *config.Snapshot
		Refused  config.Problems
		Err      string
	}
)

func (Tick) distEvent()              {}
func (MembershipChanged) distEvent() {}
func (InstancesListed) distEvent()   {}
func (Announced) distEvent()         {}
func (PullReceived) distEvent()      {}
func (Pulled) distEvent()            {}
func (SourceRead) distEvent()        {}
func (Published) distEvent()         {}

// Effect is an output of the state machine.
type Effect interface{ distEffect() }

// Effects.
type (
	// WatchSource requests a long poll for a manifest above After; the host
	// reports SourceRead.
	WatchSource struct {
		After uint64
		Wait  time.Duration
		// Rate limits the reads of blobs, in calls per second; 0 means
		// no limit.
		Rate float64
	}
	// StopSource cancels the watch in progress; no SourceRead follows.
	StopSource struct{}
	// Pull sends a pull request to a peer; the host reports Pulled.
	Pull struct {
		Call        uint64
		To, Address string
		Request     PullRequest
	}
	// Announce sends an announcement to a peer.
	Announce struct {
		To, Address  string
		Announcement Announcement
	}
	// ReplyPull answers the pull request with the same Call.
	ReplyPull struct {
		Call  uint64
		Reply PullReply
	}
	// Enforce puts a snapshot in force on this instance.
	Enforce struct{ Snapshot *config.Snapshot }
	// HeadChanged is the new state that this instance publishes to the
	// fleet.
	HeadChanged struct {
		Head          Head
		Ready         bool
		SourceFailing bool
	}
	// BecameReady reports that the instance may accept requests, and why.
	BecameReady struct{ Cause string }
	// VersionRefused reports a version that is invalid as a whole and not applied.
	VersionRefused struct {
		Version  uint64
		Problems config.Problems
	}
	// RoleChanged reports a change of this instance's role.
	RoleChanged struct{ From, To Role }
	// ProtocolViolation reports a protocol violation by a peer or the source.
	ProtocolViolation struct{ From, Cause string }
)

func (WatchSource) distEffect()       {}
func (StopSource) distEffect()        {}
func (Pull) distEffect()              {}
func (Announce) distEffect()          {}
func (ReplyPull) distEffect()         {}
func (Enforce) distEffect()           {}
func (HeadChanged) distEffect()       {}
func (BecameReady) distEffect()       {}
func (VersionRefused) distEffect()    {}
func (RoleChanged) distEffect()       {}
func (ProtocolViolation) distEffect() {}
