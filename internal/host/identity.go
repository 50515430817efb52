package host

import (
	"crypto/tls"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/settings"
)

// loadIdentity reads the TLS files. It returns nil if peers use plaintext.
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

// peerTLS returns the TLS configuration for connections between proxies, or nil
// for plaintext.
func (h *Host) peerTLS() *tls.Config {
	if h.identity == nil {
		return nil
	}
	return h.identity.TLS()
}

// watchIdentity reloads the TLS files periodically until the host stops. It logs
// only the first of consecutive failures.
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
			h.log.Error("cannot reload TLS files; keeping the previous certificate, key and authorities", "error", err)
		case changed:
			h.log.Info("TLS files reloaded", "expiry", h.identity.Expiry())
		}
		failing = err != nil
	}
}

func (h *Host) registerExpiry() {
	h.metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "heatherlift_peer_certificate_expiry_timestamp_seconds",
		Help: "Expiry of this proxy's certificate, in seconds since the Unix epoch.",
	}, func() float64 { return float64(h.identity.Expiry().Unix()) }))
}
