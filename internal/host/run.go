package host

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/intake"
	"heatherlift.example/heatherlift/internal/node"
)

// ErrListen is returned if the proxy cannot listen on a configured address.
var ErrListen = errors.New("cannot listen")

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 80 << 10
	// maxAdminHeaderBytes and adminReadTimeout bound the requests of operators and of the
	// platform.
	maxAdminHeaderBytes = 8 << 10
	adminReadTimeout    = 5 * time.Second
	// maxPeerHeaderBytes leaves room for the headers that proxies add to the
	// largest one that a caller may send.
	maxPeerHeaderBytes = config.MaxCallerHeaderBytes + 16<<10
)

// listeners holds the listening sockets of a proxy.
type listeners struct {
	callers, forward, peers, admin net.Listener
	// metrics is nil if no address is set for it.
	metrics net.Listener
}

func (h *Host) listen() (listeners, error) {
	var l listeners
	targets := []struct {
		address string
		dest    *net.Listener
		// receiveBuffer is the bound of what the kernel holds of a connection, 0 for none.
		receiveBuffer int
	}{
		{h.settings.Listen.Callers, &l.callers, h.receiveBuffer()},
		{h.settings.Listen.Forward, &l.forward, 0},
		{h.settings.Listen.Peers, &l.peers, 0},
		{h.settings.Listen.Admin, &l.admin, h.receiveBuffer()},
		{h.settings.Listen.Metrics, &l.metrics, h.receiveBuffer()},
	}
	for _, t := range targets {
		if t.address == "" {
			continue
		}
		listener, err := intake.Listen(t.address, t.receiveBuffer)
		if err != nil {
			l.close()
			return listeners{}, errors.Wrapf(ErrListen, "%v", err)
		}
		*t.dest = &retryingListener{Listener: listener, onFailure: func(err error) {
			h.log.Error("connection not accepted", "address", t.address, "cause", err)
		}}
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.forward, l.peers, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Run serves until ctx is done, then shuts down gracefully: it announces the
// shutdown to the other proxies, lets requests in flight finish and closes its
// listeners and connections.
func (h *Host) Run(ctx context.Context, admin http.Handler) error {
	l, err := h.listen()
	if err != nil {
		return err
	}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.group = &errgroup.Group{}
	servers := h.newServers(l)
	adminServer := h.newAdminServer(admin)
	l.forward = &intake.Listener{Listener: l.forward, Account: h.intake, Door: intake.Proxies}
	l.admin = &intake.Listener{Listener: l.admin, Account: h.intake, Door: intake.Admin, ReceiveBuffer: h.receiveBuffer()}
	h.group.Go(func() error { return serve(servers.callerServer.Serve, servers.callerListener) })
	h.group.Go(func() error { return serve(servers.forwardServer.Serve, h.peerListener(l.forward)) })
	h.group.Go(func() error { return serve(adminServer.Serve, l.admin) })
	if l.metrics != nil {
		l.metrics = &intake.Listener{Listener: l.metrics, Account: h.intake, Door: intake.Metrics, ReceiveBuffer: h.receiveBuffer()}
		h.group.Go(func() error { return serve(adminServer.Serve, l.metrics) })
	}
	h.group.Go(func() error { _ = h.transport.Serve(l.peers); return nil })
	h.group.Go(func() error { h.tick(); return nil })
	h.group.Go(func() error { h.closeBlocked(); return nil })
	h.group.Go(func() error { h.decisions.Run(h.ctx.Done()); return nil })
	if h.feed == nil {
		h.group.Go(func() error { h.pollInstances(); return nil })
	}
	if h.settings.BackendServer.HealthInterval > 0 {
		h.group.Go(func() error { h.pollHealth(); return nil })
	}
	h.group.Go(func() error { h.watchIdentity(); return nil })
	h.log.Info("proxy started", "id", h.settings.ID, "callers", h.settings.Listen.Callers)
	<-ctx.Done()
	h.shutDown(servers)
	h.cancel()
	_ = l.peers.Close()
	h.transport.Close()
	_ = adminServer.Close()
	err = h.group.Wait()
	h.peerPool.Close()
	h.backendPool.Close()
	h.warmUpTransport.CloseIdleConnections()
	h.source.Close()
	if h.feed != nil {
		h.feed.Close()
	}
	h.instancesClient.Close()
	h.logIntakePeaks()
	h.log.Info("proxy stopped", "id", h.settings.ID)
	return err
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// newAdminServer returns the server of operators, which are no callers: their requests have
// no body and a short header.
func (h *Host) newAdminServer(handler http.Handler) *http.Server {
	s := newServer(handler)
	s.MaxHeaderBytes = maxAdminHeaderBytes
	s.ReadTimeout = adminReadTimeout
	s.WriteTimeout = time.Duration(h.settings.Clients.ReadTimeout)
	intake.Watch(s)
	return s
}

// serve runs serveOn on the listener. It returns nil if the server or its
// listener was closed.
func serve(serveOn func(net.Listener) error, l net.Listener) error {
	err := serveOn(l)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// sleep waits for d or until the host stops. It reports whether d has elapsed.
func (h *Host) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-h.ctx.Done():
		return false
	}
}

func (h *Host) tick() {
	for h.sleep(tickInterval) {
		h.step(node.Tick{})
	}
}
