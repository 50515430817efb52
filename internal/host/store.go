package host

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/source"
)

// callStore waits until the earliest time of a call to the store and makes it.
func (h *Host) callStore(c source.Call) {
	if h.sleep(time.Until(c.At)) {
		h.step(h.readStoreSafely(c))
	}
}

// relayMargin is added to the wait of a relay request to give its timeout. After
// the timeout another reader, or the store itself, is asked.
const relayMargin = 700 * time.Millisecond

func (h *Host) readStore(c source.Call) node.Event {
	if c.Reader != nil {
		return h.readRelay(c)
	}
	if c.Part == source.ConfigurationOnly {
		return h.readVersions(c)
	}
	if c.Survey {
		listing, err := h.feed.Survey(h.ctx)
		if err != nil {
			return storeFailure(err)
		}
		return node.StoreSurveyed{Listing: listing}
	}
	if c.List {
		listing, err := h.feed.List(h.ctx, c.Part)
		if err != nil {
			return storeFailure(err)
		}
		return node.StoreListed{Listing: listing}
	}
	changes, err := h.feed.Watch(h.ctx, c.Part, c.After, c.Wait)
	if err != nil {
		return storeFailure(err)
	}
	return node.StoreChanged{Changes: changes}
}

// readVersions reads only the configuration part of the store.
func (h *Host) readVersions(c source.Call) node.Event {
	var changes source.Changes
	var err error
	if c.List {
		changes, err = h.feed.Newest(h.ctx)
	} else {
		changes, err = h.feed.Watch(h.ctx, c.Part, c.After, c.Wait)
	}
	if err != nil {
		return node.VersionsFailed(storeFailure(err))
	}
	return node.VersionsChanged{Changes: changes}
}

// readRelay asks another proxy, the reader, instead of the store.
func (h *Host) readRelay(c source.Call) node.Event {
	var request source.RelayRequest
	h.view(func(n *node.Node) { request = n.RelayRequest(c) })
	ctx, cancel := context.WithTimeout(h.ctx, c.Wait+relayMargin)
	defer cancel()
	defer h.reportDelay(c)()
	reply, err := h.transport.Relay(ctx, c.Reader.PeerAddress, request)
	if c.Part == source.OperatorOnly {
		event := node.QuestionAnswered{Peer: c.Reader.ID, Reply: reply}
		if err != nil {
			event.Err = err.Error()
		}
		return event
	}
	event := node.StoreRelayed{Reader: c.Reader.ID, AnyAge: c.AllowStale, Reply: reply}
	if err != nil {
		event.Err = err.Error()
	}
	return event
}

// reportDelay reports when the reply to a call to a reader is delayed. The call must run
// the returned function when it ends: no delay is reported after that.
func (h *Host) reportDelay(c source.Call) (end func()) {
	if c.Delay == 0 {
		return func() {}
	}
	reported := make(chan struct{})
	timer := time.AfterFunc(c.Wait+c.Delay, func() {
		defer close(reported)
		defer h.recoverBackground()
		h.step(node.ReaderDelayed{Reader: c.Reader.ID})
	})
	return func() {
		if !timer.Stop() {
			<-reported
		}
	}
}

// Relay implements peer.Handler.
func (h *Host) Relay(ctx context.Context, r source.RelayRequest) (source.RelayReply, error) {
	return awaitReply[source.RelayReply](ctx, h, func(call uint64) any { return node.RelayReceived{Call: call, Request: r} })
}

func storeFailure(err error) node.StoreFailed {
	return node.StoreFailed{
		Compacted:    errors.Is(err, source.ErrCompacted),
		Inconclusive: errors.Is(err, source.ErrInconclusive),
		Unreadable:   errors.Is(err, source.ErrMalformed),
		Cause:        err.Error(),
	}
}
