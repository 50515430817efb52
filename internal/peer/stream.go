// Package peer carries messages between proxies as JSON-RPC over TCP.
package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrOversized marks a message beyond MaxMessageBytes.
	ErrOversized = errors.New("oversized peer message")
	// ErrMalformed marks a message that cannot be decoded.
	ErrMalformed = errors.New("malformed peer message")
	// ErrUnreachable marks a peer that did not answer.
	ErrUnreachable = errors.New("peer unreachable")
)

const (
	// MaxMessageBytes bounds a message, compressed or not.
	MaxMessageBytes = 16 << 20
	// compressFrom is the size from which a message is compressed.
	compressFrom = 512
	lengthBytes  = 4
	// compressedBit marks a compressed message in its length.
	compressedBit = 1 << 31
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageBytes))
)

// stream is a jsonrpc2.ObjectStream of length-prefixed messages.
type stream struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
	sent   func(n int)
	recvd  func(n int)
}

func newStream(conn net.Conn, sent, recvd func(n int)) *stream {
	return &stream{conn: conn, reader: bufio.NewReader(conn), sent: sent, recvd: recvd}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	frame, err := encodeFrame(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.conn.Write(frame)
	s.sent(n)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	body, n, err := readFrame(s.reader)
	s.recvd(n)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%v", err)
	}
	return nil
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	return s.conn.Close()
}

// encodeFrame returns the length-prefixed text of obj.
func encodeFrame(obj any) ([]byte, error) {
	text, err := json.Marshal(obj)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	var flag uint32
	frame := make([]byte, lengthBytes, lengthBytes+len(text))
	if len(text) >= compressFrom {
		flag = compressedBit
		frame = encoder.EncodeAll(text, frame)
	} else {
		frame = append(frame, text...)
	}
	size := len(frame) - lengthBytes
	if size > MaxMessageBytes || len(text) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrOversized, "%d bytes", len(text))
	}
	binary.BigEndian.PutUint32(frame, uint32(size)|flag)
	return frame, nil
}

// readFrame returns the next message and the number of bytes read.
func readFrame(r io.Reader) ([]byte, int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, 0, err
	}
	word := binary.BigEndian.Uint32(head[:])
	size := word &^ compressedBit
	if size > MaxMessageBytes {
		return nil, lengthBytes, errors.Wrapf(ErrOversized, "%d bytes", size)
	}
	body := make([]byte, size)
	n, err := io.ReadFull(r, body)
	if err != nil {
		return nil, lengthBytes + n, err
	}
	if word&compressedBit == 0 {
		return body, lengthBytes + n, nil
	}
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, lengthBytes + n, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return plain, lengthBytes + n, nil
}
