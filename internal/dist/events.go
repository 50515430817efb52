// Package dist distributes configuration versions among the proxies. It
// decides which proxies read the source, who announces and who transfers a
// version to whom, and which version is enforced here.
//
// It is a pure state machine: it does no I/O and reads no clock. Its first
// invariant is that the version enforced never falls.
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
	// Tick passes time.
	Tick struct{}
	// Peers is a new view of the fleet, this instance included.
	Peers struct{ Records []member.Record }
	// Listed is a new reading of the platform's list of instances.
	Listed struct{ Instances []source.Instance }
	// Announced is an announcement of a peer.
	Announced struct{ Announcement }
	// PullReceived is a peer's request; the effect ReplyPull answers it.
	PullReceived struct {
		Call    uint64
		Request PullRequest
	}
	// Pulled is the answer to the Pull effect with the same Call.
	Pulled struct {
		Call  uint64
		From  string
		Reply PullReply
		// Err is empty if the call succeeded.
		Err string
	}
	// Published is a version read by a follower of the source, which replaces
	// WatchSource if Config.Followed is set.
	Published struct{ Configuration source.Configuration }
	// SourceRead is the outcome of the WatchSource effect. A zero Version
	// without Err means that nothing changed.
	SourceRead struct {
		Version  uint64
		Snapshot *config.Snapshot
		Refused  config.Problems
		Err      string
	}
)

func (Tick) distEvent()         {}
func (Peers) distEvent()        {}
func (Listed) distEvent()       {}
func (Announced) distEvent()    {}
func (PullReceived) distEvent() {}
func (Pulled) distEvent()       {}
func (SourceRead) distEvent()   {}
func (Published) distEvent()    {}

// Effect is an output of the state machine.
type Effect interface{ distEffect() }

// Effects.
type (
	// WatchSource waits for a manifest above After; the host reports SourceRead.
	WatchSource struct {
		After uint64
		Wait  time.Duration
		// Rate bounds the reads of blobs, in calls a second.
		Rate float64
	}
	// StopSource ends the watch in progress; no SourceRead follows.
	StopSource struct{}
	// Pull calls a peer; the host reports Pulled.
	Pull struct {
		Call        uint64
		To, Address string
		Request     PullRequest
	}
	// Announce notifies a peer.
	Announce struct {
		To, Address  string
		Announcement Announcement
	}
	// ReplyPull answers the request with the same Call.
	ReplyPull struct {
		Call  uint64
		Reply PullReply
	}
	// Enforce puts a snapshot in force.
	Enforce struct{ Snapshot *config.Snapshot }
	// HeadChanged reports what this instance tells the fleet about itself.
	HeadChanged struct {
		Head          Head
		Ready         bool
		SourceFailing bool
	}
	// BecameReady reports that the instance may take requests, and why.
	BecameReady struct{ Cause string }
	// Refused reports a version that is not accepted.
	Refused struct {
		Version  uint64
		Problems config.Problems
	}
	// RoleChanged reports a new role of this instance.
	RoleChanged struct{ From, To Role }
	// Violation reports a peer or source that broke the rules.
	Violation struct{ From, Cause string }
)

func (WatchSource) distEffect() {}
func (StopSource) distEffect()  {}
func (Pull) distEffect()        {}
func (Announce) distEffect()    {}
func (ReplyPull) distEffect()   {}
func (Enforce) distEffect()     {}
func (HeadChanged) distEffect() {}
func (BecameReady) distEffect() {}
func (Refused) distEffect()     {}
func (RoleChanged) distEffect() {}
func (Violation) distEffect()   {}
