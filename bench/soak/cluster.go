package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/platform/standin"
)

const (
	zones = 2
	// seedMachines is the number of machines listed as seeds in the proxies'
	// settings.
	seedMachines = 3
	// startTimeout bounds the wait at the start until a proxy is ready.
	startTimeout = 10 * time.Second
)

// services are the services of the fleet. They are assigned to the machines in turn,
// each to one machine per zone.
var services = []string{"desk", "hotel"}

// cluster is a fleet with its store, links and backend servers.
type cluster struct {
	lab *lab.Lab
	// seed is the seed of the run.
	seed uint64
	// ctx is done when the callers are to end.
	ctx context.Context
	// secondOctet is the second byte of all addresses. It is derived from the
	// process ID so that concurrent runs rarely share addresses.
	secondOctet  int
	storeAddress string
	store        *standin.Store
	storeServer  *http.Server
	observed     *observations
	machines     []*machine
	lastVersion  uint64
	lastRoutes   []standin.Route
	publishMu    sync.Mutex
	// rateLimit is the rate limit that a third of the backend servers name throughout
	// the run, in requests per second, 0 for none.
	rateLimit float64
	// callersPerMachine is the number of callers that each machine always has.
	callersPerMachine int
	// longCallers is the number of callers of each machine whose requests have long runs.
	longCallers int
	// lossPercent is the share of the responses that all backend servers lose until the
	// plan has ended.
	lossPercent atomic.Int64
	// ending is the name of the ending of crashing requests, empty to draw one for each.
	ending string
	// warmUp is the warm-up of all services, zero for none. It applies to backend servers
	// that start once the fleet has started.
	warmUp  standin.WarmUp
	started atomic.Bool
	// downloadKind is the kind of the route of downloadPath, empty for no such route.
	downloadKind string
	// evacuationMu is held while an availability zone is evacuated.
	evacuationMu sync.Mutex
	// storeFaultMu serialises store faults, as the store has one at a time.
	storeFaultMu sync.Mutex
	// runningSteps waits for the steps of the plan that have not ended.
	runningSteps sync.WaitGroup
	// callers waits for the callers.
	callers sync.WaitGroup
}

// newCluster starts a fleet and waits until every proxy is ready.
func newCluster(ctx context.Context, l *lab.Lab, o options) (*cluster, error) {
	c := &cluster{
		lab: l, seed: o.seed, rateLimit: o.rateLimit, longCallers: o.longCallers, ending: o.ending, callersPerMachine: max(1, defaultCallers/o.machines) * max(1, o.load), ctx: ctx, secondOctet: 10 + os.Getpid()%200, store: standin.NewStore(), observed: &observations{grace: cmp.Or(o.grace, defaultGrace)},
	}
	c.lossPercent.Store(int64(100 * o.loss))
	if o.selects(kindCold, kindColdZone, kindEvacuate) {
		c.warmUp = standin.WarmUp{Duration: warmUpTime, PerSecond: warmUpPerSecond}
	}
	if o.selects(kindDownloads) {
		c.downloadKind = cmp.Or(o.downloadKind, repeatableKind)
	}
	c.storeAddress = address(fmt.Sprintf("127.%d.0.1", c.secondOctet), storePort)
	listener, err := net.Listen("tcp", c.storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	c.storeServer = &http.Server{Handler: c.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.storeServer.Serve(listener) }()
	c.publish()
	for i := range o.machines {
		m, err := c.newMachine(i, services[i/zones%len(services)])
		if err != nil {
			return nil, err
		}
		c.machines = append(c.machines, m)
		if err := m.startBackend(); err != nil {
			return nil, err
		}
	}
	for _, m := range c.machines {
		if err := m.startProxy(); err != nil {
			return nil, err
		}
	}
	for _, m := range c.machines {
		if err := m.lab.WaitForURL(m.readyURL(), startTimeout); err != nil {
			return nil, err
		}
	}
	c.started.Store(true)
	return c, nil
}

// close closes the servers and links. The lab ends the processes.
func (c *cluster) close() {
	for _, m := range c.machines {
		m.exitExpected.Store(true)
		_ = m.server.Close()
		m.storeLink.close()
		for _, l := range m.proxyLinks {
			l.close()
		}
	}
	_ = c.storeServer.Close()
}

// runPlan executes a plan and waits until all its steps have ended.
func (c *cluster) runPlan(plan []step) {
	began := time.Now()
	for _, s := range plan {
		time.Sleep(time.Until(began.Add(s.At)))
		c.runningSteps.Go(func() { c.execute(s) })
	}
	c.runningSteps.Wait()
}

// execute executes one step and returns when it has ended.
func (c *cluster) execute(s step) {
	m := c.machines[s.Machine]
	switch s.Kind {
	case kindStop:
		m.stopProxy()
	case kindStopAll:
		c.stopEach()
	case kindKill:
		m.killProxy(s.Kind)
	case kindKillAll:
		c.forEachMachine(func(m *machine) { m.killProxy(s.Kind) })
	case kindPause:
		m.pauseProxy(s.Duration / 2)
	case kindHangup:
		m.process.Load().Signal(syscall.SIGHUP)
	case kindCutStore, kindMuteStore:
		m.impairLinks(s, m.storeLink)
	case kindCutProxy, kindMuteProxy, kindSlowProxy:
		m.impairLinks(s, m.proxyLinks...)
	case kindSilence, kindReset:
		m.breakConnections(s.Kind)
	case kindStoreRefuses, kindStoreSilent, kindStoreSlow, kindStoreLoses:
		c.injectStoreFault(s)
	case kindCompact:
		c.store.Compact()
	case kindRestore:
		c.restoreStore(s)
	case kindLostAnswers, kindSlowBackend:
		m.injectBackendFault(s)
	case kindRelease:
		m.redeployBackend()
	case kindCrash:
		m.crashBackend()
	case kindRestartBackend:
		m.restartBackend()
	case kindLimit:
		m.varyLimit(s)
	case kindLimitService:
		c.limitService(s)
	case kindAnnouncedEnd:
		m.announceEnd(s)
	case kindCrashingRequest:
		c.startCrashingRequest(uint64(s.At))
	case kindBurst, kindImpatience:
		c.addCallers(s)
	case kindCold:
		m.cool(m.backend.Load(), coldNotice)
	case kindColdZone:
		c.coolZone(s)
	case kindEvacuate:
		c.evacuate(s)
	case kindDownloads:
		c.addDownloads(s)
	case kindUneven:
		c.varySpeeds(s)
	case kindChange:
		c.publish()
	case kindStorm:
		for range 5 {
			c.publish()
			time.Sleep(150 * time.Millisecond)
		}
	}
}

// forEachMachine calls f for all machines in parallel and waits for the calls.
func (c *cluster) forEachMachine(f func(m *machine)) {
	var wg sync.WaitGroup
	for _, m := range c.machines {
		wg.Go(func() { f(m) })
	}
	wg.Wait()
}

// impairLinks blocks or delays the given links of the machine for the duration of
// a step.
func (m *machine) impairLinks(s step, links ...*link) {
	defer m.observed.recordDisturbance(m.index, s.Kind)()
	for _, l := range links {
		switch s.Kind {
		case kindSlowProxy:
			l.setDelay(100 * time.Millisecond)
			defer l.setDelay(0)
		case kindCutStore, kindCutProxy:
			defer l.toTarget.close()()
			defer l.fromTarget.close()()
		default:
			defer l.fromTarget.close()()
		}
	}
	time.Sleep(s.Duration)
}

// breakConnections resets or stalls the connections that are open on the links of
// the machine.
func (m *machine) breakConnections(k kind) {
	defer m.observed.recordDisturbance(m.index, k)()
	for _, l := range append([]*link{m.storeLink}, m.proxyLinks...) {
		if k == kindReset {
			l.reset()
		} else {
			l.stall()
		}
	}
}

func (c *cluster) injectStoreFault(s step) {
	c.storeFaultMu.Lock()
	defer c.storeFaultMu.Unlock()
	defer c.observed.recordDisturbance(sharedComponents, s.Kind)()
	c.store.SetFault(map[kind]standin.StoreFault{
		kindStoreRefuses: standin.StoreUnavailable, kindStoreSilent: standin.StoreUnresponsive,
		kindStoreSlow: standin.StoreSlow, kindStoreLoses: standin.StoreDropsResponses,
	}[s.Kind])
	time.Sleep(s.Duration)
	c.store.SetFault(standin.StoreHealthy)
}

func (c *cluster) lossRate() float64 { return float64(c.lossPercent.Load()) / 100 }

// endLosses ends the loss of responses at all backend servers.
func (c *cluster) endLosses() {
	c.lossPercent.Store(0)
	for _, m := range c.machines {
		m.backend.Load().SetFault(meanServiceTime, 0)
	}
}

func (m *machine) injectBackendFault(s step) {
	defer m.observed.recordDisturbance(m.index, s.Kind)()
	b := m.backend.Load()
	if s.Kind == kindSlowBackend {
		b.SetFault(10*meanServiceTime, m.lossRate())
		m.slowed.Store(true)
		defer m.slowed.Store(false)
	} else {
		b.SetFault(meanServiceTime, 0.3)
	}
	time.Sleep(s.Duration)
	b.SetFault(meanServiceTime, m.lossRate())
}

const (
	hostName = "a.example"
	// Path prefixes of the routes that every version has. All are repeatable except
	// those of nonRepeatablePath, uploadPath and nonRepeatableLongPath.
	repeatablePath    = "/look/"  // to the first service
	nonRepeatablePath = "/book/"  // to the first service
	secondServicePath = "/rota/"  // to the second service
	movedPath         = "/moved/" // to the other service with each version
	// uploadPath is that of uploads, to the second service.
	uploadPath = "/scan/"
	// Parameters of every route.
	requestDeadline = 2 * time.Second
	targetLatency   = 300 * time.Millisecond
)

// maxAttempts returns the number of attempts that the route of a path allows.
func maxAttempts(path string) int {
	switch {
	case strings.HasPrefix(path, movedPath):
		return 2
	case strings.HasPrefix(path, addedPaths):
		return 1
	}
	return 3
}

// addedPaths is the path prefix of all routes that versions add.
const addedPaths = "/added/"

// addedPath returns the path prefix of the route that a version adds.
func addedPath(version uint64) string { return addedPaths + formatHex(version) + "/" }

// publish publishes the next version, which changes the service of the route of
// movedPath and adds a route with the prefix addedPath.
func (c *cluster) publish() {
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	c.lastVersion++
	v := version{number: c.lastVersion, movedService: services[c.lastVersion%2]}
	route := func(path, service string, repeatable bool, priority int) standin.Route {
		return standin.Route{
			Name: "r" + path, Host: hostName, Prefix: path, Repeatable: repeatable, Upload: path == uploadPath, Service: service,
			Timeout: requestDeadline, Target: targetLatency, Priority: priority, Attempts: maxAttempts(path),
		}
	}
	routes := []standin.Route{
		route(repeatablePath, services[0], true, 2), route(nonRepeatablePath, services[0], false, 1),
		route(secondServicePath, services[1], true, 2), route(movedPath, v.movedService, true, 2),
		route(uploadPath, services[1], false, 1),
	}
	if c.longCallers > 0 {
		for i, path := range []string{longPath, nonRepeatableLongPath} {
			long := route(path, services[i], path == longPath, 2)
			long.Timeout, long.Target = longDeadline, 3*longDeadline/4
			routes = append(routes, long)
		}
	}
	if c.downloadKind != "" {
		download := route(downloadPath, services[0], true, 2)
		download.Download = c.downloadKind == "download"
		routes = append(routes, download)
	}
	for n := uint64(1); n <= c.lastVersion; n++ {
		routes = append(routes, route(addedPath(n), services[0], true, 2))
	}
	c.lastRoutes = routes
	v.sent = time.Now()
	c.store.Publish(v.number, routes, c.serviceEntries())
	v.acked = time.Now()
	c.observed.mu.Lock()
	defer c.observed.mu.Unlock()
	c.observed.versions = append(c.observed.versions, v)
}
