package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/source"
)

// callTimeout bounds a call, the time to connect included.
const callTimeout = 5 * time.Second

// Gossip sends a gossip message and returns the answer.
func (t *Transport) Gossip(ctx context.Context, address string, g member.Gossip) (member.Gossip, error) {
	return call[member.Gossip](ctx, t, address, methodGossip, g)
}

// Pull sends a pull request and returns the answer.
func (t *Transport) Pull(ctx context.Context, address string, r dist.PullRequest) (dist.PullReply, error) {
	return call[dist.PullReply](ctx, t, address, methodPull, r)
}

// Follow asks a reader for what changed in the store.
func (t *Transport) Follow(ctx context.Context, address string, r source.RelayRequest) (source.RelayReply, error) {
	return call[source.RelayReply](ctx, t, address, methodFollow, r)
}

// Allow asks the owner of limits for credits.
func (t *Transport) Allow(ctx context.Context, address string, r limit.Request) (limit.Reply, error) {
	return call[limit.Reply](ctx, t, address, methodAllow, r)
}

// Announce notifies a peer; no answer comes.
func (t *Transport) Announce(ctx context.Context, address string, a dist.Announcement) error {
	return t.notify(ctx, address, methodAnnounce, a)
}

// notify sends a message that has no answer.
func (t *Transport) notify(ctx context.Context, address, method string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := t.dial(ctx, address)
	if err != nil {
		return err
	}
	return t.outcome(address, method, l, l.rpc.Notify(ctx, method, in))
}

// call sends a message and returns its answer.
func call[Out any](ctx context.Context, t *Transport, address, method string, in any) (out Out, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := t.dial(ctx, address)
	if err != nil {
		return out, err
	}
	err = t.outcome(address, method, l, l.rpc.Call(ctx, method, in, &out))
	return out, err
}

// outcome turns an error of the library into one of this package. A peer that
// answers with an error keeps its connection; any other failure may be that of
// the connection, which is closed.
func (t *Transport) outcome(address, method string, l *link, err error) error {
	if err == nil {
		return nil
	}
	var refused *jsonrpc2.Error
	if errors.As(err, &refused) {
		return errors.Wrapf(ErrRefused, "%s: %s: %v", address, method, err)
	}
	t.drop(address, l)
	return errors.Wrapf(ErrUnreachable, "%s: %s: %v", address, method, err)
}
