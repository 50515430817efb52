package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names in the configuration of a small deployment.
const (
	routeHost = "ficu95.example"
)

// fleet is a small deployment: a store, and machines with a proxy and an upstream each.
type fleet struct {
	dir      string
	record   *recorder
	store    *store
	storeAt  string
	ports    ports
	subnet   int
	machines []*machine

	mu      sync.Mutex
	version uint64
}

// ports are the ports of the proxies, the same on all machines.
type ports struct{ outbound, inbound, control, ready, metrics, app int }

// machine is a machine with its proxy. Its upstream is started separately.
type machine struct {
	fleet         *fleet
	number        int
	name, service string
	zone          string
	ip, clientIP  string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// newFleet starts the store. The addresses are loopback addresses that nobody else uses
// at the moment.
func newFleet(dir string, record *recorder) (*fleet, error) {
	f := &fleet{dir: dir, record: record, store: newStore()}
	for f.subnet = 60; f.subnet < 120; f.subnet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:0", f.subnet))
		if err != nil {
			continue
		}
		base := l.Addr().(*net.TCPAddr).Port
		p := ports{outbound: base + 1, inbound: base + 2, control: base + 3, ready: base + 4, metrics: base + 5, app: base + 6}
		if base+6 > 65535 || !f.free(base) {
			_ = l.Close()
			continue
		}
		f.ports, f.storeAt = p, l.Addr().String()
		f.store.listen(l)
		return f, nil
	}
	return nil, errors.New("no free loopback addresses")
}

// free reports whether the ports after base are free on the first machines' addresses.
func (f *fleet) free(base int) bool {
	for number := 1; number <= 12; number++ {
		for port := base + 1; port <= base+6; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.%d:%d", f.subnet, number, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) newMachine(service, zone string) *machine {
	n := len(f.machines) + 1
	m := &machine{
		fleet: f, number: n, name: fmt.Sprintf("sidecar-%s-%d", zone, n), service: service, zone: zone,
		ip: fmt.Sprintf("127.%d.1.%d", f.subnet, n), clientIP: fmt.Sprintf("127.%d.2.%d", f.subnet, n),
	}
	f.machines = append(f.machines, m)
	return m
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

func (m *machine) appAddress() string { return m.at(m.fleet.ports.app) }

// settings is deploy/proxy.toml, filled in for a small deployment.
func (m *machine) settings() string {
	p := m.fleet.ports
	var seeds []string
	for _, other := range m.fleet.machines[:min(3, len(m.fleet.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", other.at(p.control)))
	}
	return fmt.Sprintf(`id = %q
region = "pwani"
availability_zone = %q
service = %q

[listen]
callers = %q
forward = %q
peers = %q
admin = %q
metrics = %q

[backend_server]
address = %q
health_interval = "0s"

[platform]
kind = "store"
store = %q
link_mbps = 1000.0
report_interval = "1500ms"
seeds = [%s]
bounds = ["%s"]

[peers]
plaintext = true

[log]
format = "json"
`, m.name, m.zone, m.service, m.at(p.outbound), m.at(p.inbound), m.at(p.control), m.at(p.ready), m.at(p.metrics),
		m.appAddress(), m.fleet.storeAt, strings.Join(seeds, ","), strings.Join(wire.Bounds, `","`))
}

// start starts the proxy with the command of the deploy file.
func (m *machine) start() error {
	file := filepath.Join(m.fleet.dir, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/heatherlift", "proxy")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HEATHERLIFT_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.process, m.exited = cmd, exited
	m.mu.Unlock()
	m.fleet.record.printf("proxy %s starts, process %d", m.name, cmd.Process.Pid)
	return nil
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.fleet.record.printf("proxy %s gets %v", m.name, s)
		_ = m.process.Process.Signal(s)
	}
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	<-m.exited
}

// running reports whether the process of the proxy has not ended.
func (m *machine) running() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// ready reports whether the proxy answers the platform's question with 200.
func (m *machine) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.at(m.fleet.ports.ready)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all proxies that run are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.process != nil && m.running() {
			m.kill()
		}
	}
}

// route is a route of the configuration.
type route struct {
	Name, Prefix, Kind, Service string
	Timeout                     time.Duration
}

// publish writes a version of the configuration.
func (f *fleet) publish(routes []route, services ...string) {
	f.mu.Lock()
	f.version += 2
	version := f.version
	f.mu.Unlock()
	var resources []any
	resource := func(kind, name string, spec any) {
		resources = append(resources, map[string]any{wire.ResourceType: kind, "metadata": map[string]any{"name": name}, "spec": spec})
	}
	for _, r := range routes {
		resource("routes", r.Name, map[string]any{
			"host": routeHost, "prefix": r.Prefix, "kind": r.Kind, "timeoutMs": r.Timeout.Milliseconds(),
			wire.TargetLatency: 250, "priority": 1, "service": r.Service, "maxAttempts": 2,
		})
	}
	for _, s := range services {
		resource("services", s, map[string]any{"healthCheck": "/healthz", "maxConnections": 130, "protocol": "h1", "tlsMode": false})
	}
	resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	f.store.put(wire.ConfigurationKey, map[string]any{"version": fmt.Sprintf("%08x", version), "resources": resources})
	f.record.printf("version %08x is acknowledged", version)
}
