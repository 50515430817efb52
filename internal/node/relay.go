package node

import (
	"encoding/json"
	"time"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/source"
)

// maxRelays bounds the requests of other proxies that wait here.
const maxRelays = 1024

// RelayReceived is the request of a proxy that follows the store through this
// one; a RelayAnswer follows when there is news or its wait has passed.
type RelayReceived struct {
	Call    uint64
	Request source.RelayRequest
}

// RelayAnswer answers the request with the same Call.
type RelayAnswer struct {
	Call  uint64
	Reply source.RelayReply
}

// relay holds the requests that wait for news.
type relay struct {
	waiting []waitingRelay
	// deltas holds the encoded deltas to the version target, by the root that
	// they start from, since most proxies ask for the same one.
	target config.Hash
	deltas map[config.Hash]json.RawMessage
}

type waitingRelay struct {
	RelayReceived
	until time.Time
}

func (n *Node) relayReceived(now time.Time, e RelayReceived, out *Effects) {
	if n.follower == nil || len(n.relay.waiting) >= maxRelays {
		out.Relay = append(out.Relay, RelayAnswer{Call: e.Call, Reply: source.RelayReply{Stale: true}})
		return
	}
	n.follower.Asked(now, e.Request)
	until := now.Add(time.Duration(e.Request.WaitMs) * time.Millisecond)
	n.relay.waiting = append(n.relay.waiting, waitingRelay{RelayReceived: e, until: until})
	n.answerRelays(now, out)
}

// answerRelays answers the requests for which there is news or whose wait has
// passed.
func (n *Node) answerRelays(now time.Time, out *Effects) {
	kept := n.relay.waiting[:0]
	for _, w := range n.relay.waiting {
		if !n.follower.HasNews(w.Request) && now.Before(w.until) && !n.leaving {
			kept = append(kept, w)
			continue
		}
		reply := n.follower.Answer(w.Request)
		reply.Stale = reply.Stale || n.leaving
		if !reply.Declined {
			reply.Delta = n.deltaFor(w.Request)
		}
		out.Relay = append(out.Relay, RelayAnswer{Call: w.Call, Reply: reply})
	}
	n.relay.waiting = kept
}

// deltaFor returns the encoded delta that a request needs, nil if none.
func (n *Node) deltaFor(r source.RelayRequest) json.RawMessage {
	held := n.dist.Held()
	if held.Version <= r.Version {
		return nil
	}
	if n.relay.target != held.Root {
		n.relay.target = held.Root
		n.relay.deltas = make(map[config.Hash]json.RawMessage)
	}
	if text, ok := n.relay.deltas[r.Root]; ok {
		return text
	}
	text, err := json.Marshal(n.dist.DeltaFrom(r.Root))
	if err != nil {
		panic(err) // the type holds only strings and numbers
	}
	n.relay.deltas[r.Root] = text
	return text
}

// relayed takes a reader's answer. One that cannot be used counts as a failure
// of the reader.
func (n *Node) relayed(now time.Time, e StoreRelayed) (source.View, source.Call) {
	if e.Err == "" && e.Reply.Declined {
		return source.View{}, n.follower.ReaderDeclined(now, e.Reader)
	}
	if e.Err == "" && e.Reply.Stale {
		e.Err = "is not certain of what the store holds"
	}
	var c *source.Configuration
	if e.Err == "" && len(e.Reply.Delta) > 0 {
		var err error
		if c, err = n.applyRelayed(e.Reply.Delta); err != nil {
			e.Err = err.Error()
		}
	}
	if e.Err == "" && e.AnyAge && c == nil && n.dist.Held().Version == 0 {
		e.Err = "knows no version" // the store would tell only of the next one
	}
	switch {
	case e.Err != "" && e.AnyAge:
		return n.follower.SeedFailed(now, e.Reader, e.Err)
	case e.Err != "":
		return n.follower.ReaderFailed(now, e.Reader, e.Err)
	case e.AnyAge:
		return n.follower.Seeded(now, e.Reader, e.Reply, c)
	}
	return n.follower.Relayed(now, e.Reader, e.Reply, c)
}

func (n *Node) applyRelayed(text json.RawMessage) (*source.Configuration, error) {
	var delta config.Delta
	if err := json.Unmarshal(text, &delta); err != nil {
		return nil, err
	}
	snapshot, err := n.dist.Build(&delta)
	if err != nil {
		return nil, err
	}
	return &source.Configuration{Version: delta.Version, Snapshot: snapshot}, nil
}

// RelayRequest returns what this proxy asks a reader for.
func (n *Node) RelayRequest(c source.Call) source.RelayRequest {
	held := n.dist.Held()
	return source.RelayRequest{After: c.After, List: n.follower.ListHash(), Version: held.Version, Root: held.Root, WaitMs: c.Wait.Milliseconds(), Insist: c.Insist, AnyAge: c.AnyAge}
}
