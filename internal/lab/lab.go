// Package lab runs a test environment of proxies, simulated backend servers and a
// simulated platform as separate processes on loopback addresses, for
// demonstrations and benchmarks. The processes end with Stop or Kill, at the
// latest with the process that started them.
package lab

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"heatherlift.example/heatherlift/internal/config"
	"heatherlift.example/heatherlift/internal/identity/authority"
	"heatherlift.example/heatherlift/internal/settings"
	"heatherlift.example/heatherlift/internal/source"
)

// Ports of the listeners at each loopback address of the environment.
const (
	callersPort  = 8080
	forwardPort  = 8081
	peersPort    = 8082
	adminPort    = 8083
	backendPort  = 9000
	platformPort = 7000
)

const (
	startTimeout = 20 * time.Second
	stopTimeout  = 40 * time.Second
	pollInterval = 10 * time.Millisecond
)

// Instance is a backend server with its co-located proxy.
type Instance struct {
	Settings settings.Settings
	Proxy    *Process
	Backend  *Process
	// ColdStart is how long the backend server is slow after its start.
	ColdStart time.Duration
}

// Process is a process that the lab started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Lab is a test environment: a set of processes and their work directory.
type Lab struct {
	// bin is the directory of the binaries, dir the work directory.
	bin, dir string
	// secondOctet is the second byte of all addresses. It is derived from the
	// process ID so that concurrent environments rarely share addresses.
	secondOctet int
	client      *http.Client
	// LogToFiles redirects the output of each program to a file in Dir that is
	// named after the last argument of the program.
	LogToFiles bool

	// authority signs the certificates of proxies; nil if peers use plaintext.
	authority *authority.Authority
	// manifest and blobs hold the configuration version published last.
	manifest *config.Manifest
	blobs    map[config.Hash][]byte

	mu            sync.Mutex
	processes     []*Process
	instanceCount int
}

// New returns an environment that runs the binaries in the directory bin.
func New(bin string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "heatherlift-lab-")
	if err != nil {
		return nil, errors.Wrap(err, "create work directory")
	}
	return &Lab{
		bin:         bin,
		dir:         dir,
		secondOctet: 10 + os.Getpid()%200,
		client:      &http.Client{Timeout: 10 * time.Second},
	}, nil
}

// Dir returns the work directory, which Stop removes.
func (l *Lab) Dir() string {
	return l.dir
}

// PlatformURL returns the base URL of the simulated platform.
func (l *Lab) PlatformURL() string {
	return fmt.Sprintf("http://127.%d.0.1:%d", l.secondOctet, platformPort)
}

// StartPlatform starts the simulated platform and waits until it answers. Readers
// of its instance list see changes after lag. It refuses reads beyond limit in
// one second, if limit is not 0.
func (l *Lab) StartPlatform(lag time.Duration, limit uint64) (*Process, error) {
	url := l.PlatformURL()
	p, err := l.start("standin", "platform", "-listen", url[len("http://"):], "-lag", lag.String(), "-limit", fmt.Sprint(limit))
	if err != nil {
		return nil, err
	}
	return p, l.awaitStartup(url + "/standin/counters")
}

// NewInstance returns an instance with a unique loopback address. It starts no
// process.
func (l *Lab) NewInstance(service string, calls []string, zone string) *Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instanceCount++
	ip := fmt.Sprintf("127.%d.%d.%d", l.secondOctet, 1+l.instanceCount/200, 1+l.instanceCount%200)
	s := settings.Default()
	s.ID = fmt.Sprintf("%s-%d", service, l.instanceCount)
	s.AvailabilityZone = zone
	s.Service = service
	s.Calls = calls
	s.Listen = settings.Listen{
		Callers: fmt.Sprintf("%s:%d", ip, callersPort),
		Forward: fmt.Sprintf("%s:%d", ip, forwardPort),
		Peers:   fmt.Sprintf("%s:%d", ip, peersPort),
		Admin:   fmt.Sprintf("%s:%d", ip, adminPort),
	}
	s.BackendServer.Address = fmt.Sprintf("%s:%d", ip, backendPort)
	s.BackendServer.ShedNotRun = true
	s.Platform.Source = l.PlatformURL()
	s.Platform.Instances = l.PlatformURL()
	s.Peers.Plaintext = true
	s.Log.Level = "warn"
	return &Instance{Settings: s}
}

// StartBackend starts the backend server of the instance and waits until it is
// healthy.
func (l *Lab) StartBackend(i *Instance) (err error) {
	s := i.Settings
	i.Backend, err = l.start("standin", "backend", "-listen", s.BackendServer.Address, "-id", s.ID,
		"-slots", fmt.Sprint(s.BackendServer.Slots), "-cold", i.ColdStart.String())
	if err != nil {
		return err
	}
	return l.awaitStartup("http://" + s.BackendServer.Address + "/healthz")
}

// StartProxy starts the proxy of the instance without waiting for it; see
// WaitReady.
func (l *Lab) StartProxy(i *Instance) (err error) {
	if err := l.issueCertificate(i); err != nil {
		return err
	}
	text, err := toml.Marshal(i.Settings)
	if err != nil {
		return errors.Wrap(err, "write settings")
	}
	file := filepath.Join(l.dir, i.Settings.ID+".toml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	i.Proxy, err = l.start("heatherlift", "proxy", "-settings", file)
	return err
}

// StartInstance starts the backend server, adds the instance to the instance
// list of the platform and starts the proxy.
func (l *Lab) StartInstance(i *Instance) error {
	if err := l.StartBackend(i); err != nil {
		return err
	}
	if err := l.PutInstance(i, source.InstanceLive); err != nil {
		return err
	}
	return l.StartProxy(i)
}

// Converged reports whether every proxy has discovered all instances and its own
// version is the one that it reports as in force everywhere.
func (l *Lab) Converged(instances []*Instance) bool {
	for _, i := range instances {
		s, err := l.Status(i)
		if err != nil || len(s.Fleet) != len(instances) || s.InForce == 0 || s.InForce != s.Version {
			return false
		}
	}
	return true
}

// WaitReady waits until the proxy is ready to accept requests.
func (l *Lab) WaitReady(i *Instance) error {
	return l.awaitStartup("http://" + i.Settings.Listen.Admin + "/readyz")
}

// PutInstance writes the instance in the given state to the instance list of the
// platform.
func (l *Lab) PutInstance(i *Instance, state source.InstanceState) error {
	return l.putToPlatform("/v1/instances/"+i.Settings.ID, source.Instance{
		Service:          i.Settings.Service,
		AvailabilityZone: i.Settings.AvailabilityZone,
		State:            state,
		Address:          i.Settings.Listen.Peers,
	})
}

// Publish packs and publishes a configuration directory, even if it is invalid,
// and returns the version. The previous version is taken from memory; nothing is
// read from the platform.
func (l *Lab) Publish(d *config.Directory) (uint64, error) {
	manifest, packed, err := d.Pack(l.manifest, l.blobs)
	if err != nil {
		return 0, err
	}
	for hash, text := range packed {
		if _, ok := l.blobs[hash]; ok {
			continue
		}
		if _, err := l.putValue(config.BlobPrefix+string(hash), text); err != nil {
			return 0, err
		}
	}
	l.manifest, l.blobs = manifest, packed
	return l.putValue(config.ManifestKey, manifest.Encode())
}

// start starts a program as a child process, which the kernel kills if its
// parent dies.
func (l *Lab) start(program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(l.bin, program), args...)
	cmd.Stderr = os.Stderr
	if l.LogToFiles && len(args) > 0 {
		name := filepath.Base(args[len(args)-1])
		file, err := os.OpenFile(filepath.Join(l.dir, strings.TrimSuffix(name, filepath.Ext(name))+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer file.Close()
		cmd.Stdout, cmd.Stderr = file, file
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = append(l.processes, p)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// Pid returns the process ID.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// ErrExitTimeout reports that a process did not exit in time.
var ErrExitTimeout = errors.New("process did not exit")

// Wait waits for the process to exit and returns its error, or ErrExitTimeout
// after stopTimeout.
func (p *Process) Wait() error { return p.WaitTimeout(stopTimeout) }

// WaitTimeout waits at most limit for the process to exit and returns its
// error, or ErrExitTimeout.
func (p *Process) WaitTimeout(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Wrapf(ErrExitTimeout, "within %v", limit)
	}
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.done }

// Stop kills every process that is still running and removes the work
// directory.
func (l *Lab) Stop() {
	l.Kill()
	_ = os.RemoveAll(l.dir)
}

// Kill kills every process that is still running and waits for its exit.
func (l *Lab) Kill() {
	l.mu.Lock()
	processes := l.processes
	l.processes = nil
	l.mu.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
}
