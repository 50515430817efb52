package identity_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/identity/authority"
)

const peerName = "proxy.test"

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// issue writes new identity files with a certificate for the DNS name, signed by
// a.
func issue(t *testing.T, a *authority.Authority, files identity.Files, dnsName string, notAfter time.Time) {
	t.Helper()
	if err := a.Issue(files, dnsName, notAfter); err != nil {
		t.Fatal(err)
	}
}

func writeFile(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func newFiles(t *testing.T) identity.Files {
	dir := t.TempDir()
	return identity.Files{
		Certificate: filepath.Join(dir, "cert.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
}

func inOneHour() time.Time { return time.Now().Add(time.Hour) }

func load(t *testing.T, a *authority.Authority) (*identity.Identity, identity.Files) {
	t.Helper()
	files := newFiles(t)
	issue(t, a, files, peerName, inOneHour())
	i, err := identity.Load(files, peerName)
	if err != nil {
		t.Fatal(err)
	}
	return i, files
}

// handshake connects client to server over loopback and returns the errors of
// both ends. The client waits for one byte from the server, because in TLS 1.3
// the client's handshake ends before the server has verified its certificate.
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

// serveOne accepts one connection and writes one byte to it.
func serveOne(l net.Listener, config *tls.Config) error {
	conn, err := l.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = tls.Server(conn, config).Write([]byte{1})
	return err
}

func TestPeersOfSameAuthorityConnect(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, _ := load(t, a)
	client, _ := load(t, a)
	serverErr, clientErr := handshake(t, server.TLS(), client.TLS())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestUntrustedPeerIsRefused(t *testing.T) {
	trustedAuthority := newAuthority(t)
	otherAuthority := newAuthority(t)
	trustedPeer, _ := load(t, trustedAuthority)
	untrustedPeer, _ := load(t, otherAuthority)

	t.Run("as client", func(t *testing.T) {
		serverErr, _ := handshake(t, trustedPeer.TLS(), untrustedPeer.TLS())
		is.New(t).True(serverErr != nil)
	})
	t.Run("as server", func(t *testing.T) {
		_, clientErr := handshake(t, untrustedPeer.TLS(), trustedPeer.TLS())
		is.New(t).True(errors.Is(clientErr, identity.ErrUntrusted))
	})
	t.Run("without certificate", func(t *testing.T) {
		serverErr, _ := handshake(t, trustedPeer.TLS(), &tls.Config{InsecureSkipVerify: true})
		is.New(t).True(serverErr != nil)
	})
}

func TestLoadReportsInvalidCredentials(t *testing.T) {
	a := newAuthority(t)
	cases := []struct {
		name    string
		corrupt func(t *testing.T, f identity.Files)
		want    string
	}{
		{"key of another certificate", func(t *testing.T, f identity.Files) {
			other := newFiles(t)
			issue(t, a, other, peerName, inOneHour())
			text, _ := os.ReadFile(other.Key)
			writeFile(t, f.Key, text)
		}, "private key"},
		{"expired", func(t *testing.T, f identity.Files) {
			issue(t, a, f, peerName, time.Now().Add(-time.Minute))
		}, "expired"},
		{"other name", func(t *testing.T, f identity.Files) {
			issue(t, a, f, "other.test", inOneHour())
		}, peerName},
		{"no authorities", func(t *testing.T, f identity.Files) {
			writeFile(t, f.Authorities, nil)
		}, "authorities.pem: no certificate"},
		{"missing file", func(t *testing.T, f identity.Files) {
			_ = os.Remove(f.Key)
		}, "key.pem"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			files := newFiles(t)
			issue(t, a, files, peerName, inOneHour())
			c.corrupt(t, files)
			_, err := identity.Load(files, peerName)
			is.True(errors.Is(err, identity.ErrCredentials))
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

func TestAuthorityRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	oldAuthority, nextAuthority := newAuthority(t), newAuthority(t)
	oldPeer, oldPeerFiles := load(t, oldAuthority)
	newPeer, _ := load(t, nextAuthority)
	_, clientErr := handshake(t, newPeer.TLS(), oldPeer.TLS())
	is.True(clientErr != nil) // the peers do not trust each other's authority yet

	// During a rotation the old and the new authority are both accepted.
	issue(t, nextAuthority, oldPeerFiles, peerName, inOneHour())
	writeFile(t, oldPeerFiles.Authorities, append(append([]byte{}, oldAuthority.CertificatePEM...), nextAuthority.CertificatePEM...))
	config := oldPeer.TLS()
	changed, err := oldPeer.Reload()
	is.NoErr(err)
	is.True(changed)
	serverErr, clientErr := handshake(t, newPeer.TLS(), config)
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}

func TestFailedReloadKeepsPreviousCredentials(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	server, files := load(t, a)
	client, _ := load(t, a)
	writeFile(t, files.Certificate, []byte("garbage"))
	changed, err := server.Reload()
	is.True(errors.Is(err, identity.ErrCredentials))
	is.True(!changed)
	serverErr, clientErr := handshake(t, server.TLS(), client.TLS())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}
