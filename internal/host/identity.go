package host

import (
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/settings"
)

// loadIdentity reads the TLS files, or returns nil for plaintext.
func loadIdentity(p settings.Peers) (*identity.Identity, error) {
	if p.Plaintext {
		return nil, nil
	}
	return identity.Load(identity.Files{
		Certificate: p.Certificate,
		Key:         p.Key,
		Authorities: p.Authorities,
	}, p.Name)
}

// peerTLS returns the TLS configuration between proxies, nil for plaintext.
func (h *Host) peerTLS() *tls.Config {
	if h.identity == nil {
		return nil
	}
	return h.identity.TLS()
}

// watchIdentity reads the TLS files again at intervals.
func (h *Host) watchIdentity() {
	if h.identity == nil {
		return
	}
	h.registerExpiry()
	failing := false
	for h.sleep(time.Duration(h.settings.Peers.ReloadInterval)) {
		changed, err := h.identity.Reload()
		switch {
		case err != nil && !failing:
			h.log.Error("TLS files cannot be used; the ones read before stay in use", "error", err)
		case changed:
			h.log.Info("TLS files replaced", "expiry", h.identity.Expiry())
		}
		failing = err != nil
	}
}

func (h *Host) registerExpiry() {
	h.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherlift_peer_certificate_expiry_timestamp_seconds",
		Help: "End of the validity of this proxy's certificate, in seconds since the epoch.",
	}, func() float64 { return float64(h.identity.Expiry().Unix()) }))
}
