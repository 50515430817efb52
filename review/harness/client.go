package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client saw of one attempt.
type answer struct {
	ID, Method, Target, Machine string
	Sent, Ended                 time.Time
	Status                      int
	Stamp                       string
	Body                        string
	Err                         error
}

// String returns the line of the record.
func (a answer) String() string {
	what := fmt.Sprintf("status %d", a.Status)
	if a.Err != nil {
		what = "no complete answer: " + a.Err.Error()
	}
	return fmt.Sprintf("request %s %s %s at %s sent %s ended after %d ms: %s", a.ID, a.Method, a.Target, a.Machine, clock(a.Sent), a.Ended.Sub(a.Sent).Milliseconds(), what)
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client is a client of one machine with a connection that it keeps.
type client struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

const connectTimeout = time.Second

func (c *client) open() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.machine.outbound(), connectTimeout)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}

// head returns the bytes of a request.
func head(id, method, target string, deadline time.Duration, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, protocol.RequestID, id, protocol.Deadline, deadline.Milliseconds())
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return b.String()
}

// do sends a request and reads its answer until the deadline.
func (c *client) do(method, target string, deadline time.Duration, body string) answer {
	a := answer{ID: newID(), Method: method, Target: target, Machine: c.machine.name, Sent: time.Now()}
	a.Err = c.exchange(&a, deadline, body)
	a.Ended = time.Now()
	if a.Err != nil {
		c.close()
	}
	return a
}

func (c *client) exchange(a *answer, deadline time.Duration, body string) error {
	if err := c.open(); err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	_ = c.conn.SetDeadline(a.Sent.Add(deadline))
	if _, err := io.WriteString(c.conn, head(a.ID, a.Method, a.Target, deadline, body)); err != nil {
		return fmt.Errorf("send: %w", err)
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	text, err := io.ReadAll(resp.Body)
	a.Status, a.Stamp, a.Body = resp.StatusCode, resp.Header.Get(protocol.Stamp), string(text)
	if err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if resp.Close {
		c.close()
	}
	return nil
}
