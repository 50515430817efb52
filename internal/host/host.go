// Package host runs a proxy: it feeds events from timers, sockets and the
// platform to the reducer of package node and executes the effects that the
// reducer returns.
package host

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/admission"
	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/decisionlog"
	"heatherlift.example/heatherlift/internal/dist"
	"heatherlift.example/heatherlift/internal/forward"
	"heatherlift.example/heatherlift/internal/identity"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/member"
	"heatherlift.example/heatherlift/internal/node"
	"heatherlift.example/heatherlift/internal/peer"
	"heatherlift.example/heatherlift/internal/routing"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/source"
	"heatherlift.example/heatherlift/internal/warmup"
)

const tickInterval = 100 * time.Millisecond

// Host runs one proxy.
type Host struct {
	settings settings.Settings
	log      *log.Logger
	metrics  *metrics
	// decisions logs routing and admission decisions.
	decisions *decisionlog.Log

	mu       sync.Mutex
	node     *node.Node
	recorder *Recorder

	// routeEffects, admitEffects and replies pass effects of the reducer to the
	// goroutines that wait for them, by request or call ID.
	routeEffects waiters[routing.Effect]
	admitEffects waiters[admission.Effect]
	replies      waiters[any]
	nextID       atomic.Uint64
	// callerLimits holds the limits of callers of the version in force, nil before
	// the first one.
	callerLimits atomic.Pointer[config.CallerLimits]

	// identity is nil if peers use plaintext.
	identity  *identity.Identity
	transport *peer.Transport
	source    *source.Client
	// instancesClient is the client used by instances.
	instancesClient *source.Client
	instances       *source.InstanceList
	fetcher         *source.Fetcher
	// feed, if set, replaces source, instancesClient, instances and fetcher.
	feed    source.Feed
	dialect forward.Dialect
	// peerPool holds connections to other proxies, backendPool connections to
	// the backend server.
	peerPool    *forward.Pool
	backendPool *forward.Pool
	// intake counts what clients hold.
	intake *intake.Account
	runID  string
	// warmUpFailure is the failure of the last health check for the warm-up, empty if
	// it succeeded.
	warmUpFailure   atomic.Pointer[string]
	warmUpTransport *http.Transport
	shutdownBounds  ShutdownBounds
	// shutdownEnd is when the shutdown in progress aborts requests in flight, nil if
	// there is none.
	shutdownEnd atomic.Pointer[time.Time]

	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
	// cancelWatch cancels the current watch of the configuration source. It is
	// guarded by watchMu.
	cancelWatch context.CancelFunc
	watchMu     sync.Mutex
	// fetcherMu guards fetcher: a cancelled watch may still use it when the next
	// one starts.
	fetcherMu sync.Mutex
}

// PlatformAdapter connects a proxy to a platform that has its own store and its
// own request headers.
type PlatformAdapter struct {
	// Feed returns a client of the platform's store that reports each call to
	// observe.
	Feed func(observe func(kind string, err error)) source.Feed
	// Dialect names the headers exchanged with callers and backend servers.
	Dialect forward.Dialect
	// Retries bounds the retries to a service across the fleet.
	Retries routing.RetryBudget
	// ColdTolerance is by how much a cold backend server may receive more requests
	// than the rate that its service names.
	ColdTolerance warmup.Tolerance
	// MinRetryAfter is the lower bound of the Retry-After of a refusal. It may
	// be below one second if callers accept fractions of a second.
	MinRetryAfter time.Duration
	// Shutdown states how long a shutdown may take.
	Shutdown ShutdownBounds
	// ResyncLimit is the time after a disturbance of the store, or of the connection to
	// it, within which the state of a proxy must be current again; 0 if the platform
	// states none.
	ResyncLimit time.Duration
	// EvacuationLimit is the time after the operator's write within which nothing more may
	// be sent to an evacuated availability zone, 0 if the platform states none.
	EvacuationLimit time.Duration
}

// New returns a host that is not running yet. The recorder may be nil. A nil
// adapter selects heatherlift's own platform and header interfaces. New returns
// identity.ErrCredentials if the TLS files are not usable.
func New(s settings.Settings, logger *log.Logger, recorder *Recorder, adapter *PlatformAdapter) (*Host, error) {
	id, err := loadIdentity(s.Peers)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	h := &Host{
		settings:        s,
		log:             logger,
		decisions:       decisionlog.New(logger),
		node:            node.New(nodeConfig(s, now, adapter)),
		dialect:         forward.NativeDialect(),
		recorder:        recorder,
		identity:        id,
		backendPool:     forward.NewPool(forward.DialTCP, s.BackendServer.Connections),
		runID:           runID(s.ID, now),
		warmUpTransport: newCheckTransport(),
	}
	if adapter != nil {
		h.shutdownBounds = adapter.Shutdown
	}
	h.peerPool = forward.NewPool(h.dialPeer, 0)
	h.metrics = newMetrics(h)
	h.limitClients()
	h.transport = peer.NewTransport(h, h.metrics, h.peerTLS())
	h.source = source.NewClient(s.Platform.Source, h.metrics.countSourceCall)
	h.instancesClient = source.NewClient(s.Platform.Instances, h.metrics.countSourceCall)
	h.instances = source.NewInstanceList(h.instancesClient)
	h.fetcher = source.NewFetcher(h.source)
	if adapter != nil {
		h.feed = adapter.Feed(h.metrics.countSourceCall)
		h.dialect = adapter.Dialect
	}
	if !h.reportsCosts() {
		h.dialect.ServerLoadHeader = ""
	}
	recorder.writeConfig(nodeConfig(s, now, adapter))
	return h, nil
}

// UseLogQueue makes the lines on requests give way to others in the queue behind the
// logger, and counts the lines that the queue has lost. It must be called before Run.
func (h *Host) UseLogQueue(q decisionlog.Output) {
	h.decisions.SetOutput(q)
	h.metrics.countLostLines(q)
}

// step feeds an event to the reducer and executes the resulting effects. It returns
// false if the reducer panicked.
func (h *Host) step(e node.Event) bool {
	effects, ok := h.reduce(e)
	h.execute(effects)
	return ok
}

// reportsCosts reports whether the fleet places requests by reports on costs.
func (h *Host) reportsCosts() bool { return h.settings.Requests.Placement != settings.PlacementScore }

// view calls f while it holds the reducer's lock.
func (h *Host) view(f func(n *node.Node)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.node)
}

func (h *Host) execute(effects node.Effects) {
	for _, e := range effects.Journal {
		h.log.Info(e.What, "cause", e.Cause)
	}
	if effects.Callers != nil {
		h.callerLimits.Store(effects.Callers)
	}
	for _, e := range effects.Routing {
		h.executeRouting(e)
	}
	for _, e := range effects.Admission {
		h.executeAdmission(e)
	}
	for _, e := range effects.Member {
		h.executeMember(e)
	}
	for _, e := range effects.Dist {
		h.executeDist(e)
	}
	for _, e := range effects.Limit {
		h.executeLimit(e)
	}
	for _, e := range effects.Dedupe {
		h.executeDedupe(e)
	}
	for _, e := range effects.Quarantine {
		h.executeQuarantine(e)
	}
	for _, e := range effects.Relay {
		h.replies.deliver(e.Call, e.Reply)
	}
	for _, call := range effects.Store {
		h.spawn(func() { h.callStore(call) })
	}
}

func (h *Host) executeRouting(e routing.Effect) {
	switch e := e.(type) {
	case routing.Send:
		h.routeEffects.deliver(e.ID, e)
	case routing.Refuse:
		h.metrics.countRefusal(e.Refusal)
		if isOverload(e.Refusal.Reason) {
			h.intake.Overloaded(time.Now())
		}
		h.routeEffects.deliver(e.ID, e)
	}
}

func (h *Host) executeAdmission(e admission.Effect) {
	switch e := e.(type) {
	case admission.Run:
		h.admitEffects.deliver(e.ID, e)
	case admission.Refuse:
		h.admitEffects.deliver(e.ID, e)
	case admission.WakeAt:
		time.AfterFunc(time.Until(e.At), func() { h.step(admission.Tick{}) })
	case admission.CheckWarmUp:
		h.spawn(func() { h.step(h.checkWarmUp(e.Path)) })
	case admission.WarmUpChanged:
		h.logWarmUp(e)
	case admission.ReplyFence:
		h.replies.deliver(e.Call, e.Reply)
	}
}

func (h *Host) executeMember(e member.Effect) {
	switch e := e.(type) {
	case member.Send:
		h.spawn(func() { h.gossip(e) })
	case member.Reply:
		h.replies.deliver(e.Call, e.Message)
	case member.ProtocolViolation:
		h.metrics.MessageRefused(e.Cause)
	}
}

func (h *Host) executeDist(e dist.Effect) {
	switch e := e.(type) {
	case dist.WatchSource:
		h.watchSource(e)
	case dist.StopSource:
		h.stopWatch()
	case dist.Pull:
		h.spawn(func() { h.pull(e) })
	case dist.Announce:
		h.spawn(func() { _ = h.transport.Announce(h.ctx, e.Address, e.Announcement) })
	case dist.ReplyPull:
		h.replies.deliver(e.Call, e.Reply)
	}
}

// spawn runs f in a new goroutine of the host's group. It does nothing if the
// host has stopped.
func (h *Host) spawn(f func()) {
	if h.ctx.Err() != nil {
		return
	}
	h.group.Go(func() error {
		defer h.recoverBackground()
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

// watchSource starts a watch of the configuration source and cancels the
// previous one, so that at most one is active.
func (h *Host) watchSource(e dist.WatchSource) {
	ctx, cancel := context.WithCancel(h.ctx)
	h.watchMu.Lock()
	cancelPrevious := h.cancelWatch
	h.cancelWatch = cancel
	h.watchMu.Unlock()
	if cancelPrevious != nil {
		cancelPrevious()
	}
	h.spawn(func() {
		defer cancel()
		h.readSource(ctx, e)
	})
}

func (h *Host) readSource(ctx context.Context, e dist.WatchSource) {
	h.fetcherMu.Lock()
	reading, err := h.fetcher.Next(ctx, e.After, e.Wait, e.Rate)
	h.fetcherMu.Unlock()
	if ctx.Err() != nil {
		return
	}
	event := dist.SourceRead{Version: reading.Version, Snapshot: reading.Snapshot, Refused: reading.Refused}
	if err != nil {
		event.Err = err.Error()
	}
	h.step(event)
}

func (h *Host) stopWatch() {
	h.watchMu.Lock()
	defer h.watchMu.Unlock()
	if h.cancelWatch != nil {
		h.cancelWatch()
	}
}
