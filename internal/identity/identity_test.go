package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const peerName = "proxy.test"

// authority issues certificates for tests.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{key: key, cert: cert, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes the files of an identity signed by a.
func (a *authority) issue(t *testing.T, files Files, name string, notAfter time.Time) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-2 * time.Hour),
		NotAfter:     notAfter,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	write(t, files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write(t, files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}))
	write(t, files.Authorities, a.pem)
}

func write(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newFiles(t *testing.T) Files {
	dir := t.TempDir()
	return Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
}

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

func load(t *testing.T, a *authority) (*Identity, Files) {
	t.Helper()
	files := newFiles(t)
	a.issue(t, files, peerName, inAnHour())
	i, err := Load(files, peerName)
	if err != nil {
		t.Fatal(err)
	}
	return i, files
}

// handshake returns the errors of both ends of a connection over loopback.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	done := make(chan error, 1)
	go func() { done <- serveOne(l, server) }()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err == nil {
		_, err = c.Read(make([]byte, 1))
		_ = c.Close()
	}
	return <-done, err
}

// serveOne accepts one connection and writes one byte on it.
func serveOne(l net.Listener, config *tls.Config) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = tls.Server(conn, config).Write([]byte{1})
	return err
}

func TestPeersOfOneAuthorityConnect(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	one, _ := load(t, a)
	two, _ := load(t, a)
	serverErr, clientErr := handshake(t, one.TLS(), two.TLS())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestStrangersAreRefused(t *testing.T) {
	trusted := newAuthority(t)
	other := newAuthority(t)
	member, _ := load(t, trusted)
	stranger, _ := load(t, other)

	t.Run("as client", func(t *testing.T) {
		serverErr, _ := handshake(t, member.TLS(), stranger.TLS())
		is.New(t).True(serverErr != nil)
	})
	t.Run("as server", func(t *testing.T) {
		_, clientErr := handshake(t, stranger.TLS(), member.TLS())
		is.New(t).True(errors.Is(clientErr, ErrUntrusted))
	})
	t.Run("without certificate", func(t *testing.T) {
		serverErr, _ := handshake(t, member.TLS(), &tls.Config{InsecureSkipVerify: true})
		is.New(t).True(serverErr != nil)
	})
}

func TestLoadExplainsUnusableMaterial(t *testing.T) {
	a := newAuthority(t)
	cases := []struct {
		name   string
		spoil  func(t *testing.T, f Files)
		expect string
	}{
		{"key of another certificate", func(t *testing.T, f Files) {
			other := newFiles(t)
			a.issue(t, other, peerName, inAnHour())
			text, _ := os.ReadFile(other.Key)
			write(t, f.Key, text)
		}, "private key"},
		{"expired", func(t *testing.T, f Files) {
			a.issue(t, f, peerName, time.Now().Add(-time.Minute))
		}, "expired"},
		{"other name", func(t *testing.T, f Files) {
			a.issue(t, f, "other.test", inAnHour())
		}, peerName},
		{"no authorities", func(t *testing.T, f Files) {
			write(t, f.Authorities, nil)
		}, "authorities.pem: no certificate"},
		{"missing file", func(t *testing.T, f Files) {
			_ = os.Remove(f.Key)
		}, "key.pem"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			files := newFiles(t)
			a.issue(t, files, peerName, inAnHour())
			c.spoil(t, files)
			_, err := Load(files, peerName)
			is.True(errors.Is(err, ErrMaterial))
			is.True(strings.Contains(err.Error(), c.expect))
		})
	}
}

func TestRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	old, next := newAuthority(t), newAuthority(t)
	one, oneFiles := load(t, old)
	two, _ := load(t, next)
	_, clientErr := handshake(t, two.TLS(), one.TLS())
	is.True(clientErr != nil) // not trusted yet

	// During a rotation the authorities of both generations are accepted.
	next.issue(t, oneFiles, peerName, inAnHour())
	write(t, oneFiles.Authorities, append(append([]byte{}, old.pem...), next.pem...))
	config := one.TLS()
	changed, err := one.Reload()
	is.NoErr(err)
	is.True(changed)
	serverErr, clientErr := handshake(t, two.TLS(), config)
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestFailedReloadKeepsTheOldMaterial(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	one, files := load(t, a)
	two, _ := load(t, a)
	write(t, files.Certificate, []byte("garbage"))
	changed, err := one.Reload()
	is.True(errors.Is(err, ErrMaterial))
	is.True(!changed)
	serverErr, clientErr := handshake(t, one.TLS(), two.TLS())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}
