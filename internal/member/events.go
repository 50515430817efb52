package member

import (
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// Event is an input of the state machine.
type Event interface{ memberEvent() }

// Events.
type (
	// Tick passes time.
	Tick struct{}
	// Listed is a new reading of the platform's list.
	Listed struct{ Instances []source.Instance }
	// Received is a gossip message of a peer; the effect Reply answers it.
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
	// InForce is a change of the version in force here.
	InForce struct {
		Version uint64
		Root    config.Hash
		Ready   bool
		// SourceFailing is the flag of the same name in the record.
		SourceFailing bool
	}
	// Leave marks this instance as leaving.
	Leave struct{}
	// Refused reports the highest version refused here.
	Refused struct{ Version uint64 }
	// Publish spreads a rumour from here.
	Publish struct{ Rumour Rumour }
)

func (Tick) memberEvent()     {}
func (Listed) memberEvent()   {}
func (Received) memberEvent() {}
func (Answered) memberEvent() {}
func (Failed) memberEvent()   {}
func (InForce) memberEvent()  {}
func (Leave) memberEvent()    {}
func (Refused) memberEvent()  {}
func (Publish) memberEvent()  {}

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
	// Changed reports a new view.
	Changed struct{}
	// Transition reports a change of an instance's state. With More set it
	// stands for that many further changes in the same step.
	Transition struct {
		ID       string
		From, To State
		Cause    string
		More     int
	}
	// Learnt reports a rumour, once at each instance, the publisher included.
	Learnt struct{ Rumour Rumour }
	// Violation reports a message that was refused; Cause is one of a small
	// set of texts.
	Violation struct{ From, Cause string }
)

func (Send) memberEffect()       {}
func (Reply) memberEffect()      {}
func (Changed) memberEffect()    {}
func (Transition) memberEffect() {}
func (Learnt) memberEffect()     {}
func (Violation) memberEffect()  {}
