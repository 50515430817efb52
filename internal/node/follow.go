package node

import (
	"time"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/source"
)

// Events about the store that holds configuration and instances.
type (
	// StoreListed is the result of a complete reading.
	StoreListed struct{ Listing source.Listing }
	// StoreChanged is the result of a watch.
	StoreChanged struct{ Changes source.Changes }
	// StoreFailed is the failure of a call.
	StoreFailed struct {
		// Compacted reports that the history was discarded.
		Compacted bool
		Cause     string
	}
	// VersionsChanged and VersionsFailed are the result of a call for the
	// configuration alone.
	VersionsChanged struct{ Changes source.Changes }
	VersionsFailed  struct {
		Compacted bool
		Cause     string
	}
	// StoreRelayed is a reader's answer in place of the store's.
	StoreRelayed struct {
		Reader string
		// AnyAge is that of the request.
		AnyAge bool
		Reply  source.RelayReply
		// Err is empty if the reader answered.
		Err string
	}
)

// stepFollower feeds the result of a call to the follower; the effect is the
// next call.
func (n *Node) stepFollower(now time.Time, e Event, out *Effects) {
	var view source.View
	var next source.Call
	switch e := e.(type) {
	case StoreListed:
		view, next = n.follower.Listed(now, e.Listing)
	case StoreChanged:
		view, next = n.follower.Watched(now, e.Changes)
	case StoreFailed:
		view, next = n.follower.Failed(now, e.Compacted, e.Cause)
	case StoreRelayed:
		view, next = n.relayed(now, e)
	}
	out.Store = append(out.Store, next)
	n.learn(now, view, out)
}

// askVersions calls for the configuration alone if that is due.
func (n *Node) askVersions(now time.Time, out *Effects) {
	if call, ok := n.follower.Versions(now); ok {
		out.Store = append(out.Store, call)
	}
}

// learn passes on what the follower learnt, the instances first: a version
// that is in force can then be served at once.
func (n *Node) learn(now time.Time, v source.View, out *Effects) {
	for _, note := range v.Notes {
		n.journal.add(now, note.What, note.Cause)
	}
	if v.Instances != nil {
		n.listed(now, v.Instances, out)
	}
	if v.Configuration != nil {
		n.stepDist(now, dist.Published{Configuration: *v.Configuration}, out)
	}
}
