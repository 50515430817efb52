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
)

// Head names a version and its content.
type Head struct {
	Version uint64      `json:"version"`
	Root    config.Hash `json:"root"`
}

// Announcement tells peers that the sender holds a version.
type Announcement struct {
	From string `json:"from"`
	Head Head   `json:"head"`
}

// PullRequest asks a peer for its version.
type PullRequest struct {
	From string `json:"from"`
	// Have is the version that the sender holds, zero if none.
	Have Head `json:"have"`
	// Services is the sender's scope; empty with All set.
	Services []string `json:"services,omitempty"`
	// All asks for every service.
	All bool `json:"all,omitempty"`
}

// PullReply answers a PullRequest.
type PullReply struct {
	// Delta is nil if the answering proxy has nothing newer.
	Delta *config.Delta `json:"delta,omitempty"`
	// RetryAfter asks the receiver to come back, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

// Event is an input of the state machine.
type Event interface{ distEvent() }

// Events.
type (
	// Tick passes time.
	Tick struct{}
	// Peers is a new view of the fleet, this instance included.
	Peers struct{ Records []member.Record }
	// Announced is an announcement of a peer.
	Announced struct{ Announcement }
	// PullReceived is a peer's request; the effect ReplyPull answers it.
	PullReceived struct {
		Call    uint64
		Request PullRequest
	}
	// Pulled is the answer to the Pull effect.
	Pulled struct {
		From  string
		Reply PullReply
		// Err is empty if the call succeeded.
		Err string
	}
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
func (Announced) distEvent()    {}
func (PullReceived) distEvent() {}
func (Pulled) distEvent()       {}
func (SourceRead) distEvent()   {}

// Effect is an output of the state machine.
type Effect interface{ distEffect() }

// Effects.
type (
	// WatchSource waits for a manifest above After; the host reports SourceRead.
	WatchSource struct {
		After uint64
		Wait  time.Duration
	}
	// StopSource ends the watch in progress; no SourceRead follows.
	StopSource struct{}
	// Pull calls a peer; the host reports Pulled.
	Pull struct {
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
func (Refused) distEffect()     {}
func (RoleChanged) distEffect() {}
func (Violation) distEffect()   {}
