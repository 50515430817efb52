// Package peer exchanges control messages between proxies as JSON-RPC over TCP,
// with optional TLS: gossip, configuration, rate-limit credits, fences and claims
// on idempotency keys. Package forward transfers the requests of callers.
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
	// ErrOversized is returned for a message larger than MaxMessageBytes.
	ErrOversized = errors.New("oversized peer message")
	// ErrMalformed is returned for a message that cannot be encoded or decoded.
	ErrMalformed = errors.New("malformed peer message")
	// ErrRefused is returned if the peer replied with an error.
	ErrRefused = errors.New("peer refused the message")
	// ErrUnreachable is returned if the peer could not be reached or did not
	// reply.
	ErrUnreachable = errors.New("peer unreachable")
)

const (
	// MaxMessageBytes bounds the size of a message before and after compression.
	MaxMessageBytes = 16 << 20
	// compressMinBytes is the size from which messages are compressed.
	compressMinBytes = 512
	headerBytes      = 4
	// writeTimeout bounds the time to write one message.
	writeTimeout = 5 * time.Second
	// initialBufferBytes bounds the initial allocation for a received message.
	initialBufferBytes = 64 << 10
	// compressedFlag is the bit of the length header that marks a compressed
	// message.
	compressedFlag = 1 << 31
)

var (
	encoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(1<<17))
	decoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageBytes))
)

// stream is a jsonrpc2.ObjectStream of length-prefixed, optionally compressed
// messages.
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
		s.observer.MessageRefused("oversized message")
	case errors.Is(err, ErrMalformed):
		s.observer.MessageRefused("malformed message")
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

// encodeFrame returns the length-prefixed JSON of obj, compressed from
// compressMinBytes on.
func encodeFrame(obj any) ([]byte, error) {
	text, err := json.Marshal(obj)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	var flag uint32
	frame := make([]byte, headerBytes, headerBytes+len(text))
	if len(text) >= compressMinBytes {
		flag = compressedFlag
		frame = encoder.EncodeAll(text, frame)
	} else {
		frame = append(frame, text...)
	}
	size := len(frame) - headerBytes
	if size > MaxMessageBytes || len(text) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrOversized, "%d bytes", len(text))
	}
	binary.BigEndian.PutUint32(frame, uint32(size)|flag)
	return frame, nil
}

// readFrame returns the body of the next message, decompressed if necessary.
func readFrame(r io.Reader) ([]byte, error) {
	var buf [headerBytes]byte
	if _, err := io.ReadFull(r, buf[:]); err != nil {
		return nil, err
	}
	header := binary.BigEndian.Uint32(buf[:])
	size := header &^ compressedFlag
	if size > MaxMessageBytes {
		return nil, errors.Wrapf(ErrOversized, "%d bytes", size)
	}
	body, err := readBody(r, int(size))
	if err != nil || header&compressedFlag == 0 {
		return body, err
	}
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return plain, nil
}

// readBody reads size bytes. The buffer grows with the data received, so that a
// peer cannot force a large allocation by announcing a large size.
func readBody(r io.Reader, size int) ([]byte, error) {
	var body bytes.Buffer
	body.Grow(min(size, initialBufferBytes))
	n, err := io.CopyN(&body, r, int64(size))
	if err == io.EOF && n < int64(size) {
		err = io.ErrUnexpectedEOF
	}
	return body.Bytes(), err
}
