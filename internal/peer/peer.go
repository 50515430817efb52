package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/source"
)

// JSON-RPC methods for membership, configuration and limits.
const (
	methodGossip         = "gossip"
	methodAnnounce       = "announce"
	methodPull           = "pull"
	methodRelay          = "follow"
	methodRequestCredits = "allow"
	methodCrashEvidence  = "crashes"
)

// Handler handles messages received from peers.
type Handler interface {
	Gossip(ctx context.Context, g member.Gossip) (member.Gossip, error)
	Pull(ctx context.Context, r dist.PullRequest) (dist.PullReply, error)
	// Relay returns changes in the platform's store. It may wait for one, as
	// long as the request allows.
	Relay(ctx context.Context, r source.RelayRequest) (source.RelayReply, error)
	Announce(a dist.Announcement)
	RequestCredits(ctx context.Context, r limit.Request) (limit.Reply, error)
	ExchangeCrashEvidence(ctx context.Context, m quarantine.Message) (quarantine.Message, error)
	FenceAndClaimHandler
}

// Observer receives traffic statistics. Its methods are called concurrently.
type Observer interface {
	// Bytes counts bytes sent and received.
	Bytes(sent, received int)
	// MessageRefused counts refused messages and connections, by cause.
	MessageRefused(cause string)
	// HandlerPanicked is told of each panic of the Handler, by the goroutine that
	// panicked.
	HandlerPanicked(cause any)
}

// Transport sends messages to peers and serves messages from them. It is safe
// for concurrent use.
type Transport struct {
	handler  Handler
	observer Observer
	tls      *tls.Config
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// outbound holds the connections opened by this transport, by address.
	outbound map[string]*peerConn
	// inbound holds the connections opened by peers, including those whose TLS
	// handshake is not complete.
	inbound       map[*peerConn]struct{}
	lastIdleCheck time.Time
	closed        bool
	wg            sync.WaitGroup
}

// NewTransport returns a transport. A nil TLS configuration means plaintext.
func NewTransport(h Handler, o Observer, tlsConfig *tls.Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		handler:  h,
		observer: o,
		tls:      tlsConfig,
		ctx:      ctx,
		cancel:   cancel,
		outbound: make(map[string]*peerConn),
		inbound:  make(map[*peerConn]struct{}),
	}
}

// Close closes all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.cancel()
	t.mu.Lock()
	t.closed = true
	var all []peerConn // copies: serveConn may set rpc after the unlock
	for _, pc := range t.outbound {
		all = append(all, *pc)
	}
	for pc := range t.inbound {
		all = append(all, *pc)
	}
	t.mu.Unlock()
	for _, pc := range all {
		pc.close()
	}
	t.wg.Wait()
}
