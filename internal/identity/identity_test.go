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

// issue writes the files of an identity signed by a.
func issue(t *testing.T, a *authority.Authority, files identity.Files, name string, notAfter time.Time) {
	t.Helper()
	if err := a.Issue(files, name, notAfter); err != nil {
		t.Fatal(err)
	}
}

func write(t *testing.T, file string, text []byte) {
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

func inAnHour() time.Time { return time.Now().Add(time.Hour) }

func load(t *testing.T, a *authority.Authority) (*identity.Identity, identity.Files) {
	t.Helper()
	files := newFiles(t)
	issue(t, a, files, peerName, inAnHour())
	i, err := identity.Load(files, peerName)
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
		is.New(t).True(errors.Is(clientErr, identity.ErrUntrusted))
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
		spoil  func(t *testing.T, f identity.Files)
		expect string
	}{
		{"key of another certificate", func(t *testing.T, f identity.Files) {
			other := newFiles(t)
			issue(t, a, other, peerName, inAnHour())
			text, _ := os.ReadFile(other.Key)
			write(t, f.Key, text)
		}, "private key"},
		{"expired", func(t *testing.T, f identity.Files) {
			issue(t, a, f, peerName, time.Now().Add(-time.Minute))
		}, "expired"},
		{"other name", func(t *testing.T, f identity.Files) {
			issue(t, a, f, "other.test", inAnHour())
		}, peerName},
		{"no authorities", func(t *testing.T, f identity.Files) {
			write(t, f.Authorities, nil)
		}, "authorities.pem: no certificate"},
		{"missing file", func(t *testing.T, f identity.Files) {
			_ = os.Remove(f.Key)
		}, "key.pem"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			files := newFiles(t)
			issue(t, a, files, peerName, inAnHour())
			c.spoil(t, files)
			_, err := identity.Load(files, peerName)
			is.True(errors.Is(err, identity.ErrMaterial))
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
	issue(t, next, oneFiles, peerName, inAnHour())
	write(t, oneFiles.Authorities, append(append([]byte{}, old.PEM...), next.PEM...))
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
	is.True(errors.Is(err, identity.ErrMaterial))
	is.True(!changed)
	serverErr, clientErr := handshake(t, one.TLS(), two.TLS())
	is.NoErr(serverErr)
	is.NoErr(clientErr)
}
