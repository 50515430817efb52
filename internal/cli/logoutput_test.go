package cli

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// mainVariable makes the test binary run Main.
const mainVariable = "HEATHERLIFT_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

const proxySettings = `id = "desk-1"
availability_zone = "tanga"
service = "desk"
[listen]
callers = "127.0.0.1:%d"
forward = "127.0.0.1:%d"
peers = "127.0.0.1:%d"
admin = "127.0.0.1:%d"
[backend_server]
address = "127.0.0.1:%d"
[platform]
source = "http://127.0.0.1:%[5]d"
instances = "http://127.0.0.1:%[5]d"
[peers]
plaintext = true
[shutdown]
notice = "100ms"
limit = "1s"
`

// freePorts returns ports on which nothing listens.
func freePorts(t *testing.T, n int) []any {
	t.Helper()
	var ports []any
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// startProxy starts a proxy in a process of its own that logs to a small pipe, and returns
// it with the reading end after its first line.
func startProxy(t *testing.T) (*exec.Cmd, *os.File) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "proxy.toml")
	is.NoErr(os.WriteFile(file, []byte(fmt.Sprintf(proxySettings, freePorts(t, 5)...)), 0o600))
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	_, err = unix.FcntlInt(writer.Fd(), unix.F_SETPIPE_SZ, 4096)
	is.NoErr(err)
	t.Cleanup(func() { _ = reader.Close() })
	c := exec.Command(os.Args[0], "proxy", "-settings", file)
	c.Env = append(os.Environ(), mainVariable+"=1")
	c.Stdout, c.Stderr = writer, os.Stderr
	is.NoErr(c.Start())
	_ = writer.Close()
	t.Cleanup(func() { _ = c.Process.Kill() })
	text := make([]byte, 1024)
	for started := ""; !strings.Contains(started, "proxy started"); {
		n, err := reader.Read(text)
		is.NoErr(err)
		started += string(text[:n])
	}
	return c, reader
}

// Guards against a proxy that is held up, or ends, because its log is not read: SIGTERM had
// no effect while the reader stood still, and the end of the reader ended the proxy.
func TestLogThatIsNotReadDoesNotHoldTheProxyUp(t *testing.T) {
	for name, stop := range map[string]func(*os.File){
		"reader stands still": func(*os.File) {},
		"reader has ended":    func(r *os.File) { _ = r.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, reader := startProxy(t)
			stop(reader)
			for range 200 { // a line for each reload, more than the pipe holds
				is.NoErr(c.Process.Signal(syscall.SIGHUP))
				time.Sleep(2 * time.Millisecond)
			}
			is.NoErr(c.Process.Signal(syscall.SIGTERM))
			ended := make(chan error, 1)
			go func() { ended <- c.Wait() }()
			select {
			case err := <-ended:
				is.NoErr(err)
			case <-time.After(10 * time.Second):
				t.Fatal("the proxy does not end after SIGTERM")
			}
		})
	}
}
