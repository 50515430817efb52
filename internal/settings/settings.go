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
	// ID is the name of the instance, unique in the fleet.
	ID               string `toml:"id"`
	AvailabilityZone string `toml:"availability_zone"`
	// Region is the region of the availability zone; empty in a fleet of one
	// region.
	Region string `toml:"region"`
	// Service is the service that the co-located backend server belongs to.
	Service string `toml:"service"`
	// Calls lists the other services that callers of this proxy send requests
	// to.
	Calls []string `toml:"calls"`

	Listen        Listen        `toml:"listen"`
	BackendServer BackendServer `toml:"backend_server"`
	Platform      Platform      `toml:"platform"`
	Distribution  Distribution  `toml:"distribution"`
	Requests      Requests      `toml:"requests"`
	Peers         Peers         `toml:"peers"`
	Machine       Machine       `toml:"machine"`
	Clients       Clients       `toml:"clients"`
	Shutdown      Shutdown      `toml:"shutdown"`
	Log           Log           `toml:"log"`
}

// Listen holds the addresses at which the proxy listens, as IP:PORT.
type Listen struct {
	// Callers accepts the requests of callers.
	Callers string `toml:"callers"`
	// Forward accepts requests that other proxies forward.
	Forward string `toml:"forward"`
	// Peers accepts the control messages of other proxies.
	Peers string `toml:"peers"`
	// Admin is the address of the admin interface.
	Admin string `toml:"admin"`
	// Metrics is a second address of the admin interface; optional.
	Metrics string `toml:"metrics"`
}

// BackendServer describes the backend server co-located with the proxy.
type BackendServer struct {
	Address string `toml:"address"`
	// Slots is the number of requests that it runs concurrently.
	Slots int `toml:"slots"`
	// Connections is the maximum number of connections to it.
	Connections int `toml:"connections"`
	// QueueLength is the maximum number of requests that wait for a slot.
	QueueLength int `toml:"queue_length"`
	// HealthPath is the path of the health check, which answers 200 while the
	// backend server accepts requests.
	HealthPath string `toml:"health_path"`
	// LoadPath is the path of the load report: the number of slots and whether
	// the backend server is draining. It is empty if there is no load report.
	LoadPath string `toml:"load_path"`
	// HealthInterval is the time between two health checks; 0 disables them.
	HealthInterval config.Duration `toml:"health_interval"`
	// ShedNotRun declares that a 503 response with Retry-After means that the
	// backend server did not run the request.
	ShedNotRun bool `toml:"shed_not_run"`
}

// Platform holds the endpoints of the platform.
type Platform struct {
	// Kind is "services" for heatherlift's own interfaces, or "store" for a
	// platform that package platform adapts.
	Kind string `toml:"kind"`
	// Store is the address of the platform's store.
	Store string `toml:"store"`
	// Bounds lists bounds that the platform sets for the proxies, such as those
	// of the retry budget, each as NAME=VALUE. Package platform interprets them.
	Bounds []string `toml:"bounds"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s, or 0
	// if it is unknown.
	LinkMbps float64 `toml:"link_mbps"`
	// ReportInterval is the time between two reports of a backend server to the store,
	// 0 if it is unknown.
	ReportInterval config.Duration `toml:"report_interval"`
	// Seeds are peer addresses of proxies to bootstrap from while the store is
	// unreachable.
	Seeds []string `toml:"seeds"`
	// Source is the base URL of the configuration service.
	Source string `toml:"source"`
	// Instances is the base URL of the instance list.
	Instances string `toml:"instances"`
	// InstancesInterval is the mean time between two reads of the instance
	// list. Proxies that read it on behalf of others read it more often; a long
	// list is read less often.
	InstancesInterval config.Duration `toml:"instances_interval"`
	// FleetSize is the assumed number of proxies until the instance list has been
	// read. The delay of the first read grows with it, so that proxies that all
	// start at the same time do not overload the platform.
	FleetSize int `toml:"fleet_size"`
}

// Distribution configures how configuration versions are distributed.
type Distribution struct {
	// Mode is "peers", or "naive" to read everything from the source.
	Mode string `toml:"mode"`
	// WatchWait is the time that a watch of the source waits for a change.
	WatchWait config.Duration `toml:"watch_wait"`
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval config.Duration `toml:"gossip_interval"`
}

// Requests configures request handling.
type Requests struct {
	// MaxAttempts is the maximum number of attempts of one request, including
	// the first; a route can set its own.
	MaxAttempts int `toml:"max_attempts"`
	// Placement is "score", "expected-finish", or "auto" for the latter while the
	// backend servers of a service state how slow they are.
	Placement string `toml:"placement"`
}

// Peers configures how proxies authenticate each other.
type Peers struct {
	// Plaintext disables authentication and encryption.
	Plaintext bool `toml:"plaintext"`
	// Certificate, Key and Authorities are paths of PEM files.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authorities string `toml:"authorities"`
	// Name is the DNS name that the certificate of every proxy carries.
	Name string `toml:"name"`
	// ReloadInterval is the time between two reads of the files.
	ReloadInterval config.Duration `toml:"reload_interval"`
}

// Machine is what the process may use of its machine.
type Machine struct {
	// MemoryMB is the memory, in units of 2^20 bytes.
	MemoryMB int `toml:"memory_mb"`
	// Descriptors is the number of open descriptors, or 0 for the limit that the process
	// has at its start.
	Descriptors int `toml:"descriptors"`
}

// Clients bounds what clients may make the process hold. Clients are the callers, those of
// the admin addresses, and other proxies with the requests that they forward.
type Clients struct {
	// MemoryMB is the memory that all of them may hold, in units of 2^20 bytes, or 0 for
	// 30 % of Machine.MemoryMB.
	MemoryMB int `toml:"memory_mb"`
	// Share is the part of the memory and of the connections that the clients at one
	// address may hold.
	Share float64 `toml:"share"`
	// Connections is the number of connections of callers, or 0 for a part of the
	// descriptors.
	Connections int `toml:"connections"`
	// Requests is the number of requests that the clients at one address may have in
	// progress while requests are refused for overload, or 0 for Share of the slots and the
	// queue of the backend server.
	Requests int `toml:"requests"`
	// SlowAfter is the time after which a client that sends or reads slowly may be
	// disconnected if there is no room for others.
	SlowAfter config.Duration `toml:"slow_after"`
	// ReadTimeout is the time after which a client that has not accepted a piece of a
	// response is disconnected in any case.
	ReadTimeout config.Duration `toml:"read_timeout"`
	// ReceiveBufferKB bounds what the kernel holds of a caller's connection, in units of
	// 2^10 bytes, or 0 for no bound of its own. Before the connection is accepted, it holds
	// at most intake.UnacceptedBytes.
	ReceiveBufferKB int `toml:"receive_buffer_kb"`
}

// Shutdown configures the phases of a graceful shutdown.
type Shutdown struct {
	// Notice is the time for other proxies and callers to learn of the
	// shutdown.
	Notice config.Duration `toml:"notice"`
	// Limit is the time after the end of Notice at which requests in flight are
	// aborted.
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

// Values of Requests.Placement.
const (
	PlacementScore          = "score"
	PlacementExpectedFinish = "expected-finish"
	PlacementAuto           = "auto"
)

// Values of Platform.Kind.
const (
	PlatformServices = "services"
	PlatformStore    = "store"
)

// Default returns the defaults of the settings that a file can omit. Required
// settings are empty.
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
			Mode:           ModePeers,
			WatchWait:      config.Duration(30 * time.Second),
			GossipInterval: config.Duration(time.Second),
		},
		Requests: Requests{MaxAttempts: 3, Placement: PlacementScore},
		Peers:    Peers{Name: "heatherlift-proxy", ReloadInterval: config.Duration(10 * time.Second)},
		Machine:  Machine{MemoryMB: 184},
		Clients:  Clients{Share: 0.75, SlowAfter: config.Duration(2 * time.Second), ReadTimeout: config.Duration(30 * time.Second), ReceiveBufferKB: 64},
		Shutdown: Shutdown{Notice: config.Duration(3 * time.Second), Limit: config.Duration(30 * time.Second)},
		Log:      Log{Level: "info", Format: "logfmt"},
	}
}

// Load reads and validates a settings file. All problems are returned together
// as config.Problems.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(file, text)
}

// Parse decodes and validates the text of a settings file. The file name is
// used in error messages only.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	problems := decode(text, &s, file)
	for _, p := range validate(s, file) {
		if !slices.ContainsFunc(problems, func(q config.Problem) bool { return q.Key == p.Key }) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}
