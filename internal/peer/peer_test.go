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

// echoHandler returns gossip messages unchanged and rejects pull requests.
type echoHandler struct{ Handler }

func (echoHandler) Gossip(_ context.Context, g member.Gossip) (member.Gossip, error) { return g, nil }

// Announce panics, as a defect in the handling of a message would.
func (echoHandler) Announce(dist.Announcement) { panic("defect") }

func (echoHandler) Relay(context.Context, source.RelayRequest) (source.RelayReply, error) {
	return source.RelayReply{}, nil
}

func (echoHandler) Pull(context.Context, dist.PullRequest) (dist.PullReply, error) {
	return dist.PullReply{}, errors.New("pull not supported")
}

// fakeObserver records the causes of refusals and the bytes sent.
type fakeObserver struct {
	mu     sync.Mutex
	causes []string
	signal chan struct{}
	sent   int
}

func (o *fakeObserver) Bytes(sent, _ int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent += sent
}

func (o *fakeObserver) MessageRefused(cause string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.causes = append(o.causes, cause)
	select {
	case o.signal <- struct{}{}:
	default:
	}
}

func (o *fakeObserver) HandlerPanicked(any) { o.MessageRefused("panic") }

// firstRefusal waits for a refusal and returns the cause of the first one.
func (o *fakeObserver) firstRefusal() string {
	<-o.signal
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.causes[0]
}

// startServer serves a transport on a loopback address.
func startServer(t *testing.T) (address string, o *fakeObserver) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o = &fakeObserver{signal: make(chan struct{}, 1)}
	transport := NewTransport(echoHandler{}, o, nil)
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
	return l.Addr().String(), o
}

func newClient(t *testing.T) (*Transport, *fakeObserver) {
	t.Helper()
	o := &fakeObserver{signal: make(chan struct{}, 1)}
	client := NewTransport(echoHandler{}, o, nil)
	t.Cleanup(client.Close)
	return client, o
}

func TestCallReturnsReply(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t)
	client, observer := newClient(t)
	long := strings.Repeat("x", 10*compressMinBytes)
	for _, from := range []string{"a", long} {
		reply, err := client.Gossip(context.Background(), address, member.Gossip{From: from})
		is.NoErr(err)
		is.Equal(reply.From, from)
	}
	is.True(observer.sent < len(long)) // the long message was compressed
}

func TestErrorReplyKeepsConnection(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t)
	client, _ := newClient(t)
	_, err := client.Pull(context.Background(), address, dist.PullRequest{})
	is.True(errors.Is(err, ErrRefused))
	is.Equal(len(client.outbound), 1)
}

// A message that makes the handler panic ends its connection, not the process.
func TestPanicOfTheHandlerEndsOnlyTheConnection(t *testing.T) {
	is := is.New(t)
	address, observer := startServer(t)
	bystander, _ := newClient(t)
	_, err := bystander.Gossip(context.Background(), address, member.Gossip{From: "b"})
	is.NoErr(err)
	kept := bystander.outbound[address]
	client, _ := newClient(t)
	is.NoErr(client.Announce(context.Background(), address, dist.Announcement{}))
	is.Equal(observer.firstRefusal(), "panic")
	<-client.outbound[address].rpc.DisconnectNotify()
	_, err = bystander.Gossip(context.Background(), address, member.Gossip{From: "b"})
	is.NoErr(err)
	is.Equal(bystander.outbound[address], kept)
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

func TestReconnectsAfterConnectionLoss(t *testing.T) {
	is := is.New(t)
	address, _ := startServer(t)
	client, _ := newClient(t)
	_, err := client.Gossip(context.Background(), address, member.Gossip{})
	is.NoErr(err)
	old := client.outbound[address]
	_ = old.conn.Close()
	<-old.rpc.DisconnectNotify()
	_, err = client.Gossip(context.Background(), address, member.Gossip{})
	is.NoErr(err)
}

// A server must report an invalid message to its observer and go on serving other
// connections. Only the cause of the first refusal is compared.
func TestInvalidMessageIsReportedAndServerKeepsServing(t *testing.T) {
	cases := []struct {
		name  string
		frame []byte
		cause string
	}{
		{"oversized", binary.BigEndian.AppendUint32(nil, MaxMessageBytes+1), "oversized message"},
		{"invalid JSON", rawFrame("{"), "malformed message"},
		{"invalid compressed data", rawCompressedFrame("plain"), "malformed message"},
		{"unknown method", rawFrame(`{"jsonrpc":"2.0","id":1,"method":"nope","params":{}}`), "unknown method"},
		{"missing parameters", rawFrame(`{"jsonrpc":"2.0","id":1,"method":"gossip"}`), "no parameters"},
		{"parameters of the wrong type", rawFrame(`{"jsonrpc":"2.0","id":1,"method":"gossip","params":[1]}`), "malformed parameters"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, observer := startServer(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			_, err = conn.Write(c.frame)
			is.NoErr(err)
			is.Equal(observer.firstRefusal(), c.cause)

			client, _ := newClient(t)
			_, err = client.Gossip(context.Background(), address, member.Gossip{})
			is.NoErr(err)
		})
	}
}

// rawFrame returns an uncompressed frame with the given body.
func rawFrame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// rawCompressedFrame returns a frame whose header marks the body as compressed.
func rawCompressedFrame(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))|compressedFlag), text...)
}

func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(strings.Repeat("a", 2*compressMinBytes))
	f.Add(good)
	f.Add(rawFrame("{}"))
	f.Add(rawCompressedFrame("x"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, input []byte) {
		body, err := readFrame(bytes.NewReader(input))
		if err == nil && len(body) > MaxMessageBytes {
			t.Fatalf("readFrame returned %d bytes, more than MaxMessageBytes", len(body))
		}
	})
}

// A peer may connect while the transport closes: serveConn then sets rpc while
// Close closes the connection. This must not be a data race, and Close must
// return.
func TestCloseDuringAccept(t *testing.T) {
	for range 500 {
		transport := NewTransport(echoHandler{}, &fakeObserver{signal: make(chan struct{}, 1)}, nil)
		server, client := net.Pipe()
		transport.accept(server)
		transport.Close()
		_ = client.Close()
	}
}
