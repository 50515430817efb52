// Package host runs a proxy: it feeds the reducer of package node with events
// from clocks, sockets and the platform, and carries out its effects.
package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/decisionlog"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/peer"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/source"
)

const tickInterval = 100 * time.Millisecond

// Host runs one proxy.
type Host struct {
	settings settings.Settings
	log      *log.Logger
	metrics  *metrics
	// decisions is the log of decisions about requests.
	decisions *decisionlog.Log

	mu       sync.Mutex
	node     *node.Node
	recorder *Recorder

	routes waiters[routing.Effect]
	admits waiters[admission.Effect]
	calls  waiters[any]
	nextID atomic.Uint64

	// identity is nil if peers talk plaintext.
	identity  *identity.Identity
	transport *peer.Transport
	source    *source.Client
	// listClient carries the calls of instances.
	listClient *source.Client
	instances  *source.InstanceList
	fetcher    *source.Fetcher
	// feed replaces source, listClient, instances and fetcher if it is set.
	feed    source.Feed
	dialect forward.Dialect
	// peerPool connects to other proxies, backendPool to the backend server.
	peerPool    *forward.Pool
	backendPool *forward.Pool
	origin      string

	ctx        context.Context
	cancel     context.CancelFunc
	group      *errgroup.Group
	stopSource context.CancelFunc
	sourceMu   sync.Mutex
	// fetchMu guards fetcher, whose last use may end after its watch.
	fetchMu sync.Mutex
}

// Adapter ties a proxy to a platform with its own store and its own headers.
type Adapter struct {
	// Feed returns the store's client, which reports each call to observe.
	Feed func(observe func(kind string, err error)) source.Feed
	// Dialect is spoken with callers and backend servers.
	Dialect forward.Dialect
	// Retries bounds the retries of the fleet.
	Retries routing.RetryBudget
	// MinRetryAfter is the shortest time that a refusal asks for; callers
	// that understand fractions of a second need not wait for a whole one.
	MinRetryAfter time.Duration
}

// New returns a host that is not running yet. The recorder may be nil, and so
// may the adapter: the proxy then speaks heatherlift's own interfaces. It
// returns identity.ErrMaterial if the TLS files are not usable.
func New(s settings.Settings, logger *log.Logger, recorder *Recorder, adapter *Adapter) (*Host, error) {
	id, err := loadIdentity(s.Peers)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	h := &Host{
		settings:    s,
		log:         logger,
		decisions:   decisionlog.New(logger),
		node:        node.New(nodeConfig(s, now, adapter)),
		dialect:     forward.OwnDialect(),
		recorder:    recorder,
		identity:    id,
		backendPool: forward.NewPool(forward.DialTCP, s.BackendServer.Connections),
		origin:      origin(s.ID, now),
	}
	h.peerPool = forward.NewPool(h.dialPeer, 0)
	h.metrics = newMetrics(h)
	h.transport = peer.NewTransport(h, h.metrics, h.peerTLS())
	h.source = source.NewClient(s.Platform.Source, h.metrics.sourceCall)
	h.listClient = source.NewClient(s.Platform.Instances, h.metrics.sourceCall)
	h.instances = source.NewInstanceList(h.listClient)
	h.fetcher = source.NewFetcher(h.source)
	if adapter != nil {
		h.feed = adapter.Feed(h.metrics.sourceCall)
		h.dialect = adapter.Dialect
	}
	recorder.start(nodeConfig(s, now, adapter))
	return h, nil
}

// step feeds an event to the reducer and carries out the effects.
func (h *Host) step(e node.Event) {
	h.mu.Lock()
	now := time.Now()
	effects := h.node.Step(now, e)
	h.recorder.record(now, e)
	h.mu.Unlock()
	h.carryOut(effects)
}

// view calls f with the reducer at rest.
func (h *Host) view(f func(n *node.Node)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.node)
}

func (h *Host) carryOut(effects node.Effects) {
	for _, e := range effects.Journal {
		h.log.Info(e.What, "cause", e.Cause)
	}
	for _, e := range effects.Routing {
		h.carryOutRouting(e)
	}
	for _, e := range effects.Admission {
		h.carryOutAdmission(e)
	}
	for _, e := range effects.Member {
		h.carryOutMember(e)
	}
	for _, e := range effects.Dist {
		h.carryOutDist(e)
	}
	for _, e := range effects.Limit {
		h.carryOutLimit(e)
	}
	for _, e := range effects.Dedupe {
		h.carryOutDedupe(e)
	}
	for _, e := range effects.Relay {
		h.calls.deliver(e.Call, e.Reply)
	}
	for _, call := range effects.Store {
		h.goDo(func() { h.callStore(call) })
	}
}

func (h *Host) carryOutRouting(e routing.Effect) {
	switch e := e.(type) {
	case routing.Send:
		h.routes.deliver(e.ID, e)
	case routing.Refuse:
		h.metrics.refused(e.Refusal)
		h.routes.deliver(e.ID, e)
	}
}

func (h *Host) carryOutAdmission(e admission.Effect) {
	switch e := e.(type) {
	case admission.Run:
		h.admits.deliver(e.ID, e)
	case admission.Refuse:
		h.admits.deliver(e.ID, e)
	case admission.ReplyFence:
		h.calls.deliver(e.Call, e.Reply)
	}
}

func (h *Host) carryOutMember(e member.Effect) {
	switch e := e.(type) {
	case member.Send:
		h.goDo(func() { h.gossip(e) })
	case member.Reply:
		h.calls.deliver(e.Call, e.Message)
	case member.Violation:
		h.metrics.Refused(e.Cause)
	}
}

func (h *Host) carryOutDist(e dist.Effect) {
	switch e := e.(type) {
	case dist.WatchSource:
		h.watchSource(e)
	case dist.StopSource:
		h.cancelSource()
	case dist.Pull:
		h.goDo(func() { h.pull(e) })
	case dist.Announce:
		h.goDo(func() { _ = h.transport.Announce(h.ctx, e.Address, e.Announcement) })
	case dist.ReplyPull:
		h.calls.deliver(e.Call, e.Reply)
	}
}

// goDo runs f beside the caller until the host stops.
func (h *Host) goDo(f func()) {
	if h.ctx.Err() != nil {
		return
	}
	h.group.Go(func() error {
		f()
		return nil
	})
}

func (h *Host) gossip(e member.Send) {
	answer, err := h.transport.Gossip(h.ctx, e.Address, e.Message)
	if err != nil {
		h.step(member.Failed{Call: e.Call, ID: e.To})
		return
	}
	h.step(member.Answered{Call: e.Call, From: e.To, Message: answer})
}

func (h *Host) pull(e dist.Pull) {
	reply, err := h.transport.Pull(h.ctx, e.Address, e.Request)
	event := dist.Pulled{Call: e.Call, From: e.To, Reply: reply}
	if err != nil {
		event.Err = err.Error()
	}
	h.step(event)
}

// watchSource starts a watch; there is at most one.
func (h *Host) watchSource(e dist.WatchSource) {
	ctx, cancel := context.WithCancel(h.ctx)
	h.sourceMu.Lock()
	previous := h.stopSource
	h.stopSource = cancel
	h.sourceMu.Unlock()
	if previous != nil {
		previous()
	}
	h.goDo(func() {
		defer cancel()
		h.readSource(ctx, e)
	})
}

func (h *Host) readSource(ctx context.Context, e dist.WatchSource) {
	h.fetchMu.Lock()
	reading, err := h.fetcher.Next(ctx, e.After, e.Wait, e.Rate)
	h.fetchMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	event := dist.SourceRead{Version: reading.Version, Snapshot: reading.Snapshot, Refused: reading.Refused}
	if err != nil {
		event.Err = err.Error()
	}
	h.step(event)
}

func (h *Host) cancelSource() {
	h.sourceMu.Lock()
	defer h.sourceMu.Unlock()
	if h.stopSource != nil {
		h.stopSource()
	}
}
