package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/source"
)

// Events about the store that holds configuration and instances.
type (
	// StoreListed is the result of reading the full content of the store.
	StoreListed struct{ Listing source.Listing }
	// StoreSurveyed is the result of a survey.
	StoreSurveyed struct{ Listing source.Listing }
	// StoreChanged is the result of a watch call.
	StoreChanged struct{ Changes source.Changes }
	// StoreFailed reports that a call failed.
	StoreFailed struct {
		// Compacted reports that the store has discarded the history after the
		// requested revision.
		Compacted bool
		// Inconclusive reports that the failure tells nothing of the store, and
		// Unreadable, which implies it, that the store answered with what cannot be read.
		Inconclusive, Unreadable bool
		Cause                    string
	}
	// VersionsChanged and VersionsFailed are the results of a call for the
	// configuration only.
	VersionsChanged struct{ Changes source.Changes }
	VersionsFailed  StoreFailed
	// StoreRelayed is the reply of another proxy, a reader or a seed, to a call
	// that was sent to it instead of to the store.
	StoreRelayed struct {
		// Reader identifies the other proxy.
		Reader string
		// AnyAge is AllowStale of the request; it is set for seeds.
		AnyAge bool
		Reply  source.RelayReply
		// Err is empty if the call succeeded.
		Err string
	}
	// ReaderDelayed reports that the reply of a reader is delayed, as defined by
	// source.Call.Delay. The StoreRelayed of the call follows.
	ReaderDelayed struct{ Reader string }
)

// stepFollower passes the result of a call to the follower and emits the next
// call, unless the next call was made when the reply was delayed.
func (n *Node) stepFollower(now time.Time, e Event, out *Effects) {
	var update source.Update
	var next source.Call
	superseded := false
	switch e := e.(type) {
	case StoreListed:
		update, next = n.follower.HandleListing(now, e.Listing)
	case StoreSurveyed:
		next = n.follower.HandleSurvey(now, e.Listing)
	case StoreChanged:
		update, next = n.follower.HandleChanges(now, e.Changes)
	case StoreFailed:
		if e.Inconclusive {
			update, next = n.follower.HandleInconclusiveFailure(now, e.Unreadable, e.Cause)
		} else {
			update, next = n.follower.HandleFailure(now, e.Compacted, e.Cause)
		}
	case ReaderDelayed:
		update, next = n.follower.HandleReaderDelay(now, e.Reader)
	case StoreRelayed:
		update, next = n.applyRelayReply(now, e)
		superseded = !e.AnyAge && n.follower.EndReaderDelay(e.Reader)
	}
	if !superseded {
		n.follower.RecordCall(next)
		out.Store = append(out.Store, next)
	}
	n.applyUpdate(now, update, out)
}

// versionsFailed passes the failure of a call for the configuration only to the follower.
func (n *Node) versionsFailed(now time.Time, e VersionsFailed) source.Update {
	if e.Inconclusive {
		return n.follower.HandleInconclusiveConfigurationFailure(now, e.Cause)
	}
	return n.follower.HandleConfigurationFailure(now, e.Compacted, e.Cause)
}

// requestVersions emits the next question to another proxy and the next call for the
// operator's part of the store only, if they are due.
func (n *Node) requestVersions(now time.Time, out *Effects) {
	n.askOthers(now, out)
	if call, ok := n.follower.NextConfigurationCall(now); ok {
		out.Store = append(out.Store, call)
	}
}

// applyUpdate passes the changes seen by the follower to the other state machines.
// Instances come first, so that requests can be routed as soon as a new version
// is in force.
func (n *Node) applyUpdate(now time.Time, u source.Update, out *Effects) {
	for _, note := range u.Notes {
		n.journal.add(now, note.What, note.Cause)
	}
	if u.Evacuations != nil {
		n.applyEvacuations(now, u.Evacuations, out)
	}
	if u.Instances != nil {
		n.applyInstances(now, u.Instances, out)
	}
	if u.Configuration != nil {
		n.noteWarnings(now, u.Configuration)
		n.stepDist(now, dist.Published{Configuration: *u.Configuration}, out)
	}
}

// noteWarnings records the warnings of a version once, when it is first read.
func (n *Node) noteWarnings(now time.Time, c *source.Configuration) {
	if c.Snapshot == nil || c.Version <= n.dist.HeldHead().Version {
		return
	}
	for _, w := range c.Warnings {
		n.journal.add(now, "configuration warning", w.String())
	}
}
