package main

import (
	"cmp"
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
	// meanServiceTime is the mean time that a backend server takes for a request.
	meanServiceTime = 30 * time.Millisecond
	// restartDelay is the time between the end of a process and its next start.
	restartDelay = 200 * time.Millisecond
	// drainDuration is how long a leaving instance still serves: until all proxies
	// must have stopped sending it requests, and a margin.
	drainDuration = drainBound + 500*time.Millisecond
	// entryTTL is the time after which the store entry of a backend server that
	// stopped reporting expires, three report intervals.
	entryTTL = 1500 * time.Millisecond
)

// machine is a proxy process with its backend server and links. Other proxies reach
// the proxy through proxyLinks and it reaches the store through storeLink. Its
// callers and its backend server are connected without a link.
type machine struct {
	*cluster
	index         int
	name, service string
	// entryIP is the address in the store entry, where the links and the backend
	// server listen; processIP is where the proxy process listens.
	entryIP, processIP string
	settingsPath       string
	storeLink          *link
	proxyLinks         []*link

	// proxyMu serialises starts, stops and pauses of the proxy process, backendMu
	// redeployments and crashes of the backend server.
	proxyMu, backendMu sync.Mutex
	process            atomic.Pointer[lab.Process]
	// starts counts the starts of the proxy process.
	starts atomic.Int64
	// slowed is set while the backend server is slow.
	slowed atomic.Bool
	// exitExpected is set before the process is ended on purpose.
	exitExpected  atomic.Bool
	backend       atomic.Pointer[standin.Backend]
	server        *http.Server
	backendStarts int
	// stated is what each process of the backend server states in its responses.
	statementMu sync.Mutex
	stated      map[string]standin.Statement
	// written is the entry in the store.
	written writtenEntry
}

func (c *cluster) newMachine(index int, service string) (*machine, error) {
	m := &machine{
		cluster: c, index: index, name: fmt.Sprintf("%s-%d", service, index), service: service,
		entryIP: fmt.Sprintf("127.%d.1.%d", c.secondOctet, index+1), processIP: fmt.Sprintf("127.%d.2.%d", c.secondOctet, index+1),
	}
	var err error
	if m.storeLink, err = newLink(address(m.processIP, storePort), c.storeAddress); err != nil {
		return nil, err
	}
	for _, port := range []int{forwardPort, peersPort} {
		l, err := newLink(address(m.entryIP, port), address(m.processIP, port))
		if err != nil {
			return nil, err
		}
		m.proxyLinks = append(m.proxyLinks, l)
	}
	s := settings.Default()
	s.ID, s.AvailabilityZone, s.Service = m.name, m.zone(), service
	s.Listen = settings.Listen{
		Callers: address(m.processIP, callersPort), Forward: address(m.processIP, forwardPort),
		Peers: address(m.processIP, peersPort), Admin: address(m.processIP, adminPort),
	}
	s.BackendServer.Address = address(m.entryIP, backendPort)
	s.BackendServer.HealthInterval = 0
	s.Platform.Kind, s.Platform.Store = settings.PlatformStore, address(m.processIP, storePort)
	for i := range seedMachines {
		s.Platform.Seeds = append(s.Platform.Seeds, address(fmt.Sprintf("127.%d.1.%d", c.secondOctet, i+1), peersPort))
	}
	s.Platform.Bounds = append(standin.RetryBounds(budgetRatio, budgetSlack, budgetWindow), standin.GracePeriodBound(c.observed.grace))
	if c.downloadKind != "" {
		s.Platform.LinkMbps = downloadLinkMbps
	}
	s.Peers.Plaintext = true
	s.Log.Format = "json"
	text, err := toml.Marshal(s)
	if err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	m.settingsPath = filepath.Join(c.lab.Dir(), m.name+".toml")
	return m, errors.Wrap(os.WriteFile(m.settingsPath, text, 0o600), "write settings")
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// startProxy starts the proxy process and records a failure if it exits
// unexpectedly.
func (m *machine) startProxy() error {
	m.exitExpected.Store(false)
	p, err := m.lab.StartProgram(address(m.processIP, adminPort), "heatherlift", "proxy", "-settings", m.settingsPath)
	if err != nil {
		return err
	}
	m.starts.Add(1)
	m.process.Store(p)
	go func() {
		<-p.Exited()
		if !m.exitExpected.Load() && m.process.Load() == p {
			m.observed.recordFailure(fmt.Sprintf("%s exited unexpectedly: %v", m.name, p.Wait()))
		}
	}()
	return nil
}

func (m *machine) readyURL() string { return "http://" + address(m.processIP, adminPort) + "/readyz" }

// stopProxy stops the proxy with SIGTERM and starts it again. An exit with an error
// or not within the grace period is a failure; the process is then killed.
func (m *machine) stopProxy() {
	m.proxyMu.Lock()
	defer m.proxyMu.Unlock()
	defer m.observed.recordDisturbance(m.index, kindStop)()
	m.exitExpected.Store(true)
	p := m.process.Load()
	began := time.Now()
	p.Signal(syscall.SIGTERM)
	if err := p.WaitTimeout(m.observed.grace); err != nil {
		m.observed.recordFailure(fmt.Sprintf("%s did not stop cleanly on SIGTERM: %v after %v", m.name, err, time.Since(began).Round(time.Millisecond)))
		m.kill(p)
	}
	m.restartProxy()
}

// killProxy kills the proxy process with SIGKILL and starts it again.
func (m *machine) killProxy(k kind) {
	m.proxyMu.Lock()
	defer m.proxyMu.Unlock()
	defer m.observed.recordDisturbance(m.index, k)()
	m.exitExpected.Store(true)
	m.kill(m.process.Load())
	m.restartProxy()
}

func (m *machine) kill(p *lab.Process) {
	p.Signal(syscall.SIGKILL)
	_ = p.Wait()
}

func (m *machine) restartProxy() {
	time.Sleep(restartDelay)
	if err := m.startProxy(); err != nil {
		m.observed.recordFailure(fmt.Sprintf("%s did not start: %v", m.name, err))
		return
	}
	_ = m.lab.WaitForURL(m.readyURL(), faultDurationMax) // readiness is checked again at the end of the run
}

// pauseProxy stops the proxy process with SIGSTOP for d, like a suspended virtual
// machine.
func (m *machine) pauseProxy(d time.Duration) {
	m.proxyMu.Lock()
	defer m.proxyMu.Unlock()
	defer m.observed.recordDisturbance(m.index, kindPause)()
	p := m.process.Load()
	p.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.Signal(syscall.SIGCONT)
}

// startBackend starts a backend server with a new instance ID and writes its entry
// to the store.
func (m *machine) startBackend() error {
	return m.startBackendAs(fmt.Sprintf("i-%d-%d", m.index, m.backendStarts+1))
}

func (m *machine) startBackendAs(id string) error {
	m.backendStarts++
	b := standin.NewBackend(id, m.service, m.index, backendSlots, meanServiceTime, m.observed.recordArrival)
	b.Process = fmt.Sprintf("%s/%d", id, m.backendStarts)
	l, err := net.Listen("tcp", address(m.entryIP, backendPort))
	if err != nil {
		return errors.Wrap(err, "listen for a backend server")
	}
	server := &http.Server{Handler: b, IdleTimeout: 10 * time.Second, ReadHeaderTimeout: time.Minute}
	b.Crashes = func(a *standin.Arrival) (standin.Ending, bool) { return endingOf(a.Target) }
	b.Refuse = func() { _ = l.Close() }
	b.Crash = func(e standin.Ending) {
		_ = server.Close()
		go m.replaceCrashedBackend(id, cmp.Or(e.BackAfter, entryTTL))
	}
	b.Call, b.Work, b.Finished = m.callForRun, m.runWork, m.observed.recordRunEnd
	b.SetFault(meanServiceTime, m.lossRate())
	b.Stated = func(s standin.Statement) { m.recordStated(b.Process, s) }
	if m.rateLimit > 0 && m.index%limitedShare == 0 {
		b.State(standin.Statement{Limited: true, RateLimit: m.rateLimit})
	}
	b.HealthTakesSlot = m.warmUp.Duration > 0 && m.seed%2 == 1
	m.backend.Store(b)
	m.server = server
	if m.warmUp.Duration > 0 && m.started.Load() {
		m.cool(b, 0)
	}
	go func() { _ = server.Serve(l) }()
	m.putEntry(id, false)
	return nil
}

func (m *machine) storeEntry(leaving bool) standin.Instance {
	return standin.Instance{
		Service: m.service, Address: address(m.entryIP, backendPort), Zone: m.zone(),
		Slots: backendSlots, Leaving: leaving, Born: time.Now(), WarmUpLeft: m.backend.Load().WarmUpLeft(),
	}
}

func (m *machine) zone() string { return zoneOf(m.index) }

// zoneOf returns the availability zone of the machine with an index.
func zoneOf(machine int) string { return fmt.Sprintf("z%d", machine%zones) }

// redeployBackend drains the backend server and replaces it.
func (m *machine) redeployBackend() {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	id := m.backend.Load().ID
	m.putEntry(id, true)
	m.observed.recordDeparture(id)
	time.Sleep(drainDuration)
	defer m.observed.recordDisturbance(m.index, kindRelease)()
	m.replaceBackend(id)
}

// crashBackend closes the backend server without draining and replaces it when its
// store entry has expired.
func (m *machine) crashBackend() {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	defer m.observed.recordDisturbance(m.index, kindCrash)()
	id := m.backend.Load().ID
	_ = m.server.Close()
	time.Sleep(entryTTL)
	m.replaceBackend(id)
}

// restartBackend ends the backend server and starts it again under its ID, before its
// store entry expires.
func (m *machine) restartBackend() {
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	defer m.observed.recordDisturbance(m.index, kindRestartBackend)()
	id := m.backend.Load().ID
	_ = m.server.Close()
	time.Sleep(restartDelay)
	if err := m.startBackendAs(id); err != nil {
		m.observed.recordFailure(err.Error())
	}
}

// replaceCrashedBackend replaces the backend server that a request ended after the
// given time, unless a redeployment has replaced it by then.
func (m *machine) replaceCrashedBackend(id string, after time.Duration) {
	defer m.observed.recordDisturbance(m.index, kindCrashingRequest)()
	time.Sleep(after)
	m.backendMu.Lock()
	defer m.backendMu.Unlock()
	if m.backend.Load().ID == id && m.ctx.Err() == nil {
		m.replaceBackend(id)
	}
}

func (m *machine) replaceBackend(id string) {
	_ = m.server.Close()
	m.removeEntry(id)
	m.observed.recordDeparture(id)
	if err := m.startBackend(); err != nil {
		m.observed.recordFailure(err.Error())
	}
}
