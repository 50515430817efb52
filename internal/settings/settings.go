// Package settings reads the static settings of a proxy from a TOML file.
package settings

import (
	"os"
	"slices"
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
	// Metrics serves what Admin serves at a second address, if it is set.
	Metrics string `toml:"metrics"`
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
	// Kind is "services" for heatherlift's own interfaces, or "store" for the
	// platform that package platform translates.
	Kind string `toml:"kind"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// Bounds are the platform's bounds, each as NAME=VALUE.
	Bounds []string `toml:"bounds"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s, 0 if it is
	// not known.
	LinkMbps float64 `toml:"link_mbps"`
	// Seeds are the peer addresses of proxies to start from while the store is
	// out of reach.
	Seeds []string `toml:"seeds"`
	// Source is the base URL of the configuration service.
	Source string `toml:"source"`
	// Instances is the base URL of the list of instances.
	Instances string `toml:"instances"`
	// InstancesInterval is the longest mean time between two readings of
	// the list; a small fleet reads it more often.
	InstancesInterval config.Duration `toml:"instances_interval"`
	// FleetSize is the number of proxies to expect before the list is first
	// read. A fleet that starts at once spreads its first readings by it.
	FleetSize int `toml:"fleet_size"`
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

// Values of Platform.Kind.
const (
	PlatformServices = "services"
	PlatformStore    = "store"
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
		Platform: Platform{Kind: PlatformServices, InstancesInterval: config.Duration(time.Minute), FleetSize: 1000},
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
	problems := decode(text, &s, file)
	for _, p := range check(s, file) {
		if !slices.ContainsFunc(problems, func(q config.Problem) bool { return q.Key == p.Key }) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}
