// Package settings reads the static settings of a proxy from a TOML file.
package settings

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"heatherlift.example/heatherlift/internal/config"
)

// Settings is the static configuration of one proxy.
type Settings struct {
	// ID names the instance; unique in the fleet.
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
	// Region holds the availability zone; empty in a fleet of one region.
	Region string `toml:"region"`
	// Service is the service of the backend server beside the proxy.
	Service string `toml:"service"`
	// Calls names the other services that requests handed to this proxy reach.
	Calls []string `toml:"calls"`

	Listen        Listen        `toml:"listen"`
	BackendServer BackendServer `toml:"backend_server"`
	Platform      Platform      `toml:"platform"`
	Distribution  Distribution  `toml:"distribution"`
	Requests      Requests      `toml:"requests"`
	Peers         Peers         `toml:"peers"`
	Shutdown      Shutdown      `toml:"shutdown"`
	Log           Log           `toml:"log"`
}

// Listen holds the addresses at which the proxy listens, as IP:PORT.
type Listen struct {
	Callers string `toml:"callers"`
	Forward string `toml:"forward"`
	Peers   string `toml:"peers"`
	Admin   string `toml:"admin"`
}

// BackendServer describes the backend server beside the proxy.
type BackendServer struct {
	Address string `toml:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `toml:"slots"`
	// Connections bounds the connections to it.
	Connections int `toml:"connections"`
	// QueueLength bounds the requests that wait for a slot.
	QueueLength int `toml:"queue_length"`
	// HealthPath answers 200 while the backend server takes work.
	HealthPath string `toml:"health_path"`
	// LoadPath answers with the number of slots and whether the backend
	// server drains; empty if there is none.
	LoadPath string `toml:"load_path"`
	// HealthInterval is the time between two health checks.
	HealthInterval config.Duration `toml:"health_interval"`
	// ShedNotRun declares that an answer 503 with Retry-After means that
	// the backend server did not run the request.
	ShedNotRun bool `toml:"shed_not_run"`
}

// Platform holds the endpoints of the platform.
type Platform struct {
	// Source is the base URL of the configuration service.
	Source string `toml:"source"`
	// Instances is the base URL of the list of instances.
	Instances string `toml:"instances"`
	// InstancesInterval is the longest mean time between two readings of
	// the list; a small fleet reads it more often.
	InstancesInterval config.Duration `toml:"instances_interval"`
}

// Distribution configures how versions spread.
type Distribution struct {
	// Mode is "peers", or "naive" to read everything from the source.
	Mode      string          `toml:"mode"`
	WatchWait config.Duration `toml:"watch_wait"`
	Gossip    config.Duration `toml:"gossip_interval"`
}

// Requests configures the handling of requests.
type Requests struct {
	MaxAttempts int `toml:"max_attempts"`
}

// Peers configures how proxies authenticate each other.
type Peers struct {
	// Plaintext turns authentication off.
	Plaintext bool `toml:"plaintext"`
	// Certificate, Key and Authorities are files in PEM.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"`
	// Name is the DNS name that the certificate of every proxy carries.
	Name string `toml:"name"`
	// ReloadInterval is the time between two readings of the files.
	ReloadInterval config.Duration `toml:"reload_interval"`
}

// Shutdown bounds a graceful shutdown.
type Shutdown struct {
	// Notice is the time in which other proxies learn of the shutdown.
	Notice config.Duration `toml:"notice"`
	// Limit is the time after which requests in flight are cut.
	Limit config.Duration `toml:"limit"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `toml:"level"`
	// Format is logfmt or json.
	Format string `toml:"format"`
}

// Values of Distribution.Mode.
const (
	ModePeers = "peers"
	ModeNaive = "naive"
)

// Default returns the settings that a file may leave out.
func Default() Settings {
	return Settings{
		BackendServer: BackendServer{
			Slots:          10,
			Connections:    130,
			QueueLength:    100,
			HealthPath:     "/healthz",
			LoadPath:       "/load",
			HealthInterval: config.Duration(time.Second),
		},
		Platform: Platform{InstancesInterval: config.Duration(10 * time.Second)},
		Distribution: Distribution{
			Mode:      ModePeers,
			WatchWait: config.Duration(30 * time.Second),
			Gossip:    config.Duration(time.Second),
		},
		Requests: Requests{MaxAttempts: 3},
		Peers:    Peers{Name: "heatherlift-proxy", ReloadInterval: config.Duration(10 * time.Second)},
		Shutdown: Shutdown{Notice: config.Duration(3 * time.Second), Limit: config.Duration(30 * time.Second)},
		Log:      Log{Level: "info", Format: "logfmt"},
	}
}

// Load reads and validates a settings file. Defects are returned together as
// config.Problems.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse validates the text of a settings file.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	var problems config.Problems
	if config.DecodeStrict(text, &s, file, &problems) {
		c := checker{file: file, problems: &problems}
		c.check(s)
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// checker collects impossible values.
type checker struct {
	file     string
	problems *config.Problems
}

func (c checker) add(key, message string) {
	*c.problems = append(*c.problems, config.Problem{File: c.file, Key: key, Message: message})
}

func (c checker) check(s Settings) {
	c.name("id", s.ID)
	c.name("availability_zone", s.AvailabilityZone)
	if s.Region != "" {
		c.name("region", s.Region)
	}
	c.name("service", s.Service)
	for _, service := range s.Calls {
		c.name("calls", service)
	}
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.forward", s.Listen.Forward)
	c.address("listen.peers", s.Listen.Peers)
	c.address("listen.admin", s.Listen.Admin)
	c.address("backend_server.address", s.BackendServer.Address)
	c.between("backend_server.slots", s.BackendServer.Slots, 1, 100_000)
	c.between("backend_server.connections", s.BackendServer.Connections, 1, 100_000)
	c.between("backend_server.queue_length", s.BackendServer.QueueLength, 1, 100_000)
	c.duration("backend_server.health_interval", s.BackendServer.HealthInterval, 10*time.Millisecond, time.Minute)
	c.url("platform.source", s.Platform.Source)
	c.url("platform.instances", s.Platform.Instances)
	c.duration("platform.instances_interval", s.Platform.InstancesInterval, 100*time.Millisecond, time.Hour)
	c.oneOf("distribution.mode", s.Distribution.Mode, ModePeers, ModeNaive)
	c.duration("distribution.watch_wait", s.Distribution.WatchWait, time.Second, time.Minute)
	c.duration("distribution.gossip_interval", s.Distribution.Gossip, 10*time.Millisecond, time.Minute)
	c.between("requests.max_attempts", s.Requests.MaxAttempts, 1, 10)
	c.duration("shutdown.notice", s.Shutdown.Notice, 0, time.Minute)
	c.duration("shutdown.limit", s.Shutdown.Limit, time.Second, time.Hour)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "logfmt", "json")
	c.peers(s.Peers)
}

// peers requires either plaintext or a full set of files.
func (c checker) peers(p Peers) {
	files := []struct{ key, value string }{
		{"peers.certificate", p.Certificate},
		{"peers.key", p.Key},
		{"peers.authorities", p.Authorities},
	}
	for _, f := range files {
		switch {
		case p.Plaintext && f.value != "":
			c.add(f.key, "must be empty if peers.plaintext is true")
		case !p.Plaintext && f.value == "":
			c.add(f.key, "missing: name a file in PEM, or set peers.plaintext to true")
		}
	}
	if p.Name == "" {
		c.add("peers.name", "missing: name the DNS name in the certificates of proxies")
	}
	c.duration("peers.reload_interval", p.ReloadInterval, 100*time.Millisecond, time.Hour)
}

func (c checker) name(key, value string) {
	if !config.ValidName(value) {
		c.add(key, strconv.Quote(value)+": want lower-case letters, digits and '-', at most "+strconv.Itoa(config.MaxNameBytes))
	}
}

func (c checker) address(key, value string) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		c.add(key, strconv.Quote(value)+": want IP:PORT")
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		c.add(key, strconv.Quote(host)+" is no IP address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		c.add(key, strconv.Quote(port)+": want a port from 1 to 65535")
	}
}

func (c checker) url(key, value string) {
	const scheme = "http://"
	if len(value) <= len(scheme) || value[:len(scheme)] != scheme {
		c.add(key, strconv.Quote(value)+": want http://IP:PORT")
		return
	}
	c.address(key, value[len(scheme):])
}

func (c checker) between(key string, value, low, high int) {
	if value < low || value > high {
		c.add(key, strconv.Itoa(value)+": want "+strconv.Itoa(low)+" to "+strconv.Itoa(high))
	}
}

func (c checker) duration(key string, value config.Duration, low, high time.Duration) {
	if d := time.Duration(value); d < low || d > high {
		c.add(key, d.String()+": want "+low.String()+" to "+high.String())
	}
}

func (c checker) oneOf(key, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	message := strconv.Quote(value) + ": want one of"
	for _, a := range allowed {
		message += " " + a
	}
	c.add(key, message)
}
