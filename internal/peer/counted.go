package peer

import "net"

// counted counts the bytes on a connection, those of TLS included.
type counted struct {
	net.Conn
	observer Observer
}

// Read implements io.Reader.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.observer.Bytes(0, n)
	return n, err
}

// Write implements io.Writer.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.observer.Bytes(n, 0)
	return n, err
}
