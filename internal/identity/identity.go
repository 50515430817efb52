// Package identity authenticates proxies to each other by TLS certificates
// that are read from files and may be replaced while the process runs.
package identity

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrMaterial marks files that do not hold a usable certificate, key or
	// set of authorities.
	ErrMaterial = errors.New("unusable TLS material")
	// ErrUntrusted marks a peer whose certificate is not accepted.
	ErrUntrusted = errors.New("untrusted peer")
)

// Files names the files of an identity, all in PEM.
type Files struct {
	// Certificate holds the certificate and its chain.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// Authorities holds the certificates that sign those of peers.
	Authorities string
}

// material is one reading of the files. It is immutable.
type material struct {
	texts       [3][]byte
	certificate tls.Certificate
	leaf        *x509.Certificate
	authorities *x509.CertPool
}

// Identity is the present certificate of this proxy and what it accepts of
// peers. It is safe for concurrent use.
type Identity struct {
	files   Files
	name    string
	current atomic.Pointer[material]
	now     func() time.Time
}

// Load reads the files. Name is the DNS name that the certificate of every
// proxy must carry, this one's included.
func Load(files Files, name string) (*Identity, error) {
	i := &Identity{files: files, name: name, now: time.Now}
	if _, err := i.Reload(); err != nil {
		return nil, err
	}
	return i, nil
}

// Reload reads the files again and reports whether they changed. On an error
// the material read before stays in use.
func (i *Identity) Reload() (changed bool, err error) {
	texts, err := i.read()
	if err != nil {
		return false, err
	}
	if old := i.current.Load(); old != nil && equal(old.texts, texts) {
		return false, nil
	}
	m, err := i.parse(texts)
	if err != nil {
		return false, err
	}
	i.current.Store(m)
	return true, nil
}

// Expiry returns the end of the certificate's validity.
func (i *Identity) Expiry() time.Time {
	return i.current.Load().leaf.NotAfter
}

func (i *Identity) read() (texts [3][]byte, err error) {
	for n, file := range []string{i.files.Certificate, i.files.Key, i.files.Authorities} {
		texts[n], err = os.ReadFile(file)
		if err != nil {
			return texts, errors.Wrapf(ErrMaterial, "%v", err)
		}
	}
	return texts, nil
}

func equal(a, b [3][]byte) bool {
	for n := range a {
		if !bytes.Equal(a[n], b[n]) {
			return false
		}
	}
	return true
}

// parse checks that the certificate fits its key, is accepted by the
// authorities and carries the name, as every peer will check it.
func (i *Identity) parse(texts [3][]byte) (*material, error) {
	certificate, err := tls.X509KeyPair(texts[0], texts[1])
	if err != nil {
		return nil, errors.Wrapf(ErrMaterial, "%s with %s: %v", i.files.Certificate, i.files.Key, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(texts[2]) {
		return nil, errors.Wrapf(ErrMaterial, "%s: no certificate", i.files.Authorities)
	}
	m := &material{texts: texts, certificate: certificate, authorities: authorities}
	chain, err := parseChain(certificate.Certificate)
	if err != nil {
		return nil, errors.Wrapf(ErrMaterial, "%s: %v", i.files.Certificate, err)
	}
	m.leaf = chain[0]
	if err := i.verify(m, chain); err != nil {
		return nil, errors.Wrapf(ErrMaterial, "%s: %v", i.files.Certificate, err)
	}
	return m, nil
}

func parseChain(raw [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, len(raw))
	for n, der := range raw {
		c, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		chain[n] = c
	}
	return chain, nil
}

// verify checks a chain of certificates against the authorities and the name.
func (i *Identity) verify(m *material, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrUntrusted, "no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         m.authorities,
		Intermediates: intermediates,
		DNSName:       i.name,
		CurrentTime:   i.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrapf(ErrUntrusted, "%v", err)
	}
	return nil
}

// TLS returns a configuration for both ends of connections between proxies.
// It follows each Reload; connections made before stay open.
func (i *Identity) TLS() *tls.Config {
	verify := func(state tls.ConnectionState) error {
		return i.verify(i.current.Load(), state.PeerCertificates)
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.current.Load().certificate, nil
		},
		// The name is checked by VerifyConnection against the present
		// authorities, since peers are addressed by IP numbers.
		InsecureSkipVerify:     true,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       verify,
		SessionTicketsDisabled: true,
	}
}
