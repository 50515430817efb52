package member

import (
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// Event is an input of the state machine.
type Event interface{ memberEvent() }

// Events.
type (
	// Tick advances the timers.
	Tick struct{}
	// Listed reports a new reading of the platform's instance list.
	Listed struct{ Instances []source.Instance }
	// Received is a gossip message from a peer; the effect Reply answers it.
	Received struct {
		Call    uint64
		Message Gossip
	}
	// Answered is the answer of the instance From to the Send with the same Call.
	Answered struct {
		Call    uint64
		From    string
		Message Gossip
	}
	// Failed reports that the instance ID did not answer the Send with the
	// same Call.
	Failed struct {
		Call uint64
		ID   string
	}
	// VersionHeld reports the configuration version that this instance holds
	// and the instance's readiness. The version is in force here once the
	// instance is ready.
	VersionHeld struct {
		Version uint64
		Root    config.Hash
		Ready   bool
		// SourceFailing is Record.SourceFailing.
		SourceFailing bool
	}
	// Leave marks this instance as leaving.
	Leave struct{}
	// VersionRefused reports the highest configuration version that this instance
	// refused as a whole.
	VersionRefused struct{ Version uint64 }
	// Publish disseminates a rumour to all instances, this one included.
	Publish struct{ Rumour Rumour }
)

func (Tick) memberEvent()           {}
func (Listed) memberEvent()         {}
func (Received) memberEvent()       {}
func (Answered) memberEvent()       {}
func (Failed) memberEvent()         {}
func (VersionHeld) memberEvent()    {}
func (Leave) memberEvent()          {}
func (VersionRefused) memberEvent() {}
func (Publish) memberEvent()        {}

// Effect is an output of the state machine.
type Effect interface{ memberEffect() }

// Effects.
type (
	// Send sends a gossip message; the host reports Answered or Failed with
	// the same Call.
	Send struct {
		Call        uint64
		To, Address string
		Message     Gossip
	}
	// Reply answers the message with the same Call.
	Reply struct {
		Call    uint64
		Message Gossip
	}
	// ViewChanged reports that the view changed.
	ViewChanged struct{}
	// Transition reports a change of an instance's state. If More is set, it
	// stands for that many further state changes in the same step, and the
	// other fields are empty.
	Transition struct {
		ID       string
		From, To State
		Cause    string
		More     int
	}
	// RumourLearnt reports a rumour that is new here. Every instance reports a
	// rumour once, the publisher included.
	RumourLearnt struct{ Rumour Rumour }
	// ProtocolViolation reports that something a peer sent was refused. Cause
	// is one of a fixed set of texts and serves as a metric label.
	ProtocolViolation struct{ From, Cause string }
)

func (Send) memberEffect()              {}
func (Reply) memberEffect()             {}
func (ViewChanged) memberEffect()       {}
func (Transition) memberEffect()        {}
func (RumourLearnt) memberEffect()      {}
func (ProtocolViolation) memberEffect() {}
