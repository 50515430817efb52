// Package rawserver is a server for tests that writes any bytes in response to a request.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Start starts a server that reads the head of one request on each connection, calls respond
// and closes the connection. It returns the address, HOST:PORT. The server stops with the test.
func Start(t testing.TB, respond func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, respond)
		}
	}()
	return l.Addr().String()
}

func serve(c net.Conn, respond func(c net.Conn)) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		respond(c)
	}
}

// Text returns a function for Start that writes a text.
func Text(text string) func(net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, text) }
}
