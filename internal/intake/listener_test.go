package intake

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// serveDoor serves a door of operators and returns its address.
func serveDoor(t *testing.T, a *Account) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ConnOf(r) == nil {
			w.WriteHeader(http.StatusInternalServerError)
		}
	})}
	Watch(server)
	go func() { _ = server.Serve(&Listener{Listener: l, Account: a, Door: Admin, ReceiveBuffer: 16 << 10}) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// send sends text and returns the statuses of the responses until the connection ends.
func send(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, text) // the connection may be closed meanwhile
	response, _ := io.ReadAll(c)
	status, _, _ := strings.Cut(string(response), "\r\n")
	return status
}

func waitUntilEmpty(t *testing.T, a *Account) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); a.Usage().Connections[Admin] > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v is held", a.Usage())
		}
	}
}

func TestReadinessIsAnsweredWhateverCallersHold(t *testing.T) {
	is := is.New(t)
	a := New(testLimits())
	a.AddShared(2 * a.limits.Memory)
	address := serveDoor(t, a)
	is.Equal(send(t, address, "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200 OK")
	waitUntilEmpty(t, a)
	is.Equal(a.Usage().Memory, 2*a.limits.Memory)
}

func TestLargeRequestsOfServedDoorsAreCutOff(t *testing.T) {
	var fields strings.Builder
	for i := range 3000 {
		fmt.Fprintf(&fields, "x%d:\r\n", i)
	}
	for name, text := range map[string]string{
		"header without room": "GET /readyz HTTP/1.1\r\nHost: a\r\n" + fields.String()[:4000] + "\r\n\r\n",
		"header too large":    "GET /readyz HTTP/1.1\r\nHost: a\r\n" + fields.String() + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(testLimits())
			if name == "header without room" {
				a.AddShared(a.limits.Memory)
			}
			is.True(send(t, serveDoor(t, a), text) != "HTTP/1.1 200 OK")
			waitUntilEmpty(t, a)
		})
	}
}

func TestServedConnectionGivesWayToANewOne(t *testing.T) {
	is := is.New(t)
	l := testLimits()
	l.Connections[Admin], l.ClientShare = 4, 1 // of which three may stay
	a := New(l)
	address := serveDoor(t, a)
	var idle []net.Conn
	for i := range 3 {
		c, err := net.Dial("tcp", address)
		is.NoErr(err)
		idle = append(idle, c)
		for a.Usage().Connections[Admin] <= i {
			time.Sleep(time.Millisecond)
		}
	}
	is.Equal(send(t, address, "GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"), "HTTP/1.1 200 OK")
	_ = idle[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := idle[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	for _, c := range idle {
		_ = c.Close()
	}
	waitUntilEmpty(t, a)
}

// unreadBytes returns the bytes that the kernel holds for the reader of a connection.
func unreadBytes(t *testing.T, c syscall.Conn) int {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var n int
	if controlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return n
}

// TestKernelHoldsNoMoreThanTheBound lets a client send without end to a connection that is not
// read, before and after it is accepted.
func TestKernelHoldsNoMoreThanTheBound(t *testing.T) {
	const bound = 64 << 10
	for _, tt := range []struct {
		name     string
		accepted bool
		most     int
	}{
		{"not accepted", false, UnacceptedBytes},
		{"accepted", true, bound},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := Listen("127.0.0.1:0", bound)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			accept := func() *net.TCPConn {
				accepted, err := l.Accept()
				if err != nil {
					t.Fatal(err)
				}
				return accepted.(*net.TCPConn)
			}
			var s *net.TCPConn
			if tt.accepted {
				s = accept()
				SetReceiveBuffer(s, bound)
			}
			_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond))
			for piece := make([]byte, 4<<10); err == nil; _, err = c.Write(piece) {
			}
			if s == nil {
				s = accept()
			}
			defer s.Close()
			if n := unreadBytes(t, s); n > tt.most || n < tt.most/4 {
				t.Errorf("%d bytes are held, expected up to %d", n, tt.most)
			}
		})
	}
}
