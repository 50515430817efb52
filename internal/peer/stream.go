// Package peer carries messages between proxies as JSON-RPC over TCP.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// Errors of this package. Callers test for them with errors.Is.
var (
	// ErrOversized marks a message beyond MaxMessageBytes.
	ErrOversized = errors.New("oversized peer message")
	// ErrMalformed marks a message that cannot be decoded.
	ErrMalformed = errors.New("malformed peer message")
	// ErrRefused marks a message that a peer answered with an error.
	ErrRefused = errors.New("peer refused the message")
	// ErrUnreachable marks a peer that did not answer.
	ErrUnreachable = errors.New("peer unreachable")
)

const (
	// MaxMessageBytes bounds a message, compressed or not.
	MaxMessageBytes = 16 << 20
	// compressFrom is the size from which a message is compressed.
	compressFrom = 512
	lengthBytes  = 4
	// writeTimeout bounds the writing of one message.
	writeTimeout = 5 * time.Second
	// firstReadBytes is what is allocated for a message at first.
	firstReadBytes = 64 << 10
	// compressedBit marks a compressed message in its length.
	compressedBit = 1 << 31
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageBytes))
)

// stream is a jsonrpc2.ObjectStream of length-prefixed messages.
type stream struct {
	conn     net.Conn
	observer Observer
	reader   *bufio.Reader
	mu       sync.Mutex
}

func newStream(conn net.Conn, o Observer) *stream {
	return &stream{conn: conn, observer: o, reader: bufio.NewReader(conn)}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	frame, err := encodeFrame(obj)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = s.conn.Write(frame)
	return err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	err := readObject(s.reader, v)
	switch {
	case errors.Is(err, ErrOversized):
		s.observer.Refused("oversized message")
	case errors.Is(err, ErrMalformed):
		s.observer.Refused("malformed message")
	}
	return err
}

func readObject(r io.Reader, v any) error {
	body, err := readFrame(r)
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

// readFrame returns the next message.
func readFrame(r io.Reader) ([]byte, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	word := binary.BigEndian.Uint32(head[:])
	size := word &^ compressedBit
	if size > MaxMessageBytes {
		return nil, errors.Wrapf(ErrOversized, "%d bytes", size)
	}
	body, err := readBody(r, int(size))
	if err != nil || word&compressedBit == 0 {
		return body, err
	}
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return plain, nil
}

// readBody reads size bytes. Memory grows with what arrives, not with what a
// peer announces.
func readBody(r io.Reader, size int) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(min(size, firstReadBytes))
	n, err := io.CopyN(&body, r, int64(size))
	if err == io.EOF && n < int64(size) {
		err = io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}
