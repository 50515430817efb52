package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/lab"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/platform/standin"
)

const (
	callersPort = 8080
	forwardPort = 8081
	peersPort   = 8082
	adminPort   = 8083
	storePort   = 7000
	backendPort = 9000

	backendSlots = 8
	backendWork  = 30 * time.Millisecond
	// graceTime is how long a process may take to stop (the platform's bound).
	graceTime = 6 * time.Second
	// restartTime is the time after which an ended process starts again.
	restartTime = 200 * time.Millisecond
	// drainTime is how long a leaving instance still serves: the time in which
	// all proxies must know, and a little longer.
	drainTime = drainBound + 500*time.Millisecond
	// lapseTime is the time after which the entry of a silent backend server
	// lapses, three of its reports.
	lapseTime = 1500 * time.Millisecond
)

// machine is a proxy process with its backend server and its links. Others
// reach its proxy through links; callers and the backend server are beside it.
type machine struct {
	*world
	index         int
	name, service string
	// shared is the address in the instance's entry, own that of the process.
	shared, own string
	settings    string
	store       *link
	proxy       []*link

	// life serialises starts and ends of the process, room those of the
	// backend server.
	life, room sync.Mutex
	process    atomic.Pointer[lab.Process]
	boot       atomic.Int64
	// ending tells that the process is about to be ended on purpose.
	ending   atomic.Bool
	backend  atomic.Pointer[standin.Backend]
	server   *http.Server
	releases int
}

func (w *world) newMachine(index int, service string) (*machine, error) {
	m := &machine{
		world: w, index: index, name: fmt.Sprintf("%s-%d", service, index), service: service,
		shared: fmt.Sprintf("127.%d.1.%d", w.network, index+1), own: fmt.Sprintf("127.%d.2.%d", w.network, index+1),
	}
	var err error
	if m.store, err = newLink(address(m.own, storePort), w.storeAddress); err != nil {
		return nil, err
	}
	for _, port := range []int{forwardPort, peersPort} {
		k, err := newLink(address(m.shared, port), address(m.own, port))
		if err != nil {
			return nil, err
		}
		m.proxy = append(m.proxy, k)
	}
	s := settings.Default()
	s.ID, s.AvailabilityZone, s.Service = m.name, m.zone(), service
	s.Listen = settings.Listen{
		Callers: address(m.own, callersPort), Forward: address(m.own, forwardPort),
		Peers: address(m.own, peersPort), Admin: address(m.own, adminPort),
	}
	s.BackendServer.Address = address(m.shared, backendPort)
	s.BackendServer.HealthInterval = 0
	s.Platform.Kind, s.Platform.Store = settings.PlatformStore, address(m.own, storePort)
	for i := range seeds {
		s.Platform.Seeds = append(s.Platform.Seeds, address(fmt.Sprintf("127.%d.1.%d", w.network, i+1), peersPort))
	}
	s.Platform.Bounds = standin.Bounds(budgetRatio, budgetSlack, budgetWindow)
	s.Peers.Plaintext = true
	s.Shutdown = settings.Shutdown{Notice: config.Duration(2500 * time.Millisecond), Limit: config.Duration(2500 * time.Millisecond)} // as in deploy/proxy.toml
	s.Log.Format = "json"
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	m.settings = filepath.Join(w.lab.Dir(), m.name+".toml")
	return m, errors.Wrap(os.WriteFile(m.settings, text, 0o600), "write settings")
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startProxy starts the process and watches its end.
func (m *machine) startProxy() error {
	m.ending.Store(false)
	p, err := m.lab.Run(address(m.own, adminPort), "heatherlift", "proxy", "-settings", m.settings)
	if err != nil {
		return err
	}
	m.boot.Add(1)
	m.process.Store(p)
	go func() {
		<-p.Ended()
		if !m.ending.Load() && m.process.Load() == p {
			m.seen.ended(fmt.Sprintf("%s ended by itself: %v", m.name, p.Wait()))
		}
	}()
	return nil
}

func (m *machine) readyURL() string { return "http://" + address(m.own, adminPort) + "/readyz" }

// stopProxy sends SIGTERM and starts the proxy again.
func (m *machine) stopProxy() {
	m.life.Lock()
	defer m.life.Unlock()
	defer m.seen.disturb(m.index, kindStop)()
	m.ending.Store(true)
	p := m.process.Load()
	began := time.Now()
	p.Signal(syscall.SIGTERM)
	if err := p.WaitFor(graceTime); err != nil {
		m.seen.ended(fmt.Sprintf("%s, told to stop: %v after %v", m.name, err, time.Since(began).Round(time.Millisecond)))
		m.end(p)
	}
	m.restart()
}

// killProxy ends the process at once and starts it again.
func (m *machine) killProxy(k kind) {
	m.life.Lock()
	defer m.life.Unlock()
	defer m.seen.disturb(m.index, k)()
	m.ending.Store(true)
	m.end(m.process.Load())
	m.restart()
}

func (m *machine) end(p *lab.Process) {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait()
}

func (m *machine) restart() {
	time.Sleep(restartTime)
	if err := m.startProxy(); err != nil {
		m.seen.ended(fmt.Sprintf("%s did not start: %v", m.name, err))
		return
	}
	_ = m.lab.Await(m.readyURL(), faultMax) // one that is late shows at the end
}

// pause stops the process for a while, as a machine that is suspended.
func (m *machine) pause(d time.Duration) {
	m.life.Lock()
	defer m.life.Unlock()
	defer m.seen.disturb(m.index, kindPause)()
	p := m.process.Load()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// startBackend starts a backend server with a new identifier and registers it.
func (m *machine) startBackend() error {
	m.releases++
	id := fmt.Sprintf("i-%d-%d", m.index, m.releases)
	b := standin.NewBackend(id, m.service, m.index, backendSlots, backendWork, m.seen.run)
	l, err := net.Listen("tcp", address(m.shared, backendPort))
	if err != nil {
		return errors.Wrap(err, "listen for a backend server")
	}
	m.backend.Store(b)
	m.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	go func() { _ = m.server.Serve(l) }()
	m.stand.PutInstance(id, m.entry(false))
	return nil
}

func (m *machine) entry(leaving bool) standin.Instance {
	return standin.Instance{
		Service: m.service, Address: address(m.shared, backendPort), Zone: m.zone(),
		Slots: backendSlots, Leaving: leaving, Born: time.Now(),
	}
}

func (m *machine) zone() string { return fmt.Sprintf("z%d", m.index%zones) }

// release lets the backend server leave in order and starts another one.
func (m *machine) release() {
	m.room.Lock()
	defer m.room.Unlock()
	id := m.backend.Load().ID
	m.stand.PutInstance(id, m.entry(true))
	m.seen.departed(id)
	time.Sleep(drainTime)
	defer m.seen.disturb(m.index, kindRelease)()
	m.replace(id)
}

// crash ends the backend server at once; its entry lapses, and another follows.
func (m *machine) crash() {
	m.room.Lock()
	defer m.room.Unlock()
	defer m.seen.disturb(m.index, kindCrash)()
	id := m.backend.Load().ID
	_ = m.server.Close()
	time.Sleep(lapseTime)
	m.replace(id)
}

func (m *machine) replace(id string) {
	_ = m.server.Close()
	m.stand.RemoveInstance(id)
	m.seen.departed(id)
	if err := m.startBackend(); err != nil {
		m.seen.ended(err.Error())
	}
}
