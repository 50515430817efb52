package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/platform/standin"
)

const (
	zones = 2
	// seeds is the number of machines from which others start.
	seeds = 3
	// startTime is what a fleet may take until every proxy is ready.
	startTime = 10 * time.Second
)

// services are those of the fleet; machines take them by turns.
var services = []string{"desk", "hotel"}

// world is a fleet with all that is around it.
type world struct {
	lab *lab.Lab
	// network is the second byte of all addresses, so that runs side by side
	// do not meet.
	network      int
	storeAddress string
	stand        *standin.Store
	storeServer  *http.Server
	seen         *observations
	machines     []*machine
	versions     uint64
	publishing   sync.Mutex
	// storeFault serialises the faults of the store.
	storeFault sync.Mutex
	faults     sync.WaitGroup
}

// newWorld starts a fleet and waits until it is ready.
func newWorld(l *lab.Lab, machines int) (*world, error) {
	w := &world{
		lab: l, network: 10 + os.Getpid()%200, stand: standin.NewStore(), seen: &observations{},
	}
	w.storeAddress = address(fmt.Sprintf("127.%d.0.1", w.network), storePort)
	listener, err := net.Listen("tcp", w.storeAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	w.storeServer = &http.Server{Handler: w.stand, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.storeServer.Serve(listener) }()
	w.publish()
	for i := range machines {
		m, err := w.newMachine(i, services[i/zones%len(services)])
		if err != nil {
			return nil, err
		}
		w.machines = append(w.machines, m)
		if err := m.startBackend(); err != nil {
			return nil, err
		}
	}
	for _, m := range w.machines {
		if err := m.startProxy(); err != nil {
			return nil, err
		}
	}
	for _, m := range w.machines {
		if err := m.lab.Await(m.readyURL(), startTime); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// close ends all that the world started but the processes, which the lab ends.
func (w *world) close() {
	for _, m := range w.machines {
		m.ending.Store(true)
		_ = m.server.Close()
		m.store.close()
		for _, k := range m.proxy {
			k.close()
		}
	}
	_ = w.storeServer.Close()
}

// run carries out a plan and waits until its faults are over.
func (w *world) run(plan []step) {
	began := time.Now()
	for _, s := range plan {
		time.Sleep(time.Until(began.Add(s.At)))
		w.faults.Go(func() { w.do(s) })
	}
	w.faults.Wait()
}

// do carries out one step and returns when it is over.
func (w *world) do(s step) {
	m := w.machines[s.Machine]
	switch s.Kind {
	case kindStop:
		m.stopProxy()
	case kindKill:
		m.killProxy(s.Kind)
	case kindKillAll:
		w.each(func(m *machine) { m.killProxy(s.Kind) })
	case kindPause:
		m.pause(s.For / 2)
	case kindHangup:
		m.process.Load().Signal(syscall.SIGHUP)
	case kindCutStore, kindMuteStore:
		m.hold(s, m.store)
	case kindCutProxy, kindMuteProxy, kindSlowProxy:
		m.hold(s, m.proxy...)
	case kindSilence, kindReset:
		m.breakConnections(s.Kind)
	case kindStoreRefuses, kindStoreSilent, kindStoreSlow, kindStoreLoses:
		w.harmStore(s)
	case kindCompact:
		w.stand.Compact()
	case kindLostAnswers, kindSlowBackend:
		m.harmBackend(s)
	case kindRelease:
		m.release()
	case kindCrash:
		m.crash()
	case kindChange:
		w.publish()
	case kindStorm:
		for range 5 {
			w.publish()
			time.Sleep(150 * time.Millisecond)
		}
	}
}

// each calls f with every machine at the same time.
func (w *world) each(f func(m *machine)) {
	var all sync.WaitGroup
	for _, m := range w.machines {
		all.Go(func() { f(m) })
	}
	all.Wait()
}

// hold cuts or slows links for a while.
func (m *machine) hold(s step, links ...*link) {
	defer m.seen.disturb(m.index, s.Kind)()
	for _, k := range links {
		switch s.Kind {
		case kindSlowProxy:
			k.setDelay(100 * time.Millisecond)
			defer k.setDelay(0)
		case kindCutStore, kindCutProxy:
			defer k.forth.shut()()
			defer k.back.shut()()
		default:
			defer k.back.shut()()
		}
	}
	time.Sleep(s.For)
}

func (m *machine) breakConnections(k kind) {
	defer m.seen.disturb(m.index, k)()
	for _, l := range append([]*link{m.store}, m.proxy...) {
		if k == kindReset {
			l.reset()
		} else {
			l.silence()
		}
	}
}

func (w *world) harmStore(s step) {
	w.storeFault.Lock()
	defer w.storeFault.Unlock()
	defer w.seen.disturb(shared, s.Kind)()
	w.stand.SetFault(map[kind]standin.StoreFault{
		kindStoreRefuses: standin.StoreRefuses, kindStoreSilent: standin.StoreSilent,
		kindStoreSlow: standin.StoreSlow, kindStoreLoses: standin.StoreLosesAnswers,
	}[s.Kind])
	time.Sleep(s.For)
	w.stand.SetFault(standin.StoreSound)
}

func (m *machine) harmBackend(s step) {
	defer m.seen.disturb(m.index, s.Kind)()
	b := m.backend.Load()
	if s.Kind == kindSlowBackend {
		b.SetFault(10*backendWork, 0)
	} else {
		b.SetFault(backendWork, 0.3)
	}
	time.Sleep(s.For)
	b.SetFault(backendWork, 0)
}

const (
	hostName  = "a.example"
	lookPath  = "/look/"
	bookPath  = "/book/"
	rotaPath  = "/rota/"
	movedPath = "/moved/"
	timeLimit = 2 * time.Second
	aim       = 300 * time.Millisecond
	attempts  = 3
)

// addedPath is the path of the route that a version adds.
func addedPath(version uint64) string { return "/added/" + hexadecimal(version) + "/" }

// publish publishes the next version: it moves one route to the other service
// and adds one.
func (w *world) publish() {
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.versions++
	v := version{number: w.versions, moved: services[w.versions%2]}
	route := func(path, service string, repeatable bool, priority int) standin.Route {
		return standin.Route{
			Name: "r" + path, Host: hostName, Prefix: path, Repeatable: repeatable, Service: service,
			Timeout: timeLimit, Target: aim, Priority: priority, Attempts: attempts,
		}
	}
	routes := []standin.Route{
		route(lookPath, services[0], true, 2), route(bookPath, services[0], false, 1),
		route(rotaPath, services[1], true, 2), route(movedPath, v.moved, true, 2),
	}
	for n := uint64(1); n <= w.versions; n++ {
		routes = append(routes, route(addedPath(n), services[0], true, 2))
	}
	v.sent = time.Now()
	w.stand.Publish(v.number, routes, services)
	v.acked = time.Now()
	w.seen.mu.Lock()
	defer w.seen.mu.Unlock()
	w.seen.versions = append(w.seen.versions, v)
}
