package host

import (
	"context"
	"crypto/tls"
	"net"

	"heatherlift.example/heatherlift/internal/forward"
)

// dialPeer connects to another proxy's forward listener, over TLS unless peers
// use plaintext.
func (h *Host) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	cfg := h.peerTLS()
	if cfg == nil {
		return forward.DialTCP(ctx, address)
	}
	return (&tls.Dialer{Config: cfg}).DialContext(ctx, "tcp", address)
}

// peerListener wraps the forward listener in TLS unless peers use plaintext.
func (h *Host) peerListener(l net.Listener) net.Listener {
	cfg := h.peerTLS()
	if cfg == nil {
		return l
	}
	return tls.NewListener(l, cfg)
}
