package host

import (
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

func (h *Host) askStore(c source.Call) node.Event {
	if c.List {
		listing, err := h.feed.List(h.ctx)
		if err != nil {
			return storeFailed(err)
		}
		return node.StoreListed{Listing: listing}
	}
	changes, err := h.feed.Watch(h.ctx, c.After, c.Wait)
	if err != nil {
		return storeFailed(err)
	}
	return node.StoreChanged{Changes: changes}
}

func storeFailed(err error) node.StoreFailed {
	return node.StoreFailed{Compacted: errors.Is(err, source.ErrCompacted), Cause: err.Error()}
}
