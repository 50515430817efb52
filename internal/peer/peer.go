package peer

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// Methods of the protocol.
const (
	methodGossip   = "gossip"
	methodAnnounce = "announce"
	methodPull     = "pull"
	methodFollow   = "follow"
	methodAllow    = "allow"
)

// Handler answers the messages of peers.
type Handler interface {
	Gossip(ctx context.Context, g member.Gossip) (member.Gossip, error)
	Pull(ctx context.Context, r dist.PullRequest) (dist.PullReply, error)
	// Follow answers with what changed in the store, after a wait if need be.
	Follow(ctx context.Context, r source.RelayRequest) (source.RelayReply, error)
	Announce(a dist.Announcement)
	Allow(ctx context.Context, r limit.Request) (limit.Reply, error)
	RequestHandler
}

// Observer counts what is carried. Its methods are called concurrently.
type Observer interface {
	// Bytes counts bytes sent and received.
	Bytes(sent, received int)
	// Refused counts messages that break the protocol.
	Refused(cause string)
}

// Transport sends messages to peers and serves theirs. It is safe for
// concurrent use.
type Transport struct {
	handler  Handler
	observer Observer
	tls      *tls.Config
	ctx      context.Context
	cancel   context.CancelFunc

	mu sync.Mutex
	// dialled holds the connections to peers by address.
	dialled map[string]*link
	// accepted holds the connections of peers, before their handshake too.
	accepted  map[*link]struct{}
	lastSweep time.Time
	closed    bool
	wg        sync.WaitGroup
}

// NewTransport returns a transport. A nil tls configuration means plaintext.
func NewTransport(h Handler, o Observer, tlsConfig *tls.Config) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		handler:  h,
		observer: o,
		tls:      tlsConfig,
		ctx:      ctx,
		cancel:   cancel,
		dialled:  make(map[string]*link),
		accepted: make(map[*link]struct{}),
	}
}

// Close closes every connection and waits until their goroutines have ended.
func (t *Transport) Close() {
	t.cancel()
	t.mu.Lock()
	t.closed = true
	var all []link // copies: a handshake that ends now still sets rpc
	for _, l := range t.dialled {
		all = append(all, *l)
	}
	for l := range t.accepted {
		all = append(all, *l)
	}
	t.mu.Unlock()
	for _, l := range all {
		l.close()
	}
	t.wg.Wait()
}
