package node

import (
	"encoding/json"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// maxRelays bounds the pending long-poll requests of other proxies.
const maxRelays = 1024

// RelayReceived is a long-poll request of a proxy that follows the store through
// this one. A ReplyRelay follows when there is a change or when the requested
// wait has elapsed.
type RelayReceived struct {
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
	// deltas caches the encoded deltas to the version with the root deltaRoot,
	// by the root of their base, since most proxies request the same one.
	deltaRoot config.Hash
	deltas    map[config.Hash]json.RawMessage
}

type pendingRelay struct {
	RelayReceived
	deadline time.Time
}

// relayReceived adds a request to the pending ones. It replies at once, with Stale,
// if this proxy does not follow the store or too many requests are pending.
func (n *Node) relayReceived(now time.Time, e RelayReceived, out *Effects) {
	if n.follower == nil || len(n.relay.pending) >= maxRelays {
		out.Relay = append(out.Relay, ReplyRelay{Call: e.Call, Reply: source.RelayReply{Stale: true}})
		return
	}
	n.follower.RecordRelayRequest(now, e.Request)
	deadline := now.Add(time.Duration(e.Request.WaitMs) * time.Millisecond)
	n.relay.pending = append(n.relay.pending, pendingRelay{RelayReceived: e, deadline: deadline})
	n.answerRelayRequests(now, out)
}

// answerRelayRequests answers the pending requests for which there is a change or
// whose wait has elapsed, and all of them while this proxy is leaving.
func (n *Node) answerRelayRequests(now time.Time, out *Effects) {
	remaining := n.relay.pending[:0]
	for _, pending := range n.relay.pending {
		if !n.follower.CanReplyNow(pending.Request) && now.Before(pending.deadline) && !n.leaving {
			remaining = append(remaining, pending)
			continue
		}
		reply := n.follower.Reply(pending.Request)
		reply.Stale = reply.Stale || n.leaving
		if !reply.Declined {
			reply.Delta = n.deltaFor(pending.Request)
		}
		out.Relay = append(out.Relay, ReplyRelay{Call: pending.Call, Reply: reply})
	}
	n.relay.pending = remaining
}

// deltaFor returns the encoded delta from the version of the request to the one
// held here, nil if the latter is not newer.
func (n *Node) deltaFor(r source.RelayRequest) json.RawMessage {
	held := n.dist.HeldHead()
	if held.Version <= r.Version {
		return nil
	}
	if n.relay.deltaRoot != held.Root {
		n.relay.deltaRoot = held.Root
		n.relay.deltas = make(map[config.Hash]json.RawMessage)
	}
	if text, ok := n.relay.deltas[r.Root]; ok {
		return text
	}
	text, err := json.Marshal(n.dist.DeltaFrom(r.Root))
	if err != nil {
		panic(err) // cannot happen: the type holds only strings and numbers
	}
	n.relay.deltas[r.Root] = text
	return text
}

// applyRelayReply passes the reply of a reader or seed to the follower and returns
// the next call. A reply that cannot be used counts as a failure of the sender.
func (n *Node) applyRelayReply(now time.Time, e StoreRelayed) (source.Update, source.Call) {
	if e.Err == "" && e.Reply.Declined {
		return source.Update{}, n.follower.HandleReaderDeclined(now, e.Reader)
	}
	if e.Err == "" && e.Reply.Stale {
		e.Err = "reply is stale: the sender may not have the current content of the store"
	}
	var c *source.Configuration
	if e.Err == "" && len(e.Reply.Delta) > 0 {
		var err error
		if c, err = n.buildFromDelta(e.Reply.Delta); err != nil {
			e.Err = err.Error()
		}
	}
	if e.Err == "" && e.AnyAge && c == nil && n.dist.HeldHead().Version == 0 {
		// A watch that starts at the revision of the reply would report only
		// later versions, not the one that the store holds.
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

// buildFromDelta decodes a delta and applies it to the version held here.
func (n *Node) buildFromDelta(text json.RawMessage) (*source.Configuration, error) {
	var delta config.Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return nil, err
	}
	snapshot, err := n.dist.BuildSnapshot(&delta)
	if err != nil {
		return nil, err
	}
	return &source.Configuration{Version: delta.Version, Snapshot: snapshot}, nil
}

// RelayRequest returns the request that carries a call of the follower to another
// proxy.
func (n *Node) RelayRequest(c source.Call) source.RelayRequest {
	held := n.dist.HeldHead()
	return source.RelayRequest{After: c.After, List: n.follower.ListHash(), Version: held.Version, Root: held.Root, WaitMs: c.Wait.Milliseconds(), Force: c.Force, AllowStale: c.AllowStale}
}
