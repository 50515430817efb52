package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/source"
)

// callStore makes a call of the store when it is due.
func (h *Host) callStore(c source.Call) {
	if h.sleep(time.Until(c.At)) {
		h.step(h.askStore(c))
	}
}

// relaySlack is the time that a reader may take beyond the wait; then another
// one, or the store, is asked.
const relaySlack = 700 * time.Millisecond

func (h *Host) askStore(c source.Call) node.Event {
	if c.Reader != nil {
		return h.askReader(c)
	}
	if c.Part == source.ConfigurationOnly {
		return h.askVersions(c)
	}
	if c.List {
		listing, err := h.feed.List(h.ctx)
		if err != nil {
			return storeFailed(err)
		}
		return node.StoreListed{Listing: listing}
	}
	changes, err := h.feed.Watch(h.ctx, c.Part, c.After, c.Wait)
	if err != nil {
		return storeFailed(err)
	}
	return node.StoreChanged{Changes: changes}
}

// askVersions asks for the configuration alone.
func (h *Host) askVersions(c source.Call) node.Event {
	var changes source.Changes
	var err error
	if c.List {
		changes, err = h.feed.Newest(h.ctx)
	} else {
		changes, err = h.feed.Watch(h.ctx, c.Part, c.After, c.Wait)
	}
	if err != nil {
		return node.VersionsFailed(storeFailed(err))
	}
	return node.VersionsChanged{Changes: changes}
}

// askReader asks another proxy in place of the store.
func (h *Host) askReader(c source.Call) node.Event {
	var request source.RelayRequest
	h.view(func(n *node.Node) { request = n.RelayRequest(c) })
	ctx, cancel := context.WithTimeout(h.ctx, c.Wait+relaySlack)
	defer cancel()
	reply, err := h.transport.Follow(ctx, c.Reader.PeerAddress, request)
	event := node.StoreRelayed{Reader: c.Reader.ID, AnyAge: c.AnyAge, Reply: reply}
	if err != nil {
		event.Err = err.Error()
	}
	return event
}

// Follow implements peer.Handler.
func (h *Host) Follow(ctx context.Context, r source.RelayRequest) (source.RelayReply, error) {
	return ask[source.RelayReply](ctx, h, func(call uint64) any { return node.RelayReceived{Call: call, Request: r} })
}

func storeFailed(err error) node.StoreFailed {
	return node.StoreFailed{Compacted: errors.Is(err, source.ErrCompacted), Cause: err.Error()}
}
