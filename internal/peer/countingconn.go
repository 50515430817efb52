package peer

import "net"

// countingConn reports the bytes sent and received on a connection to the
// observer, TLS overhead included.
type countingConn struct {
	net.Conn
	observer Observer
}

// Read implements io.Reader.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.observer.Bytes(0, n)
	return n, err
}

// Write implements io.Writer.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.observer.Bytes(n, 0)
	return n, err
}
