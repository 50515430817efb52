// Package authority issues certificates for tests, demonstrations and
// benchmarks.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/identity"
)

const (
	serialBits = 120
	// notBeforeOffset is how long before its issue a certificate becomes valid,
	// so that Issue can also write one that has expired.
	notBeforeOffset = 24 * time.Hour
	// caValidity is how long the certificate of the authority stays valid.
	caValidity = 24 * time.Hour
)

// Authority is an in-memory certificate authority.
type Authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	// CertificatePEM is the authority's certificate, PEM-encoded.
	CertificatePEM []byte
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(time.Now().Add(caValidity))
	if err != nil {
		return nil, err
	}
	template.Subject = pkix.Name{CommonName: "authority"}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	return &Authority{key: key, cert: cert, CertificatePEM: encodePEM("CERTIFICATE", der)}, nil
}

// Issue creates a key and a certificate for the DNS name and writes them to the
// files, together with the certificate of the authority. The new certificate
// expires at notAfter.
func (a *Authority) Issue(files identity.Files, dnsName string, notAfter time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	template, err := newTemplate(notAfter)
	if err != nil {
		return err
	}
	template.DNSNames = []string{dnsName}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	contents := map[string][]byte{
		files.Certificate: encodePEM("CERTIFICATE", der),
		files.Key:         encodePEM("EC PRIVATE KEY", keyDER),
		files.Authorities: a.CertificatePEM,
	}
	for file, content := range contents {
		if err := os.WriteFile(file, content, 0o600); err != nil {
			return errors.Wrap(err, "write identity file")
		}
	}
	return nil
}

func newTemplate(notAfter time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{SerialNumber: serial, NotBefore: time.Now().Add(-notBeforeOffset), NotAfter: notAfter}, nil
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
