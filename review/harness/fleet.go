package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	inboundPort  = 8146
	outboundPort = 8147
	readyPort    = 8141
	controlPort  = 8144
	appPort      = 8145
	storePort    = 8142

	contact        = 3 * time.Second
	configDeadline = 2 * time.Second
	maxStretch     = 5 * time.Second
	gracePeriod    = 6 * time.Second
	retention      = 20 * time.Second
	startTimeout   = 20 * time.Second
	slots          = 9

	host = "ficu95.example"
)

// machine is a machine with an upstream and the proxy beside it.
type machine struct {
	name, ip, zone, service string
	// born is the start of the upstream, in Unix milliseconds.
	born       int64
	upstream   *upstream
	door       *door
	doorServer *http.Server
	link       *link
	settings   string
	output     *os.File
	proxy      *process
}

func (m *machine) outbound() string { return fmt.Sprintf("%s:%d", m.ip, outboundPort) }
func (m *machine) storeAddress() string {
	return fmt.Sprintf("%s:%d", m.ip, storePort)
}

// process is a child process. Its end is awaited by one goroutine.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startProcess(cmd *exec.Cmd) (*process, error) {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if !p.ended() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	<-p.done
}

// fleet is a small deployment.
type fleet struct {
	root, dir string
	store     *store
	ledger    *ledger
	machines  []*machine
	version   int

	mu        sync.Mutex
	processes []*process
}

var services = []string{"huvo11a", "wuno96b"}

// newFleet prepares the store, the upstreams and the settings of n machines.
func newFleet(n int, work func(r *http.Request) time.Duration) (*fleet, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	for root != "/" {
		if _, err := os.Stat(filepath.Join(root, "deploy", "proxy.toml")); err == nil {
			break
		}
		root = filepath.Dir(root)
	}
	if _, err := os.Stat(filepath.Join(root, "target", "heatherlift")); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, store: newStore(retention), ledger: &ledger{}, version: 4}
	subnet := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	zones := []string{"tanga", "dar-kivukoni", "kilwa"}
	for i := range n {
		m := &machine{ip: fmt.Sprintf("%s.%d", subnet, i+1), zone: zones[i/len(services)%len(zones)], service: services[i%len(services)], born: time.Now().UnixMilli()}
		m.name = fmt.Sprintf("sidecar-%s-%d", m.zone, i+1)
		m.upstream = newUpstream(fmt.Sprintf("i-%08x", rand.Uint32()), m.service, slots, f.ledger, work)
		if err := m.upstream.listen(fmt.Sprintf("%s:%d", m.ip, appPort)); err != nil {
			return nil, err
		}
		m.door = &door{store: f.store}
		if m.doorServer, m.link, err = serveDoor(m.door, m.storeAddress()); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
		f.register(m, 0)
	}
	for _, m := range f.machines {
		if err := f.writeSettings(m); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// register writes the entry of the upstream of a machine, with how much longer it is slow.
func (f *fleet) register(m *machine, warmUpLeft time.Duration) {
	f.store.put(protocol.InstancePrefix+m.upstream.id, map[string]any{
		"service": m.service, "address": fmt.Sprintf("%s:%d", m.ip, appPort), "zone": m.zone, "version": "v1", protocol.Slots: slots,
		"state": "ready", protocol.WarmUpLeft: warmUpLeft.Milliseconds(), "sequence": 1, "born": m.born,
	})
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(m *machine) error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "proxy.toml"))
	if err != nil {
		return err
	}
	var seeds []any
	for _, s := range f.machines[:min(3, len(f.machines))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip, controlPort))
	}
	values := map[string]any{
		"nodeName": m.name, "region": "pwani", "zone": m.zone, "service": m.service, "ip": m.ip,
		"listen.outbound": m.outbound(), "listen.inbound": fmt.Sprintf("%s:%d", m.ip, inboundPort), "listen.control": fmt.Sprintf("%s:%d", m.ip, controlPort),
		protocol.ReadyAddress: fmt.Sprintf("%s:%d", m.ip, readyPort), "appAddr": fmt.Sprintf("%s:%d", m.ip, appPort), "platform.address": m.storeAddress(),
		"limits.linkMbps": "1000.0", "seedNodes": seeds, "bounds": protocol.Bounds,
	}
	m.settings = filepath.Join(f.dir, m.name+".toml")
	return os.WriteFile(m.settings, []byte(render(string(text), values)), 0o600)
}

// startProxy starts the proxy of a machine with the command of the deploy file.
func (f *fleet) startProxy(m *machine, output *os.File) error {
	cmd := exec.Command(filepath.Join(f.root, "target", "heatherlift"), "proxy")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERLIFT_SETTINGS=" + m.settings}
	cmd.Stdout, cmd.Stderr = output, output
	p, err := startProcess(cmd)
	if err != nil {
		return err
	}
	m.proxy = p
	f.track(p)
	return nil
}

func (f *fleet) track(p *process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

// startAll starts all proxies with their output in files and waits until they are ready.
func (f *fleet) startAll() error {
	for _, m := range f.machines {
		output, err := os.Create(filepath.Join(f.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.output = output
		if err := f.startProxy(m, output); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

func (f *fleet) awaitReady() error {
	limit := time.Now().Add(startTimeout)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(limit) {
				return errors.New(m.name + " is not ready in time")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// ready asks the readiness of a proxy, as the platform does once a second.
func (m *machine) ready() bool {
	resp, err := readyClient.Get(fmt.Sprintf("http://%s:%d/readyz", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder.
func (f *fleet) close() {
	f.mu.Lock()
	list := f.processes
	f.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// turnAway makes the store turn a machine away with status 503. Its waiting watch is cut.
func (m *machine) turnAway(on bool) error {
	m.door.refuses.Store(on)
	if !on {
		return nil
	}
	if err := m.doorServer.Close(); err != nil {
		return err
	}
	var err error
	m.doorServer, m.link, err = serveDoor(m.door, m.storeAddress())
	return err
}

// route is a route of the configuration.
type route struct {
	name, prefix, kind, service string
	timeoutMs, targetMs         int
	priority                    int
}

// publish writes a configuration with the routes and a number of idle ones. It returns
// the version, the length of the value and the time of the acknowledgement.
func (f *fleet) publish(routes []route, idle int) (version string, size int, acked time.Time) {
	base := f.version
	f.version += 1 + rand.IntN(3)
	version = fmt.Sprintf("%08x", f.version)
	var list []any
	add := func(kind, name string, spec map[string]any) {
		metadata := map[string]any{}
		if name != "" {
			metadata["name"] = name
		}
		list = append(list, map[string]any{protocol.ResourceType: kind, "metadata": metadata, "spec": spec})
	}
	for i := range idle {
		routes = append(routes, route{name: fmt.Sprintf("idle-%06d", i), prefix: fmt.Sprintf("/idle%06d/", i), kind: "idempotent", service: services[i%2], timeoutMs: 1200, targetMs: 200, priority: 2})
	}
	for _, r := range routes {
		add("routes", "r-"+r.name, map[string]any{
			"host": host, "prefix": r.prefix, "kind": r.kind, "timeoutMs": r.timeoutMs, protocol.TargetLatency: r.targetMs, "priority": r.priority, "service": r.service, "maxAttempts": 2,
		})
	}
	for _, s := range services {
		add("services", s, map[string]any{"healthCheck": healthPath, "maxConnections": 130, "protocol": "h1", "tlsMode": false})
	}
	add("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	value := map[string]any{"version": version, "baseVersion": fmt.Sprintf("%08x", base), "resources": list}
	f.store.put(protocol.ConfigurationKey, value)
	acked = time.Now()
	f.store.mu.Lock()
	size = len(f.store.items[protocol.ConfigurationKey].Value)
	f.store.mu.Unlock()
	return version, size, acked
}
