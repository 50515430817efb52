package lab

import (
	"path/filepath"
	"time"

	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/identity/authority"
)

// certificateValidity exceeds the lifetime of any test environment.
const certificateValidity = 24 * time.Hour

// UseTLS makes proxies that are started from now on authenticate each other with
// TLS certificates.
func (l *Lab) UseTLS() error {
	a, err := authority.New()
	if err != nil {
		return err
	}
	l.authority = a
	return nil
}

// issueCertificate issues a certificate for the instance and enters its files in
// the settings, if TLS is in use.
func (l *Lab) issueCertificate(i *Instance) error {
	if l.authority == nil {
		return nil
	}
	base := filepath.Join(l.dir, i.Settings.ID)
	peers := &i.Settings.Peers
	peers.Plaintext = false
	peers.Certificate = base + "-certificate.pem"
	peers.Key = base + "-key.pem"
	peers.Authorities = base + "-authorities.pem"
	files := identity.Files{Certificate: peers.Certificate, Key: peers.Key, Authorities: peers.Authorities}
	return l.authority.Issue(files, peers.Name, time.Now().Add(certificateValidity))
}
