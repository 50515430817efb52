// Package identity provides mutual TLS authentication between proxies. The
// certificates are read from files and can be reloaded while the process runs.
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

// Sentinel errors of this package. Callers test for them with errors.Is.
var (
	// ErrCredentials is returned for files that do not contain a usable
	// certificate, key or set of certificate authorities.
	ErrCredentials = errors.New("invalid TLS credentials")
	// ErrUntrusted is returned for a peer whose certificate is not accepted.
	ErrUntrusted = errors.New("untrusted peer")
)

// Files holds the paths of the files of an identity, all in PEM format.
type Files struct {
	// Certificate is the file with the certificate and its chain.
	Certificate string
	// Key is the file with the private key of the certificate.
	Key string
	// Authorities is the file with the CA certificates that sign the certificates
	// of peers.
	Authorities string
}

// credentials holds the parsed content of the files as of one read. It is
// immutable.
type credentials struct {
	// contents holds the certificate, key and authorities files, in this order.
	contents    [3][]byte
	certificate tls.Certificate
	leaf        *x509.Certificate
	authorities *x509.CertPool
}

// Identity holds the current certificate of this proxy, and the certificate
// authorities and DNS name that peer certificates are verified against. It is safe
// for concurrent use.
type Identity struct {
	files   Files
	dnsName string
	current atomic.Pointer[credentials]
	now     func() time.Time
}

// Load reads the files. DNSName is the name that the certificate of every proxy
// must contain, including this proxy's own.
func Load(files Files, dnsName string) (*Identity, error) {
	i := &Identity{files: files, dnsName: dnsName, now: time.Now}
	if _, err := i.Reload(); err != nil {
		return nil, err
	}
	return i, nil
}

// Reload reads the files again and reports whether their contents changed. If it
// returns an error, the previous credentials stay in use.
func (i *Identity) Reload() (changed bool, err error) {
	contents, err := i.read()
	if err != nil {
		return false, err
	}
	if old := i.current.Load(); old != nil && equalContents(old.contents, contents) {
		return false, nil
	}
	creds, err := i.parse(contents)
	if err != nil {
		return false, err
	}
	i.current.Store(creds)
	return true, nil
}

// Expiry returns the time at which the current certificate expires.
func (i *Identity) Expiry() time.Time {
	return i.current.Load().leaf.NotAfter
}

func (i *Identity) read() (contents [3][]byte, err error) {
	for n, file := range []string{i.files.Certificate, i.files.Key, i.files.Authorities} {
		contents[n], err = os.ReadFile(file)
		if err != nil {
			return contents, errors.Wrapf(ErrCredentials, "%v", err)
		}
	}
	return contents, nil
}

func equalContents(a, b [3][]byte) bool {
	for n := range a {
		if !bytes.Equal(a[n], b[n]) {
			return false
		}
	}
	return true
}

// parse parses the contents of the files. It checks that the certificate matches
// its key, chains up to one of the authorities and contains the DNS name, because
// every peer makes the same checks.
func (i *Identity) parse(contents [3][]byte) (*credentials, error) {
	certificate, err := tls.X509KeyPair(contents[0], contents[1])
	if err != nil {
		return nil, errors.Wrapf(ErrCredentials, "%s with %s: %v", i.files.Certificate, i.files.Key, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(contents[2]) {
		return nil, errors.Wrapf(ErrCredentials, "%s: no certificate found", i.files.Authorities)
	}
	creds := &credentials{contents: contents, certificate: certificate, authorities: authorities}
	chain, err := parseChain(certificate.Certificate)
	if err != nil {
		return nil, errors.Wrapf(ErrCredentials, "%s: %v", i.files.Certificate, err)
	}
	creds.leaf = chain[0]
	if err := i.verify(creds, chain); err != nil {
		return nil, errors.Wrapf(ErrCredentials, "%s: %v", i.files.Certificate, err)
	}
	return creds, nil
}

func parseChain(raw [][]byte) ([]*x509.Certificate, error) {
	chain := make([]*x509.Certificate, len(raw))
	for n, der := range raw {
		cert, err := x509.ParseCertificate(der)
		if err != nil {
			return nil, err
		}
		chain[n] = cert
	}
	return chain, nil
}

// verify verifies a certificate chain against the authorities and the DNS name.
func (i *Identity) verify(creds *credentials, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return errors.Wrap(ErrUntrusted, "no certificate presented")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range chain[1:] {
		intermediates.AddCert(cert)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         creds.authorities,
		Intermediates: intermediates,
		DNSName:       i.dnsName,
		CurrentTime:   i.now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Wrapf(ErrUntrusted, "%v", err)
	}
	return nil
}

// TLS returns a configuration for both the client and the server side of
// connections between proxies. New connections use the credentials of the last
// successful Reload; established connections stay open.
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
		// Peers are addressed by IP address, so the standard check of the host
		// name cannot be used. VerifyConnection verifies the chain and the DNS
		// name against the current authorities.
		InsecureSkipVerify:     true,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       verify,
		SessionTicketsDisabled: true,
	}
}
