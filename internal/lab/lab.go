// Package lab starts proxies and stand-ins as separate processes on loopback
// addresses, for demonstrations and measurements. It stops all that it started.
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

// Ports of every loopback address that the lab uses.
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

// Instance is a backend server with the proxy beside it.
type Instance struct {
	Settings settings.Settings
	Proxy    *Process
	Backend  *Process
	// ColdStart is how long the backend server is slow.
	ColdStart time.Duration
}

// Process is a process that the lab started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Lab is a set of processes.
type Lab struct {
	bin, dir string
	network  int
	client   *http.Client
	// Logs writes the output of each program to a file in Dir, named after the
	// last argument.
	Logs bool

	// authority signs certificates; nil if proxies talk plaintext.
	authority *authority.Authority
	// manifest and blobs are what was published last.
	manifest *config.Manifest
	blobs    map[config.Hash][]byte

	mu        sync.Mutex
	processes []*Process
	instances int
}

// New returns a lab that runs the programs in bin.
func New(bin string) (*Lab, error) {
	dir, err := os.MkdirTemp("", "heatherlift-lab-")
	if err != nil {
		return nil, errors.Wrap(err, "create work directory")
	}
	return &Lab{
		bin:     bin,
		dir:     dir,
		network: 10 + os.Getpid()%200,
		client:  &http.Client{Timeout: 10 * time.Second},
	}, nil
}

// Dir is a directory that lasts as long as the lab.
func (l *Lab) Dir() string {
	return l.dir
}

// PlatformURL is the base URL of the platform stand-in.
func (l *Lab) PlatformURL() string {
	return fmt.Sprintf("http://127.%d.0.1:%d", l.network, platformPort)
}

// StartPlatform starts the platform stand-in.
func (l *Lab) StartPlatform(lag time.Duration, limit uint64) (*Process, error) {
	url := l.PlatformURL()
	p, err := l.start("standin", "platform", "-listen", url[len("http://"):], "-lag", lag.String(), "-limit", fmt.Sprint(limit))
	if err != nil {
		return nil, err
	}
	return p, l.await(url + "/standin/counters")
}

// NewInstance returns an instance with an address of its own, not started yet.
func (l *Lab) NewInstance(service string, calls []string, zone string) *Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances++
	ip := fmt.Sprintf("127.%d.%d.%d", l.network, 1+l.instances/200, 1+l.instances%200)
	s := settings.Default()
	s.ID = fmt.Sprintf("%s-%d", service, l.instances)
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

// StartBackend starts the backend server of the instance.
func (l *Lab) StartBackend(i *Instance) (err error) {
	s := i.Settings
	i.Backend, err = l.start("standin", "backend", "-listen", s.BackendServer.Address, "-id", s.ID,
		"-slots", fmt.Sprint(s.BackendServer.Slots), "-cold", i.ColdStart.String())
	if err != nil {
		return err
	}
	return l.await("http://" + s.BackendServer.Address + "/healthz")
}

// StartProxy starts the proxy of the instance and returns when it answers;
// it may not be ready yet.
func (l *Lab) StartProxy(i *Instance) (err error) {
	if err := l.issue(i); err != nil {
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

// StartInstance starts the backend server, puts the instance on the platform's
// list and starts the proxy.
func (l *Lab) StartInstance(i *Instance) error {
	if err := l.StartBackend(i); err != nil {
		return err
	}
	if err := l.List(i, source.InstanceLive); err != nil {
		return err
	}
	return l.StartProxy(i)
}

// Joined reports whether every proxy knows every other and all have one
// version in force.
func (l *Lab) Joined(instances []*Instance) bool {
	for _, i := range instances {
		s, err := l.Status(i)
		if err != nil || len(s.Fleet) != len(instances) || s.InForce == 0 || s.InForce != s.Version {
			return false
		}
	}
	return true
}

// AwaitReady returns when the proxy takes requests.
func (l *Lab) AwaitReady(i *Instance) error {
	return l.await("http://" + i.Settings.Listen.Admin + "/readyz")
}

// List puts the instance on the platform's list in the given state.
func (l *Lab) List(i *Instance, state source.InstanceState) error {
	return l.put("/v1/instances/"+i.Settings.ID, source.Instance{
		Service:          i.Settings.Service,
		AvailabilityZone: i.Settings.AvailabilityZone,
		State:            state,
		Address:          i.Settings.Listen.Peers,
	})
}

// Publish packs a configuration directory as an operator does, even if it is
// invalid, and returns the version. It reads nothing from the platform.
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

// start runs a program of the lab.
func (l *Lab) start(program string, args ...string) (*Process, error) {
	cmd := exec.Command(filepath.Join(l.bin, program), args...)
	cmd.Stderr = os.Stderr
	if l.Logs && len(args) > 0 {
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

// Pid returns the process number.
func (p *Process) Pid() int {
	return p.cmd.Process.Pid
}

// ErrStillRuns marks a process that did not end in time.
var ErrStillRuns = errors.New("process did not end")

// Wait waits until the process has ended and returns its error.
func (p *Process) Wait() error { return p.WaitFor(stopTimeout) }

// WaitFor waits for at most limit until the process has ended and returns its
// error, or ErrStillRuns.
func (p *Process) WaitFor(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Wrapf(ErrStillRuns, "within %v", limit)
	}
}

// Ended is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.done }

// Stop ends every process that still runs and removes the work directory.
func (l *Lab) Stop() {
	l.Kill()
	_ = os.RemoveAll(l.dir)
}

// Kill ends every process that still runs.
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
