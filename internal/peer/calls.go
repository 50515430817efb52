package peer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"

	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/limit"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/quarantine"
	"heatherlift.example/heatherlift/internal/source"
)

// callTimeout bounds a call or notification, including the time to connect.
const callTimeout = 5 * time.Second

// Gossip sends a gossip message and returns the peer's reply.
func (t *Transport) Gossip(ctx context.Context, address string, g member.Gossip) (member.Gossip, error) {
	return call[member.Gossip](ctx, t, address, methodGossip, g)
}

// Pull sends a pull request and returns the reply.
func (t *Transport) Pull(ctx context.Context, address string, r dist.PullRequest) (dist.PullReply, error) {
	return call[dist.PullReply](ctx, t, address, methodPull, r)
}

// Relay asks a reader, which is a proxy that reads the platform's store on behalf
// of others, for changes in the store.
func (t *Transport) Relay(ctx context.Context, address string, r source.RelayRequest) (source.RelayReply, error) {
	return call[source.RelayReply](ctx, t, address, methodRelay, r)
}

// RequestCredits requests rate-limit credits from an owner of the limits.
func (t *Transport) RequestCredits(ctx context.Context, address string, r limit.Request) (limit.Reply, error) {
	return call[limit.Reply](ctx, t, address, methodRequestCredits, r)
}

// ExchangeCrashEvidence tells a peer of requests that crash backend servers and
// returns what the peer knows.
func (t *Transport) ExchangeCrashEvidence(ctx context.Context, address string, m quarantine.Message) (quarantine.Message, error) {
	return call[quarantine.Message](ctx, t, address, methodCrashEvidence, m)
}

// Announce sends an announcement to a peer, which does not reply.
func (t *Transport) Announce(ctx context.Context, address string, a dist.Announcement) error {
	return t.notify(ctx, address, methodAnnounce, a)
}

// notify sends a message that has no reply.
func (t *Transport) notify(ctx context.Context, address, method string, in any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pc, err := t.connTo(ctx, address)
	if err != nil {
		return err
	}
	return t.wrapError(address, method, pc, pc.rpc.Notify(ctx, method, in))
}

// call sends a message and returns the reply.
func call[Out any](ctx context.Context, t *Transport, address, method string, in any) (out Out, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	pc, err := t.connTo(ctx, address)
	if err != nil {
		return out, err
	}
	err = t.wrapError(address, method, pc, pc.rpc.Call(ctx, method, in, &out))
	return out, err
}

// wrapError converts an error of package jsonrpc2 to one of this package. An
// error reply from the peer leaves the connection open. Any other error may be a
// connection failure, so the connection is closed.
func (t *Transport) wrapError(address, method string, pc *peerConn, err error) error {
	if err == nil {
		return nil
	}
	var reply *jsonrpc2.Error
	if errors.As(err, &reply) {
		return errors.Wrapf(ErrRefused, "%s: %s: %v", address, method, err)
	}
	t.closeConn(address, pc)
	return errors.Wrapf(ErrUnreachable, "%s: %s: %v", address, method, err)
}
