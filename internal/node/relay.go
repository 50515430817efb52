package node

import (
	"encoding/json"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/source"
)

// maxPendingRelays bounds the requests of other proxies that wait for a change.
const maxPendingRelays = 1024

// RelayReceived is a long-poll request of another proxy that reads the store's
// content from this proxy instead of from the store. It is answered with a
// ReplyRelay when there is a change or when the requested wait has elapsed.
type RelayReceived struct {
	// Call identifies the request in the ReplyRelay.
	Call    uint64
	Request source.RelayRequest
}

// ReplyRelay answers the RelayReceived with the same Call.
type ReplyRelay struct {
	Call  uint64
	Reply source.RelayReply
}

// relayState holds the pending long-poll requests.
type relayState struct {
	pending []pendingRelay
	// deltas caches the deltas to the version deltaHead, keyed by the root of the base
	// version. Most proxies hold the same base version and so request the same delta.
	deltaHead dist.Head
	deltas    map[config.Hash]*encodedDelta
}

// encodedDelta is a delta in the forms in which it was requested.
type encodedDelta struct {
	packed config.PackedDelta
	text   json.RawMessage
}

type pendingRelay struct {
	RelayReceived
	deadline time.Time
}

// relayReceived adds a request to the pending ones. If this proxy does not follow
// the store or too many requests are pending, it replies at once with Stale, so
// that the requester tries another reader or the store.
func (n *Node) relayReceived(now time.Time, e RelayReceived, out *Effects) {
	if n.follower == nil || len(n.relay.pending) >= maxPendingRelays {
		out.Relay = append(out.Relay, ReplyRelay{Call: e.Call, Reply: source.RelayReply{Stale: true}})
		return
	}
	n.follower.RecordRelayRequest(now, e.Request)
	deadline := now.Add(time.Duration(e.Request.WaitMs) * time.Millisecond)
	n.relay.pending = append(n.relay.pending, pendingRelay{RelayReceived: e, deadline: deadline})
	n.answerRelayRequests(now, out)
}

// answerRelayRequests answers the pending requests whose wait has elapsed and
// those for which CanReplyNow holds, such as when there is a change. While this
// proxy is leaving, it answers all of them with Stale, so that the requesters try
// another reader or the store.
func (n *Node) answerRelayRequests(now time.Time, out *Effects) {
	remaining := n.relay.pending[:0]
	for _, pending := range n.relay.pending {
		if !n.follower.CanReplyNow(pending.Request) && now.Before(pending.deadline) && !n.leaving {
			remaining = append(remaining, pending)
			continue
		}
		reply := n.follower.Reply(pending.Request)
		reply.Stale = reply.Stale || n.leaving || n.follower.OutOfTouch(now)
		reply.AgeMs = n.follower.Age(now).Milliseconds()
		if !reply.Declined {
			n.addDelta(&reply, pending.Request)
		}
		out.Relay = append(out.Relay, ReplyRelay{Call: pending.Call, Reply: reply})
	}
	n.relay.pending = remaining
}

// addDelta adds the delta from the version of the request to the one held here to a
// reply, unless the latter is not newer.
func (n *Node) addDelta(reply *source.RelayReply, r source.RelayRequest) {
	held := n.dist.HeldHead()
	if held.Version <= r.Version {
		return
	}
	if n.relay.deltaHead != held {
		n.relay.deltaHead = held
		n.relay.deltas = make(map[config.Hash]*encodedDelta)
	}
	d, ok := n.relay.deltas[r.Root]
	if !ok {
		d = &encodedDelta{}
		n.relay.deltas[r.Root] = d
	}
	var err error
	switch {
	case r.AcceptsPacked && d.packed == nil:
		d.packed, err = n.dist.DeltaFrom(r.Root).Pack()
	case !r.AcceptsPacked && d.text == nil:
		d.text, err = json.Marshal(n.dist.DeltaFrom(r.Root))
	}
	if err != nil {
		panic(err) // cannot happen: every field of a Delta can be encoded as JSON
	}
	if r.AcceptsPacked {
		reply.Packed = d.packed
	} else {
		reply.Delta = d.text
	}
}

// applyRelayReply passes the reply of a reader or seed to the follower and returns
// the follower's next call. A reader is a proxy that follows the store directly
// and answers the other proxies of its availability zone; a seed is a proxy named
// in the settings that is asked for its state while the store is unreachable. A
// reply that cannot be used counts as a failure of the sender.
func (n *Node) applyRelayReply(now time.Time, e StoreRelayed) (source.Update, source.Call) {
	if e.Err == "" && e.Reply.Declined {
		return source.Update{}, n.follower.HandleReaderDeclined(now, e.Reader)
	}
	if e.Err == "" && e.Reply.Stale {
		if !e.AnyAge {
			c, err := n.buildFromReply(e.Reply)
			if err != nil {
				n.journal.add(now, "version of a reader not used", e.Reader+": "+err.Error())
			}
			return n.follower.HandleStaleReader(now, e.Reader, c)
		}
		e.Err = source.CauseStale
	}
	var c *source.Configuration
	if e.Err == "" {
		var err error
		if c, err = n.buildFromReply(e.Reply); err != nil {
			e.Err = err.Error()
		}
	}
	if e.Err == "" && e.AnyAge && c == nil && n.dist.HeldHead().Version == 0 {
		// Neither the reply nor this proxy holds a version. A watch that starts
		// at the revision of the reply would report only later versions and
		// miss the one that the store holds.
		e.Err = "reply holds no configuration version"
	}
	switch {
	case e.Err != "" && e.AnyAge:
		return n.follower.HandleSeedFailure(now, e.Reader, e.Err)
	case e.Err != "":
		return n.follower.HandleReaderFailure(now, e.Reader, e.Err)
	case e.AnyAge:
		return n.follower.HandleSeedReply(now, e.Reader, e.Reply, c)
	}
	return n.follower.HandleRelayReply(now, e.Reader, e.Reply, c)
}

// buildFromReply applies the delta of a reply to the version held here. It returns nil if
// the reply has none.
func (n *Node) buildFromReply(r source.RelayReply) (*source.Configuration, error) {
	delta := new(config.Delta)
	var err error
	switch {
	case len(r.Packed) > 0:
		delta, err = r.Packed.Unpack()
	case len(r.Delta) > 0:
		err = json.Unmarshal(r.Delta, delta)
	default:
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	snapshot, err := n.dist.BuildSnapshot(delta)
	if err != nil {
		return nil, err
	}
	return &source.Configuration{Version: delta.Version, Snapshot: snapshot}, nil
}

// RelayRequest returns the request to send to another proxy instead of the call
// c to the store.
func (n *Node) RelayRequest(c source.Call) source.RelayRequest {
	held := n.dist.HeldHead()
	evacuations := n.follower.EvacuationDigest()
	return source.RelayRequest{
		Era: c.Era, After: c.After, List: n.follower.ListHash(), Version: held.Version, Root: held.Root, WaitMs: c.Wait.Milliseconds(),
		Force: c.Force, AllowStale: c.AllowStale, OperatorOnly: c.Part == source.OperatorOnly, Evacuations: &evacuations, AcceptsPacked: true,
	}
}
