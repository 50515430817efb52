package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// echo answers gossip with what it got; other messages are not expected.
type echo struct{ Handler }

func (echo) Gossip(_ context.Context, g member.Gossip) (member.Gossip, error) { return g, nil }

func (echo) Follow(context.Context, source.RelayRequest) (source.RelayReply, error) {
	return source.RelayReply{}, nil
}

func (echo) Pull(context.Context, dist.PullRequest) (dist.PullReply, error) {
	return dist.PullReply{}, errors.New("no pulls here")
}

// counters is an Observer that remembers.
type counters struct {
	mu      sync.Mutex
	refused []string
	changed chan struct{}
	sent    int
}

func (c *counters) Bytes(sent, _ int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent += sent
}

func (c *counters) Refused(cause string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, cause)
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// await returns the first cause of a refusal.
func (c *counters) await() string {
	<-c.changed
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused[0]
}

// serve starts a transport on a loopback address.
func serve(t *testing.T) (address string, c *counters) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c = &counters{changed: make(chan struct{}, 1)}
	transport := NewTransport(echo{}, c, nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Serve(l)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		transport.Close()
		<-done
	})
	return l.Addr().String(), c
}

func newClient(t *testing.T) (*Transport, *counters) {
	t.Helper()
	c := &counters{changed: make(chan struct{}, 1)}
	client := NewTransport(echo{}, c, nil)
	t.Cleanup(client.Close)
	return client, c
}

func TestCallIsAnswered(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t)
	client, counted := newClient(t)
	long := strings.Repeat("x", 10*compressFrom)
	for _, from := range []string{"a", long} {
		answer, err := client.Gossip(context.Background(), address, member.Gossip{From: from})
		is.NoErr(err)
		is.Equal(answer.From, from)
	}
	is.True(counted.sent < len(long)) // the long message travelled compressed
}

func TestRefusalKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t)
	client, _ := newClient(t)
	_, err := client.Pull(context.Background(), address, dist.PullRequest{})
	is.True(errors.Is(err, ErrRefused))
	is.Equal(len(client.dialled), 1)
}

func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	_ = l.Close()
	client, _ := newClient(t)
	_, err = client.Gossip(context.Background(), l.Addr().String(), member.Gossip{})
	is.True(errors.Is(err, ErrUnreachable))
}

func TestReconnectsAfterThePeerClosed(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t)
	client, _ := newClient(t)
	_, err := client.Gossip(context.Background(), address, member.Gossip{})
	is.NoErr(err)
	lost := client.dialled[address]
	_ = lost.conn.Close()
	<-lost.rpc.DisconnectNotify()
	_, err = client.Gossip(context.Background(), address, member.Gossip{})
	is.NoErr(err)
}

func TestBrokenMessagesAreCountedAndHarmNothing(t *testing.T) {
	cases := []struct {
		name  string
		frame []byte
		cause string
	}{
		{"oversized", binary.BigEndian.AppendUint32(nil, MaxMessageBytes+1), "oversized message"},
		{"no JSON", frame("{"), "malformed message"},
		{"not compressed", compressed("plain"), "malformed message"},
		{"unknown method", frame(`{"jsonrpc":"2.0","id":1,"method":"nope","params":{}}`), "unknown method"},
		{"no parameters", frame(`{"jsonrpc":"2.0","id":1,"method":"gossip"}`), "no parameters"},
		{"wrong parameters", frame(`{"jsonrpc":"2.0","id":1,"method":"gossip","params":[1]}`), "malformed parameters"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, counted := serve(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.frame)
			is.NoErr(err)
			is.Equal(counted.await(), c.cause)

			client, _ := newClient(t)
			_, err = client.Gossip(context.Background(), address, member.Gossip{})
			is.NoErr(err)
		})
	}
}

func frame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

func compressed(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))|compressedBit), text...)
}

func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(strings.Repeat("a", 2*compressFrom))
	f.Add(good)
	f.Add(frame("{}"))
	f.Add(compressed("x"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		body, err := readFrame(bytes.NewReader(input))
		if err == nil && len(body) > MaxMessageBytes {
			t.Fatalf("a message of %d bytes", len(body))
		}
	})
}

// A peer may connect at the moment at which the transport closes.
func TestCloseWhileAPeerConnects(t *testing.T) {
	for range 500 {
		transport := NewTransport(echo{}, &counters{changed: make(chan struct{}, 1)}, nil)
		here, there := net.Pipe()
		transport.accept(here)
		transport.Close()
		_ = there.Close()
	}
}
